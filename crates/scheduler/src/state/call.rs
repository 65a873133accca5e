//! A call in flight.

use super::RouteId;

/// Number of a call, in the order of the sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub u64);

/// A call in flight, which carries one message or a batch.
pub(crate) struct Call {
    pub route: RouteId,
    /// Messages of the call whose attempt has not ended.
    pub open_attempts: usize,
}

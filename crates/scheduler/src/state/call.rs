//! Calls in flight and calls that have ended.

use super::RouteId;
use crate::interface::{EndpointId, Outcome, Span, Time};

/// Number of a call, in the order of the sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub u64);

/// A call in flight, which carries one message or a batch.
pub(crate) struct Call {
    pub route: RouteId,
    /// Number of messages of the call whose attempt has not ended.
    pub open_attempts: usize,
}

/// A call or health check that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
    /// Send time of the call. A health check counts as sent when it ends.
    pub sent: Time,
    /// Time in flight; `None` for a health check.
    pub duration: Option<Span>,
    pub outcome: Outcome,
}

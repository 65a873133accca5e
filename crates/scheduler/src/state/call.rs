//! Calls in flight and calls that have ended.

use super::RouteId;
use crate::interface::{EndpointId, Outcome, Span, Time};

/// Number of a call, in the order of the sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub u64);

/// A call in flight, which carries one message or a batch.
pub(crate) struct Call {
    pub route: RouteId,
    /// Messages of the call whose attempt has not ended.
    pub open_attempts: usize,
}

/// A call or health check that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
    /// How long it was in flight; `None` for a health check.
    pub duration: Option<Span>,
    /// How it ended.
    pub outcome: Outcome,
}

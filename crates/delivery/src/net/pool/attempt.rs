//! An attempt to deliver a message, and its outcome.

use super::pooled_connection::Exchange;
use crate::core::{Disposition, MessageId, Route};
use crate::lease_guard::LeasePermit;
use crate::net::http::ResponseHead;
use marblefall_scheduler::{EndpointId, Outcome, RateLimitReport};
use std::borrow::Cow;
use std::mem::discriminant;
use std::time::Instant;

/// An attempt's request in its encoding for the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRequest<'a> {
    /// The request line and the header fields, up to and including the empty line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Cow<'a, [u8]>,
}

/// One attempt to deliver a message.
pub struct Attempt<'a> {
    /// The id of the message.
    pub message_id: MessageId,
    /// The endpoint that the message is sent to.
    pub endpoint: EndpointId,
    /// The endpoint's route. The attempt is not sent while the route is in backoff.
    pub route: Route,
    /// The time at which the attempt times out.
    pub timeout_at: Instant,
    /// The deadline for writing the last byte of the request. After it, the byte is not written at all.
    pub write_by: Instant,
    /// Encodes the request. The argument is the time for which the response is awaited, in ms.
    pub encode: &'a dyn Fn(u64) -> EncodedRequest<'a>,
    /// Derives the outcome from a response.
    pub classify_response: fn(&ResponseHead<'_>) -> AttemptOutcome,
    /// Returns a permit to start the attempt now, or `None` if it must not be started. The permit is held while the
    /// first bytes are written.
    pub permit: &'a dyn Fn() -> Option<LeasePermit<'a>>,
}

/// The outcome of an attempt, with the information that its response carries.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// The outcome that is reported to the scheduler.
    pub outcome: Outcome,
    /// The effect of the outcome on the message.
    pub disposition: Disposition,
    /// The endpoint's rate limit, as far as the response reports it.
    pub rate_limit: RateLimitReport,
    /// The exchange on the connection; `None` if the request was not written completely.
    pub exchange: Option<Exchange>,
}

impl AttemptOutcome {
    /// Returns whether two responses mean the same for the message.
    pub(super) fn agrees_with(&self, other: &AttemptOutcome) -> bool {
        self.disposition == other.disposition
            && discriminant(&self.outcome) == discriminant(&other.outcome)
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            disposition: Disposition::Undecided,
            rate_limit: RateLimitReport::default(),
            exchange: None,
        }
    }
}

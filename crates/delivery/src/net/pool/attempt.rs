//! An attempt to deliver a message, and its outcome.

use crate::core::{Disposition, MessageId, Route};
use crate::lease_guard::LeasePermit;
use crate::net::http::ResponseHead;
use marblefall_scheduler::{EndpointId, Outcome, RateLimitReport};
use std::borrow::Cow;
use std::time::Instant;

/// The request of an attempt as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRequest<'a> {
    /// The request line and the header fields, with the empty line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Cow<'a, [u8]>,
}

/// One attempt to deliver a message.
pub struct Attempt<'a> {
    /// The message.
    pub message_id: MessageId,
    /// The endpoint that receives it.
    pub endpoint: EndpointId,
    /// The route of the endpoint; the attempt is not sent while it is in backoff.
    pub route: Route,
    /// When the attempt times out.
    pub timeout_at: Instant,
    /// The last byte of the request is written before this time or not at all.
    pub write_by: Instant,
    /// Encodes the request, given for how many milliseconds its response is awaited.
    pub encode: &'a dyn Fn(u64) -> EncodedRequest<'a>,
    /// Derives the outcome from a response.
    pub classify_response: fn(&ResponseHead<'_>) -> AttemptOutcome,
    /// A permit to start the attempt at the moment of the call, which is held while the first bytes are written; `None`
    /// if it must not be started.
    pub permit: &'a dyn Fn() -> Option<LeasePermit<'a>>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// The outcome.
    pub outcome: Outcome,
    /// What the outcome means for the message.
    pub disposition: Disposition,
    /// The endpoint's rate limit, as far as the response reports it.
    pub rate_limit: RateLimitReport,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            disposition: Disposition::Undecided,
            rate_limit: RateLimitReport::default(),
        }
    }
}

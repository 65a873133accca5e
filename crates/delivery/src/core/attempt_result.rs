//! The result of an attempt.

use super::{Disposition, MessageId};
use marblefall_scheduler::{Outcome, RateLimitReport, Span};

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Id of the message.
    pub message_id: MessageId,
    /// Number of the attempt, counted from 0 for the first attempt of the message.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time that the attempt was in flight.
    pub duration: Span,
    /// Effect of the response on the message.
    pub disposition: Disposition,
    /// Rate limit that the response reports.
    pub rate_limit: RateLimitReport,
}

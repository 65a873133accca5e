//! The result of an attempt.

use super::{Disposition, MessageId};
use marblefall_scheduler::{Outcome, RateLimitReport, Span};

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub message_id: MessageId,
    /// The attempt's number, from 0 for the message's first.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub duration: Span,
    /// What the response means for the message.
    pub disposition: Disposition,
    /// The rate limit that the response reports.
    pub rate_limit: RateLimitReport,
}

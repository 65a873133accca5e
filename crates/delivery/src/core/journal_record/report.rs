//! Reports on attempts: an incarnation that has handed over journals the results of its attempts for the active one.

use super::codec::{Decoder, Encoder};
use super::variant;
use crate::core::attempt_result::AttemptResult;
use crate::core::message_record::{Execution, MessageRecord, NoticeState};
use crate::core::{Disposition, FinalOutcome, MessageId, Origin};
use marblefall_scheduler::{Outcome, RateLimitReport, Span};
use std::collections::BTreeMap;

/// The result of an attempt, as reported to the active incarnation by the incarnation that started the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Unix time in milliseconds until which the message is retained if the attempt leads to its final outcome.
    pub retain_until_ms: i64,
}

/// The effect of a report on its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportConclusion {
    /// The message waits for its next attempt or its final outcome.
    Open,
    /// The message is delivered or complete, and its record is not needed any more.
    Removed,
    /// The message is delivered, and its record is retained.
    Delivered,
}

impl AttemptReport {
    /// Returns the effect of this report on its message.
    pub(in crate::core) fn conclusion(&self, record: &MessageRecord) -> ReportConclusion {
        let is_delivered = self.result.outcome == Outcome::Delivered;
        let is_complete = is_delivered || self.result.disposition == Disposition::Complete;
        if is_complete && record.message.origin == Origin::Platform {
            ReportConclusion::Removed
        } else if is_delivered {
            ReportConclusion::Delivered
        } else {
            ReportConclusion::Open
        }
    }
}

/// Outcomes in the order of their numbers in the journal.
const OUTCOMES: [Outcome; 9] = [
    Outcome::Delivered,
    Outcome::Error,
    Outcome::Rejected { retry_after: None },
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::StaleConnection,
    Outcome::Cancelled,
    Outcome::NotSent,
];
/// Number of [`Outcome::Rejected`] in the journal.
const REJECTED: u8 = 2;
/// Dispositions in the order of their numbers in the journal.
const DISPOSITIONS: [Disposition; 3] = [
    Disposition::Undecided,
    Disposition::Complete,
    Disposition::Failed,
];

/// Applies a report that a later incarnation replays. The incarnation that was active at the time may already have handled
/// it, or may have exited first.
pub(super) fn apply_report(
    report: &AttemptReport,
    messages: &mut BTreeMap<MessageId, MessageRecord>,
) {
    let id = report.result.message_id;
    let Some(record) = messages.get_mut(&id) else {
        return;
    };
    if !record.finish_attempt(Execution::after(report.result.outcome)) {
        return;
    }
    match report.conclusion(record) {
        ReportConclusion::Open => {}
        ReportConclusion::Removed => drop(messages.remove(&id)),
        ReportConclusion::Delivered => record.finish(
            FinalOutcome::Delivered,
            NoticeState::NotRequired,
            report.retain_until_ms,
        ),
    }
}

/// Encodes a report.
pub(super) fn encode_report(encoder: &mut Encoder, report: &AttemptReport) {
    let result = &report.result;
    let (outcome, retry_after) = match result.outcome {
        Outcome::Rejected { retry_after } => (REJECTED, retry_after),
        other => (index_of(&OUTCOMES, other), None),
    };
    encoder
        .byte(variant::ATTEMPT_REPORTED)
        .number(result.attempt.into());
    encoder
        .byte(outcome)
        .option(retry_after, |encoder, span| encoder.number(span.0));
    encoder.number(result.duration.0);
    encoder.byte(index_of(&DISPOSITIONS, result.disposition));
    encoder.number(report.retain_until_ms);
    encoder.option(result.rate_limit.remaining, Encoder::float);
    encoder.option(result.rate_limit.limit, Encoder::float);
}

/// Decodes the report on an attempt of a message.
pub(super) fn decode_report(
    decoder: &mut Decoder<'_>,
    message_id: MessageId,
) -> Option<AttemptReport> {
    let attempt = decoder.number()? as u32;
    let outcome = *OUTCOMES.get(usize::from(decoder.byte()?))?;
    let retry_after = decoder.option(Decoder::number)?.map(Span);
    let outcome = match outcome {
        Outcome::Rejected { .. } => Outcome::Rejected { retry_after },
        other => other,
    };
    let duration = Span(decoder.number()?);
    let disposition = *DISPOSITIONS.get(usize::from(decoder.byte()?))?;
    let retain_until_ms = decoder.number()?;
    let rate_limit = RateLimitReport {
        remaining: decoder.option(Decoder::float)?,
        limit: decoder.option(Decoder::float)?,
    };
    Some(AttemptReport {
        result: AttemptResult {
            message_id,
            attempt,
            outcome,
            duration,
            disposition,
            rate_limit,
        },
        retain_until_ms,
    })
}

/// Returns the number of a value: its index in the list of all values.
fn index_of<T: PartialEq>(all: &[T], value: T) -> u8 {
    all.iter().position(|known| *known == value).unwrap_or(0) as u8
}

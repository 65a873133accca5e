//! The records of the journal, and their encoding.
//!
//! The encoding is stored data: the numbers of variants and the order of fields never change. A record starts with the
//! id of its message (0 if it does not concern a message) and the number of its variant.

mod codec;
mod message;
mod report;
mod route;

pub use report::{AttemptReport, ReportConclusion};
pub use route::{BackoffRecord, RouteRecord};

use super::message_record::{AttemptRecord, Execution, MessageRecord, NoticeState};
use super::{FinalOutcome, MessageId};
use codec::{Decoder, Encoder};
use message::{decode_message, encode_message};
use report::{apply_report, decode_report, encode_report};
use route::{decode_backoff, decode_route, encode_backoff, encode_route};
use std::collections::BTreeMap;

/// The message id in records that do not concern a message.
pub(super) const NO_MESSAGE: MessageId = MessageId(0);

/// One record of the journal.
pub(super) enum JournalRecord {
    /// The full record of a message.
    Message(MessageRecord),
    /// An attempt of the message starts.
    AttemptStarted(AttemptRecord),
    /// The attempt in flight has ended.
    AttemptFinished(Execution),
    /// The message has its final outcome.
    Finished {
        outcome: FinalOutcome,
        notice: NoticeState,
        retain_until_ms: i64,
    },
    /// The message is no longer needed.
    Removed,
    /// The message has a further identity.
    Alias(Vec<u8>),
    /// An endpoint requested a backoff. The record does not concern a message.
    Backoff(BackoffRecord),
    /// The result of an attempt whose incarnation has handed over.
    AttemptReported(Box<AttemptReport>),
    /// The state of a route. The record does not concern a message.
    Route(RouteRecord),
}

/// The numbers of the variants in the journal. Number 4 was used by an earlier version and must not be reused.
mod variant {
    pub(super) const MESSAGE: u8 = 0;
    pub(super) const ATTEMPT_STARTED: u8 = 1;
    pub(super) const ATTEMPT_FINISHED: u8 = 2;
    pub(super) const FINISHED: u8 = 3;
    pub(super) const REMOVED: u8 = 5;
    pub(super) const ALIAS: u8 = 6;
    pub(super) const BACKOFF: u8 = 7;
    pub(super) const ATTEMPT_REPORTED: u8 = 8;
    pub(super) const ROUTE: u8 = 9;
}

impl JournalRecord {
    /// Applies the record to its message.
    pub(super) fn apply(self, id: MessageId, messages: &mut BTreeMap<MessageId, MessageRecord>) {
        if let JournalRecord::Message(record) = self {
            messages.insert(id, record);
            return;
        }
        // The full record of a message that was finished and removed may have been dropped with an older segment, while
        // later records of the message remain.
        let Some(record) = messages.get_mut(&id) else {
            return;
        };
        match self {
            JournalRecord::AttemptStarted(attempt) => record.start_attempt(attempt),
            JournalRecord::AttemptFinished(execution) => {
                record.finish_attempt(execution);
            }
            JournalRecord::Finished {
                outcome,
                notice,
                retain_until_ms,
            } => {
                record.finish(outcome, notice, retain_until_ms);
            }
            JournalRecord::Alias(identity) => record.aliases.push(identity),
            JournalRecord::AttemptReported(report) => apply_report(&report, messages),
            JournalRecord::Removed => {
                messages.remove(&id);
            }
            JournalRecord::Message(_) | JournalRecord::Backoff(_) | JournalRecord::Route(_) => {}
        }
    }

    /// Encodes the record. Classes are written by name, as their order may change between two incarnations.
    pub(super) fn encode(&self, id: MessageId, classes: &[String]) -> Vec<u8> {
        let mut encoder = Encoder::new(id);
        match self {
            JournalRecord::Message(record) => encode_message(&mut encoder, record, classes),
            JournalRecord::AttemptStarted(attempt) => {
                encoder.byte(variant::ATTEMPT_STARTED).attempt(attempt);
            }
            JournalRecord::AttemptFinished(execution) => {
                encoder
                    .byte(variant::ATTEMPT_FINISHED)
                    .execution(*execution);
            }
            JournalRecord::Finished {
                outcome,
                notice,
                retain_until_ms,
            } => {
                encoder.byte(variant::FINISHED).outcome(*outcome);
                encoder.notice(*notice).number(*retain_until_ms);
            }
            JournalRecord::Removed => {
                encoder.byte(variant::REMOVED);
            }
            JournalRecord::Alias(identity) => {
                encoder.byte(variant::ALIAS).bytes(identity);
            }
            JournalRecord::Backoff(backoff) => encode_backoff(&mut encoder, backoff),
            JournalRecord::AttemptReported(report) => encode_report(&mut encoder, report),
            JournalRecord::Route(route) => encode_route(&mut encoder, route),
        }
        encoder.into_bytes()
    }

    /// Decodes a record; `None` if it is corrupt or was written by a later version. A class that is not configured becomes
    /// a class id that is unknown to the scheduler, so that the message fails.
    pub(super) fn decode(payload: &[u8], classes: &[String]) -> Option<(MessageId, JournalRecord)> {
        let mut decoder = Decoder::new(payload);
        let id = MessageId(decoder.number()? as u64);
        let record = match decoder.byte()? {
            variant::MESSAGE => JournalRecord::Message(decode_message(&mut decoder, classes)?),
            variant::ATTEMPT_STARTED => JournalRecord::AttemptStarted(decoder.attempt()?),
            variant::ATTEMPT_FINISHED => JournalRecord::AttemptFinished(decoder.execution()?),
            variant::FINISHED => JournalRecord::Finished {
                outcome: decoder.outcome()?,
                notice: decoder.notice()?,
                retain_until_ms: decoder.number()?,
            },
            variant::REMOVED => JournalRecord::Removed,
            variant::ALIAS => JournalRecord::Alias(decoder.bytes()?),
            variant::BACKOFF => JournalRecord::Backoff(decode_backoff(&mut decoder)?),
            variant::ATTEMPT_REPORTED => {
                JournalRecord::AttemptReported(Box::new(decode_report(&mut decoder, id)?))
            }
            variant::ROUTE => JournalRecord::Route(decode_route(&mut decoder)?),
            _ => return None,
        };
        Some((id, record))
    }
}

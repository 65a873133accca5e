//! What one record of the journal says, and how it is encoded.
//!
//! The encoding is stored data: the numbers of variants and the order of fields never change. A record starts with the
//! message's id (0 where it is about no message) and the number of its variant.

mod codec;

use super::message_record::{AttemptRecord, Completion, MessageRecord, MessageState};
use super::{Disposition, FinalOutcome, Message, MessageId, Origin};
use codec::{Decoder, Encoder};
use marblefall_scheduler::{
    ClassId, DestinationId, IdleRecord, Outcome, RateLimitReport, Span, Time,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The id in records that are about no message.
pub(super) const NO_MESSAGE: MessageId = MessageId(0);

/// The end of an attempt, reported by the incarnation that started it to the one that is active now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Which attempt of its message.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub duration: Span,
    /// What it means for the message.
    pub disposition: Disposition,
    /// What the response told of the rate limit.
    pub rate_limit: RateLimitReport,
    /// Unix time in milliseconds until which the message is remembered if that was its end.
    pub keep_until_ms: i64,
}

/// A backoff that an endpoint asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffRecord {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, by its name.
    pub endpoint: String,
    /// Unix time in milliseconds.
    pub until_ms: i64,
}

/// What an incarnation knew of a route when it handed over; times are Unix times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint's name, where it is a separate route.
    pub endpoint: Option<String>,
    /// What was learned.
    pub learned: IdleRecord,
}

/// One record of the journal.
pub(super) enum JournalRecord {
    /// All that is known of a message.
    Message(MessageRecord),
    /// An attempt starts.
    AttemptStarted(AttemptRecord),
    /// The attempt in flight ended.
    AttemptFinished { may_have_executed: bool },
    /// The message has its final outcome.
    Finished {
        outcome: FinalOutcome,
        notice_owed: bool,
        keep_until_ms: i64,
    },
    /// Nothing is owed or remembered for the message any more.
    Forgotten,
    /// The message has another identity as well.
    Alias(Vec<u8>),
    /// An endpoint asked for a backoff. About no message.
    Backoff(BackoffRecord),
    /// How an attempt ended whose incarnation has handed over since.
    AttemptReported(Box<AttemptReport>),
    /// What is known of a route. About no message.
    Route(RouteRecord),
}

/// Numbers of the variants in the journal. 4 was used by an earlier version.
mod variant {
    pub const MESSAGE: u8 = 0;
    pub const ATTEMPT_STARTED: u8 = 1;
    pub const ATTEMPT_FINISHED: u8 = 2;
    pub const FINISHED: u8 = 3;
    pub const FORGOTTEN: u8 = 5;
    pub const ALIAS: u8 = 6;
    pub const BACKOFF: u8 = 7;
    pub const ATTEMPT_REPORTED: u8 = 8;
    pub const ROUTE: u8 = 9;
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
/// The number of [`Outcome::Rejected`].
const REJECTED: u8 = 2;
/// Dispositions in the order of their numbers in the journal.
const DISPOSITIONS: [Disposition; 3] = [
    Disposition::Undecided,
    Disposition::Complete,
    Disposition::Failed,
];

impl JournalRecord {
    /// Applies to the messages what the record says of one.
    pub(super) fn apply(self, id: MessageId, messages: &mut BTreeMap<MessageId, MessageRecord>) {
        if let JournalRecord::Message(record) = self {
            messages.insert(id, record);
            return;
        }
        // A message whose full record went with an older segment was over: what else is said of it is left out.
        let Some(record) = messages.get_mut(&id) else {
            return;
        };
        match self {
            JournalRecord::AttemptStarted(attempt) => record.start_attempt(attempt),
            JournalRecord::AttemptFinished { may_have_executed } => {
                record.finish_attempt(may_have_executed);
            }
            JournalRecord::Finished {
                outcome,
                notice_owed,
                keep_until_ms,
            } => {
                record.finish(outcome, notice_owed, keep_until_ms);
            }
            JournalRecord::Alias(identity) => record.aliases.push(identity),
            JournalRecord::AttemptReported(report) => apply_report(id, &report, messages),
            JournalRecord::Forgotten => {
                messages.remove(&id);
            }
            JournalRecord::Message(_) | JournalRecord::Backoff(_) | JournalRecord::Route(_) => {}
        }
    }

    /// The record as bytes. Classes are written by name, as their order may change between two incarnations.
    pub(super) fn encode(&self, id: MessageId, classes: &[String]) -> Vec<u8> {
        let mut out = Encoder::new(id);
        match self {
            JournalRecord::Message(record) => encode_message(&mut out, record, classes),
            JournalRecord::AttemptStarted(attempt) => {
                out.byte(variant::ATTEMPT_STARTED).attempt(attempt);
            }
            JournalRecord::AttemptFinished { may_have_executed } => {
                out.byte(variant::ATTEMPT_FINISHED).flag(*may_have_executed);
            }
            JournalRecord::Finished {
                outcome,
                notice_owed,
                keep_until_ms,
            } => {
                out.byte(variant::FINISHED).outcome(*outcome);
                out.flag(*notice_owed).number(*keep_until_ms);
            }
            JournalRecord::Forgotten => {
                out.byte(variant::FORGOTTEN);
            }
            JournalRecord::Alias(identity) => {
                out.byte(variant::ALIAS).bytes(identity);
            }
            JournalRecord::Backoff(backoff) => {
                out.byte(variant::BACKOFF)
                    .number(backoff.destination.0 as i64);
                out.bytes(backoff.endpoint.as_bytes())
                    .number(backoff.until_ms);
            }
            JournalRecord::AttemptReported(report) => encode_report(&mut out, report),
            JournalRecord::Route(route) => encode_route(&mut out, route),
        }
        out.into_bytes()
    }

    /// Reads a record back; `None` where it is damaged or of a later version. A class that is no longer configured
    /// becomes one that the scheduler does not know either, which then fails the message.
    pub(super) fn decode(payload: &[u8], classes: &[String]) -> Option<(MessageId, JournalRecord)> {
        let mut input = Decoder::new(payload);
        let id = MessageId(input.number()? as u64);
        let record = match input.byte()? {
            variant::MESSAGE => JournalRecord::Message(decode_message(&mut input, classes)?),
            variant::ATTEMPT_STARTED => JournalRecord::AttemptStarted(input.attempt()?),
            variant::ATTEMPT_FINISHED => JournalRecord::AttemptFinished {
                may_have_executed: input.flag()?,
            },
            variant::FINISHED => JournalRecord::Finished {
                outcome: input.outcome()?,
                notice_owed: input.flag()?,
                keep_until_ms: input.number()?,
            },
            variant::FORGOTTEN => JournalRecord::Forgotten,
            variant::ALIAS => JournalRecord::Alias(input.bytes()?),
            variant::BACKOFF => JournalRecord::Backoff(BackoffRecord {
                destination: DestinationId(input.number()? as u64),
                endpoint: input.text()?,
                until_ms: input.number()?,
            }),
            variant::ATTEMPT_REPORTED => {
                JournalRecord::AttemptReported(Box::new(decode_report(&mut input)?))
            }
            variant::ROUTE => JournalRecord::Route(decode_route(&mut input)?),
            _ => return None,
        };
        Some((id, record))
    }
}

/// Applies a report that a later incarnation reads again: the one it was meant for may have acted on it, or have died
/// before.
fn apply_report(
    id: MessageId,
    report: &AttemptReport,
    messages: &mut BTreeMap<MessageId, MessageRecord>,
) {
    let Some(record) = messages.get_mut(&id) else {
        return;
    };
    if !record.finish_attempt(!report.outcome.proves_not_executed()) {
        return;
    }
    let delivered = report.outcome == Outcome::Delivered;
    let complete = delivered || report.disposition == Disposition::Complete;
    if complete && record.message.origin == Origin::Platform {
        messages.remove(&id);
    } else if delivered {
        record.finish(FinalOutcome::Delivered, false, report.keep_until_ms);
    }
}

fn encode_message(out: &mut Encoder, record: &MessageRecord, classes: &[String]) {
    let message = &record.message;
    let class_name = classes
        .get(message.class.0)
        .map_or(b"".as_slice(), |name| name.as_bytes());
    let completion = record.completion();
    out.byte(variant::MESSAGE)
        .flag(message.origin == Origin::CloudEvents);
    out.bytes(&message.identity);
    out.option(message.idempotency_key.as_ref(), |out, key| out.bytes(key));
    out.bytes(class_name);
    out.number(message.destination.0 as i64)
        .number(message.expires_ms);
    out.bytes(&message.attributes).bytes(&message.body);
    out.number(record.attempts.into());
    out.option(record.first_possible_execution.as_ref(), Encoder::attempt);
    out.option(record.in_flight(), Encoder::attempt);
    out.option(completion, |out, completion| {
        out.outcome(completion.outcome)
    });
    out.flag(record.notice_owed());
    out.number(completion.map_or(0, |completion| completion.keep_until_ms));
    out.number(record.aliases.len() as i64);
    for alias in &record.aliases {
        out.bytes(alias);
    }
}

fn decode_message(input: &mut Decoder<'_>, classes: &[String]) -> Option<MessageRecord> {
    let origin = if input.flag()? {
        Origin::CloudEvents
    } else {
        Origin::Platform
    };
    let identity = input.bytes()?;
    let idempotency_key = input.option(Decoder::bytes)?;
    let class_name = input.bytes()?;
    let class = classes
        .iter()
        .position(|name| name.as_bytes() == class_name);
    let message = Message {
        origin,
        identity,
        idempotency_key,
        class: ClassId(class.unwrap_or(usize::MAX)),
        destination: DestinationId(input.number()? as u64),
        expires_ms: input.number()?,
        attributes: input.bytes()?,
        body: input.bytes()?,
    };
    let attempts = input.number()? as u32;
    let first_possible_execution = input.option(Decoder::attempt)?;
    let in_flight = input.option(Decoder::attempt)?;
    let outcome = input.option(Decoder::outcome)?;
    let notice_owed = input.flag()?;
    let keep_until_ms = input.number()?;
    let aliases = (0..input.number()?)
        .map(|_| input.bytes())
        .collect::<Option<_>>()?;
    let state = match (outcome, in_flight) {
        (None, None) => MessageState::Pending,
        (None, Some(attempt)) => MessageState::InFlight(attempt),
        (Some(outcome), unreported) => MessageState::Finished(Completion {
            outcome,
            notice_owed,
            keep_until_ms,
            unreported,
        }),
    };
    Some(MessageRecord {
        message: Rc::new(message),
        attempts,
        first_possible_execution,
        state,
        aliases,
    })
}

fn encode_report(out: &mut Encoder, report: &AttemptReport) {
    let (outcome, retry_after) = match report.outcome {
        Outcome::Rejected { retry_after } => (REJECTED, retry_after),
        other => (position(&OUTCOMES, other), None),
    };
    out.byte(variant::ATTEMPT_REPORTED)
        .number(report.attempt.into());
    out.byte(outcome)
        .option(retry_after, |out, wait| out.number(wait.0));
    out.number(report.duration.0);
    out.byte(position(&DISPOSITIONS, report.disposition));
    out.number(report.keep_until_ms);
    out.option(report.rate_limit.remaining, Encoder::real);
    out.option(report.rate_limit.limit, Encoder::real);
}

fn decode_report(input: &mut Decoder<'_>) -> Option<AttemptReport> {
    let attempt = input.number()? as u32;
    let outcome = *OUTCOMES.get(usize::from(input.byte()?))?;
    let retry_after = input.option(Decoder::number)?.map(Span);
    let outcome = match outcome {
        Outcome::Rejected { .. } => Outcome::Rejected { retry_after },
        other => other,
    };
    Some(AttemptReport {
        attempt,
        outcome,
        duration: Span(input.number()?),
        disposition: *DISPOSITIONS.get(usize::from(input.byte()?))?,
        keep_until_ms: input.number()?,
        rate_limit: RateLimitReport {
            remaining: input.option(Decoder::real)?,
            limit: input.option(Decoder::real)?,
        },
    })
}

fn encode_route(out: &mut Encoder, route: &RouteRecord) {
    let learned = &route.learned;
    out.byte(variant::ROUTE).number(route.destination.0 as i64);
    out.option(route.endpoint.as_ref(), |out, name| {
        out.bytes(name.as_bytes())
    });
    for at in [
        learned.backoff_until,
        learned.ejected_since,
        learned.recovering_since,
    ] {
        out.option(at, |out, at| out.number(at.0));
    }
    out.option(learned.mean_latency_ms, Encoder::real)
        .real(learned.baseline_rate);
}

fn decode_route(input: &mut Decoder<'_>) -> Option<RouteRecord> {
    let destination = DestinationId(input.number()? as u64);
    let endpoint = input.option(Decoder::text)?;
    let mut time = || input.option(|input| input.number().map(Time));
    let learned = IdleRecord {
        backoff_until: time()?,
        ejected_since: time()?,
        recovering_since: time()?,
        mean_latency_ms: input.option(Decoder::real)?,
        baseline_rate: input.real()?,
    };
    Some(RouteRecord {
        destination,
        endpoint,
        learned,
    })
}

/// The number of a value in a list of all of them.
fn position<T: PartialEq>(all: &[T], value: T) -> u8 {
    all.iter().position(|known| *known == value).unwrap_or(0) as u8
}

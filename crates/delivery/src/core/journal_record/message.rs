//! The encoding of a message's full record in the journal.

use super::codec::{Decoder, Encoder};
use super::variant;
use crate::core::message_record::{
    AttemptRecord, Completion, MessageRecord, MessageState, NoticeState,
};
use crate::core::{FinalOutcome, Message, Origin};
use marblefall_scheduler::{ClassId, DestinationId};
use std::rc::Rc;

/// Encodes the full record of a message. The class is written by its name.
pub(super) fn encode_message(encoder: &mut Encoder, record: &MessageRecord, classes: &[String]) {
    let message = &record.message;
    let class_name = classes
        .get(message.class.0)
        .map_or(b"".as_slice(), |name| name.as_bytes());
    let completion = record.completion();
    encoder
        .byte(variant::MESSAGE)
        .flag(message.origin == Origin::CloudEvents);
    encoder.bytes(&message.identity);
    encoder.option(message.idempotency_key.as_ref(), |encoder, key| {
        encoder.bytes(key)
    });
    encoder.bytes(class_name);
    encoder
        .number(message.destination.0 as i64)
        .number(message.expires_ms);
    encoder.bytes(&message.attributes).bytes(&message.body);
    encoder.number(record.attempts.into());
    encoder.option(record.first_possible_execution.as_ref(), Encoder::attempt);
    encoder.option(record.in_flight(), Encoder::attempt);
    encoder.option(completion, |encoder, completion| {
        encoder.outcome(completion.outcome)
    });
    encoder.notice(completion.map_or(NoticeState::NotRequired, |completion| completion.notice));
    encoder.number(completion.map_or(0, |completion| completion.retain_until_ms));
    encoder.number(record.aliases.len() as i64);
    for alias in &record.aliases {
        encoder.bytes(alias);
    }
}

/// Decodes the full record of a message. A class that is not configured becomes a class id that is unknown to the
/// scheduler.
pub(super) fn decode_message(
    decoder: &mut Decoder<'_>,
    classes: &[String],
) -> Option<MessageRecord> {
    let message = decode_content(decoder, classes)?;
    let attempts = decoder.number()? as u32;
    let first_possible_execution = decoder.option(Decoder::attempt)?;
    let state = decode_state(decoder)?;
    let aliases = (0..decoder.number()?)
        .map(|_| decoder.bytes())
        .collect::<Option<_>>()?;
    Some(MessageRecord {
        message: Rc::new(message),
        attempts,
        first_possible_execution,
        state,
        aliases,
    })
}

fn decode_content(decoder: &mut Decoder<'_>, classes: &[String]) -> Option<Message> {
    let origin = if decoder.flag()? {
        Origin::CloudEvents
    } else {
        Origin::Platform
    };
    let identity = decoder.bytes()?;
    let idempotency_key = decoder.option(Decoder::bytes)?;
    let class_name = decoder.bytes()?;
    let class = classes
        .iter()
        .position(|name| name.as_bytes() == class_name);
    Some(Message {
        origin,
        identity,
        idempotency_key,
        class: ClassId(class.unwrap_or(usize::MAX)),
        destination: DestinationId(decoder.number()? as u64),
        expires_ms: decoder.number()?,
        attributes: decoder.bytes()?,
        body: decoder.bytes()?,
    })
}

fn decode_state(decoder: &mut Decoder<'_>) -> Option<MessageState> {
    let in_flight: Option<AttemptRecord> = decoder.option(Decoder::attempt)?;
    let outcome: Option<FinalOutcome> = decoder.option(Decoder::outcome)?;
    let notice = decoder.notice()?;
    let retain_until_ms = decoder.number()?;
    Some(match (outcome, in_flight) {
        (None, None) => MessageState::Pending,
        (None, Some(attempt)) => MessageState::InFlight(attempt),
        (Some(outcome), unreported) => MessageState::Finished(Completion {
            outcome,
            notice,
            retain_until_ms,
            unreported,
        }),
    })
}

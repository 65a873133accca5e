//! Whether a submitted message is new, or repeats one that is known.

use super::acceptance::Submission;
use super::Engine;
use crate::core::message_record::{AttemptRecord, MessageRecord};
use crate::core::{FinalOutcome, Message, MessageId, Origin};

/// What is known of a message that is submitted.
pub(super) enum Lookup {
    /// It is new, or is submitted again after it was returned. An earlier attempt that may have been executed still
    /// limits its attempts.
    New {
        /// That attempt.
        first_possible_execution: Option<AttemptRecord>,
    },
    /// It is open already, or its outcome is not reported yet.
    Open(MessageId),
    /// It has its final outcome.
    Finished(MessageId, FinalOutcome),
    /// It was submitted with another idempotency key, or finished recently.
    Conflict,
}

impl Engine {
    /// Finds out whether a message repeats one of this step's submissions or a stored one.
    pub(super) fn look_up(&self, message: &Message, submissions: &[Submission]) -> Lookup {
        let earlier = submissions
            .iter()
            .find(|submission| is_repeat(message, &submission.message));
        if let Some(submission) = earlier {
            return if submission.message.idempotency_key == message.idempotency_key {
                Lookup::Open(submission.id)
            } else {
                Lookup::Conflict
            };
        }
        match self.find_stored(message) {
            Some((id, record)) => match look_up_stored(message, id, record) {
                Lookup::New { .. } | Lookup::Finished(..)
                    if self.unjournalled_outcomes.contains(id) =>
                {
                    Lookup::Open(id)
                }
                found => found,
            },
            // A delivered message that is sent again would be executed twice.
            None if self.finished_recently(message) => Lookup::Conflict,
            None => Lookup::New {
                first_possible_execution: None,
            },
        }
    }

    fn find_stored(&self, message: &Message) -> Option<(MessageId, &MessageRecord)> {
        let by_key = || {
            self.store
                .by_idempotency_key(message.destination, deduplication_key(message)?)
        };
        let id = self.store.by_identity(&message.identity).or_else(by_key)?;
        Some((id, self.store.get(id)?))
    }

    fn finished_recently(&self, message: &Message) -> bool {
        message.origin != Origin::CloudEvents && self.recent_completions.contains(&message.identity)
    }
}

fn look_up_stored(message: &Message, id: MessageId, record: &MessageRecord) -> Lookup {
    if record.message.idempotency_key != message.idempotency_key {
        return Lookup::Conflict;
    }
    match record.completion().map(|completion| completion.outcome) {
        None => Lookup::Open(id),
        Some(FinalOutcome::Returned { .. }) => Lookup::New {
            first_possible_execution: record.first_possible_execution.clone(),
        },
        Some(outcome) => Lookup::Finished(id, outcome),
    }
}

/// The key by which a submission is recognised as a repeat, besides its identity. Events have one.
fn deduplication_key(message: &Message) -> Option<&Vec<u8>> {
    message
        .idempotency_key
        .as_ref()
        .filter(|_| message.origin == Origin::CloudEvents)
}

/// Whether a message repeats an earlier one: by its identity, or by its key at the same destination.
fn is_repeat(message: &Message, earlier: &Message) -> bool {
    let key = deduplication_key(message);
    let same_key = key.is_some() && earlier.idempotency_key.as_ref() == key;
    earlier.identity == message.identity || earlier.destination == message.destination && same_key
}

//! Determines whether a submitted message is new or repeats a known one.

use super::acceptance::Submission;
use super::Engine;
use crate::core::message_record::{AttemptRecord, MessageRecord};
use crate::core::{FinalOutcome, Message, MessageId, Origin};

/// The result of looking up a submitted message among the known ones.
pub(super) enum Lookup {
    /// The message is new, or is submitted again after it was returned.
    New {
        /// The first attempt of the returned submission that may have been executed. Its deduplication window still
        /// limits further attempts.
        first_possible_execution: Option<AttemptRecord>,
    },
    /// The message is already open, or its outcome has not been reported yet.
    Open(MessageId),
    /// The message has its final outcome.
    Finished(MessageId, FinalOutcome),
    /// The message was submitted with another idempotency key before, or finished recently.
    Conflict,
}

impl Engine {
    /// Looks up a message among the submissions of this step and the stored messages.
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
            // If a delivered message were sent again, it would be executed twice.
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

/// Returns the key by which a submission is recognised as a repeat, in addition to its identity. Only events can have one.
fn deduplication_key(message: &Message) -> Option<&Vec<u8>> {
    message
        .idempotency_key
        .as_ref()
        .filter(|_| message.origin == Origin::CloudEvents)
}

/// Returns whether a message repeats an earlier one: same identity, or same deduplication key and destination.
fn is_repeat(message: &Message, earlier: &Message) -> bool {
    let key = deduplication_key(message);
    let same_key = key.is_some() && earlier.idempotency_key.as_ref() == key;
    earlier.identity == message.identity || earlier.destination == message.destination && same_key
}

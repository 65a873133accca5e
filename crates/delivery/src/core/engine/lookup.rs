//! Determines whether a submitted message is new or repeats a known one.
//!
//! A message repeats all stored messages that have its identity, or its key at its destination. The identity of an event
//! holds at its destination as well. Of these, a returned message
//! is superseded by any later one, so that the newest message decides.

use super::submission::{deduplication_key, share_identities, Lookup, Submission};
use super::Engine;
use crate::core::message_record::{AttemptRecord, MessageRecord};
use crate::core::{FinalOutcome, Message, MessageId, Origin};
use std::collections::BTreeMap;

/// The stored messages that a submission repeats, ordered by id: later messages have higher ids.
type RepeatedMessages<'a> = BTreeMap<MessageId, &'a MessageRecord>;

impl Engine {
    /// Looks up a message among the submissions of this step and the stored messages.
    pub(super) fn look_up(&self, message: &Message, submissions: &[Submission]) -> Lookup {
        if self.is_known_with_another_key(message, submissions) {
            return Lookup::Conflict;
        }
        let mut submissions = submissions.iter();
        if let Some(submission) = submissions.find(|earlier| earlier.is_repeated_by(message)) {
            return Lookup::Open(submission.id);
        }
        let repeated = self.repeated_messages(message);
        match deciding_message(&repeated) {
            Some((id, _)) if self.unjournalled_outcomes.contains(id) => Lookup::Open(id),
            Some((id, record)) => match record.completion().map(|completion| completion.outcome) {
                None => Lookup::Open(id),
                Some(FinalOutcome::Returned { .. }) => Lookup::New {
                    first_possible_execution: first_possibly_executed(&repeated).cloned(),
                },
                Some(outcome) => Lookup::Finished(id, outcome),
            },
            // If a delivered message were sent again, it would be executed twice.
            None if self.finished_recently(message) => Lookup::Conflict,
            None => Lookup::New {
                first_possible_execution: None,
            },
        }
    }

    /// Returns whether the identity of a message is known with another idempotency key.
    fn is_known_with_another_key(&self, message: &Message, submissions: &[Submission]) -> bool {
        let submitted = submissions
            .iter()
            .filter(|submission| submission.has_identity_of(message))
            .map(|submission| &submission.message);
        let stored = self.with_identity_of(message);
        submitted
            .chain(stored.map(|(_, record)| &record.message))
            .any(|known| known.idempotency_key != message.idempotency_key)
    }

    fn with_identity_of<'a>(
        &'a self,
        message: &'a Message,
    ) -> impl Iterator<Item = (MessageId, &'a MessageRecord)> {
        let stored = self.store.with_identity(&message.identity);
        stored.filter(|(_, record)| share_identities(&record.message, message))
    }

    fn repeated_messages<'a>(&'a self, message: &'a Message) -> RepeatedMessages<'a> {
        let by_identity = self.with_identity_of(message);
        let by_key = deduplication_key(message)
            .into_iter()
            .flat_map(|key| self.store.with_idempotency_key(message.destination, key));
        by_identity.chain(by_key).collect()
    }

    fn finished_recently(&self, message: &Message) -> bool {
        message.origin != Origin::CloudEvents
            && self
                .recent_completions
                .execution(&message.identity)
                .is_some()
    }
}

/// Returns the message whose state is that of all its repeats: the newest one. A message that was not returned counts before
/// later ones, which only a journal of an earlier version can contain.
fn deciding_message<'a>(repeated: &RepeatedMessages<'a>) -> Option<(MessageId, &'a MessageRecord)> {
    let newest_first = || repeated.iter().rev().map(|(id, record)| (*id, *record));
    let is_returned = |record: &MessageRecord| {
        record
            .completion()
            .is_some_and(|completion| matches!(completion.outcome, FinalOutcome::Returned { .. }))
    };
    newest_first()
        .find(|(_, record)| !is_returned(record))
        .or_else(|| newest_first().next())
}

fn first_possibly_executed<'a>(repeated: &RepeatedMessages<'a>) -> Option<&'a AttemptRecord> {
    let attempts = repeated
        .values()
        .filter_map(|record| record.first_possibly_executed());
    attempts.min_by_key(|attempt| attempt.started_ms)
}

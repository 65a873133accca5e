//! The submissions of a step, and the results of looking up a submitted message.

use crate::core::message_record::AttemptRecord;
use crate::core::{FinalOutcome, Message, MessageId, Origin};
use std::rc::Rc;

/// A message that was submitted in the current batch and is not accepted yet.
pub(super) struct Submission {
    pub(super) id: MessageId,
    pub(super) message: Rc<Message>,
    /// The first attempt of an earlier submission of this message that may have been executed.
    pub(super) first_possible_execution: Option<AttemptRecord>,
    /// Other identities under which the message was submitted in the same batch.
    pub(super) aliases: Vec<Vec<u8>>,
}

/// The result of looking up a submitted message among the known ones.
pub(super) enum Lookup {
    /// The message is new, or is submitted again after it was returned.
    New {
        /// The first attempt of the returned submissions that may have been executed. Its deduplication window still limits
        /// further attempts.
        first_possible_execution: Option<AttemptRecord>,
    },
    /// The message is already open, or its outcome has not been reported yet.
    Open(MessageId),
    /// The message has its final outcome.
    Finished(MessageId, FinalOutcome),
    /// The message was submitted with another idempotency key before, or finished recently.
    Conflict,
}

impl Submission {
    /// Returns whether the message was submitted under the identity of another one in this batch.
    pub(super) fn has_identity_of(&self, message: &Message) -> bool {
        let mut identities = self.aliases.iter().chain([&self.message.identity]);
        share_identities(&self.message, message)
            && identities.any(|identity| *identity == message.identity)
    }

    /// Returns whether a message repeats this one: same identity, or same deduplication key and destination.
    pub(super) fn is_repeated_by(&self, message: &Message) -> bool {
        let key = deduplication_key(message);
        let same_key = key.is_some() && self.message.idempotency_key.as_ref() == key;
        self.has_identity_of(message) || self.message.destination == message.destination && same_key
    }
}

/// Returns the key by which a submission is recognised as a repeat, in addition to its identity. Only events can have one.
pub(super) fn deduplication_key(message: &Message) -> Option<&Vec<u8>> {
    message
        .idempotency_key
        .as_ref()
        .filter(|_| message.origin == Origin::CloudEvents)
}

/// Returns whether the same identity means the same message for both. The identity of an event holds at its destination: the
/// same event for another destination is another message. A message of the platform has an identity of its own everywhere.
pub(super) fn share_identities(known: &Message, message: &Message) -> bool {
    let are_events = known.origin == Origin::CloudEvents && message.origin == Origin::CloudEvents;
    !are_events || known.destination == message.destination
}

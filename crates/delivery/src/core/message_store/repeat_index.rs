//! The index of the stored messages by which repeats of a message are recognised: by identity, and by idempotency key at a
//! destination.
//!
//! Several messages can share an identity or a key, as a message that was returned stays stored beside the one that
//! supersedes it. The index depends only on the stored messages, and not on the order in which they were added.

use crate::core::message_record::MessageRecord;
use crate::core::MessageId;
use marblefall_scheduler::DestinationId;
use std::collections::BTreeSet;

const MIN_ID: MessageId = MessageId(u64::MIN);
const MAX_ID: MessageId = MessageId(u64::MAX);

/// The messages by identity and by idempotency key. Later messages have higher ids.
#[derive(Default)]
pub(super) struct RepeatIndex {
    identities: BTreeSet<(Vec<u8>, MessageId)>,
    idempotency_keys: BTreeSet<(DestinationId, Vec<u8>, MessageId)>,
}

impl RepeatIndex {
    /// Adds a message with its aliases and its key.
    pub fn insert(&mut self, id: MessageId, record: &MessageRecord) {
        for identity in record.identities() {
            self.add_identity(id, identity);
        }
        if let Some(key) = &record.message.idempotency_key {
            let entry = (record.message.destination, key.clone(), id);
            self.idempotency_keys.insert(entry);
        }
    }

    /// Adds a further identity of a message.
    pub fn add_identity(&mut self, id: MessageId, identity: &[u8]) {
        self.identities.insert((identity.to_vec(), id));
    }

    /// Removes a message with its aliases and its key.
    pub fn remove(&mut self, id: MessageId, record: &MessageRecord) {
        for identity in record.identities() {
            self.identities.remove(&(identity.to_vec(), id));
        }
        if let Some(key) = &record.message.idempotency_key {
            let entry = (record.message.destination, key.clone(), id);
            self.idempotency_keys.remove(&entry);
        }
    }

    /// Returns the messages with an identity, also as an alias, the newest last.
    pub fn with_identity(
        &self,
        identity: &[u8],
    ) -> impl DoubleEndedIterator<Item = MessageId> + '_ {
        let entries = (identity.to_vec(), MIN_ID)..=(identity.to_vec(), MAX_ID);
        self.identities.range(entries).map(|(_, id)| *id)
    }

    /// Returns the messages with an idempotency key at a destination, the newest last.
    pub fn with_idempotency_key(
        &self,
        destination: DestinationId,
        key: &[u8],
    ) -> impl DoubleEndedIterator<Item = MessageId> + '_ {
        let entries = (destination, key.to_vec(), MIN_ID)..=(destination, key.to_vec(), MAX_ID);
        self.idempotency_keys.range(entries).map(|(_, _, id)| *id)
    }
}

//! The indexes of the store by identity and idempotency key, and its counts and sizes.

use super::MessageStore;
use crate::core::MessageId;

impl MessageStore {
    /// Adds a stored message to the indexes, counts and sizes.
    pub(super) fn index(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let message = record.message.clone();
        self.live_bytes += record.estimated_journal_bytes();
        self.open_count += usize::from(record.is_open());
        self.identities.insert(message.identity.clone(), id);
        for alias in &record.aliases {
            self.identities.insert(alias.clone(), id);
        }
        if let Some(key) = &message.idempotency_key {
            self.idempotency_keys
                .insert((message.destination, key.clone()), id);
        }
        if !record.is_open() && !record.has_pending_notice() {
            self.retain(id);
        }
    }

    /// Removes a stored message from the indexes, counts and sizes.
    pub(super) fn unindex(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let message = record.message.clone();
        let bytes = record.estimated_journal_bytes();
        let retain_until_ms = record
            .completion()
            .map_or(0, |completion| completion.retain_until_ms);
        self.open_count -= usize::from(record.is_open());
        if self.retained.remove(&(retain_until_ms, id)) {
            self.retained_bytes = self.retained_bytes.saturating_sub(bytes);
        }
        self.live_bytes = self.live_bytes.saturating_sub(bytes);
        for identity in record.aliases.iter().chain([&message.identity]) {
            if self.identities.get(identity) == Some(&id) {
                self.identities.remove(identity);
            }
        }
        let key = message
            .idempotency_key
            .as_ref()
            .map(|key| (message.destination, key.clone()));
        if let Some(key) = key.filter(|key| self.idempotency_keys.get(key) == Some(&id)) {
            self.idempotency_keys.remove(&key);
        }
        self.segments.remove(&id);
    }

    /// Adds a finished message without a pending notice to the retained messages.
    pub(super) fn retain(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let Some(completion) = record.completion() else {
            return;
        };
        if self.retained.insert((completion.retain_until_ms, id)) {
            self.retained_bytes += record.estimated_journal_bytes();
        }
    }
}

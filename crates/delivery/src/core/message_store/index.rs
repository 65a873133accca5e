//! Adds messages to the index of repeats, the counts and the sizes of the store, and removes them.

use super::MessageStore;
use crate::core::MessageId;

impl MessageStore {
    /// Adds a stored message to the index, counts and sizes.
    pub(super) fn index(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        self.live_bytes += record.estimated_journal_bytes();
        self.open_count += usize::from(record.is_open());
        self.repeats.insert(id, record);
        if !record.is_open() && !record.has_pending_notice() {
            self.retain(id);
        }
    }

    /// Removes a stored message from the index, counts and sizes.
    pub(super) fn unindex(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let bytes = record.estimated_journal_bytes();
        let retain_until_ms = record
            .completion()
            .map_or(0, |completion| completion.retain_until_ms);
        self.open_count -= usize::from(record.is_open());
        if self.retained.remove(&(retain_until_ms, id)) {
            self.retained_bytes = self.retained_bytes.saturating_sub(bytes);
        }
        self.live_bytes = self.live_bytes.saturating_sub(bytes);
        self.repeats.remove(id, record);
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

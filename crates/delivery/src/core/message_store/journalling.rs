//! How the store writes its journal: records that fail are written again later, and old segments are compacted.

use super::MessageStore;
use crate::core::journal_record::{BackoffRecord, JournalRecord, NO_MESSAGE};
use crate::core::MessageId;
use std::io;

/// Space left free behind each record, in bytes.
const APPEND_MARGIN_BYTES: u64 = 1024;

impl MessageStore {
    /// Applies a record to a message in memory, and journals it. A record that the journal does not accept is in force all
    /// the same, and is journalled later by [`MessageStore::retry_unwritten`].
    pub(super) fn update(&mut self, id: MessageId, record: JournalRecord) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        let bytes = record.encode(id, &self.class_names);
        record.apply(id, &mut self.messages);
        if self.unwritten.contains(&id) {
            // After a missing record, this one alone would be applied to another state.
            return self.journal_full_record(id);
        }
        let written = self.write(&bytes);
        if written.is_err() {
            self.unwritten.insert(id);
        }
        written.map(|_| ())
    }

    /// Whether there are records that the journal did not accept.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Whether the journal did not accept the last record of a message.
    pub fn is_unwritten(&self, id: MessageId) -> bool {
        self.unwritten.contains(&id)
    }

    /// Journals the messages whose records the journal did not accept.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The next call continues.
    pub fn retry_unwritten(&mut self) -> io::Result<()> {
        while let Some(id) = self.unwritten.first().copied() {
            self.journal_full_record(id)?;
        }
        Ok(())
    }

    /// Journals the full record of a message, in place of the records that the journal did not accept.
    pub(super) fn journal_full_record(&mut self, id: MessageId) -> io::Result<()> {
        let stored = self.messages.get(&id).cloned();
        let is_stored = stored.is_some();
        let record = stored.map_or(JournalRecord::Removed, JournalRecord::Message);
        let segment = self.write(&record.encode(id, &self.class_names))?;
        if is_stored {
            self.segments.insert(id, segment);
        }
        self.unwritten.remove(&id);
        Ok(())
    }

    /// Writes a record, and returns its segment. The journal is compacted first if the record would not fit.
    pub(super) fn write(&mut self, payload: &[u8]) -> io::Result<u64> {
        for _ in 0..self.journal.segment_count() {
            let fits = self.journal.size() + payload.len() as u64 <= self.compact_above;
            if fits || self.handed_over || !self.compact()? {
                break;
            }
        }
        if self.journal.size() + payload.len() as u64 + APPEND_MARGIN_BYTES > self.hard_limit {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's folder is full",
            ));
        }
        self.journal.append(payload)
    }

    /// Copies the live records of the oldest segment forward and removes it; returns whether there was one.
    fn compact(&mut self) -> io::Result<bool> {
        let Some(oldest) = self.journal.oldest() else {
            return Ok(false);
        };
        let in_oldest = self
            .segments
            .iter()
            .filter(|(_, segment)| **segment == oldest);
        let live: Vec<MessageId> = in_oldest.map(|(id, _)| *id).collect();
        for id in live {
            let record = JournalRecord::Message(self.messages[&id].clone());
            let segment = self.journal.append(&record.encode(id, &self.class_names))?;
            self.segments.insert(id, segment);
        }
        self.copy_backoffs_forward()?;
        self.journal.remove_oldest()?;
        Ok(true)
    }

    /// Writes all backoffs again, as their records may be in the oldest segment. There is at most one for each endpoint.
    fn copy_backoffs_forward(&mut self) -> io::Result<()> {
        for ((destination, endpoint), until_ms) in self.backoffs.clone() {
            let record = JournalRecord::Backoff(BackoffRecord {
                destination,
                endpoint,
                until_ms,
            });
            self.journal
                .append(&record.encode(NO_MESSAGE, &self.class_names))?;
        }
        Ok(())
    }
}

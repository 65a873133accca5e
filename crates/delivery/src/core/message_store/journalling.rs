//! Writes the journal of the store: retries records that could not be written, and compacts old segments.

use super::MessageStore;
use crate::core::journal_record::{BackoffRecord, JournalRecord, NO_MESSAGE};
use crate::core::MessageId;
use std::io;

/// Space that must remain free after each record, in bytes.
const APPEND_MARGIN_BYTES: u64 = 1024;

impl MessageStore {
    /// Applies a record to a message in memory, and journals it. A record that cannot be journalled is still in force, and
    /// [`MessageStore::retry_unwritten`] journals it later.
    pub(super) fn update(&mut self, id: MessageId, record: JournalRecord) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        let bytes = record.encode(id, &self.class_names);
        record.apply(id, &mut self.messages);
        if self.unwritten.contains(&id) {
            // An earlier record of this message is missing, so a replay would apply this record to the wrong state.
            return self.journal_full_record(id);
        }
        let result = self.write(&bytes);
        if result.is_err() {
            self.unwritten.insert(id);
        }
        result.map(|_| ())
    }

    /// Returns whether some records could not be journalled.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns whether the latest record of a message could not be journalled.
    pub fn is_unwritten(&self, id: MessageId) -> bool {
        self.unwritten.contains(&id)
    }

    /// Journals the messages whose latest records could not be journalled.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The next call continues.
    pub fn retry_unwritten(&mut self) -> io::Result<()> {
        while let Some(id) = self.unwritten.first().copied() {
            self.journal_full_record(id)?;
        }
        Ok(())
    }

    /// Journals the full record of a message, in place of its records that could not be journalled.
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

    /// Writes a record, and returns the number of its segment. Compacts the journal first if the record would not fit.
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
                "the journal has reached its maximum size",
            ));
        }
        self.journal.append(payload)
    }

    /// Copies the live records of the oldest segment to the end of the journal and removes the segment. Returns whether
    /// there was a segment to remove.
    ///
    /// An older segment remains while a running predecessor writes to it. What supersedes the records in it is copied as
    /// well, as it may be in the segment that is removed.
    fn compact(&mut self) -> io::Result<bool> {
        let Some(oldest) = self.journal.oldest() else {
            return Ok(false);
        };
        let until_oldest = self
            .segments
            .iter()
            .filter(|(_, segment)| **segment <= oldest);
        let live: Vec<MessageId> = until_oldest.map(|(id, _)| *id).collect();
        for id in live {
            let record = JournalRecord::Message(self.messages[&id].clone());
            let segment = self.journal.append(&record.encode(id, &self.class_names))?;
            self.segments.insert(id, segment);
        }
        self.copy_removals_forward(oldest)?;
        self.copy_backoffs_forward()?;
        self.journal.remove_oldest()?;
        self.followed_records.segment_removed(oldest);
        Ok(true)
    }

    /// Writes the removals again that may be in no segment after `oldest`, and that supersede records in a segment which
    /// remains.
    fn copy_removals_forward(&mut self, oldest: u64) -> io::Result<()> {
        for id in self.followed_records.removals_until(oldest) {
            let removal = JournalRecord::Removed.encode(id, &self.class_names);
            let segment = self.journal.append(&removal)?;
            self.followed_records.removal_copied(id, segment);
        }
        Ok(())
    }

    /// Writes all backoffs again, as their records may be in a segment that is removed, or of an earlier generation. Each
    /// endpoint has at most one.
    pub(super) fn copy_backoffs_forward(&mut self) -> io::Result<()> {
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

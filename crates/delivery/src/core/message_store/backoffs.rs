//! The backoffs that endpoints requested, which a successor must respect.

use super::MessageStore;
use crate::core::journal_record::{BackoffRecord, JournalRecord, NO_MESSAGE};
use marblefall_scheduler::DestinationId;
use std::collections::BTreeMap;
use std::io;

impl MessageStore {
    /// Journals a backoff that an endpoint requested until a Unix time in milliseconds. The longest one is in force.
    ///
    /// # Errors
    /// The journal is full or cannot be written. It is in force for this incarnation all the same.
    pub fn record_backoff(
        &mut self,
        destination: DestinationId,
        endpoint: String,
        until_ms: i64,
    ) -> io::Result<()> {
        let longest = self
            .backoffs
            .entry((destination, endpoint.clone()))
            .or_insert(i64::MIN);
        *longest = until_ms.max(*longest);
        let record = JournalRecord::Backoff(BackoffRecord {
            destination,
            endpoint,
            until_ms: *longest,
        });
        self.write(&record.encode(NO_MESSAGE, &self.class_names))
            .map(|_| ())
    }

    /// The ends of the backoffs that endpoints requested, as Unix times in milliseconds. Some may have passed.
    pub fn backoffs(&self) -> &BTreeMap<(DestinationId, String), i64> {
        &self.backoffs
    }
}

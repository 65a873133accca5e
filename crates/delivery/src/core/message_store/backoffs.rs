//! The backoffs that endpoints requested. They are journalled, as a successor must respect them.

use super::MessageStore;
use crate::core::journal_record::{BackoffRecord, JournalRecord, NO_MESSAGE};
use marblefall_scheduler::DestinationId;
use std::collections::BTreeMap;
use std::io;

impl MessageStore {
    /// Journals a backoff that an endpoint requested until a Unix time in milliseconds. The backoff that ends last is in
    /// force.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The backoff is still in force in this incarnation.
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

    /// Returns the end of the backoff that each endpoint requested, as Unix time in milliseconds. It may have passed.
    pub fn backoffs(&self) -> &BTreeMap<(DestinationId, String), i64> {
        &self.backoffs
    }
}

//! The records that an incarnation journals for its successor.

use super::takeover::AFTER_HANDOVER_BYTES;
use super::MessageStore;
use crate::core::journal_record::{AttemptReport, JournalRecord, RouteRecord, NO_MESSAGE};
use std::io;

impl MessageStore {
    /// Hands over to a successor, which follows the journal from now on, and journals the states of routes for it. Later
    /// records are written to a new segment, and no segment is removed any more.
    ///
    /// # Errors
    /// The journal cannot be written. The handover takes effect regardless.
    pub fn hand_over(&mut self, routes: Vec<RouteRecord>) -> io::Result<()> {
        // The successor never sees records that cannot be journalled now.
        let _ = self.retry_unwritten();
        self.handed_over = true;
        self.hard_limit = self.journal.size() + AFTER_HANDOVER_BYTES;
        self.journal.roll()?;
        for route in routes {
            self.write(&JournalRecord::Route(route).encode(NO_MESSAGE, &self.class_names))?;
        }
        Ok(())
    }

    /// Journals the result of an attempt of this incarnation, as a report to the active incarnation.
    ///
    /// # Errors
    /// The journal is full or cannot be written.
    pub fn report_attempt(&mut self, report: AttemptReport) -> io::Result<()> {
        let id = report.result.message_id;
        let record = JournalRecord::AttemptReported(Box::new(report));
        self.write(&record.encode(id, &self.class_names))
            .map(|_| ())
    }
}

//! What an incarnation journals for the one that takes over from it.

use super::takeover::AFTER_HANDOVER_BYTES;
use super::MessageStore;
use crate::core::journal_record::{AttemptReport, JournalRecord, RouteRecord, NO_MESSAGE};
use std::io;

impl MessageStore {
    /// Hands over to an incarnation that reads the journal from now on, and journals the states of routes for it. Later
    /// records are written to a segment of their own, and no segment is removed any more.
    ///
    /// # Errors
    /// The journal cannot be written. It is handed over all the same.
    pub fn hand_over(&mut self, routes: Vec<RouteRecord>) -> io::Result<()> {
        // What is not journalled now is lost to the successor.
        let _ = self.retry_unwritten();
        self.handed_over = true;
        self.hard_limit = self.journal.size() + AFTER_HANDOVER_BYTES;
        self.journal.roll()?;
        for route in routes {
            self.write(&JournalRecord::Route(route).encode(NO_MESSAGE, &self.class_names))?;
        }
        Ok(())
    }

    /// Reports the result of an attempt of this incarnation to the one that is active now.
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

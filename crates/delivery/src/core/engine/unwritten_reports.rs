//! Results of attempts that the journal did not accept.
//!
//! While this incarnation is active, the messages' records are written again until the journal accepts them. Once it has
//! handed over, the messages belong to the active incarnation, and the results are reported to it instead. Without them, the
//! active incarnation would treat the results of delivered attempts as unknown.

use super::unjournalled::JOURNAL_RETRY_INTERVAL;
use super::{log_journal_error, AttemptResult, Engine, EngineCommand};
use crate::core::journal_record::AttemptReport;
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;

impl Engine {
    /// Creates the report of an attempt's result.
    fn attempt_report(&self, now: Timestamp, result: &AttemptResult) -> AttemptReport {
        let class = self
            .store
            .get(result.message_id)
            .map(|record| record.message.class);
        let retention_ms = class.map_or(0, |class| self.policy.retention_ms(class));
        AttemptReport {
            result: *result,
            retain_until_ms: now.unix_ms + retention_ms,
        }
    }

    /// Stores a result that the journal did not accept.
    pub(super) fn store_unwritten_report(&mut self, now: Timestamp, result: &AttemptResult) {
        let report = self.attempt_report(now, result);
        self.unwritten_reports.insert(result.message_id, report);
    }

    /// Drops the results of messages whose records the journal has accepted since.
    pub(super) fn drop_written_reports(&mut self) {
        let store = &self.store;
        self.unwritten_reports
            .retain(|id, _| store.is_unwritten(*id));
    }

    /// Reports the result of an attempt to the active incarnation. If the journal does not accept the report, it is retried
    /// later.
    pub(super) fn report_result(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.store_unwritten_report(now, result);
        self.journal_retry_at = now.monotonic;
        self.retry_unwritten_reports(now, commands);
    }

    /// If a retry is due, reports the results that the journal did not accept.
    pub(super) fn retry_unwritten_reports(
        &mut self,
        now: Timestamp,
        commands: &mut Vec<EngineCommand>,
    ) {
        if now.monotonic < self.journal_retry_at {
            return;
        }
        while let Some((id, report)) = self.unwritten_reports.pop_first() {
            let reported = self.store.report_attempt(report);
            let is_reported = reported.is_ok();
            log_journal_error(reported, commands);
            if !is_reported {
                self.unwritten_reports.insert(id, report);
                self.journal_retry_at = now.monotonic + JOURNAL_RETRY_INTERVAL;
                return;
            }
        }
    }

    /// Returns the time of the next retry, if there are results that the journal did not accept.
    pub(super) fn next_report_retry(&self) -> Option<scheduler::Time> {
        (!self.unwritten_reports.is_empty()).then_some(self.journal_retry_at)
    }

    /// Returns whether there are results of attempts that the journal did not accept.
    pub fn has_unwritten_reports(&self) -> bool {
        !self.unwritten_reports.is_empty()
    }
}

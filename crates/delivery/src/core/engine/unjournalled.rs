//! Records that the journal does not accept while its disk is full or fails. They are written again until it succeeds.
//!
//! An attempt that is not in the journal is not sent. It is not reported to the scheduler as unsent either, which would
//! choose it again at once and use up the message's attempts. It waits here until the journal accepts it.

use super::shutdown::LAST_ATTEMPT_BEFORE_END;
use super::{log_journal_error, Engine, EngineCommand, STEP_TIMER};
use crate::core::{MessageId, Timestamp};
use marblefall_scheduler as m;

/// Delay before a journal that failed is written again.
const RETRY_INTERVAL: m::Span = m::Span(20_000);

/// An attempt that was chosen and is not in the journal yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnjournalledAttempt {
    pub(super) message: MessageId,
    pub(super) endpoint: m::EndpointId,
    pub(super) timeout_at: m::Time,
}

impl Engine {
    /// Defers an attempt until the journal accepts it.
    pub(super) fn defer_unjournalled(&mut self, now: Timestamp, attempt: UnjournalledAttempt) {
        self.unjournalled.push(attempt);
        self.wake_for_journal(now);
    }

    /// Has the engine stepped when the journal is to be written again. There is one timer at a time, however many steps
    /// find the journal failing.
    fn wake_for_journal(&mut self, now: Timestamp) {
        if self.journal_retry_at <= now.monotonic {
            self.journal_retry_at = now.monotonic + RETRY_INTERVAL;
            self.timers.insert((self.journal_retry_at, STEP_TIMER));
        }
    }

    /// Writes again what the journal did not accept, and starts the attempts that wait for it, if that is due.
    pub(super) fn retry_journal(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if now.monotonic < self.journal_retry_at {
            return;
        }
        if self.store.has_unwritten() {
            let written = self.store.retry_unwritten();
            if written.is_err() {
                self.wake_for_journal(now);
            }
            log_journal_error(written, commands);
        }
        for attempt in std::mem::take(&mut self.unjournalled) {
            let is_open = self
                .store
                .get(attempt.message)
                .is_some_and(|record| record.is_open());
            let is_late = now.monotonic >= attempt.timeout_at
                || self.ends_within(now, LAST_ATTEMPT_BEFORE_END);
            if !is_open || is_late {
                self.report_not_sent(now, attempt.message);
            } else {
                self.start_attempt(now, attempt, commands);
            }
        }
    }

    /// Cancels a message's attempt that waits for the journal; returns whether there was one.
    pub(super) fn cancel_unjournalled(&mut self, now: Timestamp, message: MessageId) -> bool {
        let before = self.unjournalled.len();
        self.unjournalled
            .retain(|attempt| attempt.message != message);
        let is_cancelled = self.unjournalled.len() < before;
        if is_cancelled {
            self.report_not_sent(now, message);
        }
        is_cancelled
    }

    /// Reports to the scheduler that an attempt was not sent after all.
    pub(super) fn report_not_sent(&mut self, now: Timestamp, message: MessageId) {
        let attempts = self.store.get(message).map_or(0, |record| record.attempts);
        self.backlog.push(m::Event::AttemptFinished {
            message,
            attempt: m::AttemptNumber(attempts),
            outcome: m::Outcome::NotSent,
            duration: m::Span::ZERO,
            is_final: false,
            rate_limit: m::RateLimitReport::default(),
        });
        self.timers.insert((now.monotonic, STEP_TIMER));
    }
}

//! What the journal does not take for a while: the disk may be full or fail, and is asked again until it works.
//!
//! An attempt that is not in the journal must not go out. It is not reported back to the scheduler either, which would
//! choose it again at once and use up the message's attempts: it waits here, chosen and not started.

use super::{log_journal_error, Engine, EngineCommand, LAST_ATTEMPT_BEFORE_END, STEP_TIMER};
use crate::core::{MessageId, Timestamp};
use marblefall_scheduler as m;

/// How often a journal that failed is asked again.
const RETRY_INTERVAL: m::Span = m::Span(20_000);

/// An attempt that was chosen and is not in the journal yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnjournalledAttempt {
    pub(super) message: MessageId,
    pub(super) endpoint: m::EndpointId,
    pub(super) timeout_at: m::Time,
}

impl Engine {
    /// Keeps an attempt until the journal takes it.
    pub(super) fn keep_unjournalled(&mut self, now: Timestamp, attempt: UnjournalledAttempt) {
        self.unjournalled.push(attempt);
        self.wake_for_journal(now);
    }

    /// Has the engine stepped when the journal is next asked: one timer at a time, however many steps find it failing.
    fn wake_for_journal(&mut self, now: Timestamp) {
        if self.journal_retry_at <= now.monotonic {
            self.journal_retry_at = now.monotonic + RETRY_INTERVAL;
            self.timers.insert((self.journal_retry_at, STEP_TIMER));
        }
    }

    /// Asks the journal again for what it did not take, once that is due.
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

    /// Drops the attempt of a message that waits for the journal; returns whether there was one.
    pub(super) fn drop_unjournalled(&mut self, now: Timestamp, message: MessageId) -> bool {
        let before = self.unjournalled.len();
        self.unjournalled
            .retain(|attempt| attempt.message != message);
        let is_dropped = self.unjournalled.len() < before;
        if is_dropped {
            self.report_not_sent(now, message);
        }
        is_dropped
    }

    /// Tells the scheduler that an attempt was not sent after all.
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

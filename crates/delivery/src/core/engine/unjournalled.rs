//! Retries records that the journal does not accept because its disk is full or failing.
//!
//! A final outcome that is not in the journal is not reported, unless it is a delivery. Otherwise the next incarnation would
//! find the message open and could deliver it, while its client already acts on the outcome. The report is deferred until
//! the journal accepts the outcome, or until the message expires, because no incarnation attempts it after that.
//!
//! An attempt that is not in the journal is not sent. It is not reported to the scheduler as unsent either, because the
//! scheduler would select the message again immediately and use up its attempts. The attempt is deferred until the journal
//! accepts it.

use super::shutdown::ATTEMPT_CUTOFF_BEFORE_SHUTDOWN;
use super::{log_journal_error, Engine, EngineCommand, STEP_TIMER_TOKEN};
use crate::core::{FinalOutcome, MessageId, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeMap;

/// Delay before records that the journal did not accept are written again.
pub(super) const JOURNAL_RETRY_INTERVAL: scheduler::Span = scheduler::Span(20_000);

/// An attempt that the scheduler has selected but that is not in the journal yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectedAttempt {
    pub(super) message: MessageId,
    pub(super) endpoint: scheduler::EndpointId,
    pub(super) timeout_at: scheduler::Time,
}

/// A final outcome that is neither in the journal nor reported.
#[derive(Clone, Copy, Debug)]
struct DeferredOutcome {
    outcome: FinalOutcome,
    /// The expiry of the message, as Unix time in milliseconds.
    expires_ms: i64,
}

/// Final outcomes that are not reported until the journal accepts them, by message.
#[derive(Debug, Default)]
pub(super) struct UnjournalledOutcomes(BTreeMap<MessageId, DeferredOutcome>);

impl UnjournalledOutcomes {
    /// Returns whether no outcome waits for the journal.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the outcome of a message waits for the journal.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.0.contains_key(&id)
    }

    /// Drops all outcomes.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Engine {
    /// Defers the report of a final outcome until the journal accepts it or its message expires.
    pub(super) fn defer_outcome(
        &mut self,
        now: Timestamp,
        id: MessageId,
        outcome: FinalOutcome,
        expires_ms: i64,
    ) {
        let deferred = DeferredOutcome {
            outcome,
            expires_ms,
        };
        self.unjournalled_outcomes.0.insert(id, deferred);
        self.schedule_journal_retry(now);
    }

    /// Reports the deferred outcomes that the journal has accepted since, and those of messages that have expired.
    fn report_deferred_outcomes(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        let all = std::mem::take(&mut self.unjournalled_outcomes.0);
        let (waiting, due): (BTreeMap<_, _>, BTreeMap<_, _>) =
            all.into_iter().partition(|(id, deferred)| {
                self.store.is_unwritten(*id) && now.unix_ms < deferred.expires_ms
            });
        self.unjournalled_outcomes.0 = waiting;
        for (id, deferred) in due {
            self.report_outcome(now, id, deferred.outcome, commands);
        }
    }

    /// Defers an attempt until the journal accepts it.
    pub(super) fn defer_attempt(&mut self, now: Timestamp, attempt: SelectedAttempt) {
        self.unjournalled_attempts.push(attempt);
        self.schedule_journal_retry(now);
    }

    /// Schedules a step for the next write to the journal. There is one timer at a time, however many steps fail to write
    /// to the journal.
    fn schedule_journal_retry(&mut self, now: Timestamp) {
        if self.journal_retry_at <= now.monotonic {
            self.journal_retry_at = now.monotonic + JOURNAL_RETRY_INTERVAL;
            self.timers
                .insert((self.journal_retry_at, STEP_TIMER_TOKEN));
        }
    }

    /// If a retry is due, rewrites the records that the journal did not accept and starts the deferred attempts.
    pub(super) fn retry_journal(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if now.monotonic < self.journal_retry_at {
            return;
        }
        self.retry_records(now, commands);
        for attempt in std::mem::take(&mut self.unjournalled_attempts) {
            let is_open = self
                .store
                .get(attempt.message)
                .is_some_and(|record| record.is_open());
            let is_late = now.monotonic >= attempt.timeout_at
                || self.ends_within(now, ATTEMPT_CUTOFF_BEFORE_SHUTDOWN);
            if !is_open || is_late {
                self.report_not_sent(now, attempt.message);
            } else {
                self.start_attempt(now, attempt, commands);
            }
        }
    }

    /// Rewrites the records that the journal did not accept, and reports the outcomes that it accepts now.
    fn retry_records(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if self.store.has_unwritten() {
            let written = self.store.retry_unwritten();
            if written.is_err() {
                self.schedule_journal_retry(now);
            }
            log_journal_error(written, commands);
        }
        self.drop_written_reports();
        self.report_deferred_outcomes(now, commands);
    }

    /// If a retry is due, rewrites the records that the journal did not accept. An engine without the lease starts no
    /// attempts.
    pub(super) fn retry_journal_without_lease(
        &mut self,
        now: Timestamp,
        commands: &mut Vec<EngineCommand>,
    ) {
        if !self.unjournalled_outcomes.is_empty() && now.monotonic >= self.journal_retry_at {
            self.retry_records(now, commands);
        }
    }

    /// Cancels the deferred attempt of a message. Returns whether there was one.
    pub(super) fn cancel_deferred_attempt(&mut self, now: Timestamp, message: MessageId) -> bool {
        let before = self.unjournalled_attempts.len();
        self.unjournalled_attempts
            .retain(|attempt| attempt.message != message);
        let is_cancelled = self.unjournalled_attempts.len() < before;
        if is_cancelled {
            self.report_not_sent(now, message);
        }
        is_cancelled
    }

    /// Reports to the scheduler that an attempt that it selected was not sent.
    pub(super) fn report_not_sent(&mut self, now: Timestamp, message: MessageId) {
        let attempts = self.store.get(message).map_or(0, |record| record.attempts);
        self.backlog.push(scheduler::Event::AttemptFinished {
            message,
            attempt: scheduler::AttemptNumber(attempts),
            outcome: scheduler::Outcome::NotSent,
            duration: scheduler::Span::ZERO,
            is_final: false,
            rate_limit: scheduler::RateLimitReport::default(),
        });
        self.timers.insert((now.monotonic, STEP_TIMER_TOKEN));
    }
}

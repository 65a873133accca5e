//! Reads new journal records of predecessors that have handed over but are still running.

use super::recovery::RecordedAttempt;
use super::repeated_identities::EarlierMessages;
use super::{log_journal_error, AttemptResult, Engine, EngineCommand, EngineEvent};
use crate::core::journal::Generation;
use crate::core::message_store::PredecessorEvent;
use crate::core::{Disposition, MessageId, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;

/// The messages whose attempt is in flight at a predecessor.
#[derive(Clone, Debug, Default)]
pub(super) struct PredecessorAttempts {
    /// Messages that have been passed to the scheduler as in flight.
    scheduled: BTreeSet<MessageId>,
    /// Messages whose endpoint is no longer listed. They are passed to the scheduler only after the attempt has ended.
    unlisted: BTreeSet<MessageId>,
}

impl PredecessorAttempts {
    /// Adds a message that has been passed to the scheduler.
    pub(super) fn insert_scheduled(&mut self, id: MessageId) {
        self.scheduled.insert(id);
    }

    /// Adds a message that is withheld from the scheduler.
    pub(super) fn insert_unlisted(&mut self, id: MessageId) {
        self.unlisted.insert(id);
    }

    /// Removes a message that is withheld from the scheduler. Returns whether it was withheld.
    pub(super) fn remove_unlisted(&mut self, id: MessageId) -> bool {
        self.unlisted.remove(&id)
    }

    /// Records that a message's attempt has a result. Returns whether the attempt was in flight. A message that is withheld
    /// from the scheduler stays withheld until its result is handled.
    fn take_result(&mut self, id: MessageId) -> bool {
        self.scheduled.remove(&id) || self.unlisted.contains(&id)
    }

    /// Takes the messages whose attempt has no result, once no predecessor is running. Those withheld from the scheduler
    /// stay withheld until their results are handled.
    fn take_unreported(&mut self) -> Vec<MessageId> {
        let scheduled = std::mem::take(&mut self.scheduled);
        scheduled
            .into_iter()
            .chain(self.unlisted.iter().copied())
            .collect()
    }

    /// Restores an earlier state, but keeps the messages that have been withheld from the scheduler since.
    pub(super) fn restore(&mut self, earlier: PredecessorAttempts) {
        self.scheduled = earlier.scheduled;
        self.unlisted.extend(earlier.unlisted);
    }
}

impl Engine {
    /// Reads the records that running predecessors have journalled since the last call.
    pub(super) fn follow_predecessors(
        &mut self,
        now: Timestamp,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut predecessor_events = Vec::new();
        log_journal_error(self.store.follow(&mut predecessor_events), commands);
        self.handle_predecessor_events(now, predecessor_events, step_events, commands);
    }

    /// Reads the remaining records of a predecessor that has exited.
    pub(super) fn finish_following(
        &mut self,
        now: Timestamp,
        generation: Generation,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut predecessor_events = Vec::new();
        let read = self
            .store
            .finish_following(generation, &mut predecessor_events);
        let event = EngineEvent::PredecessorExited(generation);
        self.postpone_if_transient(now, event, read.as_ref().err());
        log_journal_error(read, commands);
        self.handle_predecessor_events(now, predecessor_events, step_events, commands);
        if !self.store.is_following() {
            self.reset_predecessor_attempts(now, step_events);
        }
    }

    /// Resumes the messages that predecessors accepted, and appends the results of their attempts to `step_events`, as if
    /// this incarnation had sent them.
    fn handle_predecessor_events(
        &mut self,
        now: Timestamp,
        predecessor_events: Vec<PredecessorEvent>,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        for event in predecessor_events {
            match event {
                PredecessorEvent::Accepted(id)
                    if self.resolve_if_repeated(id, EarlierMessages::All, commands) => {}
                PredecessorEvent::Accepted(id) => {
                    self.resume_message(now, id, RecordedAttempt::Ended, commands);
                }
                PredecessorEvent::AttemptFinished(result) => {
                    if self.predecessor_attempts.take_result(result.message_id) {
                        step_events.push(EngineEvent::AttemptFinished(result));
                    }
                }
            }
        }
    }

    /// Ends the attempts whose results were not reported before the last predecessor exited. They may have been executed,
    /// so they end as connection resets.
    fn reset_predecessor_attempts(&mut self, now: Timestamp, step_events: &mut Vec<EngineEvent>) {
        for id in self.predecessor_attempts.take_unreported() {
            let Some(record) = self.store.get(id) else {
                continue;
            };
            let started_ms = record
                .in_flight()
                .map_or(now.unix_ms, |attempt| attempt.started_ms);
            step_events.push(EngineEvent::AttemptFinished(AttemptResult {
                message_id: id,
                attempt: record.attempts.saturating_sub(1),
                outcome: scheduler::Outcome::Reset,
                duration: now.elapsed_since_unix_ms(started_ms),
                disposition: Disposition::Undecided,
                rate_limit: scheduler::RateLimitReport::default(),
            }));
        }
    }
}

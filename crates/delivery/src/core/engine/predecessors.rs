//! What the active incarnation learns from the journal of predecessors that have handed over and are still running.

use super::recovery::RecordedAttempt;
use super::{log_journal_error, AttemptResult, Engine, EngineCommand, EngineEvent};
use crate::core::journal::Generation;
use crate::core::message_store::PredecessorEvent;
use crate::core::{Disposition, MessageId, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;

/// The messages whose attempt is in flight at a predecessor.
#[derive(Clone, Debug, Default)]
pub(super) struct PredecessorAttempts {
    /// Those that the scheduler knows to be in flight.
    scheduled: BTreeSet<MessageId>,
    /// Those whose endpoint is no longer listed: the scheduler is given the message only when the attempt has ended.
    unlisted: BTreeSet<MessageId>,
}

impl PredecessorAttempts {
    /// Adds a message that the scheduler knows.
    pub(super) fn insert_scheduled(&mut self, id: MessageId) {
        self.scheduled.insert(id);
    }

    /// Adds a message that is withheld from the scheduler.
    pub(super) fn insert_unlisted(&mut self, id: MessageId) {
        self.unlisted.insert(id);
    }

    /// Removes a message that is withheld from the scheduler; returns whether it was.
    pub(super) fn remove_unlisted(&mut self, id: MessageId) -> bool {
        self.unlisted.remove(&id)
    }

    /// Takes the result of a message's attempt; returns whether one was in flight. A message that is withheld from the
    /// scheduler stays so until its result is handled.
    fn take_result(&mut self, id: MessageId) -> bool {
        self.scheduled.remove(&id) || self.unlisted.contains(&id)
    }

    /// All messages, once no predecessor is running. Those withheld from the scheduler stay so until their results are
    /// handled.
    fn take_unreported(&mut self) -> Vec<MessageId> {
        let scheduled = std::mem::take(&mut self.scheduled);
        scheduled
            .into_iter()
            .chain(self.unlisted.iter().copied())
            .collect()
    }

    /// Goes back to an earlier state, but for messages that have been withheld from the scheduler since.
    pub(super) fn restore(&mut self, earlier: PredecessorAttempts) {
        self.scheduled = earlier.scheduled;
        self.unlisted.extend(earlier.unlisted);
    }
}

impl Engine {
    /// Reads what the running predecessors have journalled since the last call.
    pub(super) fn follow_predecessors(
        &mut self,
        now: Timestamp,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut found = Vec::new();
        log_journal_error(self.store.follow(&mut found), commands);
        self.handle_predecessor_events(now, found, step_events, commands);
    }

    /// Reads the rest of what a predecessor journalled that has exited.
    pub(super) fn finish_following(
        &mut self,
        now: Timestamp,
        generation: Generation,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut found = Vec::new();
        let read = self.store.finish_following(generation, &mut found);
        let event = EngineEvent::PredecessorExited(generation);
        self.postpone_if_transient(now, event, read.as_ref().err());
        log_journal_error(read, commands);
        self.handle_predecessor_events(now, found, step_events, commands);
        if !self.store.is_following() {
            self.reset_predecessor_attempts(now, step_events);
        }
    }

    /// Resumes the messages that predecessors accepted, and adds the results of their attempts to the events of the step,
    /// as if this incarnation had sent them.
    fn handle_predecessor_events(
        &mut self,
        now: Timestamp,
        found: Vec<PredecessorEvent>,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        for event in found {
            match event {
                PredecessorEvent::Accepted(id) => {
                    self.resume(now, id, RecordedAttempt::Ended, commands);
                }
                PredecessorEvent::AttemptFinished(result) => {
                    if self.predecessor_attempts.take_result(result.message_id) {
                        step_events.push(EngineEvent::AttemptFinished(result));
                    }
                }
            }
        }
    }

    /// Ends the attempts whose results no predecessor has reported, as none is running: they may have been executed.
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

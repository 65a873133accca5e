//! The last seconds of the process, in which no message is accepted and no attempt is started.
//!
//! A client that is told to submit its event again may submit it to another instance. An event whose client waits
//! therefore gets its final outcome, in the journal, before its client gets a response. Messages whose clients do not wait
//! remain open for the next incarnation.

use super::role::Role;
use super::{log_journal_error, Batch, Engine, EngineCommand, STEP_TIMER_TOKEN};
use crate::core::message_record::{Execution, MessageRecord};
use crate::core::{FinalOutcome, MessageId, Origin, SubmitResponse, Timestamp};
use crate::rules;
use marblefall_scheduler as scheduler;

/// No attempt is started within this time before the process ends.
pub(super) const ATTEMPT_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(1_200_000);
/// No message is accepted within this time before the process ends.
pub(super) const ACCEPTANCE_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(2_200_000);
/// Retry-After of an event that is returned because the process ends.
const RETRY_AFTER_SHUTDOWN: scheduler::Span = scheduler::Span(1_000_000);

impl Engine {
    /// Records the latest time at which the process ends, when no successor is running.
    pub(super) fn prepare_shutdown(&mut self, deadline: scheduler::Time) {
        self.shutdown_at = Some(deadline);
        self.schedule_step_at_attempt_cutoff(deadline);
    }

    /// Records the latest time at which this incarnation ends for a restart, and starts no further attempt.
    pub(super) fn prepare_restart(&mut self, deadline: scheduler::Time) {
        self.shutdown_at = Some(deadline);
        self.attempts_stopped = true;
    }

    /// Returns whether a restart still waits for an attempt, or for the journal to accept an outcome. Other open messages
    /// are continued by the next incarnation.
    pub fn delays_restart(&self) -> bool {
        self.in_flight > 0 || !self.unjournalled_outcomes.is_empty() || self.store.has_unwritten()
    }

    /// Schedules a step at the time from which no attempt may be started any more.
    pub(super) fn schedule_step_at_attempt_cutoff(&mut self, shutdown_at: scheduler::Time) {
        self.timers.insert((
            shutdown_at - ATTEMPT_CUTOFF_BEFORE_SHUTDOWN,
            STEP_TIMER_TOKEN,
        ));
    }

    /// Passes an empty endpoint list to the scheduler, so that it starts no attempt that could not finish in this
    /// incarnation.
    pub(super) fn stop_attempts_before_shutdown(&mut self, batch: &mut Batch<'_>) {
        self.attempts_stopped |= self.ends_within(batch.now, ATTEMPT_CUTOFF_BEFORE_SHUTDOWN);
        if self.attempts_stopped {
            batch
                .scheduler_events
                .push(scheduler::Event::EndpointsReplaced(Vec::new()));
        }
    }

    /// Ends the pending events whose clients wait, once no attempt may be started any more.
    pub(super) fn end_pending_events(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if !self.attempts_stopped {
            return;
        }
        for id in self.awaited_events() {
            self.cancel_deferred_attempt(now, id);
            let is_pending = self
                .store
                .get(id)
                .is_some_and(|record| record.in_flight().is_none());
            if is_pending {
                self.end_event(now, id, commands);
                self.backlog.push(scheduler::Event::Cancelled(id));
            }
        }
    }

    /// Responds to all clients that wait for a message, as the process ends. The engine must not be stepped afterwards.
    ///
    /// Events get their final outcomes. Their attempts in flight may have been executed. Where another incarnation decides,
    /// or the journal does not accept the outcome, the response is [`SubmitResponse::Undetermined`].
    pub fn end(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if self.role == Role::Active {
            for id in self.awaited_events() {
                self.end_attempt_in_flight(id, commands);
                self.end_event(now, id, commands);
            }
        }
        let awaited = std::mem::take(&mut self.waiting_clients).into_iter();
        let undetermined = awaited.filter(|(id, _)| self.store.get(*id).is_some());
        for (_, clients) in undetermined {
            let requests = clients.requests();
            commands.extend(
                requests
                    .map(|request| EngineCommand::Respond(request, SubmitResponse::Undetermined)),
            );
        }
    }

    /// Returns the open events whose clients wait.
    fn awaited_events(&self) -> Vec<MessageId> {
        let awaited = self.waiting_clients.iter();
        awaited
            .filter(|(_, clients)| !clients.is_empty())
            .map(|(id, _)| *id)
            .filter(|id| {
                self.store.get(*id).is_some_and(|record| {
                    record.is_open() && record.message.origin == Origin::CloudEvents
                })
            })
            .collect()
    }

    /// Records that the attempt in flight of a message may have been executed, if there is one.
    fn end_attempt_in_flight(&mut self, id: MessageId, commands: &mut Vec<EngineCommand>) {
        let is_in_flight = self
            .store
            .get(id)
            .is_some_and(|record| record.in_flight().is_some());
        if is_in_flight {
            log_journal_error(
                self.store.attempt_finished(id, Execution::Possible),
                commands,
            );
        }
    }

    fn end_event(&mut self, now: Timestamp, id: MessageId, commands: &mut Vec<EngineCommand>) {
        if let Some(record) = self.store.get(id) {
            let outcome = self.outcome_at_shutdown(now, record);
            self.finish_message(now, id, outcome, commands);
        }
    }

    /// Returns the final outcome of a message without an attempt in flight that this incarnation can no longer deliver.
    fn outcome_at_shutdown(&self, now: Timestamp, record: &MessageRecord) -> FinalOutcome {
        let message = &record.message;
        if now.unix_ms >= message.expires_ms {
            return FinalOutcome::Expired;
        }
        if !rules::may_return(record, self.policy.classes.get(message.class.0)) {
            return FinalOutcome::Failed;
        }
        let first = record.first_possible_execution.as_ref();
        self.outcome_of_rejection(now, message, first, RETRY_AFTER_SHUTDOWN)
    }

    /// Returns whether the process ends within a duration.
    pub(super) fn ends_within(&self, now: Timestamp, duration: scheduler::Span) -> bool {
        self.shutdown_at
            .is_some_and(|end| end - now.monotonic <= duration)
    }
}

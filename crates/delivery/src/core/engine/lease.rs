//! Steps of an engine that does not hold its lease. No new message is accepted and no attempt is started, but the results of
//! attempts are journalled and messages past their deadline expire.

use super::acceptance::REJECTED;
use super::submission::Lookup;
use super::{Batch, Engine, EngineCommand, EngineEvent};
use crate::core::{FinalOutcome, MessageId, Timestamp};
use marblefall_scheduler as scheduler;

/// Maximum deferral of a submission, if its class has no shorter latency objective.
const MAX_DEFERRAL: scheduler::Span = scheduler::Span(3_000_000);
/// Interval at which deferred submissions are checked.
const DEFERRED_CHECK_INTERVAL: scheduler::Span = scheduler::Span(20_000);

/// The state of the lease that permits the engine to act under its policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseState {
    /// The engine holds the lease.
    #[default]
    Held,
    /// The lease is suspended while the policy is being changed. Submissions are deferred.
    Suspended,
    /// The engine does not hold the lease, and it is unknown when it will hold it again. Submissions are rejected.
    Lost,
}

/// An event that was received without the lease and is handled once the lease is held again.
pub(super) struct DeferredEvent {
    received_at: scheduler::Time,
    event: EngineEvent,
}

impl Engine {
    /// Sets the state of the lease, which applies from the next step on.
    pub fn set_lease(&mut self, lease: LeaseState) {
        self.lease = lease;
    }

    /// Executes a step without the scheduler: results of attempts and final outcomes are journalled, submissions are
    /// deferred or rejected, and messages past their deadline expire.
    pub(super) fn step_without_lease(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut batch = Batch::new(now, commands);
        batch.scheduler_events = std::mem::take(&mut self.backlog);
        for event in events {
            self.handle_or_defer(event, &mut batch);
        }
        self.backlog = batch.scheduler_events;
        self.reject_overdue_submissions(now, commands);
        self.expire_messages(now, commands);
        self.retry_journal_without_lease(now, commands);
    }

    fn handle_or_defer(&mut self, event: EngineEvent, batch: &mut Batch<'_>) {
        match event {
            // A repeat needs no scheduling decision. If it were rejected, its client would submit it to another instance
            // while it is pending here.
            EngineEvent::Submitted(_, ref message)
                if !matches!(self.look_up(message, &[]), Lookup::New { .. }) =>
            {
                self.handle_event(event, batch);
            }
            EngineEvent::Submitted(..) => self.defer(event, batch),
            event if event.changes_endpoints() => self.defer(event, batch),
            EngineEvent::ClientGone(request) => {
                self.deferred_events.retain(|deferred| {
                    !matches!(deferred.event, EngineEvent::Submitted(other, _) if other == request)
                });
                self.handle_event(event, batch);
            }
            event => self.handle_event(event, batch),
        }
    }

    fn defer(&mut self, event: EngineEvent, batch: &Batch<'_>) {
        self.deferred_events.push(DeferredEvent {
            received_at: batch.now.monotonic,
            event,
        });
    }

    /// Rejects the submissions that have been deferred for too long, and those that exceed the limit of open messages.
    fn reject_overdue_submissions(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        let mut capacity = self.policy.max_open.saturating_sub(self.store.open_count());
        let is_suspended = self.lease == LeaseState::Suspended;
        let classes = &self.policy.classes;
        self.deferred_events.retain(|deferred| {
            let EngineEvent::Submitted(request, message) = &deferred.event else {
                return true;
            };
            let class = classes.get(message.class.0);
            let objective = class.map_or(MAX_DEFERRAL, |class| class.latency_objective);
            let is_overdue = now.monotonic - deferred.received_at >= objective.min(MAX_DEFERRAL);
            let stays_deferred = is_suspended && !is_overdue && capacity > 0;
            if stays_deferred {
                capacity -= 1;
            } else {
                commands.push(EngineCommand::Respond(*request, REJECTED));
            }
            stays_deferred
        });
    }

    /// Expires pending messages whose deadline has passed.
    fn expire_messages(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        let pending = self
            .store
            .open_messages()
            .filter(|(_, record)| record.in_flight().is_none());
        let expired = pending.filter(|(_, record)| record.message.expires_ms <= now.unix_ms);
        let expired: Vec<MessageId> = expired.map(|(id, _)| id).collect();
        for id in expired {
            self.finish_message(now, id, FinalOutcome::Expired, commands);
            self.backlog.push(scheduler::Event::Cancelled(id));
        }
    }

    /// Takes the deferred events in the order in which they were received.
    pub(super) fn take_deferred_events(&mut self) -> Vec<EngineEvent> {
        self.deferred_events
            .drain(..)
            .map(|deferred| deferred.event)
            .collect()
    }

    /// Returns the latest time at which the engine must be stepped while it does not hold the lease.
    pub fn next_wake_without_lease(&self, now: Timestamp) -> Option<scheduler::Time> {
        let pending = self
            .store
            .open_messages()
            .filter(|(_, record)| record.in_flight().is_none());
        let expiry = pending
            .map(|(_, record)| now.monotonic_of(record.message.expires_ms + 1))
            .min();
        let check =
            (!self.deferred_events.is_empty()).then(|| now.monotonic + DEFERRED_CHECK_INTERVAL);
        let retry = (!self.unjournalled_outcomes.is_empty()).then_some(self.journal_retry_at);
        expiry.into_iter().chain(check).chain(retry).min()
    }
}

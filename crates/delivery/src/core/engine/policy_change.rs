//! The engine under a policy that others decide on as well: without its lease nothing is accepted and no attempt is
//! started, but what is owed keeps its deadlines; and another policy is put in force in place, with all that is pending.

use super::acceptance::Lookup;
use super::endpoint_registry::ListScope;
use super::hot_restart::Role;
use super::settings::{Policy, PolicyChange, PolicyMismatch, ProposedPolicy};
use super::{Batch, Engine, EngineCommand, EngineEvent, DEFAULT_RETRY_AFTER_MS};
use crate::core::destination_table::DestinationTable;
use crate::core::journal_record::RouteRecord;
use crate::core::message_store::Recovered;
use crate::core::{FinalOutcome, MessageId, SubmitResponse, Timestamp};
use marblefall_scheduler as m;
use std::sync::Arc;

/// A submission waits for a change of policy no longer than its class's latency objective, and no longer than this.
const MAX_DEFERRAL: m::Span = m::Span(3_000_000);
/// How often deferred submissions are looked at.
const DEFERRED_CHECK_INTERVAL: m::Span = m::Span(20_000);

/// Whether the engine holds the lease to act under its policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseState {
    /// It does.
    #[default]
    Held,
    /// A change of policy is under way: submissions wait.
    Suspended,
    /// It does not, for nobody knows how long: submissions are rejected.
    Lost,
}

impl Engine {
    /// Says whether it holds the lease from the next step on.
    pub fn set_lease(&mut self, lease: LeaseState) {
        self.lease = lease;
    }

    /// A step in which nothing is decided: ends of attempts and of messages are noted, submissions wait or are rejected,
    /// and what has no time left expires.
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
    }

    fn handle_or_defer(&mut self, event: EngineEvent, batch: &mut Batch<'_>) {
        match event {
            // What is known already needs no policy, and must not be sent elsewhere while it is pending here.
            EngineEvent::Submitted(_, ref message)
                if !matches!(self.look_up(message, &[]), Lookup::New(_)) =>
            {
                self.handle(event, batch);
            }
            EngineEvent::Submitted(..) => self.deferred.push((batch.now.monotonic, event)),
            event if event.changes_endpoints() => self.deferred.push((batch.now.monotonic, event)),
            EngineEvent::ClientGone(request) => {
                self.deferred.retain(
                    |(_, event)| !matches!(event, EngineEvent::Submitted(other, _) if *other == request),
                );
                self.handle(event, batch);
            }
            event => self.handle(event, batch),
        }
    }

    /// Submissions that wait too long for a change, or would be too many, are rejected.
    fn reject_overdue_submissions(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        let mut room = self.policy.max_open.saturating_sub(self.store.open_count());
        let lease = self.lease;
        let classes = &self.policy.classes;
        self.deferred.retain(|(since, event)| {
            let EngineEvent::Submitted(request, message) = event else {
                return true;
            };
            let class = classes.get(message.class.0);
            let objective = class.map_or(MAX_DEFERRAL, |class| class.latency_objective);
            let in_time = now.monotonic - *since < objective.min(MAX_DEFERRAL);
            let waits = lease == LeaseState::Suspended && in_time && room > 0;
            if waits {
                room -= 1;
            } else {
                let rejected = SubmitResponse::Rejected {
                    retry_after_ms: DEFAULT_RETRY_AFTER_MS,
                };
                commands.push(EngineCommand::Respond(*request, rejected));
            }
            waits
        });
    }

    /// Messages whose deadline passed while nothing could be decided.
    fn expire_messages(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        let pending = self
            .store
            .open_messages()
            .filter(|(_, record)| record.in_flight().is_none());
        let expired = pending.filter(|(_, record)| record.message.expires_ms <= now.unix_ms);
        let expired: Vec<MessageId> = expired.map(|(id, _)| id).collect();
        for id in expired {
            self.finish(now, id, FinalOutcome::Expired, commands);
            self.backlog.push(m::Event::Cancelled(id));
        }
    }

    /// What waited while nothing was decided, in its order.
    pub(super) fn take_deferred(&mut self) -> Vec<EngineEvent> {
        self.deferred.drain(..).map(|(_, event)| event).collect()
    }

    /// When the engine wants to be stepped while it does not hold the lease.
    pub fn next_wake_without_lease(&self, now: Timestamp) -> Option<m::Time> {
        let pending = self
            .store
            .open_messages()
            .filter(|(_, record)| record.in_flight().is_none());
        let expiry = pending
            .map(|(_, record)| now.monotonic_of(record.message.expires_ms + 1))
            .min();
        let check = (!self.deferred.is_empty()).then(|| now.monotonic + DEFERRED_CHECK_INTERVAL);
        expiry.into_iter().chain(check).min()
    }

    /// Whether a proposed policy has room for what is pending.
    pub(super) fn check_policy(&self, proposed: &ProposedPolicy) -> Result<(), PolicyMismatch> {
        let mut pending = 0;
        for (_, record) in self.store.open_messages() {
            pending += 1;
            let class = self.store.class_names().get(record.message.class.0);
            if let Some(class) = class.filter(|class| !proposed.classes.contains(*class)) {
                return Err(PolicyMismatch::ClassRemoved(class.clone()));
            }
            if !proposed.destinations.contains(&record.message.destination) {
                return Err(PolicyMismatch::DestinationRemoved);
            }
        }
        if pending > proposed.max_open {
            return Err(PolicyMismatch::TooManyPending {
                pending,
                max_open: proposed.max_open,
            });
        }
        Ok(())
    }

    /// Puts the changes of policy among some events in force. The destination table that comes with one is an event like
    /// any other, in its place among them.
    pub(super) fn apply_policy_changes(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) -> Vec<EngineEvent> {
        let events = events.into_iter().map(|event| match event {
            EngineEvent::PolicyChanged(change) => {
                match self.change_policy(now, *change, commands) {
                    Some(table) => EngineEvent::DestinationTableReplaced(table),
                    None => EngineEvent::LeaseChanged,
                }
            }
            event => event,
        });
        events.collect()
    }

    /// Puts another policy in force in place: a scheduler that decides by it gets all that is pending, the attempts in
    /// flight, what was learned of routes and the backoffs. Returns the destination table that came with it.
    fn change_policy(
        &mut self,
        now: Timestamp,
        change: PolicyChange,
        commands: &mut Vec<EngineCommand>,
    ) -> Option<Arc<DestinationTable>> {
        let PolicyChange {
            revision,
            settings,
            classes,
            destination_table,
        } = change;
        if self.role != Role::Active {
            // Another incarnation decides, and reads for itself what it decides by.
            commands.push(EngineCommand::PolicyInForce(revision));
            return destination_table;
        }
        let routes = self.route_records(now);
        self.store.set_class_names(classes);
        (self.policy, self.scheduler) = Policy::split(settings);
        self.timers.clear();
        if let Some(shutdown_at) = self.shutdown_at {
            self.wake_for_last_attempt(shutdown_at);
        }
        let listed = self.endpoints.all_listed();
        let updates = self.endpoints.apply(listed, ListScope::Changes, commands);
        // Told at once: what waits for the next step came later.
        self.backlog.clear();
        // The new scheduler chooses for itself.
        self.unjournalled.clear();
        self.journal_retry_at = now.monotonic;
        self.tell_scheduler(now, &[m::Event::EndpointsUpdated(updates)], commands);
        self.reactivate(now, routes);
        commands.push(EngineCommand::PolicyInForce(revision));
        destination_table
    }

    /// Gives a new scheduler all messages. Whose attempts they are has not changed, nor how many are in flight.
    fn reactivate(&mut self, now: Timestamp, routes: Vec<RouteRecord>) {
        let in_flight_elsewhere = self.in_flight_elsewhere.clone();
        let parked = std::mem::take(&mut self.parked);
        let in_flight = self.in_flight;
        let all = self.store.messages().iter();
        let sent = all.filter(|(_, record)| record.in_flight().is_some());
        let recovered = Recovered {
            routes,
            in_flight_elsewhere: sent.map(|(id, _)| *id).collect(),
        };
        // That messages are resumed needs no command, and the notices that are owed are on their way.
        self.activate(now, &recovered, &mut Vec::new());
        self.in_flight_elsewhere = in_flight_elsewhere;
        self.in_flight = in_flight;
        self.parked.extend(parked);
    }
}

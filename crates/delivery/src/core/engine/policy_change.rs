//! Policy changes of a running engine: checks that a policy covers the open messages, and puts it in force.

use super::endpoint_registry::ListScope;
use super::role::Role;
use super::settings::{Policy, PolicyChange, PolicyMismatch, ProposedPolicy};
use super::{Engine, EngineCommand, EngineEvent};
use crate::core::destination_table::DestinationTable;
use crate::core::journal_record::RouteRecord;
use crate::core::message_store::Recovered;
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;
use std::sync::Arc;

impl Engine {
    /// Checks that a proposed policy covers all open messages.
    ///
    /// # Errors
    /// Returns the first mismatch that is found.
    pub(super) fn check_policy(&self, proposed: &ProposedPolicy) -> Result<(), PolicyMismatch> {
        let mut open = 0;
        for (_, record) in self.store.open_messages() {
            open += 1;
            let class = self.store.class_names().get(record.message.class.0);
            if let Some(class) = class.filter(|class| !proposed.classes.contains(*class)) {
                return Err(PolicyMismatch::ClassRemoved(class.clone()));
            }
            if !proposed.destinations.contains(&record.message.destination) {
                return Err(PolicyMismatch::DestinationRemoved);
            }
        }
        if open > proposed.max_open {
            return Err(PolicyMismatch::TooManyPending {
                pending: open,
                max_open: proposed.max_open,
            });
        }
        Ok(())
    }

    /// Puts the policy changes among `events` in force. Returns the events, in which each policy change is replaced with its
    /// destination table, or with an event that has no effect if it has no table.
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

    /// Puts another policy in force: a new scheduler receives all open messages with their attempts in flight, the states
    /// of routes and the backoffs. Returns the destination table of the policy.
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
            // The active incarnation receives the policy itself.
            commands.push(EngineCommand::PolicyInForce(revision));
            return destination_table;
        }
        let routes = self.route_records(now);
        self.store.set_class_names(classes);
        (self.policy, self.scheduler) = Policy::split(settings);
        self.timers.clear();
        if let Some(shutdown_at) = self.shutdown_at {
            self.schedule_step_at_attempt_cutoff(shutdown_at);
        }
        let listed = self.endpoints.all_listings();
        let updates = self
            .endpoints
            .apply(listed, ListScope::Destinations, commands);
        // Events for the old scheduler are dropped: the new one receives the endpoints now, before the events of the next
        // step, which include all open messages.
        self.backlog.clear();
        // The new scheduler selects the attempts of all pending messages again.
        self.unjournalled_attempts.clear();
        self.journal_retry_at = now.monotonic;
        self.update_scheduler(
            now,
            &[scheduler::Event::EndpointsUpdated(updates)],
            commands,
        );
        self.reactivate(now, routes);
        commands.push(EngineCommand::PolicyInForce(revision));
        destination_table
    }

    /// Passes all messages to a new scheduler. The number of attempts in flight and their owning incarnations stay the
    /// same.
    fn reactivate(&mut self, now: Timestamp, routes: Vec<RouteRecord>) {
        let predecessor_attempts = std::mem::take(&mut self.predecessor_attempts);
        let in_flight = self.in_flight;
        let all = self.store.messages().iter();
        let sent = all.filter(|(_, record)| record.in_flight().is_some());
        let recovered = Recovered {
            routes,
            in_flight: sent.map(|(id, _)| *id).collect(),
        };
        // The commands are dropped because backoffs have already been set and pending notices are already being sent.
        self.activate(now, &recovered, &mut Vec::new());
        self.predecessor_attempts.restore(predecessor_attempts);
        self.in_flight = in_flight;
    }
}

//! Initialises the scheduler with the state of earlier incarnations, or of a scheduler with another policy: routes,
//! backoffs, and all messages without a final outcome.

use super::role::Role;
use super::scheduler_input::scheduler_message;
use super::{Engine, EngineCommand};
use crate::core::journal_record::RouteRecord;
use crate::core::message_record::MessageState;
use crate::core::message_store::Recovered;
use crate::core::{MessageId, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;

/// The current state of an attempt that is in flight according to its message's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordedAttempt {
    /// The attempt has ended, or there was none.
    Ended,
    /// The attempt is in flight at a running incarnation.
    InFlight,
}

impl Engine {
    /// Becomes active: the scheduler receives all messages, including those that this incarnation accepted as a standby.
    pub(super) fn activate(
        &mut self,
        now: Timestamp,
        recovered: &Recovered,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.role = Role::Active;
        self.restore_routes(now, &recovered.routes);
        self.restore_backoffs(now, commands);
        self.resolve_repeated_identities(now, commands);
        let all: Vec<MessageId> = self.store.messages().keys().copied().collect();
        let in_flight: BTreeSet<MessageId> = recovered.in_flight.iter().copied().collect();
        for id in all {
            let attempt = if in_flight.contains(&id) {
                RecordedAttempt::InFlight
            } else {
                RecordedAttempt::Ended
            };
            self.resume_message(now, id, attempt, commands);
        }
        commands.push(EngineCommand::TookOver(self.store.open_count()));
    }

    fn restore_routes(&mut self, now: Timestamp, routes: &[RouteRecord]) {
        for route in routes {
            let endpoint = route
                .endpoint
                .as_ref()
                .map(|name| self.endpoints.get_or_assign_id(route.destination, name));
            let known = scheduler::KnownRoute {
                destination: route.destination,
                endpoint,
                record: route.state.map_times(|at| now.monotonic_of_unix_micros(at)),
            };
            self.backlog.push(scheduler::Event::RouteRestored(known));
        }
    }

    fn restore_backoffs(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        for ((destination, name), until_ms) in self.store.backoffs().clone() {
            let endpoint = self.endpoints.get_or_assign_id(destination, &name);
            let notified = self.restore_backoff(now, destination, endpoint, until_ms, commands);
            self.backlog.push(notified);
        }
    }

    /// Restores a backoff in the network layer. Returns the event that restores it in the scheduler.
    pub(super) fn restore_backoff(
        &self,
        now: Timestamp,
        destination: scheduler::DestinationId,
        endpoint: scheduler::EndpointId,
        until_ms: i64,
        commands: &mut Vec<EngineCommand>,
    ) -> scheduler::Event {
        let until = now.monotonic_of(until_ms);
        let route = self.route(destination, endpoint);
        commands.push(EngineCommand::SetBackoff(route, until));
        scheduler::Event::BackoffNotified {
            destination,
            endpoint,
            until,
        }
    }

    /// Passes an open message to the scheduler, or sends the pending notice of a finished one.
    pub(super) fn resume_message(
        &mut self,
        now: Timestamp,
        id: MessageId,
        recorded_attempt: RecordedAttempt,
        commands: &mut Vec<EngineCommand>,
    ) {
        let record = self.store.messages()[&id].clone();
        if let MessageState::Finished(completion) = &record.state {
            if record.has_pending_notice() {
                commands.push(EngineCommand::SendNotice {
                    message_id: id,
                    message: record.message,
                    outcome: completion.outcome,
                });
            }
            return;
        }
        let attempt = record
            .in_flight()
            .filter(|_| recorded_attempt == RecordedAttempt::InFlight);
        let destination = record.message.destination;
        let in_flight = attempt.map(|attempt| self.attempt_start(now, destination, attempt));
        if let Some(start) = in_flight {
            self.in_flight += 1;
            if self.endpoints.listing(start.endpoint).is_none() {
                self.predecessor_attempts.insert_unlisted(id);
                return;
            }
            self.predecessor_attempts.insert_scheduled(id);
        }
        let first = record.first_possible_execution.as_ref();
        let prior = scheduler::PriorAttempts {
            attempts: record.attempts,
            first_possible_execution: first
                .map(|attempt| self.attempt_start(now, destination, attempt)),
            in_flight,
        };
        let message = scheduler_message(id, &record.message, now);
        self.backlog.push(scheduler::Event::Resumed(message, prior));
    }

    /// Returns the states of all routes, with their times as Unix times.
    pub(super) fn route_records(&self, now: Timestamp) -> Vec<RouteRecord> {
        let known = self.scheduler.route_records(now.monotonic).into_iter();
        let records = known.map(|route| RouteRecord {
            destination: route.destination,
            endpoint: route
                .endpoint
                .and_then(|id| self.endpoints.name_of(id).cloned()),
            state: route.record.map_times(|at| now.unix_micros_of(at)),
        });
        records.collect()
    }
}

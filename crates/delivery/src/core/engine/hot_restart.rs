//! The engine between two incarnations of the process.
//!
//! Beside an active incarnation, and after handing over, it only writes down what it accepts; the active one has all
//! messages and the scheduler, and hears from the others through the journal how their attempts end.

use super::{
    log_journal_error, AttemptResult, Batch, Engine, EngineCommand, EngineEvent, LeaseState,
};
use crate::core::journal::Generation;
use crate::core::journal_record::{AttemptReport, RouteRecord};
use crate::core::message_record::MessageState;
use crate::core::message_store::{PredecessorEvent, Recovered};
use crate::core::{Disposition, FinalOutcome, MessageId, SubmitResponse, Timestamp};
use crate::system_error::is_transient;
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::io;

/// Which incarnation decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Another one does; this one is to take over.
    Standby,
    /// This one does.
    Active,
    /// This one did, and another one does now.
    HandedOver,
}

impl Engine {
    /// Whether this incarnation has handed over and only waits for its attempts and clients to finish.
    pub fn has_handed_over(&self) -> bool {
        self.role == Role::HandedOver
    }

    /// Becomes active: the scheduler is given all messages, those that this incarnation accepted before included.
    pub(super) fn activate(
        &mut self,
        now: Timestamp,
        recovered: &Recovered,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.role = Role::Active;
        for route in &recovered.routes {
            let endpoint = route
                .endpoint
                .as_ref()
                .map(|name| self.endpoints.id_of(name));
            let restored = m::KnownRoute {
                destination: route.destination,
                endpoint,
                record: route
                    .learned
                    .map_times(|at| now.monotonic_of(at.0.div_euclid(1000))),
            };
            self.backlog.push(m::Event::RouteRestored(restored));
        }
        for ((destination, name), until_ms) in self.store.backoffs().clone() {
            let endpoint = self.endpoints.id_of(&name);
            let until = now.monotonic_of(until_ms);
            commands.push(EngineCommand::SetBackoff(
                self.route(destination, endpoint),
                until,
            ));
            self.backlog.push(m::Event::BackoffNotified {
                destination,
                endpoint,
                until,
            });
        }
        let all: Vec<MessageId> = self.store.messages().keys().copied().collect();
        let elsewhere: BTreeSet<MessageId> =
            recovered.in_flight_elsewhere.iter().copied().collect();
        for id in all {
            self.resume(now, id, elsewhere.contains(&id), commands);
        }
        commands.push(EngineCommand::TookOver(self.store.open_count()));
    }

    /// Gives the scheduler a message of an earlier incarnation, or orders the notice that is owed.
    pub(super) fn resume(
        &mut self,
        now: Timestamp,
        id: MessageId,
        in_flight_elsewhere: bool,
        commands: &mut Vec<EngineCommand>,
    ) {
        let record = self.store.messages()[&id].clone();
        if let MessageState::Finished(completion) = &record.state {
            if completion.notice_owed {
                commands.push(EngineCommand::SendNotice {
                    message_id: id,
                    message: record.message,
                    outcome: completion.outcome,
                });
            }
            return;
        }
        let attempt = record.in_flight().filter(|_| in_flight_elsewhere);
        let in_flight = attempt.map(|attempt| self.sent_attempt(now, attempt));
        if let Some((_, endpoint)) = in_flight {
            self.in_flight += 1;
            if self.endpoints.listed(endpoint).is_none() {
                self.parked.insert(id);
                return;
            }
            self.in_flight_elsewhere.insert(id);
        }
        let first = record.first_possible_execution.as_ref();
        let prior = m::PriorAttempts {
            attempts: record.attempts,
            first_possible_execution: first.map(|attempt| self.sent_attempt(now, attempt)),
            in_flight,
        };
        let message = super::acceptance::scheduler_message(id, &record.message, now);
        self.backlog.push(m::Event::Resumed(message, prior));
    }

    /// A step of an incarnation that is not active, or in which that changes.
    pub(super) fn step_in_hot_restart(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let (changes, mut rest): (Vec<_>, Vec<_>) = events
            .into_iter()
            .partition(EngineEvent::belongs_to_hot_restart);
        for change in changes {
            self.handle_hot_restart(now, change, &mut rest, commands);
        }
        match self.role {
            Role::Active if self.lease != LeaseState::Held => {
                self.step_without_lease(now, rest, commands)
            }
            Role::Active => self.step_active(now, rest, commands),
            Role::Standby | Role::HandedOver => self.step_passive(now, rest, commands),
        }
    }

    fn handle_hot_restart(
        &mut self,
        now: Timestamp,
        event: EngineEvent,
        rest: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        if self.postponed.holds_back(&event) {
            return self.postponed.push(now.monotonic, event);
        }
        match (self.role, event) {
            (
                Role::Standby,
                EngineEvent::TakeOver {
                    running,
                    first_concurrent,
                },
            ) => self.take_over(now, running, first_concurrent, commands),
            (Role::Active, EngineEvent::FollowPredecessors) => {
                let mut found = Vec::new();
                log_journal_error(self.store.follow(&mut found), commands);
                self.handle_predecessor_events(now, found, rest, commands);
            }
            (Role::Active, EngineEvent::PredecessorExited(generation)) => {
                let mut found = Vec::new();
                let read = self.store.finish_following(generation, &mut found);
                let event = EngineEvent::PredecessorExited(generation);
                self.postpone_if_transient(now, event, read.as_ref().err());
                log_journal_error(read, commands);
                self.handle_predecessor_events(now, found, rest, commands);
                if !self.store.is_following() {
                    self.reset_attempts_elsewhere(now, rest);
                }
            }
            (Role::Active, EngineEvent::StandbyExited(generation)) => {
                self.adopt_standby(now, generation, commands);
            }
            (
                Role::Standby | Role::Active,
                EngineEvent::Shutdown {
                    deadline,
                    hand_over: true,
                },
            ) => {
                self.shutdown_at = Some(deadline);
                self.hand_over(now, commands);
            }
            _ => {}
        }
    }

    fn take_over(
        &mut self,
        now: Timestamp,
        running: Vec<Generation>,
        first_concurrent: Option<Generation>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let recovered = match self.store.take_over(&running, first_concurrent) {
            Ok(recovered) => recovered,
            Err(error) => {
                commands.push(EngineCommand::Log(format!(
                    "the journal is not taken over whole: {error}"
                )));
                let event = EngineEvent::TakeOver {
                    running,
                    first_concurrent,
                };
                if self.postpone_if_transient(now, event, Some(&error)) {
                    return;
                }
                Recovered::default()
            }
        };
        self.activate(now, &recovered, commands);
    }

    /// Has a step taken again later that failed by an error which passes by itself; returns whether it is.
    fn postpone_if_transient(
        &mut self,
        now: Timestamp,
        event: EngineEvent,
        error: Option<&io::Error>,
    ) -> bool {
        let is_postponed = error.is_some_and(is_transient);
        if is_postponed {
            self.postponed.push(now.monotonic, event);
        }
        is_postponed
    }

    /// What an incarnation wrote that has handed over: what it accepted is resumed, and its attempts end as if this
    /// incarnation had sent them.
    fn handle_predecessor_events(
        &mut self,
        now: Timestamp,
        found: Vec<PredecessorEvent>,
        rest: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        for event in found {
            match event {
                PredecessorEvent::Accepted(id) => self.resume(now, id, false, commands),
                PredecessorEvent::AttemptFinished(id, report) => {
                    if self.in_flight_elsewhere.remove(&id) || self.parked.contains(&id) {
                        rest.push(EngineEvent::AttemptFinished(AttemptResult {
                            message_id: id,
                            attempt: report.attempt,
                            outcome: report.outcome,
                            duration: report.duration,
                            disposition: report.disposition,
                            rate_limit: report.rate_limit,
                        }));
                    }
                }
            }
        }
    }

    /// Attempts of incarnations that exited without reporting them may have been executed.
    fn reset_attempts_elsewhere(&mut self, now: Timestamp, rest: &mut Vec<EngineEvent>) {
        let elsewhere = std::mem::take(&mut self.in_flight_elsewhere);
        for id in elsewhere.into_iter().chain(self.parked.iter().copied()) {
            let Some(record) = self.store.get(id) else {
                continue;
            };
            let started_ms = record
                .in_flight()
                .map_or(now.unix_ms, |attempt| attempt.started_ms);
            rest.push(EngineEvent::AttemptFinished(AttemptResult {
                message_id: id,
                attempt: record.attempts.saturating_sub(1),
                outcome: m::Outcome::Reset,
                duration: m::Span((now.unix_ms - started_ms).max(0) * 1000),
                disposition: Disposition::Undecided,
                rate_limit: m::RateLimitReport::default(),
            }));
        }
    }

    /// Goes on under a later generation with what an incarnation left that was never active.
    fn adopt_standby(
        &mut self,
        now: Timestamp,
        generation: Generation,
        commands: &mut Vec<EngineCommand>,
    ) {
        let before: BTreeSet<MessageId> = self.store.messages().keys().copied().collect();
        let renewed = self.store.renew(generation);
        let recovered = renewed.and_then(|()| self.store.take_over(&[], None));
        let event = EngineEvent::StandbyExited(generation);
        self.postpone_if_transient(now, event, recovered.as_ref().err());
        log_journal_error(recovered.map(|_| ()), commands);
        let all = self.store.messages().keys().copied();
        let found: Vec<MessageId> = all.filter(|id| !before.contains(id)).collect();
        for id in found {
            self.resume(now, id, false, commands);
        }
    }

    /// From here on another incarnation decides: what is known goes into the journal, and the ends of attempts in flight
    /// are reported there. One that was never active has nothing to hand over; it leaves what it accepted when it exits.
    fn hand_over(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if self.role == Role::Active {
            let routes = self.route_records(now);
            log_journal_error(self.store.hand_over(routes), commands);
            commands.push(EngineCommand::HandedOver);
        }
        self.role = Role::HandedOver;
        self.postponed.clear();
        // The successor chooses anew what was not started.
        self.unjournalled.clear();
        self.backlog.clear();
        self.timers.clear();
    }

    /// What the scheduler knows of routes, with Unix times.
    pub(super) fn route_records(&self, now: Timestamp) -> Vec<RouteRecord> {
        let known = self.scheduler.route_records(now.monotonic).into_iter();
        let records = known.map(|route| RouteRecord {
            destination: route.destination,
            endpoint: route
                .endpoint
                .and_then(|id| self.endpoints.name_of(id).cloned()),
            learned: route.record.map_times(|at| now.unix_micros_of(at)),
        });
        records.collect()
    }

    /// Tells the scheduler of the list while it has nothing that it could send.
    pub(super) fn tell_scheduler(
        &mut self,
        now: Timestamp,
        events: &[m::Event],
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut actions = Vec::new();
        self.scheduler.handle(now.monotonic, events, &mut actions);
        for action in actions {
            self.execute(now, action, &BTreeSet::new(), commands);
        }
    }

    /// A step without decisions: the list is kept up with, submissions are journalled, ends of attempts are reported.
    fn step_passive(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut batch = Batch::new(now, commands);
        let events = self.handle_endpoint_changes(events, &mut batch);
        let list_changes = std::mem::take(&mut batch.scheduler_events);
        if self.role == Role::Standby && !list_changes.is_empty() {
            self.tell_scheduler(now, &list_changes, batch.commands);
        }
        for event in events {
            match event {
                EngineEvent::Submitted(request, message) => {
                    self.submit(request, message, &mut batch)
                }
                EngineEvent::AttemptFinished(result) => {
                    self.in_flight = self.in_flight.saturating_sub(1);
                    self.note_backoff(now, result.message_id, result.outcome, batch.commands);
                    self.report_attempt(now, &result, batch.commands);
                }
                EngineEvent::ClientGone(request) => {
                    // The message is the other incarnation's.
                    for requests in self.waiting_clients.values_mut() {
                        requests.retain(|other| *other != request);
                    }
                }
                EngineEvent::Shutdown { deadline, .. } => self.shutdown_at = Some(deadline),
                _ => {}
            }
        }
        // The scheduler has not heard of the submissions: what the journal does not take is rejected.
        self.journal_submissions(now, batch.submissions, &[], batch.commands);
        self.backlog.clear();
    }

    /// Tells the incarnation that decides how an attempt of this one ended, and who waits here for a delivery.
    fn report_attempt(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        commands: &mut Vec<EngineCommand>,
    ) {
        let id = result.message_id;
        let class = self.store.get(id).map(|record| record.message.class);
        let retention_ms = class.map_or(0, |class| self.policy.retention_ms(class));
        let report = AttemptReport {
            attempt: result.attempt,
            outcome: result.outcome,
            duration: result.duration,
            disposition: result.disposition,
            rate_limit: result.rate_limit,
            keep_until_ms: now.unix_ms + retention_ms,
        };
        log_journal_error(self.store.report_attempt(id, report), commands);
        if result.outcome == m::Outcome::Delivered {
            commands.push(EngineCommand::MessageFinished(FinalOutcome::Delivered));
            self.respond_all(
                id,
                SubmitResponse::Finished(FinalOutcome::Delivered),
                commands,
            );
        }
    }
}

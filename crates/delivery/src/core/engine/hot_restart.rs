//! Changes of the engine's role while one incarnation of the process takes over from another.
//!
//! A standby recovers all messages from the journal and becomes active. An active engine hands over, or adopts the
//! messages of a standby that exited before it took over. An event whose step fails with a transient error is postponed.

use super::recovery::RecordedAttempt;
use super::role::Role;
use super::{log_journal_error, Engine, EngineCommand, EngineEvent, LeaseState};
use crate::core::journal::Generation;
use crate::core::message_store::Recovered;
use crate::core::{MessageId, Timestamp};
use crate::system_error::is_transient;
use std::collections::BTreeSet;
use std::io;

impl Engine {
    /// Returns whether this incarnation has handed over and only waits for its attempts and clients to finish.
    pub fn has_handed_over(&self) -> bool {
        self.role == Role::HandedOver
    }

    /// Executes a step of an incarnation that is not active, or a step that contains events of a hot restart.
    pub(super) fn step_in_hot_restart(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let (changes, mut step_events): (Vec<_>, Vec<_>) = events
            .into_iter()
            .partition(EngineEvent::belongs_to_hot_restart);
        for change in changes {
            self.handle_hot_restart_event(now, change, &mut step_events, commands);
        }
        match self.role {
            Role::Active if self.lease != LeaseState::Held => {
                self.step_without_lease(now, step_events, commands)
            }
            Role::Active => self.step_active(now, step_events, commands),
            Role::Standby | Role::HandedOver => self.step_passive(now, step_events, commands),
        }
    }

    /// Handles an event of a hot restart. Events that result from it are appended to `step_events`, the remaining events of
    /// the step.
    fn handle_hot_restart_event(
        &mut self,
        now: Timestamp,
        event: EngineEvent,
        step_events: &mut Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        if self.postponed_events.must_wait(&event) {
            return self.postponed_events.push(now.monotonic, event);
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
                self.follow_predecessors(now, step_events, commands);
            }
            (Role::Active, EngineEvent::PredecessorExited(generation)) => {
                self.finish_following(now, generation, step_events, commands);
            }
            (Role::Active, EngineEvent::StandbyExited(generation)) => {
                self.adopt_standby(now, generation, commands);
            }
            (Role::Standby | Role::Active, EngineEvent::HandOver { deadline }) => {
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
                    "cannot recover all messages of earlier incarnations from the journal: {error}"
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

    /// Postpones an event if its step failed with a transient error. Returns whether the event was postponed.
    pub(super) fn postpone_if_transient(
        &mut self,
        now: Timestamp,
        event: EngineEvent,
        error: Option<&io::Error>,
    ) -> bool {
        let is_postponed = error.is_some_and(is_transient);
        if is_postponed {
            self.postponed_events.push(now.monotonic, event);
        }
        is_postponed
    }

    /// Resumes the messages of a standby that exited before it became active. This incarnation continues under
    /// `generation`, which is later than the standby's.
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
        self.resolve_repeated_identities(now, commands);
        for id in found {
            if self.store.get(id).is_some() {
                self.resume_message(now, id, RecordedAttempt::Ended, commands);
            }
        }
    }

    /// Hands over to a successor: the states of routes are journalled, and the results of attempts in flight are reported
    /// through the journal from now on.
    ///
    /// An engine that was never active has nothing to hand over. The messages that it accepted are adopted by the active
    /// incarnation once it exits.
    fn hand_over(&mut self, now: Timestamp, commands: &mut Vec<EngineCommand>) {
        if self.role == Role::Active {
            let routes = self.route_records(now);
            log_journal_error(self.store.hand_over(routes), commands);
            self.drop_written_reports();
            self.journal_retry_at = now.monotonic;
            commands.push(EngineCommand::HandedOver);
        }
        self.role = Role::HandedOver;
        self.postponed_events.clear();
        // The successor schedules the messages whose attempt was not started, or whose outcome was not reported, itself.
        self.unjournalled_attempts.clear();
        self.unjournalled_outcomes.clear();
        self.backlog.clear();
        self.timers.clear();
    }
}

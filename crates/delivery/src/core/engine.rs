//! The engine owns the scheduler and the message store. It turns [`EngineEvent`]s into [`EngineCommand`]s.
//!
//! All events that are received together are handled in one [`step`](Engine::step): the scheduler processes them, the
//! submissions that it accepts are journalled, and only then are the commands for responses and attempts emitted. The
//! journal therefore contains everything that the scheduler's state is based on, and each decision is executed once.
//!
//! An engine has a `Role`: it is a standby beside an active incarnation, is active itself, or has handed over. Where a
//! group decides on the policy, it also has a [`LeaseState`]. Without the lease it starts no attempts.

mod acceptance;
mod actions;
mod attempts;
mod command;
mod destination_records;
mod endpoint_registry;
mod endpoints;
mod event;
mod final_outcome;
mod hot_restart;
mod lease;
mod lookup;
mod passive;
mod policy_change;
mod postponed;
mod predecessors;
mod recovery;
mod repeated_identities;
mod role;
mod scheduler_input;
mod settings;
mod shutdown;
mod submission;
mod unjournalled;
mod unwritten_reports;
mod waiting_clients;

pub use super::attempt_result::AttemptResult;
pub use command::{AttemptRequest, EngineCommand, RejectReason, Rejection};
pub use event::EngineEvent;
pub use lease::LeaseState;
pub use settings::{EngineSettings, PolicyChange, PolicyMismatch, ProposedPolicy};

use super::active_destinations::ActiveDestinations;
use super::destination_table::DestinationTable;
use super::journal_record::AttemptReport;
use super::message_store::{MessageStore, Recovered};
use super::recent_completions::RecentCompletions;
use super::{MessageId, RequestId, SubmitResponse, Timestamp};
use endpoint_registry::EndpointRegistry;
use lease::DeferredEvent;
use marblefall_scheduler as scheduler;
use postponed::PostponedEvents;
use predecessors::PredecessorAttempts;
use role::Role;
use settings::Policy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use submission::Submission;
use unjournalled::{SelectedAttempt, UnjournalledOutcomes};
use waiting_clients::WaitingClients;

/// The token of timers whose only effect is a step.
const STEP_TIMER_TOKEN: u64 = u64::MAX;

/// Owns the scheduler and the message store of one instance.
pub struct Engine {
    scheduler: scheduler::Scheduler,
    store: MessageStore,
    policy: Policy,
    endpoints: EndpointRegistry,
    /// All destinations, most of which are idle; absent until a table is received.
    destination_table: Option<Arc<DestinationTable>>,
    active_destinations: ActiveDestinations,
    /// Identities of the platform's messages that finished recently.
    recent_completions: RecentCompletions,
    /// The submissions that wait for a response, by message.
    waiting_clients: BTreeMap<MessageId, WaitingClients>,
    timers: BTreeSet<(scheduler::Time, u64)>,
    /// Scheduler events that were generated while commands were collected. The next batch starts with them.
    backlog: Vec<scheduler::Event>,
    /// The latest time at which the process ends; absent until a shutdown or a handover is requested.
    shutdown_at: Option<scheduler::Time>,
    /// Whether the instance is removed, so that it accepts no message any more.
    stops_accepting: bool,
    /// Whether the shutdown is too close to start another attempt.
    attempts_stopped: bool,
    role: Role,
    /// Events of a hot restart whose step failed with a transient error.
    postponed_events: PostponedEvents,
    predecessor_attempts: PredecessorAttempts,
    /// Submissions rejected since [`Engine::drain_rejections`] was last called.
    rejections: Vec<Rejection>,
    /// Attempts that are not started until the journal accepts them.
    unjournalled_attempts: Vec<SelectedAttempt>,
    /// Final outcomes that are not reported until the journal accepts them.
    unjournalled_outcomes: UnjournalledOutcomes,
    /// Results of attempts that the journal did not accept.
    unwritten_reports: BTreeMap<MessageId, AttemptReport>,
    /// The earliest time at which records that the journal did not accept are written again.
    journal_retry_at: scheduler::Time,
    /// Number of attempts in flight.
    in_flight: usize,
    lease: LeaseState,
    /// Events that were received without the lease and are handled once it is held again.
    deferred_events: Vec<DeferredEvent>,
}

/// The current load of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of messages without a final outcome.
    pub open_messages: usize,
    /// Number of attempts in flight.
    pub in_flight: usize,
}

/// The submissions, scheduler events and commands that one step collects.
struct Batch<'a> {
    now: Timestamp,
    /// Events for the scheduler.
    scheduler_events: Vec<scheduler::Event>,
    /// Messages that are offered to the scheduler in this step.
    submissions: Vec<Submission>,
    commands: &'a mut Vec<EngineCommand>,
}

impl<'a> Batch<'a> {
    fn new(now: Timestamp, commands: &'a mut Vec<EngineCommand>) -> Batch<'a> {
        Batch {
            now,
            scheduler_events: Vec::new(),
            submissions: Vec::new(),
            commands,
        }
    }

    fn respond(&mut self, request: RequestId, response: SubmitResponse) {
        self.commands
            .push(EngineCommand::Respond(request, response));
    }
}

impl Engine {
    /// Creates an engine that is active immediately, with the messages in the store. Pending notices are sent
    /// immediately.
    pub fn new(
        settings: EngineSettings,
        store: MessageStore,
        now: Timestamp,
        commands: &mut Vec<EngineCommand>,
    ) -> Engine {
        let mut engine = Engine::standby(settings, store);
        engine.activate(now, &Recovered::default(), commands);
        engine
    }

    /// Creates an engine that is a standby beside another incarnation: it accepts messages, but starts no attempts until
    /// [`EngineEvent::TakeOver`].
    pub fn standby(settings: EngineSettings, store: MessageStore) -> Engine {
        let (policy, scheduler) = Policy::split(settings);
        Engine {
            scheduler,
            store,
            policy,
            endpoints: EndpointRegistry::default(),
            destination_table: None,
            active_destinations: ActiveDestinations::default(),
            recent_completions: RecentCompletions::default(),
            waiting_clients: BTreeMap::new(),
            timers: BTreeSet::new(),
            backlog: Vec::new(),
            shutdown_at: None,
            stops_accepting: false,
            attempts_stopped: false,
            role: Role::Standby,
            postponed_events: PostponedEvents::default(),
            predecessor_attempts: PredecessorAttempts::default(),
            rejections: Vec::new(),
            unjournalled_attempts: Vec::new(),
            unjournalled_outcomes: UnjournalledOutcomes::default(),
            unwritten_reports: BTreeMap::new(),
            journal_retry_at: scheduler::Time::MIN,
            in_flight: 0,
            lease: LeaseState::Held,
            deferred_events: Vec::new(),
        }
    }

    /// Returns the latest time at which the engine must be stepped, even without an event.
    pub fn next_wake(&self) -> Option<scheduler::Time> {
        let postponed = self.postponed_events.next_retry();
        if self.role != Role::Active {
            return postponed.into_iter().chain(self.next_report_retry()).min();
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        timer
            .into_iter()
            .chain(self.active_destinations.next_check())
            .chain(postponed)
            .min()
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            open_messages: self.store.open_count(),
            in_flight: self.in_flight,
        }
    }

    /// Returns whether the platform has not acknowledged the notices of some final outcomes.
    pub fn has_pending_notices(&self) -> bool {
        let mut records = self.store.messages().values();
        records.any(|record| record.has_pending_notice())
    }

    /// Returns whether another step is due immediately, because the scheduler has not handled all its events yet.
    pub fn has_backlog(&self) -> bool {
        self.lease == LeaseState::Held && !self.backlog.is_empty()
    }

    /// Handles the events received since the last step, runs the scheduler, and appends the resulting commands.
    pub fn step(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let events = self.postponed_events.take_due(now.monotonic, events);
        let mut events = self.apply_policy_changes(now, events, commands);
        if self.role != Role::Active || events.iter().any(EngineEvent::belongs_to_hot_restart) {
            return self.step_in_hot_restart(now, events, commands);
        }
        if self.lease != LeaseState::Held {
            return self.step_without_lease(now, events, commands);
        }
        if !self.deferred_events.is_empty() {
            let new_events = std::mem::replace(&mut events, self.take_deferred_events());
            events.extend(new_events);
        }
        self.step_active(now, events, commands);
    }

    /// Executes a step of the active incarnation.
    fn step_active(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.recent_completions.sweep(now.monotonic);
        self.retry_journal(now, commands);
        let mut batch = Batch::new(now, commands);
        let events = self.handle_endpoint_changes(events, &mut batch);
        batch.scheduler_events.append(&mut self.backlog);
        for event in events {
            self.handle_event(event, &mut batch);
        }
        self.fire_timers(&mut batch);
        self.stop_attempts_before_shutdown(&mut batch);
        let swept = self.store.sweep(now.unix_ms, self.policy.max_retained);
        log_journal_error(swept, batch.commands);
        let Batch {
            scheduler_events,
            submissions,
            commands,
            ..
        } = batch;
        let mut actions = Vec::new();
        self.scheduler
            .handle(now.monotonic, &scheduler_events, &mut actions);
        let not_journalled = self.journal_submissions(now, submissions, &actions, commands);
        for action in actions {
            self.execute_action(now, action, &not_journalled, commands);
        }
        self.end_pending_events(now, commands);
        self.compact_idle_destinations(now, commands);
    }

    /// Handles one event. Endpoint changes were handled earlier in the step, and events of a hot restart are handled in
    /// steps of their own.
    fn handle_event(&mut self, event: EngineEvent, batch: &mut Batch<'_>) {
        match event {
            EngineEvent::Submitted(request, message) => self.submit(request, message, batch),
            EngineEvent::ClientGone(request) => self.handle_disconnect(request, batch),
            EngineEvent::AttemptFinished(result) => self.handle_attempt_result(result, batch),
            EngineEvent::NoticeAcknowledged(id) => {
                self.remove_message(batch.now, id, batch.commands)
            }
            EngineEvent::Shutdown { deadline } => self.prepare_shutdown(deadline),
            EngineEvent::Restart { deadline } => self.prepare_restart(deadline),
            EngineEvent::StopAccepting => self.stops_accepting = true,
            EngineEvent::CheckPolicy(proposed, result_sender) => {
                // The receiver may have been dropped.
                let _ = result_sender.try_send(self.check_policy(&proposed));
            }
            EngineEvent::LeaseChanged | EngineEvent::PolicyChanged(_) => {}
            EngineEvent::EndpointsReplaced(_)
            | EngineEvent::EndpointsUpdated(_)
            | EngineEvent::DestinationTableReplaced(_)
            | EngineEvent::EndpointsDisabled(_) => {}
            EngineEvent::TakeOver { .. }
            | EngineEvent::HandOver { .. }
            | EngineEvent::FollowPredecessors
            | EngineEvent::PredecessorExited(_)
            | EngineEvent::StandbyExited(_) => {}
        }
    }

    fn fire_timers(&mut self, batch: &mut Batch<'_>) {
        let now = batch.now.monotonic;
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            batch
                .scheduler_events
                .push(scheduler::Event::TimerFired(token));
        }
    }
}

/// Logs a failed journal operation. A message whose record could not be written continues in memory.
fn log_journal_error(result: std::io::Result<()>, commands: &mut Vec<EngineCommand>) {
    if let Err(error) = result {
        commands.push(EngineCommand::Log(format!(
            "a journal operation failed: {error}"
        )));
    }
}

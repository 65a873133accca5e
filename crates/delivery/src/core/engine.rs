//! Owns the scheduler and the message store: events go in, commands come out.
//!
//! All that comes in at once is one [`step`](Engine::step): the scheduler decides on it, what it accepts is journalled,
//! and only then responses and attempts are ordered. So everything the scheduler is told is in the journal, and
//! everything it decides is carried out once.
//!
//! An engine has a `Role`: it stands by beside an active incarnation, is active itself, or has handed over. Where a
//! group decides on the policy, it also has a [`LeaseState`]: without the lease it starts nothing.

mod acceptance;
mod attempts;
mod command;
mod endpoint_registry;
mod endpoints;
mod event;
mod hot_restart;
mod policy_change;
mod postponed;
mod settings;
mod unjournalled;

pub use command::{AttemptRequest, EngineCommand, RejectReason};
pub use event::{AttemptResult, EngineEvent};
pub use policy_change::LeaseState;
pub use settings::{EngineSettings, PolicyChange, PolicyMismatch, ProposedPolicy};

use super::active_destinations::ActiveDestinations;
use super::destination_table::DestinationTable;
use super::message_store::{MessageStore, Recovered};
use super::recent_completions::RecentCompletions;
use super::{MessageId, RequestId, SubmitResponse, Timestamp};
use acceptance::Submission;
use endpoint_registry::EndpointRegistry;
use hot_restart::Role;
use marblefall_scheduler as m;
use postponed::Postponed;
use settings::Policy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use unjournalled::UnjournalledAttempt;

/// How long a rejected client should stay away where nothing better is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;
/// So long before the end of the process the last attempt is started ...
const LAST_ATTEMPT_BEFORE_END: m::Span = m::Span(1_200_000);
/// ... and so long before it the last message is accepted.
const LAST_ACCEPTED_BEFORE_END: m::Span = m::Span(2_200_000);
/// The token of timers that only cause a step.
const STEP_TIMER: u64 = u64::MAX;

/// The one owner of the scheduler.
pub struct Engine {
    scheduler: m::Scheduler,
    store: MessageStore,
    policy: Policy,
    endpoints: EndpointRegistry,
    /// All destinations, where most of them are idle.
    destination_table: Option<Arc<DestinationTable>>,
    active_destinations: ActiveDestinations,
    /// Identities of the platform's messages that are over.
    recent_completions: RecentCompletions,
    /// Who waits for a message's response.
    waiting_clients: BTreeMap<MessageId, Vec<RequestId>>,
    timers: BTreeSet<(m::Time, u64)>,
    /// Events that the next batch starts with: what became clear only while commands were given.
    backlog: Vec<m::Event>,
    shutdown_at: Option<m::Time>,
    /// Whether the end is too near to start anything.
    starts_nothing_more: bool,
    role: Role,
    /// What the journal could not be read or written for yet.
    postponed: Postponed,
    /// Messages whose attempt is in flight at another incarnation, which the scheduler knows ...
    in_flight_elsewhere: BTreeSet<MessageId>,
    /// ... and those which it is not told of before, as their endpoint is not listed any more.
    parked: BTreeSet<MessageId>,
    /// Submissions rejected since that was last asked for.
    rejections: Vec<(RequestId, RejectReason)>,
    /// Attempts that wait for the journal.
    unjournalled: Vec<UnjournalledAttempt>,
    /// The journal is not asked again for those, and for what else it did not take, before then.
    journal_retry_at: m::Time,
    /// Attempts in flight.
    in_flight: usize,
    lease: LeaseState,
    /// What came in without the lease, and when.
    deferred: Vec<(m::Time, EngineEvent)>,
}

/// What one step collects.
struct Batch<'a> {
    now: Timestamp,
    /// What the scheduler is told.
    scheduler_events: Vec<m::Event>,
    /// Messages that it may accept.
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
    /// An engine that is active at once, with what the store holds from earlier incarnations; owed notices are ordered
    /// at once.
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

    /// An engine that stands by beside another incarnation: it accepts messages, and decides nothing until it is told
    /// to take over.
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
            starts_nothing_more: false,
            role: Role::Standby,
            postponed: Postponed::default(),
            in_flight_elsewhere: BTreeSet::new(),
            parked: BTreeSet::new(),
            rejections: Vec::new(),
            unjournalled: Vec::new(),
            journal_retry_at: m::Time(i64::MIN),
            in_flight: 0,
            lease: LeaseState::Held,
            deferred: Vec::new(),
        }
    }

    /// When the engine wants to be stepped even if nothing comes in.
    pub fn next_wake(&self) -> Option<m::Time> {
        let postponed = self.postponed.next_try();
        if self.role != Role::Active {
            return postponed;
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        timer
            .into_iter()
            .chain(self.active_destinations.next_check())
            .chain(postponed)
            .min()
    }

    /// Messages without a final outcome, and attempts in flight.
    pub fn load(&self) -> (usize, usize) {
        (self.store.open_count(), self.in_flight)
    }

    /// Whether there are events that the scheduler has not been told of yet.
    pub fn has_backlog(&self) -> bool {
        self.lease == LeaseState::Held && !self.backlog.is_empty()
    }

    /// Takes what came in since the last step, lets the scheduler decide, and says what is to be done.
    pub fn step(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let events = self.postponed.take_due(now.monotonic, events);
        let mut events = self.apply_policy_changes(now, events, commands);
        if self.role != Role::Active || events.iter().any(EngineEvent::belongs_to_hot_restart) {
            return self.step_in_hot_restart(now, events, commands);
        }
        if self.lease != LeaseState::Held {
            return self.step_without_lease(now, events, commands);
        }
        if !self.deferred.is_empty() {
            let later = std::mem::replace(&mut events, self.take_deferred());
            events.extend(later);
        }
        self.step_active(now, events, commands);
    }

    /// A step of the incarnation that decides.
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
            self.handle(event, &mut batch);
        }
        self.fire_timers(&mut batch);
        self.stop_before_shutdown(&mut batch);
        let swept = self.store.sweep(now.unix_ms, self.policy.max_remembered);
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
            self.execute(now, action, &not_journalled, commands);
        }
        self.compact_idle_destinations(now, commands);
    }

    /// Takes one event. Those that change endpoints are taken before, those of a hot restart in a step of their own.
    fn handle(&mut self, event: EngineEvent, batch: &mut Batch<'_>) {
        match event {
            EngineEvent::Submitted(request, message) => self.submit(request, message, batch),
            EngineEvent::ClientGone(request) => self.client_gone(request, batch),
            EngineEvent::AttemptFinished(result) => self.attempt_finished(result, batch),
            EngineEvent::NoticeAcknowledged(id) => self.forget(batch.now, id, batch.commands),
            EngineEvent::Shutdown { deadline, .. } => self.prepare_shutdown(deadline),
            EngineEvent::CheckPolicy(proposed, answer) => {
                // Whoever asked may have gone.
                let _ = answer.try_send(self.check_policy(&proposed));
            }
            EngineEvent::LeaseChanged | EngineEvent::PolicyChanged(_) => {}
            EngineEvent::EndpointsReplaced(_)
            | EngineEvent::EndpointsUpdated(_)
            | EngineEvent::DestinationTableReplaced(_)
            | EngineEvent::EndpointsDisabled(_) => {}
            EngineEvent::TakeOver { .. }
            | EngineEvent::FollowPredecessors
            | EngineEvent::PredecessorExited(_)
            | EngineEvent::StandbyExited(_) => {}
        }
    }

    fn fire_timers(&mut self, batch: &mut Batch<'_>) {
        let now = batch.now.monotonic;
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            batch.scheduler_events.push(m::Event::TimerFired(token));
        }
    }

    fn prepare_shutdown(&mut self, deadline: m::Time) {
        self.shutdown_at = Some(deadline);
        self.wake_for_last_attempt(deadline);
    }

    fn wake_for_last_attempt(&mut self, shutdown_at: m::Time) {
        self.timers
            .insert((shutdown_at - LAST_ATTEMPT_BEFORE_END, STEP_TIMER));
    }

    /// A list without endpoints keeps the scheduler from starting what could not finish in this incarnation.
    fn stop_before_shutdown(&mut self, batch: &mut Batch<'_>) {
        self.starts_nothing_more |= self.ends_within(batch.now, LAST_ATTEMPT_BEFORE_END);
        if self.starts_nothing_more {
            batch
                .scheduler_events
                .push(m::Event::EndpointsReplaced(Vec::new()));
        }
    }

    /// Whether the process ends within a time.
    fn ends_within(&self, now: Timestamp, time: m::Span) -> bool {
        self.shutdown_at
            .is_some_and(|end| end - now.monotonic <= time)
    }
}

/// Logs that the journal did not take a note; the message goes on as far as memory carries it.
fn log_journal_error(noted: std::io::Result<()>, commands: &mut Vec<EngineCommand>) {
    if let Err(error) = noted {
        commands.push(EngineCommand::Log(format!(
            "the journal does not take a note: {error}"
        )));
    }
}

//! Runs the production core as a node of the simulation: the engine, the message store and a journal on disk. The next
//! incarnation of the instance opens the same journal.
//!
//! Messages that the simulation resumes after a crash are ignored, because the core must recover them from its journal.

use crate::simulation::{Incarnation, Node};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptRequest, AttemptResult, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    Disposition, FinalOutcome, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::{
    Action, EndpointId, EndpointUpdate, Event, Idempotency, MessageClass, MessageId, NewMessage,
    Span, Time,
};
use std::collections::{HashMap, HashSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Unix time that corresponds to virtual time zero, in ms.
const EPOCH_MS: i64 = 1_700_000_000_000;
/// Monotonic time at which a process handles its first event.
const INITIAL_UPTIME: Span = Span(1_000_000);
/// Size of a message's body, in bytes.
const BODY_BYTES: usize = 200;
/// Maximum number of engine steps per batch of events. Executing commands may produce further events.
const MAX_STEPS_PER_BATCH: usize = 8;

/// Creates nodes that run the core. Each instance has its own folder with a journal. The folders are removed on drop.
#[derive(Debug)]
pub struct CoreNodes {
    root: PathBuf,
    max_disk_bytes: u64,
}

impl CoreNodes {
    /// Creates the parent folder of a run's journals. Each journal may occupy up to `max_disk_bytes` on disk.
    ///
    /// # Errors
    /// If the folder cannot be created.
    pub fn new(max_disk_bytes: u64) -> io::Result<CoreNodes> {
        static NEXT_RUN: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "marblefall-simulation-core-{}-{}",
            std::process::id(),
            NEXT_RUN.fetch_add(1, Ordering::Relaxed)
        );
        let root = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&root)?;
        Ok(CoreNodes {
            root,
            max_disk_bytes,
        })
    }

    /// Returns the folder of an instance's journal.
    pub fn folder(&self, instance: usize) -> PathBuf {
        self.root.join(instance.to_string())
    }

    /// Creates the node of an incarnation.
    pub fn node(&self, incarnation: Incarnation) -> Box<dyn Node> {
        Box::new(CoreNode {
            folder: self.folder(incarnation.instance),
            max_disk_bytes: self.max_disk_bytes,
            incarnation,
            core: None,
        })
    }
}

impl Drop for CoreNodes {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the temporary folder of the system.
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

/// A node that opens its core on the first call of `handle`, because the time is not available earlier.
struct CoreNode {
    folder: PathBuf,
    max_disk_bytes: u64,
    incarnation: Incarnation,
    core: Option<RunningCore>,
}

impl Node for CoreNode {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        if self.core.is_none() {
            match RunningCore::open(&self.folder, self.max_disk_bytes, &self.incarnation, now) {
                Ok(core) => self.core = Some(core),
                // The invariant checker reports the messages lost by this failure.
                Err(error) => {
                    let text = format!("{}: {error}", self.folder.display());
                    return actions.push(Action::Log(text));
                }
            }
        }
        if let Some(core) = &mut self.core {
            core.handle(now, events, actions);
        }
    }
}

/// Identity of an attempt in the engine.
#[derive(Clone, Copy)]
struct EngineAttempt {
    message_id: MessageId,
    attempt: u32,
}

/// An open core, with the mapping between its identities and those of the simulation.
struct RunningCore {
    engine: Engine,
    /// Whether messages carry an idempotency key, by class.
    has_idempotency_key: Vec<bool>,
    started_at: Time,
    /// Endpoints of the simulation, by the endpoint's id in the engine.
    endpoints: HashMap<EndpointId, EndpointId>,
    /// Last attempt of each message, by the message's id in the simulation.
    attempts: HashMap<MessageId, EngineAttempt>,
    /// Accepted submissions. Their final outcome arrives as a notice.
    accepted: HashSet<RequestId>,
    commands: Vec<EngineCommand>,
    /// Time at which the most recently set timer fires.
    timer_at: Option<Time>,
    last_timer: u64,
}

impl RunningCore {
    fn open(
        folder: &Path,
        max_disk_bytes: u64,
        incarnation: &Incarnation,
        now: Time,
    ) -> io::Result<RunningCore> {
        let classes = &incarnation.settings.classes;
        let class_names = (0..classes.len()).map(|class| class.to_string()).collect();
        let store = MessageStore::open(folder, max_disk_bytes, class_names)?;
        let mut commands = Vec::new();
        let engine = Engine::new(
            engine_settings(incarnation),
            store,
            timestamp(now, now),
            &mut commands,
        );
        Ok(RunningCore {
            engine,
            has_idempotency_key: classes.iter().map(has_idempotency_key).collect(),
            started_at: now,
            endpoints: HashMap::new(),
            attempts: HashMap::new(),
            accepted: HashSet::new(),
            commands,
            timer_at: None,
            last_timer: 0,
        })
    }

    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let mut batch: Vec<EngineEvent> = events
            .iter()
            .filter_map(|event| self.engine_event(event))
            .collect();
        for step in 0..MAX_STEPS_PER_BATCH {
            // The engine requires a later time for each step.
            let at = timestamp(self.started_at, now + Span(step as i64));
            self.engine.step(at, batch, &mut self.commands);
            batch = self.execute_commands(actions);
            if batch.is_empty() && !self.engine.has_backlog() {
                break;
            }
        }
        self.set_timer(now, actions);
    }

    /// Translates an event of the simulation. Returns `None` for an event that the engine does not need: a step without
    /// events is enough for it to handle the time that has passed.
    fn engine_event(&self, event: &Event) -> Option<EngineEvent> {
        match event {
            Event::Accepted(submitted) => Some(EngineEvent::Submitted(
                RequestId(submitted.message.0),
                self.engine_message(submitted),
            )),
            Event::AttemptFinished {
                message,
                outcome,
                duration,
                rate_limit,
                ..
            } => {
                let attempt = self.attempts.get(message)?;
                Some(EngineEvent::AttemptFinished(AttemptResult {
                    message_id: attempt.message_id,
                    attempt: attempt.attempt,
                    outcome: *outcome,
                    duration: *duration,
                    disposition: Disposition::Undecided,
                    rate_limit: *rate_limit,
                }))
            }
            Event::EndpointsReplaced(list) => Some(EngineEvent::EndpointsReplaced(
                list.iter().map(listed_endpoint).collect(),
            )),
            Event::EndpointsUpdated(updates) => Some(EngineEvent::EndpointsUpdated(
                updates.iter().map(listed_endpoint).collect(),
            )),
            Event::Resumed(..)
            | Event::TimerFired(_)
            | Event::Cancelled(_)
            | Event::HealthChecked { .. }
            | Event::RouteRestored(..)
            | Event::BackoffNotified { .. }
            | Event::EndpointListFailed => None,
        }
    }

    fn engine_message(&self, submitted: &NewMessage) -> Message {
        let identity = submitted.message.0.to_le_bytes().to_vec();
        let has_key = self.has_idempotency_key.get(submitted.class.0);
        let has_key = has_key.copied().unwrap_or(false);
        Message {
            origin: Origin::Platform,
            idempotency_key: has_key.then(|| identity.clone()),
            identity,
            class: submitted.class,
            destination: submitted.destination,
            expires_ms: EPOCH_MS + submitted.deadline.0.div_euclid(1000),
            attributes: Vec::new(),
            body: vec![b'x'; BODY_BYTES],
        }
    }

    /// Executes the pending commands of the engine. Returns the resulting events.
    fn execute_commands(&mut self, actions: &mut Vec<Action>) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        for command in std::mem::take(&mut self.commands) {
            match command {
                EngineCommand::Respond(request, response) => {
                    actions.extend(self.respond(request, &response));
                }
                EngineCommand::StartAttempt(attempt) => actions.push(self.start_attempt(&attempt)),
                EngineCommand::SendNotice {
                    message_id,
                    message,
                    outcome,
                } => {
                    actions.extend(final_action(simulation_message(&message), &outcome));
                    events.push(EngineEvent::NoticeAcknowledged(message_id));
                }
                EngineCommand::EndpointListed(id, endpoint) => {
                    let number = endpoint.name.parse().map_or(id, EndpointId);
                    self.endpoints.insert(id, number);
                }
                EngineCommand::CloseIdleConnections(endpoint) => {
                    let endpoint = self.endpoints.get(&endpoint).copied();
                    actions.extend(endpoint.map(Action::CloseIdleConnections));
                }
                // This is a defect of the core, so the run is aborted.
                EngineCommand::RuleViolated(rule, id) => {
                    panic!("{rule} would have been violated at message {}", id.0)
                }
                EngineCommand::Log(text) => actions.push(Action::Log(text)),
                // These commands have no effect in the simulation: the settings do not allow cancellation, endpoint ids are
                // not reused, and the incarnations of an instance do not overlap.
                EngineCommand::CancelAttempt(_)
                | EngineCommand::MessageFinished(_)
                | EngineCommand::EndpointRemoved(_)
                | EngineCommand::TookOver(_)
                | EngineCommand::HandedOver
                | EngineCommand::PolicyInForce(_)
                | EngineCommand::SetBackoff(..) => {}
            }
        }
        events
    }

    /// Returns the action that results from a response to a submission, if any.
    fn respond(&mut self, request: RequestId, response: &SubmitResponse) -> Option<Action> {
        let message = MessageId(request.0);
        match response {
            SubmitResponse::Accepted => {
                self.accepted.insert(request);
                None
            }
            SubmitResponse::Rejected { retry_after_ms } => Some(Action::Reject {
                message,
                retry_after: Span::from_ms(*retry_after_ms as f64),
            }),
            SubmitResponse::Finished(_) if self.accepted.remove(&request) => None,
            SubmitResponse::Finished(_)
            | SubmitResponse::Conflict
            | SubmitResponse::Undetermined => Some(Action::Fail(message)),
        }
    }

    fn start_attempt(&mut self, request: &AttemptRequest) -> Action {
        let message = simulation_message(&request.message);
        let attempt = EngineAttempt {
            message_id: request.message_id,
            attempt: request.attempt,
        };
        self.attempts.insert(message, attempt);
        let endpoint = self.endpoints.get(&request.endpoint).copied();
        Action::Send {
            message,
            endpoint: endpoint.unwrap_or(request.endpoint),
            timeout_at: self.virtual_time(request.timeout_at),
        }
    }

    /// Sets a timer for the engine's next wake-up, unless a timer that fires no later is pending.
    fn set_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.timer_at = self.timer_at.filter(|at| *at > now);
        let wake = self.engine.next_wake();
        let wake = wake.map(|at| self.virtual_time(at).max(now + Span(1)));
        let pending = self.timer_at;
        if let Some(at) = wake.filter(|at| pending.is_none_or(|pending| *at < pending)) {
            self.last_timer += 1;
            self.timer_at = Some(at);
            actions.push(Action::SetTimer {
                at,
                token: self.last_timer,
            });
        }
    }

    /// Converts a monotonic time of this process to virtual time.
    fn virtual_time(&self, at: Time) -> Time {
        at - INITIAL_UPTIME + (self.started_at - Time(0))
    }
}

fn engine_settings(incarnation: &Incarnation) -> EngineSettings {
    EngineSettings {
        retention_ms: vec![0; incarnation.settings.classes.len()],
        scheduler: incarnation.settings.clone(),
        seed: incarnation.seed,
        max_retained: 0,
    }
}

fn has_idempotency_key(class: &MessageClass) -> bool {
    matches!(class.idempotency, Idempotency::IdempotencyKey { .. })
}

/// Converts a virtual time to the clocks of a process that was started at `started_at`.
fn timestamp(started_at: Time, now: Time) -> Timestamp {
    Timestamp {
        monotonic: Time((now - started_at).0) + INITIAL_UPTIME,
        unix_ms: EPOCH_MS + now.0.div_euclid(1000),
    }
}

/// Returns the id of a message in the simulation, which is encoded in the message's identity.
fn simulation_message(message: &Message) -> MessageId {
    let bytes = message.identity.as_slice().try_into().unwrap_or_default();
    MessageId(u64::from_le_bytes(bytes))
}

/// Returns the action that reports a final outcome to the client. A delivery needs none, because the end of the attempt
/// already reports it.
fn final_action(message: MessageId, outcome: &FinalOutcome) -> Option<Action> {
    match outcome {
        FinalOutcome::Delivered => None,
        FinalOutcome::Returned { retry_after_ms } => Some(Action::Reject {
            message,
            retry_after: Span::from_ms(*retry_after_ms as f64),
        }),
        FinalOutcome::Failed | FinalOutcome::Expired => Some(Action::Fail(message)),
    }
}

fn listed_endpoint(update: &EndpointUpdate) -> ListedEndpoint {
    ListedEndpoint {
        name: update.endpoint.0.to_string(),
        started_ms: 0,
        address: String::new(),
        destination: update.destination,
        kind: update.kind,
        zone: update.zone,
        status: update.status,
        advertised_rate: update.advertised_rate,
        weight: update.weight,
    }
}

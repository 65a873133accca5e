//! The courier's core in the place of the bare decision module: engine, ledger and a journal on disk, which its next life
//! opens again. What the world says of an earlier life is not listened to: the journal must know.

use crate::simulation::{Life, Node};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptRequest, AttemptResult, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    Disposition, FinalOutcome, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::{
    Action, EndpointId, EndpointUpdate, Event, Idempotency, MessageClass, MessageId, Settings,
    Span, Time,
};
use std::collections::{HashMap, HashSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Virtual time counts from here on the Unix clock, in ms.
const EPOCH_MS: i64 = 1_700_000_000_000;
/// A process is so old when it is first asked anything.
const STARTED: Span = Span(1_000_000);
/// What a message's content weighs in the journal, in bytes.
const BODY: usize = 200;
/// Steps that one batch leads to at most: what became clear only while it was carried out.
const STEPS: usize = 8;

/// The folders of some couriers, removed when the run is over.
#[derive(Debug)]
pub struct Cores {
    root: PathBuf,
    disk: u64,
}

impl Cores {
    /// Folders for one run, which may hold so many bytes each.
    ///
    /// # Errors
    /// Of the disk.
    pub fn new(disk: u64) -> io::Result<Cores> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let own = format!(
            "marblefall-lab-cores-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let root = std::env::temp_dir().join(own);
        std::fs::create_dir_all(&root)?;
        Ok(Cores { root, disk })
    }

    /// Where a courier keeps what outlasts its process.
    pub fn folder(&self, courier: usize) -> PathBuf {
        self.root.join(courier.to_string())
    }

    /// The node of one life.
    pub fn node(&self, life: Life) -> Box<dyn Node> {
        let (folder, disk) = (self.folder(life.courier), self.disk);
        Box::new(Seat {
            folder,
            disk,
            life,
            running: None,
        })
    }
}

impl Drop for Cores {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

struct Seat {
    folder: PathBuf,
    disk: u64,
    life: Life,
    running: Option<Running>,
}

struct Running {
    engine: Engine,
    /// Of each class whether its receivers drop repeats by key.
    keyed: Vec<bool>,
    born: Time,
    /// The world's endpoints by the engine's numbers for them.
    hosts: HashMap<EndpointId, EndpointId>,
    /// Legs out: the engine's numbers of the message and of the leg.
    legs: HashMap<MessageId, (MessageId, u32)>,
    /// Hand-ins that were told that they are taken on; their end comes as a notice.
    taken: HashSet<u64>,
    orders: Vec<EngineCommand>,
    armed: Option<Time>,
    tokens: u64,
}

fn setup(settings: Settings, seed: u64) -> EngineSettings {
    EngineSettings {
        retention_ms: vec![0; settings.classes.len()],
        scheduler: settings,
        seed,
        max_retained: 0,
    }
}

impl Running {
    fn open(folder: &Path, disk: u64, life: &Life, now: Time) -> io::Result<Running> {
        let classes = (0..life.settings.classes.len())
            .map(|class| class.to_string())
            .collect();
        let store = MessageStore::open(folder, disk, classes)?;
        let mut orders = Vec::new();
        let engine = Engine::new(
            setup(life.settings.clone(), life.seed),
            store,
            stamp(now, now),
            &mut orders,
        );
        let (hosts, legs, taken) = Default::default();
        let is_keyed =
            |class: &MessageClass| matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
        let keyed = life.settings.classes.iter().map(is_keyed).collect();
        Ok(Running {
            engine,
            keyed,
            born: now,
            hosts,
            legs,
            taken,
            orders,
            armed: None,
            tokens: 0,
        })
    }

    fn input(&self, event: &Event) -> Option<EngineEvent> {
        Some(match event {
            Event::Accepted(handed) => {
                let identity = handed.message.0.to_le_bytes().to_vec();
                let keyed = self.keyed.get(handed.class.0).copied().unwrap_or(false);
                let message = Message {
                    origin: Origin::Platform,
                    idempotency_key: keyed.then(|| identity.clone()),
                    identity,
                    class: handed.class,
                    destination: handed.destination,
                    expires_ms: EPOCH_MS + handed.deadline.0.div_euclid(1000),
                    attributes: Vec::new(),
                    body: vec![b'x'; BODY],
                };
                EngineEvent::Submitted(RequestId(handed.message.0), message)
            }
            Event::AttemptFinished {
                message,
                outcome,
                duration: took,
                rate_limit: report,
                ..
            } => {
                let (seq, copy) = *self.legs.get(message)?;
                EngineEvent::AttemptFinished(AttemptResult {
                    message_id: seq,
                    attempt: copy,
                    outcome: *outcome,
                    duration: *took,
                    disposition: Disposition::Undecided,
                    rate_limit: *report,
                })
            }
            Event::EndpointsReplaced(entries) => {
                EngineEvent::EndpointsReplaced(entries.iter().map(host).collect())
            }
            Event::EndpointsUpdated(entries) => {
                EngineEvent::EndpointsUpdated(entries.iter().map(host).collect())
            }
            // The journal knows; a step without an input looks at the time.
            Event::Resumed(..)
            | Event::TimerFired(_)
            | Event::Cancelled(_)
            | Event::HealthChecked { .. }
            | Event::RouteRestored(..)
            | Event::BackoffNotified { .. }
            | Event::EndpointListFailed => return None,
        })
    }

    /// Does what the engine orders; gives what it is to be told of that.
    fn carry_out(&mut self, actions: &mut Vec<Action>) -> Vec<EngineEvent> {
        let mut told = Vec::new();
        for order in std::mem::take(&mut self.orders) {
            match order {
                EngineCommand::Respond(ticket, SubmitResponse::Accepted) => {
                    self.taken.insert(ticket.0);
                }
                EngineCommand::Respond(
                    ticket,
                    SubmitResponse::Rejected {
                        retry_after_ms: after_ms,
                    },
                ) => {
                    let retry_in = Span::from_ms(after_ms as f64);
                    actions.push(Action::Reject {
                        message: MessageId(ticket.0),
                        retry_after: retry_in,
                    });
                }
                EngineCommand::Respond(ticket, SubmitResponse::Finished(_))
                    if self.taken.remove(&ticket.0) => {}
                EngineCommand::Respond(
                    ticket,
                    SubmitResponse::Finished(_) | SubmitResponse::Conflict,
                ) => {
                    actions.push(Action::Fail(MessageId(ticket.0)));
                }
                EngineCommand::StartAttempt(AttemptRequest {
                    message_id: seq,
                    attempt: copy,
                    endpoint: host,
                    message,
                    timeout_at: cut_at,
                    ..
                }) => {
                    let message = id_of(&message);
                    self.legs.insert(message, (seq, copy));
                    let endpoint = self.hosts.get(&host).copied().unwrap_or(host);
                    actions.push(Action::Send {
                        message,
                        endpoint,
                        timeout_at: self.world(cut_at),
                    });
                }
                EngineCommand::SendNotice {
                    message_id: seq,
                    message,
                    outcome: end,
                } => {
                    let message = id_of(&message);
                    match end {
                        FinalOutcome::Delivered => {}
                        FinalOutcome::Returned {
                            retry_after_ms: after_ms,
                        } => {
                            let retry_in = Span::from_ms(after_ms as f64);
                            actions.push(Action::Reject {
                                message,
                                retry_after: retry_in,
                            });
                        }
                        FinalOutcome::Failed | FinalOutcome::Expired => {
                            actions.push(Action::Fail(message))
                        }
                    }
                    told.push(EngineEvent::NoticeAcknowledged(seq));
                }
                EngineCommand::EndpointListed(id, host) => {
                    let number = host.name.parse().map_or(id, EndpointId);
                    self.hosts.insert(id, number);
                }
                EngineCommand::CloseIdleConnections(host) => {
                    actions.extend(
                        self.hosts
                            .get(&host)
                            .map(|endpoint| Action::CloseIdleConnections(*endpoint)),
                    );
                }
                // A fault of the program, which a run must not survive.
                EngineCommand::RuleViolated(rule, id) => {
                    panic!("{rule} would have been broken at message {}", id.0)
                }
                EngineCommand::Log(text) => actions.push(Action::Log(text)),
                // Nothing is called off under the lab's settings, and numbers of hosts are not used again.
                EngineCommand::CancelAttempt(_)
                | EngineCommand::MessageFinished(_)
                | EngineCommand::EndpointRemoved(_) => {}
                // No two lives of a courier run beside each other here.
                EngineCommand::TookOver(_)
                | EngineCommand::HandedOver
                | EngineCommand::PolicyInForce(_)
                | EngineCommand::SetBackoff(..) => {}
            }
        }
        told
    }

    fn world(&self, at: Time) -> Time {
        at - STARTED + (self.born - Time(0))
    }
}

/// The moment of the world as a process born at one knows it.
fn stamp(born: Time, now: Time) -> Timestamp {
    Timestamp {
        monotonic: Time((now - born).0) + STARTED,
        unix_ms: EPOCH_MS + now.0.div_euclid(1000),
    }
}

fn id_of(message: &Message) -> MessageId {
    let bytes = message.identity.as_slice().try_into().unwrap_or_default();
    MessageId(u64::from_le_bytes(bytes))
}

fn host(entry: &EndpointUpdate) -> ListedEndpoint {
    ListedEndpoint {
        name: entry.endpoint.0.to_string(),
        address: String::new(),
        destination: entry.destination,
        kind: entry.kind,
        zone: entry.zone,
        status: entry.status,
        advertised_rate: entry.advertised_rate,
        weight: entry.weight,
    }
}

impl Node for Seat {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        if self.running.is_none() {
            match Running::open(&self.folder, self.disk, &self.life, now) {
                Ok(running) => self.running = Some(running),
                // Whatever it owes is then lost, and the checkers say so.
                Err(error) => {
                    return actions.push(Action::Log(format!("{}: {error}", self.folder.display())))
                }
            }
        }
        let Some(running) = &mut self.running else {
            return;
        };
        let mut inputs: Vec<EngineEvent> = events
            .iter()
            .filter_map(|event| running.input(event))
            .collect();
        for step in 0..STEPS {
            // No two batches of an engine bear the same time.
            let at = now + Span(step as i64);
            running
                .engine
                .step(stamp(running.born, at), inputs, &mut running.orders);
            inputs = running.carry_out(actions);
            if inputs.is_empty() && !running.engine.has_backlog() {
                break;
            }
        }
        let wake = running
            .engine
            .next_wake()
            .map(|at| running.world(at).max(now + Span(1)));
        let armed = running.armed.filter(|armed| *armed > now);
        if let Some(at) = wake.filter(|at| armed.is_none_or(|armed| *at < armed)) {
            running.tokens += 1;
            running.armed = Some(at);
            actions.push(Action::SetTimer {
                at,
                token: running.tokens,
            });
        } else {
            running.armed = armed;
        }
    }
}

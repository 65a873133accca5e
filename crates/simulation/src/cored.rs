//! The courier's core in the place of the bare decision module: engine, ledger and a journal on disk, which its next life
//! opens again. What the world says of an earlier life is not listened to: the journal must know.

use crate::world::{Life, Node};
use marblefall_delivery::core::engine::{Engine, Host, Input, Order, Setup};
use marblefall_delivery::core::ledger::Ledger;
use marblefall_delivery::core::{Answer, Authorisation, End, Origin, Seq, Stamp, Ticket, Verdict};
use marblefall_scheduler::{
    Action, Class, Effect, EndpointId, Entry, Event, MessageId, Settings, Span, Time,
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
        let own =
            format!("marblefall-lab-cores-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
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
        Box::new(Seat { folder, disk, life, running: None })
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
    legs: HashMap<MessageId, (Seq, u32)>,
    /// Hand-ins that were told that they are taken on; their end comes as a notice.
    taken: HashSet<u64>,
    orders: Vec<Order>,
    armed: Option<Time>,
    tokens: u64,
}

fn setup(settings: Settings, seed: u64) -> Setup {
    Setup { remember_ms: vec![0; settings.classes.len()], settings, seed, remember_most: 0 }
}

impl Running {
    fn open(folder: &Path, disk: u64, life: &Life, now: Time) -> io::Result<Running> {
        let classes = (0..life.settings.classes.len()).map(|class| class.to_string()).collect();
        let ledger = Ledger::open(folder, disk, classes)?;
        let mut orders = Vec::new();
        let engine =
            Engine::new(setup(life.settings.clone(), life.seed), ledger, stamp(now, now), &mut orders);
        let (hosts, legs, taken) = Default::default();
        let is_keyed = |class: &Class| matches!(class.effect, Effect::Token { .. });
        let keyed = life.settings.classes.iter().map(is_keyed).collect();
        Ok(Running { engine, keyed, born: now, hosts, legs, taken, orders, armed: None, tokens: 0 })
    }

    fn input(&self, event: &Event) -> Option<Input> {
        Some(match event {
            Event::Accepted(handed) => {
                let identity = handed.message.0.to_le_bytes().to_vec();
                let keyed = self.keyed.get(handed.class.0).copied().unwrap_or(false);
                let authorisation = Authorisation {
                    origin: Origin::Relay,
                    repeat_key: keyed.then(|| identity.clone()),
                    identity,
                    class: handed.class,
                    destination: handed.destination,
                    expires_ms: EPOCH_MS + handed.expires.0.div_euclid(1000),
                    attributes: Vec::new(),
                    body: vec![b'x'; BODY],
                };
                Input::Offered(Ticket(handed.message.0), authorisation)
            }
            Event::Closed { message, outcome, took, report, .. } => {
                let (seq, copy) = *self.legs.get(message)?;
                Input::LegEnded {
                    seq,
                    copy,
                    outcome: *outcome,
                    took: *took,
                    verdict: Verdict::Open,
                    report: *report,
                }
            }
            Event::Listed(entries) => Input::Listed(entries.iter().map(host).collect()),
            Event::Changed(entries) => Input::Changed(entries.iter().map(host).collect()),
            // The journal knows; a step without an input looks at the time.
            Event::Resumed(..)
            | Event::Due(_)
            | Event::Gone(_)
            | Event::Probed { .. }
            | Event::Recalled(..)
            | Event::Waits(..)
            | Event::ListFailed => return None,
        })
    }

    /// Does what the engine orders; gives what it is to be told of that.
    fn carry_out(&mut self, actions: &mut Vec<Action>) -> Vec<Input> {
        let mut told = Vec::new();
        for order in std::mem::take(&mut self.orders) {
            match order {
                Order::Answer(ticket, Answer::TakenOn) => drop(self.taken.insert(ticket.0)),
                Order::Answer(ticket, Answer::Declined(after_ms)) => {
                    let retry_in = Span::from_ms(after_ms as f64);
                    actions.push(Action::Refuse { message: MessageId(ticket.0), retry_in });
                }
                Order::Answer(ticket, Answer::Ended(_)) if self.taken.remove(&ticket.0) => {}
                Order::Answer(ticket, Answer::Ended(_) | Answer::Conflict) => {
                    actions.push(Action::Fail(MessageId(ticket.0)));
                }
                Order::Leg { seq, copy, host, authorisation, cut_at, .. } => {
                    let message = id_of(&authorisation);
                    self.legs.insert(message, (seq, copy));
                    let endpoint = self.hosts.get(&host).copied().unwrap_or(host);
                    actions.push(Action::Send { message, endpoint, cut_at: self.world(cut_at) });
                }
                Order::Notice(seq, authorisation, end) => {
                    let message = id_of(&authorisation);
                    match end {
                        End::Delivered => {}
                        End::Returned(after_ms) => {
                            let retry_in = Span::from_ms(after_ms as f64);
                            actions.push(Action::Refuse { message, retry_in });
                        }
                        End::Failed | End::Expired => actions.push(Action::Fail(message)),
                    }
                    told.push(Input::NoticeTaken(seq));
                }
                Order::Host(id, host) => {
                    let number = host.name.parse().map_or(id, EndpointId);
                    self.hosts.insert(id, number);
                }
                Order::CloseIdle(host) => {
                    actions.extend(self.hosts.get(&host).map(|endpoint| Action::Close(*endpoint)));
                }
                Order::Log(text) => actions.push(Action::Log(text)),
                // Nothing is called off under the lab's settings, and numbers of hosts are not used again.
                Order::Abandon(_) | Order::Ended(_) | Order::HostGone(_) => {}
                // No two lives of a courier run beside each other here.
                Order::TookUp(_) | Order::HandedOver | Order::Changed(_) | Order::Wait(..) => {}
            }
        }
        told
    }

    fn world(&self, at: Time) -> Time {
        at - STARTED + (self.born - Time(0))
    }
}

/// The moment of the world as a process born at one knows it.
fn stamp(born: Time, now: Time) -> Stamp {
    Stamp { mono: Time((now - born).0) + STARTED, unix_ms: EPOCH_MS + now.0.div_euclid(1000) }
}

fn id_of(authorisation: &Authorisation) -> MessageId {
    let bytes = authorisation.identity.as_slice().try_into().unwrap_or_default();
    MessageId(u64::from_le_bytes(bytes))
}

fn host(entry: &Entry) -> Host {
    Host {
        name: entry.endpoint.0.to_string(),
        address: String::new(),
        destination: entry.destination,
        kind: entry.kind,
        zone: entry.zone,
        listing: entry.listing,
        share: entry.share,
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
        let Some(running) = &mut self.running else { return };
        let mut inputs: Vec<Input> = events.iter().filter_map(|event| running.input(event)).collect();
        for step in 0..STEPS {
            // No two batches of an engine bear the same time.
            let at = now + Span(step as i64);
            running.engine.step(stamp(running.born, at), inputs, &mut running.orders);
            inputs = running.carry_out(actions);
            if inputs.is_empty() && !running.engine.has_backlog() {
                break;
            }
        }
        let wake = running.engine.next_wake().map(|at| running.world(at).max(now + Span(1)));
        let armed = running.armed.filter(|armed| *armed > now);
        if let Some(at) = wake.filter(|at| armed.is_none_or(|armed| *at < armed)) {
            running.tokens += 1;
            running.armed = Some(at);
            actions.push(Action::Wake { at, token: running.tokens });
        } else {
            running.armed = armed;
        }
    }
}

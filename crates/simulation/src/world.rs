//! Plays a scenario: discrete events in virtual time on a heap, everything drawn from one seed.
//!
//! The couriers are reached through the decision module's own interface, as the program embeds it: what came in as
//! events, what is to be done as actions. What a courier would have in its journal is kept here for its next life.

use crate::partner::{Fate, Running};
use crate::scenario::{Arrivals, Load, Scenario};
use crate::seen::{End, Seen};
use crate::wires::{Found, Wires};
use marblefall_scheduler::{
    Action, AttemptNumber, ClassId, DestinationId, EndpointId, EndpointStatus, EndpointUpdate,
    Event, KindId, MessageId, NewMessage, Outcome, PriorAttempts, RateLimitReport, Scheduler,
    Settings, Span, Time, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What decides for one courier: the decision module, or a double of it with a fault.
pub trait Node {
    /// Takes all that one batch brought, then decides.
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>);
}

impl Node for Scheduler {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, events, actions);
    }
}

/// One life of a courier, as its node is made for it.
#[derive(Clone, Debug)]
pub struct Life {
    /// What it is told.
    pub settings: Settings,
    /// For its draws.
    pub seed: u64,
    /// Which courier it is, the same over all its lives.
    pub courier: usize,
}

/// Makes the node of a courier's life.
pub type Make<'a> = &'a dyn Fn(Life) -> Box<dyn Node>;

/// The decision module as it serves.
pub fn in_service(life: Life) -> Box<dyn Node> {
    Box::new(Scheduler::new(life.settings, life.seed))
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Messages that couriers took on.
    pub messages: u64,
    /// Legs that they began.
    pub legs: u64,
    /// When it was over, in virtual time.
    pub over: Time,
}

/// Time for the last answers and ends, after the last deadline.
const AFTER: Span = Span(5_000_000);
/// A client that finds no courier alive tries again after this.
const NOBODY: Span = Span(100_000);

struct Message {
    class: usize,
    partner: usize,
    load: usize,
    courier: usize,
    meant: Time,
    expires: Time,
    /// Times that its client may hand it in again.
    again: u32,
    attempts: u32,
    out: Option<(EndpointId, Time)>,
    /// Whether its leg holds a connection that is counted.
    wired: bool,
    ran: Option<(Time, EndpointId)>,
    ended: bool,
}

enum Happening {
    /// The next message of a load.
    Arrival(usize),
    /// A client hands one in.
    HandIn {
        class: usize,
        partner: usize,
        load: usize,
        meant: Time,
        again: u32,
    },
    /// A leg's first byte comes to its endpoint.
    Comes {
        message: u64,
        life: u32,
        endpoint: EndpointId,
        cut_at: Time,
    },
    /// A leg ends for its courier.
    Ends {
        message: u64,
        life: u32,
        outcome: Outcome,
    },
    /// A timer of a courier.
    Due {
        courier: usize,
        life: u32,
        token: u64,
    },
    /// News of the list, by its place in the scenario.
    News(usize),
    /// The same comes to a courier.
    NewsComes {
        courier: usize,
        life: u32,
        entry: Box<EndpointUpdate>,
    },
    /// A courier dies, by the crash's place in the scenario.
    Crash(usize),
    /// It begins again.
    Begin(usize),
}

struct Turn(Time, u64, Happening);

impl PartialEq for Turn {
    fn eq(&self, other: &Turn) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Turn {}
impl PartialOrd for Turn {
    fn partial_cmp(&self, other: &Turn) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Turn {
    fn cmp(&self, other: &Turn) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Seat {
    node: Option<Box<dyn Node>>,
    life: u32,
}

struct World<'s> {
    scenario: &'s Scenario,
    settings: Settings,
    make: Make<'s>,
    seed: u64,
    rng: Pcg64,
    heap: BinaryHeap<Reverse<Turn>>,
    turns: u64,
    now: Time,
    seats: Vec<Seat>,
    partners: Vec<Running>,
    /// For each endpoint its partner and place there.
    places: Vec<(usize, usize)>,
    listed: Vec<EndpointStatus>,
    messages: HashMap<u64, Message>,
    next: u64,
    played: Played,
    see: &'s mut dyn FnMut(Time, &Seen),
    wires: Wires,
    /// For each load how far its trace has been played.
    traced: Vec<usize>,
    /// Actions of the step that runs, kept for their room.
    actions: Vec<Action>,
}

/// Plays a scenario from a seed; `see` is told all that is seen, in its order.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    make: Make<'_>,
    see: &mut dyn FnMut(Time, &Seen),
) -> Played {
    let places = scenario.places();
    let mut world = World {
        settings: scenario.settings(),
        make,
        seed,
        rng: Pcg64::seed_from_u64(seed),
        heap: BinaryHeap::new(),
        turns: 0,
        now: Time(0),
        seats: (0..scenario.couriers)
            .map(|_| Seat {
                node: None,
                life: 0,
            })
            .collect(),
        partners: scenario.partners.iter().map(Running::new).collect(),
        listed: vec![EndpointStatus::Active; places.len()],
        places,
        messages: HashMap::new(),
        next: 0,
        played: Played::default(),
        wires: Wires::new(scenario.caps.idle_timeout),
        traced: vec![0; scenario.loads.len()],
        see,
        actions: Vec::new(),
        scenario,
    };
    world.begin();
    while let Some(Reverse(Turn(at, _, happening))) = world.heap.pop() {
        if at > world.played.over {
            break;
        }
        world.now = at;
        world.happen(happening);
    }
    world.played
}

impl World<'_> {
    fn begin(&mut self) {
        let longest = self
            .scenario
            .classes
            .iter()
            .map(|class| class.class.deadline)
            .max()
            .unwrap_or(Span::ZERO);
        self.played.over = self.scenario.length() + longest + AFTER;
        for courier in 0..self.seats.len() {
            self.begin_life(courier);
        }
        for load in 0..self.scenario.loads.len() {
            self.next_arrival(load);
        }
        for (place, news) in self.scenario.news.iter().enumerate() {
            self.later(news.at, Happening::News(place));
        }
        for (place, crash) in self.scenario.crashes.iter().enumerate() {
            self.later(crash.at, Happening::Crash(place));
        }
    }

    fn later(&mut self, at: Time, happening: Happening) {
        self.turns += 1;
        self.heap.push(Reverse(Turn(at, self.turns, happening)));
    }

    /// One way over the network.
    fn way(&mut self) -> Span {
        let network = &self.scenario.network;
        Span::from_ms(network.delay_ms + network.jitter_ms * self.rng.random::<f64>())
    }

    fn lost(&mut self) -> bool {
        self.scenario.network.loss > 0.0 && self.rng.random::<f64>() < self.scenario.network.loss
    }

    fn saw(&mut self, seen: Seen) {
        (self.see)(self.now, &seen);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(load) => self.arrive(load),
            Happening::HandIn {
                class,
                partner,
                load,
                meant,
                again,
            } => {
                self.hand_in(class, partner, load, meant, again);
            }
            Happening::Comes {
                message,
                life,
                endpoint,
                cut_at,
            } => self.comes(message, life, endpoint, cut_at),
            Happening::Ends {
                message,
                life,
                outcome,
            } => self.leg_ends(message, life, outcome),
            Happening::Due {
                courier,
                life,
                token,
            } if self.seats[courier].life == life => {
                self.tell(courier, &[Event::TimerFired(token)]);
            }
            Happening::NewsComes {
                courier,
                life,
                entry,
            } if self.seats[courier].life == life => {
                self.tell(courier, &[Event::EndpointsUpdated(vec![*entry])]);
            }
            Happening::Due { .. } | Happening::NewsComes { .. } => {}
            Happening::News(place) => self.news(place),
            Happening::Crash(place) => self.crash(place),
            Happening::Begin(courier) => {
                self.saw(Seen::Began { courier });
                self.begin_life(courier);
            }
        }
    }

    /// A life of a courier: it is told the list, then what its last life owes.
    fn begin_life(&mut self, courier: usize) {
        let life = self.seats[courier].life;
        let seed = self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ (courier as u64) << 32
            ^ u64::from(life);
        self.seats[courier].node = Some((self.make)(Life {
            settings: self.settings.clone(),
            seed,
            courier,
        }));
        let entries = (0..self.places.len())
            .map(|endpoint| self.entry(endpoint))
            .collect();
        let mut events = vec![Event::EndpointsReplaced(entries)];
        let mut owed: Vec<u64> = self
            .messages
            .iter()
            .filter(|(_, m)| m.courier == courier && !m.ended)
            .map(|(id, _)| *id)
            .collect();
        owed.sort_unstable();
        for id in owed {
            let message = &self.messages[&id];
            let past = PriorAttempts {
                attempts: message.attempts,
                first_executed: message.ran,
                in_flight: None,
            };
            events.push(Event::Resumed(handed(id, message), past));
        }
        self.tell(courier, &events);
    }

    fn entry(&self, endpoint: usize) -> EndpointUpdate {
        let (partner, _) = self.places[endpoint];
        EndpointUpdate {
            endpoint: EndpointId(endpoint as u32),
            destination: DestinationId(partner as u64),
            kind: KindId(0),
            zone: ZoneId(0),
            status: self.listed[endpoint],
            advertised_rate: self.scenario.partners[partner].listed.unwrap_or(1.0),
            weight: None,
        }
    }

    fn next_arrival(&mut self, load: usize) {
        let spec: &Load = &self.scenario.loads[load];
        let (mut at, end) = (self.now, self.scenario.length());
        if let Some(times) = &spec.trace {
            let next = times.get(self.traced[load]).filter(|at| **at < end);
            self.traced[load] += 1;
            next.into_iter()
                .for_each(|at| self.later(*at, Happening::Arrival(load)));
            return;
        }
        // Thinned: drawn at the highest rate that the curve reaches, and kept by its part of it.
        let most = spec.most / spec.arrivals.clump();
        if most <= 0.0 {
            return;
        }
        loop {
            let gap = match spec.arrivals {
                Arrivals::Even => 1.0 / most,
                Arrivals::Poisson | Arrivals::Clumps(_) => self.rng.sample::<f64, _>(Exp1) / most,
            };
            at = at + Span(((gap * 1e6) as i64).max(1));
            if at >= end {
                return;
            }
            let rate = spec.rate.at(at.ms() / 1000.0) / spec.arrivals.clump();
            if rate >= most || self.rng.random::<f64>() * most < rate {
                return self.later(at, Happening::Arrival(load));
            }
        }
    }

    fn arrive(&mut self, load: usize) {
        let spec = &self.scenario.loads[load];
        let (class, again) = (spec.class, spec.retries);
        for _ in 0..spec.arrivals.clump() as usize {
            let partners = &self.scenario.loads[load].partners;
            let partner = partners[self.rng.random_range(0..partners.len())];
            let meant = self.now;
            let way = self.way();
            self.later(
                meant + way,
                Happening::HandIn {
                    class,
                    partner,
                    load,
                    meant,
                    again,
                },
            );
        }
        self.next_arrival(load);
    }

    fn hand_in(&mut self, class: usize, partner: usize, load: usize, meant: Time, again: u32) {
        let expires = meant + self.scenario.classes[class].class.deadline;
        if expires <= self.now {
            return;
        }
        let alive = self.seats.iter().filter(|seat| seat.node.is_some()).count();
        if alive == 0 {
            return self.later(
                self.now + NOBODY,
                Happening::HandIn {
                    class,
                    partner,
                    load,
                    meant,
                    again,
                },
            );
        }
        let turn = self.rng.random_range(0..alive);
        let living = self
            .seats
            .iter()
            .enumerate()
            .filter(|(_, seat)| seat.node.is_some());
        let courier = living.map(|(courier, _)| courier).nth(turn).unwrap_or(0);
        self.next += 1;
        let (id, out, wired, ran, ended) = (self.next, None, false, None, false);
        let attempts = 0;
        let message = Message {
            class,
            partner,
            load,
            courier,
            meant,
            expires,
            again,
            attempts,
            out,
            wired,
            ran,
            ended,
        };
        let event = Event::Accepted(handed(id, &message));
        self.messages.insert(id, message);
        self.played.messages += 1;
        let first = again == self.scenario.loads[load].retries;
        self.saw(Seen::TakenOn {
            message: id,
            courier,
            class,
            partner,
            meant,
            expires,
            first,
        });
        self.tell(courier, &[event]);
    }

    /// Gives a courier events and does what it says.
    fn tell(&mut self, courier: usize, events: &[Event]) {
        let Some(node) = &mut self.seats[courier].node else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        node.handle(self.now, events, &mut actions);
        let life = self.seats[courier].life;
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    message,
                    endpoint,
                    timeout_at: cut_at,
                } => self.send(courier, life, message.0, endpoint, cut_at),
                Action::Reject {
                    message,
                    retry_after: retry_in,
                } => self.end(message.0, End::Refused(retry_in)),
                Action::Fail(message) => self.end(message.0, End::Failed),
                Action::SetTimer { at, token } => {
                    let at = at.max(self.now + Span(1));
                    self.later(
                        at,
                        Happening::Due {
                            courier,
                            life,
                            token,
                        },
                    );
                }
                Action::CloseIdleConnections(endpoint) => {
                    self.wires.close_idle(courier, endpoint.0)
                }
                // Nothing is called off or probed under these settings, and the list comes unasked.
                Action::Cancel { .. }
                | Action::HealthCheck(_)
                | Action::Subscribe
                | Action::Log(_) => {}
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, courier: usize, life: u32, id: u64, endpoint: EndpointId, cut_at: Time) {
        let now = self.now;
        self.saw(Seen::Sent {
            message: id,
            courier,
            endpoint: endpoint.0,
        });
        self.played.legs += 1;
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts += 1;
            message.out = Some((endpoint, now));
        }
        let mut way = self.way();
        if let Some(wire) = self.scenario.partners[self.places[endpoint.0 as usize].0].wire {
            let found = self.wires.take(now, courier, endpoint.0, &wire);
            let there_and_back = Span(way.0 + self.way().0);
            let ends = |outcome| Happening::Ends {
                message: id,
                life,
                outcome,
            };
            match found {
                Found::Closed => {
                    return self.later(now + there_and_back, ends(Outcome::StaleConnection))
                }
                Found::NoRoom => {
                    return self.later(now + there_and_back, ends(Outcome::ConnectFailed))
                }
                Found::New => way = Span(way.0 + there_and_back.0 + wire.connect.0),
                Found::Kept => {}
            }
            self.messages
                .get_mut(&id)
                .into_iter()
                .for_each(|message| message.wired = true);
        }
        let cut_off = self
            .scenario
            .cut_off(self.places[endpoint.0 as usize].0, now);
        if cut_off || self.lost() {
            return self.later(
                cut_at,
                Happening::Ends {
                    message: id,
                    life,
                    outcome: Outcome::TimedOut,
                },
            );
        }
        self.later(
            now + way,
            Happening::Comes {
                message: id,
                life,
                endpoint,
                cut_at,
            },
        );
    }

    fn comes(&mut self, message: u64, life: u32, endpoint: EndpointId, cut_at: Time) {
        self.saw(Seen::Came {
            message,
            endpoint: endpoint.0,
        });
        let (partner, place) = self.places[endpoint.0 as usize];
        let Fate { answer, fell } = self.partners[partner].take(self.now, place, &mut self.rng);
        if fell {
            self.saw(Seen::Fell { partner });
        }
        let way = self.way();
        let lost = self.lost() || self.scenario.cut_off(partner, self.now);
        let (at, outcome) = match answer.filter(|_| !lost) {
            Some((at, outcome)) if at + way < cut_at => (at + way, outcome),
            _ => (cut_at, Outcome::TimedOut),
        };
        self.later(
            at.max(self.now + Span(1)),
            Happening::Ends {
                message,
                life,
                outcome,
            },
        );
    }

    fn leg_ends(&mut self, id: u64, life: u32, outcome: Outcome) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let courier = message.courier;
        if self.seats[courier].life != life {
            return;
        }
        let Some((endpoint, sent)) = message.out.take() else {
            return;
        };
        if !outcome.not_executed() {
            message.ran.get_or_insert((sent, endpoint));
        }
        if std::mem::take(&mut message.wired) {
            let whole = matches!(
                outcome,
                Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }
            );
            self.wires.give_back(self.now, courier, endpoint.0, whole);
        }
        let copy = AttemptNumber(message.attempts - 1);
        let (took, last) = (
            self.now - sent,
            outcome == Outcome::Delivered && !message.ended,
        );
        self.saw(Seen::Closed {
            message: id,
            courier,
            endpoint: endpoint.0,
            outcome,
        });
        if last {
            self.end(id, End::Delivered);
        }
        let report = RateLimitReport::default();
        self.tell(
            courier,
            &[Event::AttemptFinished {
                message: MessageId(id),
                attempt: copy,
                outcome,
                duration: took,
                is_final: last,
                rate_limit: report,
            }],
        );
        if self
            .messages
            .get(&id)
            .is_some_and(|message| message.ended && message.out.is_none())
        {
            self.messages.remove(&id);
        }
    }

    fn end(&mut self, id: u64, end: End) {
        self.saw(Seen::Ended { message: id, end });
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.ended = true;
        let (class, partner, load, meant) =
            (message.class, message.partner, message.load, message.meant);
        let (again, is_out) = (message.again, message.out.is_some());
        // What was delivered is forgotten once its courier knows.
        if !is_out && end != End::Delivered {
            self.messages.remove(&id);
        }
        if let (End::Refused(wait), 1..) = (end, again) {
            let way = self.way();
            let again = again - 1;
            self.later(
                self.now + wait + way,
                Happening::HandIn {
                    class,
                    partner,
                    load,
                    meant,
                    again,
                },
            );
        }
    }

    fn news(&mut self, place: usize) {
        let news = &self.scenario.news[place];
        let endpoint = news.endpoint;
        self.listed[endpoint] = news.listing;
        self.saw(Seen::Listed {
            endpoint: endpoint as u32,
            listing: self.listed[endpoint],
        });
        for courier in 0..self.seats.len() {
            let (way, life) = (self.way(), self.seats[courier].life);
            let entry = Box::new(self.entry(endpoint));
            self.later(
                self.now + way,
                Happening::NewsComes {
                    courier,
                    life,
                    entry,
                },
            );
        }
    }

    fn crash(&mut self, place: usize) {
        let crash = self.scenario.crashes[place];
        let seat = &mut self.seats[crash.courier];
        if seat.node.take().is_none() {
            return;
        }
        seat.life += 1;
        self.saw(Seen::Died {
            courier: crash.courier,
        });
        self.wires.died(crash.courier);
        let mut over = Vec::new();
        for (id, message) in self
            .messages
            .iter_mut()
            .filter(|(_, message)| message.courier == crash.courier)
        {
            // A leg that was out may have run.
            if let Some((endpoint, sent)) = message.out.take() {
                message.ran.get_or_insert((sent, endpoint));
                if std::mem::take(&mut message.wired) {
                    self.wires
                        .give_back(self.now, crash.courier, endpoint.0, false);
                }
            }
            if message.ended {
                over.push(*id);
            }
        }
        for id in over {
            self.messages.remove(&id);
        }
        self.later(self.now + crash.back_after, Happening::Begin(crash.courier));
    }
}

fn handed(id: u64, message: &Message) -> NewMessage {
    NewMessage {
        message: MessageId(id),
        class: ClassId(message.class),
        tenant: None,
        ordering_key: None,
        deadline: message.expires,
        destination: DestinationId(message.partner as u64),
    }
}

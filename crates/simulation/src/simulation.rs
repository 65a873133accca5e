//! Plays a scenario: discrete events in virtual time, everything drawn from one seed.
//!
//! The couriers are reached through the scheduler's own interface, as the program embeds it: what came in as events, what
//! is to be done as actions. What a courier would have in its journal is kept here for its next incarnation.
//!
//! `event_queue` says what is to happen when, `clients` hand messages in, `couriers` are started, told and obeyed, and
//! `attempts` travel to endpoints and back.

mod attempts;
mod clients;
mod couriers;
mod event_queue;

use crate::partner::Running;
use crate::scenario::Scenario;
use crate::seen::Seen;
use crate::wires::Wires;
use event_queue::{EventQueue, SimulationEvent, Submission};
use marblefall_scheduler::{
    Action, EndpointId, EndpointStatus, Event, Scheduler, Settings, Span, Time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;

/// What decides for one courier: the scheduler, or a mutant of it with a fault.
pub trait Node {
    /// Takes all that one batch brought, then decides.
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>);
}

impl Node for Scheduler {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, events, actions);
    }
}

/// One incarnation of a courier, as its node is made for it.
#[derive(Clone, Debug)]
pub struct Life {
    /// What it is told.
    pub settings: Settings,
    /// For its draws.
    pub seed: u64,
    /// Which courier it is, the same over all its incarnations.
    pub courier: usize,
}

/// Makes the node of a courier's incarnation.
pub type Make<'a> = &'a dyn Fn(Life) -> Box<dyn Node>;

/// The scheduler as it serves.
pub fn in_service(life: Life) -> Box<dyn Node> {
    Box::new(Scheduler::new(life.settings, life.seed))
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Messages that couriers accepted.
    pub messages: u64,
    /// Attempts that they started.
    pub legs: u64,
    /// When it was over, in virtual time.
    pub over: Time,
}
/// Time for the last answers and ends, after the last deadline.
const DRAIN_TIME: Span = Span(5_000_000);

/// A message that a courier accepted.
struct Message {
    submission: Submission,
    courier: usize,
    expires: Time,
    attempts: u32,
    /// Where its attempt in flight goes, and when that was sent.
    in_flight: Option<(EndpointId, Time)>,
    /// Whether its attempt holds a connection that is counted.
    holds_connection: bool,
    /// The first attempt that may have been executed.
    first_possible_execution: Option<(Time, EndpointId)>,
    ended: bool,
}

impl Message {
    fn new(submission: Submission, courier: usize, expires: Time) -> Message {
        Message {
            submission,
            courier,
            expires,
            attempts: 0,
            in_flight: None,
            holds_connection: false,
            first_possible_execution: None,
            ended: false,
        }
    }
}

/// A courier, which runs or does not.
#[derive(Default)]
struct CourierSlot {
    node: Option<Box<dyn Node>>,
    /// Incarnations before the one that runs.
    incarnation: u32,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    settings: Settings,
    make_node: Make<'s>,
    seed: u64,
    rng: Pcg64,
    queue: EventQueue,
    now: Time,
    couriers: Vec<CourierSlot>,
    partners: Vec<Running>,
    /// For each endpoint its partner and place there.
    endpoint_places: Vec<(usize, usize)>,
    listed_status: Vec<EndpointStatus>,
    messages: HashMap<u64, Message>,
    last_message: u64,
    played: Played,
    observer: &'s mut dyn FnMut(Time, &Seen),
    wires: Wires,
    /// For each load how far its trace has been played.
    trace_positions: Vec<usize>,
    /// Actions of the step that runs, kept for their room.
    actions: Vec<Action>,
}

/// Plays a scenario from a seed; `observer` is told all that is seen, in its order.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    make_node: Make<'_>,
    observer: &mut dyn FnMut(Time, &Seen),
) -> Played {
    let endpoint_places = scenario.places();
    let simulation = Simulation {
        settings: scenario.settings(),
        make_node,
        seed,
        rng: Pcg64::seed_from_u64(seed),
        queue: EventQueue::default(),
        now: Time(0),
        couriers: (0..scenario.couriers)
            .map(|_| CourierSlot::default())
            .collect(),
        partners: scenario.partners.iter().map(Running::new).collect(),
        listed_status: vec![EndpointStatus::Active; endpoint_places.len()],
        endpoint_places,
        messages: HashMap::new(),
        last_message: 0,
        played: Played::default(),
        wires: Wires::new(scenario.caps.idle_timeout),
        trace_positions: vec![0; scenario.loads.len()],
        observer,
        actions: Vec::new(),
        scenario,
    };
    simulation.run()
}

impl Simulation<'_> {
    fn run(mut self) -> Played {
        self.begin();
        while let Some((at, event)) = self.queue.pop() {
            if at > self.played.over {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.played
    }

    fn begin(&mut self) {
        let deadlines = self
            .scenario
            .classes
            .iter()
            .map(|class| class.class.deadline);
        let longest = deadlines.max().unwrap_or(Span::ZERO);
        self.played.over = self.scenario.length() + longest + DRAIN_TIME;
        for courier in 0..self.couriers.len() {
            self.start_courier(courier);
        }
        for load in 0..self.scenario.loads.len() {
            self.schedule_next_arrival(load);
        }
        for (place, news) in self.scenario.news.iter().enumerate() {
            self.queue
                .push(news.at, SimulationEvent::ListChanges(place));
        }
        for (place, crash) in self.scenario.crashes.iter().enumerate() {
            self.queue
                .push(crash.at, SimulationEvent::CourierCrashes(place));
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::LoadArrives(load) => self.load_arrives(load),
            SimulationEvent::ClientSubmits(submission) => self.submit(submission),
            SimulationEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            SimulationEvent::AttemptEnds {
                message,
                incarnation,
                outcome,
            } => self.attempt_ends(message, incarnation, outcome),
            SimulationEvent::TimerFires {
                courier,
                incarnation,
                token,
            } => self.deliver_to_incarnation(courier, incarnation, Event::TimerFired(token)),
            SimulationEvent::ListChangeArrives {
                courier,
                incarnation,
                update,
            } => {
                let change = Event::EndpointsUpdated(vec![*update]);
                self.deliver_to_incarnation(courier, incarnation, change);
            }
            SimulationEvent::ListChanges(place) => self.change_list(place),
            SimulationEvent::CourierCrashes(place) => self.crash(place),
            SimulationEvent::CourierStarts(courier) => {
                self.observe(Seen::Began { courier });
                self.start_courier(courier);
            }
        }
    }

    /// Delivers an event to a courier, if it is still the same incarnation.
    fn deliver_to_incarnation(&mut self, courier: usize, incarnation: u32, event: Event) {
        if self.couriers[courier].incarnation == incarnation {
            self.deliver(courier, &[event]);
        }
    }

    /// How long one way over the network takes.
    fn network_delay(&mut self) -> Span {
        let network = &self.scenario.network;
        Span::from_ms(network.delay_ms + network.jitter_ms * self.rng.random::<f64>())
    }

    fn is_lost_on_the_way(&mut self) -> bool {
        self.scenario.network.loss > 0.0 && self.rng.random::<f64>() < self.scenario.network.loss
    }

    fn observe(&mut self, seen: Seen) {
        (self.observer)(self.now, &seen);
    }
}

//! Discrete-event simulation of a scenario in virtual time. All random draws derive from one seed.
//!
//! Each instance is a [`Node`]. The simulation calls it through the scheduler's interface, as the program does: events in,
//! actions out. After a crash the simulation takes the place of the instance's journal: it holds the unfinished messages
//! and passes them to the next incarnation.
//!
//! `event_queue` orders the events, `clients` submits messages, `instances` starts, crashes and calls the instances, and
//! `attempts` simulates attempts from the instance to the endpoint and back.

mod attempts;
mod clients;
mod event_queue;
mod instances;

use crate::connections::ConnectionPool;
use crate::destination::DestinationState;
use crate::observation::Observation;
use crate::scenario::{EndpointLocation, Scenario};
use event_queue::{EventQueue, SimulationEvent, Submission};
use marblefall_scheduler::{
    Action, AttemptStart, EndpointId, EndpointStatus, Event, Scheduler, Settings, Span, Time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::HashMap;

/// Time after the last deadline in which the last responses and final outcomes arrive.
const DRAIN_TIME: Span = Span(5_000_000);

/// Decision logic of one instance: the scheduler, the complete core, or a mutant.
pub trait Node {
    /// Handles a batch of events and appends the resulting actions.
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>);
}

impl Node for Scheduler {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, events, actions);
    }
}

/// One incarnation of an instance, from its start to its crash.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Settings of the scheduler.
    pub settings: Settings,
    /// Seed of the incarnation's random draws.
    pub seed: u64,
    /// Index of the instance, which is the same for all its incarnations.
    pub instance: usize,
}

/// Function that creates the node of an incarnation.
pub type NodeFactory<'a> = &'a dyn Fn(Incarnation) -> Box<dyn Node>;

/// Returns a node that runs the production scheduler.
pub fn production_node(incarnation: Incarnation) -> Box<dyn Node> {
    Box::new(Scheduler::new(incarnation.settings, incarnation.seed))
}

/// Totals of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTotals {
    /// Messages that instances accepted.
    pub messages: u64,
    /// Attempts that instances started.
    pub attempts: u64,
    /// Virtual time at which the run ended.
    pub ended_at: Time,
}

/// Plays a scenario from a seed. `observer` receives all observations in chronological order.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    make_node: NodeFactory<'_>,
    observer: &mut dyn FnMut(Time, &Observation),
) -> RunTotals {
    Simulation::new(scenario, seed, make_node, observer).run()
}

/// A message that an instance accepted.
struct Message {
    submission: Submission,
    instance: usize,
    expires: Time,
    attempts: u32,
    in_flight: Option<AttemptStart>,
    /// Whether the attempt in flight occupies a connection of the pool.
    holds_connection: bool,
    /// The first attempt that the destination may have executed.
    first_possible_execution: Option<AttemptStart>,
    has_ended: bool,
}

impl Message {
    fn new(submission: Submission, instance: usize, expires: Time) -> Message {
        Message {
            submission,
            instance,
            expires,
            attempts: 0,
            in_flight: None,
            holds_connection: false,
            first_possible_execution: None,
            has_ended: false,
        }
    }
}

/// State of an instance, which may be running or down.
#[derive(Default)]
struct InstanceSlot {
    /// Node of the current incarnation; `None` while the instance is down.
    node: Option<Box<dyn Node>>,
    /// Number of earlier incarnations.
    incarnation: u32,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    settings: Settings,
    make_node: NodeFactory<'s>,
    seed: u64,
    rng: Pcg64,
    queue: EventQueue,
    now: Time,
    instances: Vec<InstanceSlot>,
    destinations: Vec<DestinationState>,
    endpoint_locations: Vec<EndpointLocation>,
    /// Status in the endpoint list, by endpoint.
    listed_status: Vec<EndpointStatus>,
    messages: HashMap<u64, Message>,
    last_message: u64,
    totals: RunTotals,
    observer: &'s mut dyn FnMut(Time, &Observation),
    connection_pool: ConnectionPool,
    /// Index of the next arrival in the trace, by load.
    trace_positions: Vec<usize>,
    /// Reusable buffer for the actions of the current step.
    actions: Vec<Action>,
}

impl<'s> Simulation<'s> {
    fn new(
        scenario: &'s Scenario,
        seed: u64,
        make_node: NodeFactory<'s>,
        observer: &'s mut dyn FnMut(Time, &Observation),
    ) -> Simulation<'s> {
        let endpoint_locations = scenario.endpoint_locations();
        let instances = (0..scenario.instances).map(|_| InstanceSlot::default());
        let destinations = scenario.destinations.iter().map(DestinationState::new);
        Simulation {
            settings: scenario.settings(),
            make_node,
            seed,
            rng: Pcg64::seed_from_u64(seed),
            queue: EventQueue::default(),
            now: Time(0),
            instances: instances.collect(),
            destinations: destinations.collect(),
            listed_status: vec![EndpointStatus::Active; endpoint_locations.len()],
            endpoint_locations,
            messages: HashMap::new(),
            last_message: 0,
            totals: RunTotals::default(),
            connection_pool: ConnectionPool::new(scenario.limits.idle_timeout),
            trace_positions: vec![0; scenario.loads.len()],
            observer,
            actions: Vec::new(),
            scenario,
        }
    }

    fn run(mut self) -> RunTotals {
        self.start();
        while let Some((at, event)) = self.queue.pop() {
            if at > self.totals.ended_at {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.totals
    }

    fn start(&mut self) {
        let classes = self.scenario.classes.iter();
        let deadlines = classes.map(|class| class.class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(Span::ZERO);
        self.totals.ended_at = self.scenario.length() + longest_deadline + DRAIN_TIME;
        for instance in 0..self.instances.len() {
            self.start_instance(instance);
        }
        for load in 0..self.scenario.loads.len() {
            self.schedule_next_arrival(load);
        }
        for (index, change) in self.scenario.list_changes.iter().enumerate() {
            self.queue
                .push(change.at, SimulationEvent::ListChanges(index));
        }
        for (index, crash) in self.scenario.crashes.iter().enumerate() {
            self.queue
                .push(crash.at, SimulationEvent::InstanceCrashes(index));
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
                instance,
                incarnation,
                token,
            } => self.deliver_to_incarnation(instance, incarnation, Event::TimerFired(token)),
            SimulationEvent::ListChangeArrives {
                instance,
                incarnation,
                update,
            } => {
                let change = Event::EndpointsUpdated(vec![*update]);
                self.deliver_to_incarnation(instance, incarnation, change);
            }
            SimulationEvent::ListChanges(index) => self.change_list(index),
            SimulationEvent::InstanceCrashes(index) => self.crash(index),
            SimulationEvent::InstanceStarts(instance) => {
                self.observe(Observation::InstanceRestarted { instance });
                self.start_instance(instance);
            }
        }
    }

    /// Delivers an event to an instance if the given incarnation still runs.
    fn deliver_to_incarnation(&mut self, instance: usize, incarnation: u32, event: Event) {
        if self.instances[instance].incarnation == incarnation {
            self.deliver(instance, &[event]);
        }
    }

    /// Returns the index of the destination to which an endpoint belongs.
    fn destination_of(&self, endpoint: EndpointId) -> usize {
        self.endpoint_locations[endpoint.0 as usize].destination
    }

    /// Draws the delay of one direction of the network.
    fn network_delay(&mut self) -> Span {
        let network = &self.scenario.network;
        Span::from_ms(network.delay_ms + network.jitter_ms * self.rng.random::<f64>())
    }

    /// Draws whether a request or response is lost.
    fn is_lost_in_network(&mut self) -> bool {
        let loss = self.scenario.network.loss;
        loss > 0.0 && self.rng.random::<f64>() < loss
    }

    fn observe(&mut self, observation: Observation) {
        (self.observer)(self.now, &observation);
    }
}

//! What is to happen, in the order of virtual time; what happens at one time happens in the order in which it was scheduled.

use marblefall_scheduler::{EndpointId, EndpointUpdate, Outcome, Time};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A message as its client hands it in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    /// Its class, by its place in the scenario.
    pub(super) class: usize,
    /// Where it goes.
    pub(super) partner: usize,
    /// The load that it is of.
    pub(super) load: usize,
    /// When its client first wanted it delivered.
    pub(super) meant: Time,
    /// Times that its client may hand it in again.
    pub(super) retries_left: u32,
}

/// An attempt on its way to its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct TravellingAttempt {
    pub(super) message: u64,
    /// The incarnation of the courier that started it.
    pub(super) incarnation: u32,
    pub(super) endpoint: EndpointId,
    pub(super) timeout_at: Time,
}

/// Something that happens at some time.
pub(super) enum SimulationEvent {
    /// The next message of a load.
    LoadArrives(usize),
    /// A client hands one in.
    ClientSubmits(Submission),
    /// An attempt's first byte comes to its endpoint.
    AttemptArrives(TravellingAttempt),
    /// An attempt ends for its courier.
    AttemptEnds {
        message: u64,
        incarnation: u32,
        outcome: Outcome,
    },
    /// A timer of a courier.
    TimerFires {
        courier: usize,
        incarnation: u32,
        token: u64,
    },
    /// A change of the list, by its place in the scenario.
    ListChanges(usize),
    /// The same comes to a courier.
    ListChangeArrives {
        courier: usize,
        incarnation: u32,
        update: Box<EndpointUpdate>,
    },
    /// A courier dies, by the crash's place in the scenario.
    CourierCrashes(usize),
    /// It starts again.
    CourierStarts(usize),
}

/// An event, when it happens, and its number.
struct Scheduled {
    at: Time,
    number: u64,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn push(&mut self, at: Time, event: SimulationEvent) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.heap.push(Reverse(Scheduled { at, number, event }));
    }

    /// The next event, and when it happens.
    pub(super) fn pop(&mut self) -> Option<(Time, SimulationEvent)> {
        let Reverse(Scheduled { at, event, .. }) = self.heap.pop()?;
        Some((at, event))
    }
}

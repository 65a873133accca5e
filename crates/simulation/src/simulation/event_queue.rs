//! The queue of future events, in the order of virtual time. Events at the same time are handled in the order in which
//! they were scheduled.

use marblefall_scheduler::{EndpointId, EndpointUpdate, Outcome, Time};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A message as its client submits it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    /// Index of its class in the scenario.
    pub(super) class: usize,
    /// Index of its destination in the scenario.
    pub(super) destination: usize,
    /// Index of its load in the scenario.
    pub(super) load: usize,
    /// When the client first intended to submit it.
    pub(super) intended_at: Time,
    /// How often the client may submit it again.
    pub(super) retries_left: u32,
}

/// An attempt on its way to its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct TravellingAttempt {
    pub(super) message: u64,
    /// The incarnation of the instance that started it.
    pub(super) incarnation: u32,
    pub(super) endpoint: EndpointId,
    pub(super) timeout_at: Time,
}

impl TravellingAttempt {
    /// The event of its end.
    pub(super) fn ends(self, outcome: Outcome) -> SimulationEvent {
        SimulationEvent::AttemptEnds {
            message: self.message,
            incarnation: self.incarnation,
            outcome,
        }
    }
}

/// An event of the simulation. Loads, list changes, crashes and instances are indices into the scenario.
pub(super) enum SimulationEvent {
    /// The next message or burst of a load arrives.
    LoadArrives(usize),
    /// A client submits a message.
    ClientSubmits(Submission),
    /// The first byte of an attempt arrives at its endpoint.
    AttemptArrives(TravellingAttempt),
    /// An attempt ends for its instance.
    AttemptEnds {
        message: u64,
        incarnation: u32,
        outcome: Outcome,
    },
    /// A timer of an instance fires.
    TimerFires {
        instance: usize,
        incarnation: u32,
        token: u64,
    },
    /// The endpoint list changes.
    ListChanges(usize),
    /// A change of the endpoint list arrives at an instance.
    ListChangeArrives {
        instance: usize,
        incarnation: u32,
        update: Box<EndpointUpdate>,
    },
    /// An instance crashes.
    InstanceCrashes(usize),
    /// An instance that crashed starts again.
    InstanceStarts(usize),
}

/// An event with its time and its number in the order of scheduling.
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

/// Future events.
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

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Time, SimulationEvent)> {
        let Reverse(Scheduled { at, event, .. }) = self.heap.pop()?;
        Some((at, event))
    }
}

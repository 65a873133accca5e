//! Queue of future events, ordered by virtual time. Events at the same time are handled in the order in which they were
//! scheduled.

use marblefall_scheduler::{EndpointId, EndpointUpdate, Outcome, Time};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A submission of a message by a client.
#[derive(Clone, Copy, Debug)]
pub(super) struct Submission {
    /// Index of the message's class in the scenario.
    pub(super) class: usize,
    /// Index of the message's destination in the scenario.
    pub(super) destination: usize,
    /// Index of the load in the scenario that the message is part of.
    pub(super) load: usize,
    /// Time at which the client first intended to submit the message.
    pub(super) intended_at: Time,
    /// Number of times that the client may submit the message again.
    pub(super) retries_left: u32,
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    pub(super) message: u64,
    /// Incarnation of the instance that started the attempt.
    pub(super) incarnation: u32,
    pub(super) endpoint: EndpointId,
    pub(super) timeout_at: Time,
}

impl SentAttempt {
    /// Returns the event that ends the attempt.
    pub(super) fn end_event(self, outcome: Outcome) -> SimulationEvent {
        SimulationEvent::AttemptEnds {
            message: self.message,
            incarnation: self.incarnation,
            outcome,
        }
    }
}

/// An event of the simulation. Loads, list changes, crashes and instances are given as indices into the scenario.
pub(super) enum SimulationEvent {
    /// The next message or burst of a load arrives.
    LoadArrives(usize),
    /// A client submits a message.
    ClientSubmits(Submission),
    /// The first byte of an attempt arrives at its endpoint.
    AttemptArrives(SentAttempt),
    /// The instance of an attempt receives its outcome.
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

/// An event with its time and its sequence number, which breaks ties.
struct Scheduled {
    at: Time,
    sequence_number: u64,
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.sequence_number) == (other.at, other.sequence_number)
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
        (self.at, self.sequence_number).cmp(&(other.at, other.sequence_number))
    }
}

/// Priority queue of future events.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_sequence_number: u64,
}

impl EventQueue {
    /// Schedules an event at a time.
    pub(super) fn push(&mut self, at: Time, event: SimulationEvent) {
        self.last_sequence_number += 1;
        let sequence_number = self.last_sequence_number;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence_number,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Time, SimulationEvent)> {
        let Reverse(Scheduled { at, event, .. }) = self.heap.pop()?;
        Some((at, event))
    }
}

//! The pending messages, by destination. Messages without an attempt are in the order of their deadlines, so that a
//! check of the first covers all of them. The queue takes no decisions.

use crate::interface::{DestinationId, MessageId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a message has had an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tried {
    No,
    Yes,
}

/// The pending messages of one destination.
#[derive(Debug, Default)]
pub(crate) struct DestinationQueue {
    /// Messages without an attempt, by deadline.
    pub untried: BTreeSet<(Time, MessageId)>,
    /// Messages with attempts, each of which may permit other ones.
    pub tried: BTreeSet<MessageId>,
}

impl DestinationQueue {
    /// All messages, those without an attempt first.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.untried
            .iter()
            .map(|(_, id)| *id)
            .chain(self.tried.iter().copied())
    }

    /// Number of messages.
    pub fn len(&self) -> usize {
        self.untried.len() + self.tried.len()
    }
}

/// The pending messages of all destinations.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue(BTreeMap<DestinationId, DestinationQueue>);

impl PendingQueue {
    /// Adds a message.
    pub fn insert(
        &mut self,
        destination: DestinationId,
        deadline: Time,
        id: MessageId,
        tried: Tried,
    ) {
        let queue = self.0.entry(destination).or_default();
        match tried {
            Tried::No => drop(queue.untried.insert((deadline, id))),
            Tried::Yes => drop(queue.tried.insert(id)),
        }
    }

    /// Removes a message, if it is in the queue.
    pub fn remove(&mut self, destination: DestinationId, deadline: Time, id: MessageId) {
        let Some(queue) = self.0.get_mut(&destination) else {
            return;
        };
        queue.tried.remove(&id);
        queue.untried.remove(&(deadline, id));
        if queue.len() == 0 {
            self.0.remove(&destination);
        }
    }

    /// The pending messages of a destination, if there are any.
    pub fn of_destination(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.0.get(&destination)
    }

    /// Whether a destination has pending messages.
    pub fn has(&self, destination: DestinationId) -> bool {
        self.0.contains_key(&destination)
    }

    /// The destinations with pending messages.
    pub fn by_destination(&self) -> impl Iterator<Item = (DestinationId, &DestinationQueue)> {
        self.0
            .iter()
            .map(|(destination, queue)| (*destination, queue))
    }

    /// All messages.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.0.values().flat_map(DestinationQueue::all)
    }
}

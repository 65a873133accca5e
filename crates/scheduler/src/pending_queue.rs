//! Queue of the pending messages, by destination.
//!
//! Messages without an attempt are in the order of their deadlines: if the first one is not yet undeliverable, none of
//! them is.

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
    /// Messages with attempts. The permitted endpoints differ between them.
    pub tried: BTreeSet<MessageId>,
}

impl DestinationQueue {
    /// Returns all messages, those without an attempt first.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.untried
            .iter()
            .map(|(_, id)| *id)
            .chain(self.tried.iter().copied())
    }

    /// Returns the number of messages.
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

    /// Returns the pending messages of a destination, or `None` if there are none.
    pub fn of_destination(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.0.get(&destination)
    }

    /// Whether a destination has pending messages.
    pub fn has(&self, destination: DestinationId) -> bool {
        self.0.contains_key(&destination)
    }

    /// Returns the destinations with pending messages.
    pub fn by_destination(&self) -> impl Iterator<Item = (DestinationId, &DestinationQueue)> {
        self.0
            .iter()
            .map(|(destination, queue)| (*destination, queue))
    }

    /// Returns the messages of all destinations.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.0.values().flat_map(DestinationQueue::all)
    }
}

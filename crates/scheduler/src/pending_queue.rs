//! The messages that wait to be sent, by destination. Those never tried stand in the order of their deadlines, so that
//! a look at the first of them tells of all. Holds no decisions and knows no clock.

use crate::interface::{DestinationId, MessageId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a message has been tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tried {
    No,
    Yes,
}

/// What waits for one destination.
#[derive(Debug, Default)]
pub(crate) struct DestinationQueue {
    /// Never tried, by deadline.
    pub fresh: BTreeSet<(Time, MessageId)>,
    /// Tried before: what may still be done with each differs.
    pub tried: BTreeSet<MessageId>,
}

impl DestinationQueue {
    /// All of them, those never tried first.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.fresh
            .iter()
            .map(|(_, id)| *id)
            .chain(self.tried.iter().copied())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.fresh.len() + self.tried.len()
    }
}

/// All messages that wait.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue(BTreeMap<DestinationId, DestinationQueue>);

impl PendingQueue {
    /// A message begins to wait, or waits again.
    pub fn insert(
        &mut self,
        destination: DestinationId,
        deadline: Time,
        id: MessageId,
        tried: Tried,
    ) {
        let queue = self.0.entry(destination).or_default();
        match tried {
            Tried::No => drop(queue.fresh.insert((deadline, id))),
            Tried::Yes => drop(queue.tried.insert(id)),
        }
    }

    /// A message waits no longer; nothing happens if it did not wait.
    pub fn remove(&mut self, destination: DestinationId, deadline: Time, id: MessageId) {
        let Some(queue) = self.0.get_mut(&destination) else {
            return;
        };
        queue.tried.remove(&id);
        queue.fresh.remove(&(deadline, id));
        if queue.len() == 0 {
            self.0.remove(&destination);
        }
    }

    /// What waits for a destination, if anything does.
    pub fn of_destination(&self, destination: DestinationId) -> Option<&DestinationQueue> {
        self.0.get(&destination)
    }

    /// Whether anything waits for a destination.
    pub fn has(&self, destination: DestinationId) -> bool {
        self.0.contains_key(&destination)
    }

    /// Everything, by destination.
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

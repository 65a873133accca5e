//! The messages that wait to leave, by destination: those that were never tried in the order of their deadlines, so that a
//! look at the first of them tells of all. Holds no decisions and knows no clock.

use crate::interface::{DestinationId, MessageId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What waits for one destination.
#[derive(Debug, Default)]
pub(crate) struct Line {
    /// Never tried, those first that must be delivered first.
    pub fresh: BTreeSet<(Time, MessageId)>,
    /// Tried before: what may still be done with each is its own matter.
    pub tried: BTreeSet<MessageId>,
}

impl Line {
    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.fresh.iter().map(|(_, id)| *id).chain(self.tried.iter().copied())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.fresh.len() + self.tried.len()
    }
}

/// All that wait.
#[derive(Debug, Default)]
pub(crate) struct Held(BTreeMap<DestinationId, Line>);

impl Held {
    /// One begins to wait, or waits again.
    pub fn insert(&mut self, to: DestinationId, expires: Time, id: MessageId, tried: bool) {
        let line = self.0.entry(to).or_default();
        if tried {
            line.tried.insert(id);
        } else {
            line.fresh.insert((expires, id));
        }
    }

    /// One waits no longer; nothing happens if it did not wait.
    pub fn remove(&mut self, to: DestinationId, expires: Time, id: MessageId) {
        let Some(line) = self.0.get_mut(&to) else { return };
        line.tried.remove(&id);
        line.fresh.remove(&(expires, id));
        if line.len() == 0 {
            self.0.remove(&to);
        }
    }

    /// What waits for a destination, if anything does.
    pub fn line(&self, to: DestinationId) -> Option<&Line> {
        self.0.get(&to)
    }

    /// Everything, by destination.
    pub fn lines(&self) -> impl Iterator<Item = (DestinationId, &Line)> {
        self.0.iter().map(|(to, line)| (*to, line))
    }

    /// All messages.
    pub fn all(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.0.values().flat_map(Line::all)
    }
}

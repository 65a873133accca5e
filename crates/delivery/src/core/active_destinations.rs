//! Which destinations are in use, and what is kept of those that were.
//!
//! A destination is active from its first message until it has been idle for [`IDLE_AFTER`]; of an idle one remains at
//! most a small record, and that only if it is significant. Ageing costs a little with each step and never all at once.

use marblefall_scheduler::{DestinationId, IdleRecord, Span, Time};
use std::collections::{HashMap, VecDeque};

/// A destination is idle when it has not been used for so long: longer than a recovery ramp, a rate limiter's memory or
/// an idle connection of the usual settings, so that little is left to forget.
pub const IDLE_AFTER: Span = Span(30_000_000);

/// The destinations in use, and the records of idle ones.
#[derive(Debug, Default)]
pub struct ActiveDestinations {
    last_used: HashMap<DestinationId, Time>,
    /// Each active destination once, by when it is looked at again.
    checks: VecDeque<(Time, DestinationId)>,
    idle_records: HashMap<DestinationId, IdleRecord>,
}

impl ActiveDestinations {
    /// Notes the use of a destination; returns whether it was not active before.
    pub fn touch(&mut self, now: Time, id: DestinationId) -> bool {
        let newly_active = self.last_used.insert(id, now).is_none();
        if newly_active {
            self.checks.push_back((now + IDLE_AFTER, id));
        }
        newly_active
    }

    /// The destinations that are active.
    pub fn active(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.last_used.keys().copied()
    }

    /// Whether a destination is active.
    pub fn is_active(&self, id: DestinationId) -> bool {
        self.last_used.contains_key(&id)
    }

    /// When one is to be looked at again.
    pub fn next_check(&self) -> Option<Time> {
        self.checks.front().map(|(at, _)| *at)
    }

    /// A destination that is due for a look and has been idle all the while. One that was used since is put off, which
    /// costs as much as one use in [`IDLE_AFTER`].
    pub fn next_idle(&mut self, now: Time) -> Option<DestinationId> {
        while let Some((_, id)) = self.checks.pop_front_if(|(at, _)| *at <= now) {
            match self.last_used.get(&id) {
                Some(used) if *used + IDLE_AFTER > now => {
                    self.checks.push_back((*used + IDLE_AFTER, id))
                }
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    /// Puts off the next look at a destination that is still in use.
    pub fn postpone(&mut self, now: Time, id: DestinationId) {
        self.checks.push_back((now + IDLE_AFTER, id));
    }

    /// The destination is idle from now on; its record is kept if it is significant.
    pub fn deactivate(&mut self, id: DestinationId, record: IdleRecord) {
        self.last_used.remove(&id);
        self.keep(id, record);
    }

    /// Keeps the record of an idle destination if it is significant.
    pub fn keep(&mut self, id: DestinationId, record: IdleRecord) {
        if record.is_significant() {
            self.idle_records.insert(id, record);
        }
    }

    /// Takes the record of a destination that gets active.
    pub fn take_record(&mut self, id: DestinationId) -> Option<IdleRecord> {
        self.idle_records.remove(&id)
    }

    /// The records of idle destinations.
    pub fn idle_records(&self) -> impl Iterator<Item = (DestinationId, &IdleRecord)> {
        self.idle_records.iter().map(|(id, record)| (*id, record))
    }
}

#[cfg(test)]
mod tests;

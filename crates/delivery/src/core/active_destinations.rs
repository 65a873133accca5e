//! The set of destinations in use, and the records of idle destinations.
//!
//! A destination is active from its first message until it has not been used for [`IDLE_AFTER`]. An idle destination has
//! only a small record, which is stored if it is significant. Each destination has its own time for the next check, so
//! that no step checks all of them.

use marblefall_scheduler::{DestinationId, IdleRecord, Span, Time};
use std::collections::{HashMap, VecDeque};

/// Time without use after which a destination is idle. With the usual settings, its recovery ramp, its rate limit and its
/// idle connections have ended by then, so that little state is lost.
pub const IDLE_AFTER: Span = Span(30_000_000);

/// The destinations in use, and the records of idle destinations.
#[derive(Debug, Default)]
pub struct ActiveDestinations {
    last_used: HashMap<DestinationId, Time>,
    /// The next check of each active destination, in order of time.
    checks: VecDeque<(Time, DestinationId)>,
    idle_records: HashMap<DestinationId, IdleRecord>,
}

impl ActiveDestinations {
    /// Records the use of a destination. Returns whether it was idle before.
    pub fn touch(&mut self, now: Time, id: DestinationId) -> bool {
        let newly_active = self.last_used.insert(id, now).is_none();
        if newly_active {
            self.checks.push_back((now + IDLE_AFTER, id));
        }
        newly_active
    }

    /// Returns the active destinations.
    pub fn active(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.last_used.keys().copied()
    }

    /// Returns whether a destination is active.
    pub fn is_active(&self, id: DestinationId) -> bool {
        self.last_used.contains_key(&id)
    }

    /// Returns the time of the next check.
    pub fn next_check(&self) -> Option<Time> {
        self.checks.front().map(|(at, _)| *at)
    }

    /// Returns the next destination whose check is due and which has become idle. Postpones the due checks of destinations
    /// that were used meanwhile.
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

    /// Postpones the check of a destination that is still in use.
    pub fn postpone(&mut self, now: Time, id: DestinationId) {
        self.checks.push_back((now + IDLE_AFTER, id));
    }

    /// Makes a destination idle, and stores its record if it is significant.
    pub fn deactivate(&mut self, id: DestinationId, record: IdleRecord) {
        self.last_used.remove(&id);
        self.insert_idle(id, record);
    }

    /// Stores the record of an idle destination if it is significant.
    pub fn insert_idle(&mut self, id: DestinationId, record: IdleRecord) {
        if record.is_significant() {
            self.idle_records.insert(id, record);
        }
    }

    /// Removes and returns the record of a destination that becomes active.
    pub fn take_record(&mut self, id: DestinationId) -> Option<IdleRecord> {
        self.idle_records.remove(&id)
    }

    /// Returns the records of idle destinations.
    pub fn idle_records(&self) -> impl Iterator<Item = (DestinationId, &IdleRecord)> {
        self.idle_records.iter().map(|(id, record)| (*id, record))
    }
}

#[cfg(test)]
mod tests;

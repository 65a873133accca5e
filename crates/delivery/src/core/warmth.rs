//! Which destinations are in use, and what is kept of those that were. A destination is warm from its first message
//! until it has been idle for a while; of a cold one remains at most a small record, and that only if it says
//! something. Ageing costs a little with each step and never all at once.

use marblefall_scheduler::{Cold, DestinationId, Span, Time};
use std::collections::{HashMap, VecDeque};

/// A destination is idle when it has not been used for so long: longer than a cold time, a pace's memory or an idle
/// connection of the usual settings, so that little is left to forget.
pub const IDLE: Span = Span(30_000_000);

/// The destinations in use, and the records of others.
#[derive(Debug, Default)]
pub struct Warmth {
    used: HashMap<DestinationId, Time>,
    /// Each warm destination once, by when it is looked at again.
    due: VecDeque<(Time, DestinationId)>,
    cold: HashMap<DestinationId, Cold>,
}

impl Warmth {
    /// Notes the use of a destination; gives whether it was not warm before.
    pub fn touch(&mut self, now: Time, id: DestinationId) -> bool {
        let new = self.used.insert(id, now).is_none();
        if new {
            self.due.push_back((now + IDLE, id));
        }
        new
    }

    /// The destinations that are warm.
    pub fn warm(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.used.keys().copied()
    }

    /// Whether a destination is warm.
    pub fn is_warm(&self, id: DestinationId) -> bool {
        self.used.contains_key(&id)
    }

    /// When one is to be looked at again.
    pub fn next_due(&self) -> Option<Time> {
        self.due.front().map(|(at, _)| *at)
    }

    /// One that is due and has been idle all the while. One that was used since is put off, which costs as much as
    /// one use in [`IDLE`].
    pub fn idle(&mut self, now: Time) -> Option<DestinationId> {
        while let Some((_, id)) = self.due.pop_front_if(|(at, _)| *at <= now) {
            match self.used.get(&id) {
                Some(used) if *used + IDLE > now => self.due.push_back((*used + IDLE, id)),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    /// Puts one that is still in use off.
    pub fn stay(&mut self, now: Time, id: DestinationId) {
        self.due.push_back((now + IDLE, id));
    }

    /// It is cold now; of what is kept only what says more than nothing at all.
    pub fn cool(&mut self, id: DestinationId, kept: Cold) {
        self.used.remove(&id);
        self.keep(id, kept);
    }

    /// Keeps a record of one that is cold.
    pub fn keep(&mut self, id: DestinationId, kept: Cold) {
        if kept.says_something() {
            self.cold.insert(id, kept);
        }
    }

    /// It is no destination any more.
    pub fn forget(&mut self, id: DestinationId) {
        self.used.remove(&id);
        self.cold.remove(&id);
    }

    /// The record of one that gets warm.
    pub fn recall(&mut self, id: DestinationId) -> Option<Cold> {
        self.cold.remove(&id)
    }

    /// The records of cold ones.
    pub fn cold(&self) -> impl Iterator<Item = (DestinationId, &Cold)> {
        self.cold.iter().map(|(id, cold)| (*id, cold))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_is_idle_once_its_last_use_is_long_past() {
        let mut warmth = Warmth::default();
        let (a, b) = (DestinationId(1), DestinationId(2));
        assert!(warmth.touch(Time(0), a) && warmth.touch(Time(1), b));
        assert!(!warmth.touch(Time(20_000_000), a), "warm already");
        assert_eq!(warmth.idle(Time(29_999_999)), None);
        assert_eq!(warmth.idle(Time(31_000_000)), Some(b));
        warmth.cool(b, Cold::default());
        assert_eq!((warmth.recall(b), warmth.is_warm(b)), (None, false), "nothing to be kept");
        assert_eq!(warmth.idle(Time(31_000_000)), None);
        assert_eq!(warmth.next_due(), Some(Time(50_000_000)));
        assert_eq!(warmth.idle(Time(50_000_000)), Some(a));
        let out = Cold { out_since: Some(Time(5)), ..Cold::default() };
        warmth.cool(a, out);
        assert_eq!(warmth.recall(a), Some(out));
    }
}

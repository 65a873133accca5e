//! Which messages ended a short while ago, by their identities: one that comes again must not be taken for new.

use marblefall_scheduler::{Span, Time};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Longer than any message of the platform may be delivered.
const KEEP: Span = Span(20_000_000);

/// Identities of messages that are over, each for a while.
#[derive(Debug, Default)]
pub struct Lately {
    known: HashSet<Rc<[u8]>>,
    order: VecDeque<(Time, Rc<[u8]>)>,
}

impl Lately {
    /// Notes one that is over now.
    pub fn note(&mut self, now: Time, identity: &[u8]) {
        let identity: Rc<[u8]> = identity.into();
        if self.known.insert(identity.clone()) {
            self.order.push_back((now, identity));
        }
    }

    /// Whether one ended a short while ago.
    pub fn has(&self, identity: &[u8]) -> bool {
        self.known.contains(identity)
    }

    /// Forgets those that ended long ago.
    pub fn sweep(&mut self, now: Time) {
        while let Some((_, identity)) = self.order.pop_front_if(|(at, _)| now - *at >= KEEP) {
            self.known.remove(&identity);
        }
    }
}

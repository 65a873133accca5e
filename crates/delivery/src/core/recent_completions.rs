//! Which messages finished a short while ago, by identity: one that comes again must not be taken for new.

use marblefall_scheduler::{Span, Time};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Longer than any message of the platform may be delivered.
const RETENTION: Span = Span(20_000_000);

/// Identities of messages that finished, each kept for a while.
#[derive(Debug, Default)]
pub struct RecentCompletions {
    identities: HashSet<Rc<[u8]>>,
    by_time: VecDeque<(Time, Rc<[u8]>)>,
}

impl RecentCompletions {
    /// Notes a message that finishes now.
    pub fn insert(&mut self, now: Time, identity: &[u8]) {
        let identity: Rc<[u8]> = identity.into();
        if self.identities.insert(identity.clone()) {
            self.by_time.push_back((now, identity));
        }
    }

    /// Whether a message finished a short while ago.
    pub fn contains(&self, identity: &[u8]) -> bool {
        self.identities.contains(identity)
    }

    /// Forgets those that finished long ago.
    pub fn sweep(&mut self, now: Time) {
        while let Some((_, identity)) = self.by_time.pop_front_if(|(at, _)| now - *at >= RETENTION)
        {
            self.identities.remove(&identity);
        }
    }
}

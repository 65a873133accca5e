//! The identities of messages that finished recently, by which repeats are not mistaken for new messages.

use marblefall_scheduler::{Span, Time};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Time for which an identity is retained: longer than the deadline of any message of the platform.
const RETENTION: Span = Span(20_000_000);

/// The identities of messages that finished recently.
#[derive(Debug, Default)]
pub struct RecentCompletions {
    identities: HashSet<Rc<[u8]>>,
    by_time: VecDeque<(Time, Rc<[u8]>)>,
}

impl RecentCompletions {
    /// Inserts the identity of a message that finishes now.
    pub fn insert(&mut self, now: Time, identity: &[u8]) {
        let identity: Rc<[u8]> = identity.into();
        if self.identities.insert(identity.clone()) {
            self.by_time.push_back((now, identity));
        }
    }

    /// Returns whether a message with this identity finished recently.
    pub fn contains(&self, identity: &[u8]) -> bool {
        self.identities.contains(identity)
    }

    /// Removes the identities whose retention has ended.
    pub fn sweep(&mut self, now: Time) {
        while let Some((_, identity)) = self.by_time.pop_front_if(|(at, _)| now - *at >= RETENTION)
        {
            self.identities.remove(&identity);
        }
    }
}

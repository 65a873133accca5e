//! The lease guard of a process. The instances of the process accept messages and start attempts only with a permit from
//! the guard.
//!
//! A group decides on revisions of the policy. The process opens the guard while it holds the lease for a revision, and
//! closes the guard otherwise. Once the guard is closed, no permit is held any more.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Instant;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1000;

/// The state of the guard, which determines whether it issues permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardState {
    /// The guard issues permits until the lease ends at the given time, or without a time limit if there is none.
    Open(Option<Instant>),
    /// The policy is being changed. Submissions are deferred.
    Suspended,
    /// The policy in force is unknown. Submissions are rejected.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    revision: u64,
    state: GuardState,
}

impl Lease {
    fn is_open_at(&self, now: Instant) -> bool {
        match self.state {
            GuardState::Open(until) => until.is_none_or(|until| now < until),
            GuardState::Suspended | GuardState::Closed => false,
        }
    }
}

/// The lease guard, which all instances of a process share.
#[derive(Debug)]
pub struct LeaseGuard {
    lease: RwLock<Lease>,
    history: Option<Mutex<File>>,
}

/// A permit to act under the lease. While a permit is held, the guard cannot close.
pub struct LeasePermit<'a> {
    lease: Option<RwLockReadGuard<'a, Lease>>,
}

impl LeasePermit<'_> {
    /// Creates a permit for instances that need no lease.
    pub fn unconditional() -> LeasePermit<'static> {
        LeasePermit { lease: None }
    }

    /// Returns whether the lease is valid now. It may have ended since the permit was issued.
    pub fn is_valid(&self) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|lease| lease.is_open_at(Instant::now()))
    }
}

impl LeaseGuard {
    /// Creates a closed guard. If there is a `history`, each change of the guard and each action under a permit is written
    /// to it as a line: the system's monotonic clock in microseconds, the instance or `-` for the guard itself, the action,
    /// and the revision.
    pub fn new(history: Option<File>) -> LeaseGuard {
        let lease = Lease {
            revision: 0,
            state: GuardState::Closed,
        };
        LeaseGuard {
            lease: RwLock::new(lease),
            history: history.map(Mutex::new),
        }
    }

    /// Sets the state of the guard for a revision of the policy. Blocks until no earlier permit is held.
    pub fn set(&self, revision: u64, state: GuardState) {
        *self.lease.write().unwrap_or_else(PoisonError::into_inner) = Lease { revision, state };
        // Tools that check histories read these words.
        let change = match state {
            GuardState::Open(_) => "acts",
            GuardState::Suspended => "still",
            GuardState::Closed => "shut",
        };
        self.record("-", change, revision);
    }

    /// Returns a permit to act under a revision, if the guard is open for that revision now.
    pub fn acquire(&self, revision: u64) -> Option<LeasePermit<'_>> {
        let lease = self.lease.read().unwrap_or_else(PoisonError::into_inner);
        let is_open = lease.is_open_at(Instant::now());
        (is_open && lease.revision == revision).then_some(LeasePermit { lease: Some(lease) })
    }

    /// Returns the state of the guard for an instance with a revision. An open guard is suspended for an instance that does
    /// not yet have the revision in force.
    pub fn state(&self, revision: u64) -> GuardState {
        let lease = *self.lease.read().unwrap_or_else(PoisonError::into_inner);
        match lease.state {
            GuardState::Open(Some(until)) if until <= Instant::now() => GuardState::Closed,
            GuardState::Open(_) if lease.revision != revision => GuardState::Suspended,
            state => state,
        }
    }

    /// Writes an action to the history, if there is one.
    pub fn record(&self, instance: &str, action: &str, revision: u64) {
        let Some(history) = &self.history else { return };
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = at.tv_sec * MICROS_PER_SECOND + at.tv_nsec / NANOS_PER_MICRO;
        let line = format!("{micros} {instance} {action} {revision}\n");
        // Write errors are ignored: a history with gaps is useless, but the instance does not depend on it.
        let _ = history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(line.as_bytes());
    }
}

#[cfg(test)]
mod tests;

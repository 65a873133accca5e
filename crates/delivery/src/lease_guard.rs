//! The lease guard of a process. Its instances accept messages and start attempts only with a permit of the guard.
//!
//! The process opens the guard while it holds the lease for a revision of the policy that a group decides on, and closes
//! it otherwise. Once the guard is closed, no permit is held any more.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Instant;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1000;

/// Whether the guard gives permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardState {
    /// It gives permits, until the end of the lease if a time is given.
    Open(Option<Instant>),
    /// The policy is being changed: submissions are deferred.
    Suspended,
    /// The policy in force is unknown: submissions are rejected.
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

/// The lease guard of all instances of a process.
#[derive(Debug)]
pub struct LeaseGuard {
    lease: RwLock<Lease>,
    history: Option<Mutex<File>>,
}

/// A permit to act under the lease. The guard closes only once no permit is held.
pub struct LeasePermit<'a> {
    lease: Option<RwLockReadGuard<'a, Lease>>,
}

impl LeasePermit<'_> {
    /// A permit for instances that need no lease.
    pub fn unconditional() -> LeasePermit<'static> {
        LeasePermit { lease: None }
    }

    /// Whether the lease is valid at this moment. It may have ended since the permit was given.
    pub fn is_valid(&self) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|lease| lease.is_open_at(Instant::now()))
    }
}

impl LeaseGuard {
    /// A closed guard. Its changes and the acts under it are written to `history`, if there is one, a line each: the
    /// system's monotonic clock in microseconds, the instance or `-` for the guard itself, the act, and the revision.
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

    /// Opens or closes the guard for a revision of the policy. Returns once no earlier permit is held.
    pub fn set(&self, revision: u64, state: GuardState) {
        *self.lease.write().unwrap_or_else(PoisonError::into_inner) = Lease { revision, state };
        // These words are read by tools that check histories.
        let change = match state {
            GuardState::Open(_) => "acts",
            GuardState::Suspended => "still",
            GuardState::Closed => "shut",
        };
        self.record("-", change, revision);
    }

    /// A permit to act under a revision, if the guard is open for it at this moment.
    pub fn acquire(&self, revision: u64) -> Option<LeasePermit<'_>> {
        let lease = self.lease.read().unwrap_or_else(PoisonError::into_inner);
        let is_open = lease.is_open_at(Instant::now());
        (is_open && lease.revision == revision).then_some(LeasePermit { lease: Some(lease) })
    }

    /// The state for an instance with a revision. It is suspended for an instance that does not yet have the revision in
    /// force.
    pub fn state(&self, revision: u64) -> GuardState {
        let lease = *self.lease.read().unwrap_or_else(PoisonError::into_inner);
        match lease.state {
            GuardState::Open(Some(until)) if until <= Instant::now() => GuardState::Closed,
            GuardState::Open(_) if lease.revision != revision => GuardState::Suspended,
            state => state,
        }
    }

    /// Writes an act to the history, if there is one.
    pub fn record(&self, instance: &str, act: &str, revision: u64) {
        let Some(history) = &self.history else { return };
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = at.tv_sec * MICROS_PER_SECOND + at.tv_nsec / NANOS_PER_MICRO;
        let line = format!("{micros} {instance} {act} {revision}\n");
        // A history with gaps is useless, but the instance does not depend on it.
        let _ = history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(line.as_bytes());
    }
}

#[cfg(test)]
mod tests;

//! The lease guard of a process: it stands before all that an instance does under a policy it holds in common with
//! others, that is accepting a message and starting an attempt. Whoever holds the lease opens it and closes it; once it
//! is closed, nothing is done behind it any more.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Instant;

/// Whether the guard lets anything pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardState {
    /// It does, until the lease's end if a time is given.
    Open(Option<Instant>),
    /// A change of policy is under way: what is submitted waits for it.
    Suspended,
    /// Nobody knows which policy is in force: what is submitted is rejected.
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

/// Held while something is done behind the guard: it closes only once no permit is held.
pub struct LeasePermit<'a> {
    lease: Option<RwLockReadGuard<'a, Lease>>,
}

impl LeasePermit<'_> {
    /// A permit where no lease is needed.
    pub fn unconditional() -> LeasePermit<'static> {
        LeasePermit { lease: None }
    }

    /// Whether it still holds at this very moment: the lease behind it may have ended since it was given.
    pub fn is_valid(&self) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|lease| lease.is_open_at(Instant::now()))
    }
}

impl LeaseGuard {
    /// A closed guard. All that passes is written to `history`, if there is one: a line each with the system's monotonic
    /// clock in microseconds, the instance, what it did and the revision; `-` for the guard itself.
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

    /// Opens or closes the guard for a revision of the policy; returns once no permit given before is held.
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

    /// A permit to act under a revision, if it may be given at this very moment.
    pub fn acquire(&self, revision: u64) -> Option<LeasePermit<'_>> {
        let lease = self.lease.read().unwrap_or_else(PoisonError::into_inner);
        let is_open = lease.is_open_at(Instant::now());
        (is_open && lease.revision == revision).then_some(LeasePermit { lease: Some(lease) })
    }

    /// The state towards whoever has this revision. To one that is about to take over the revision in force it is
    /// suspended.
    pub fn state(&self, revision: u64) -> GuardState {
        let lease = *self.lease.read().unwrap_or_else(PoisonError::into_inner);
        match lease.state {
            GuardState::Open(Some(until)) if until <= Instant::now() => GuardState::Closed,
            GuardState::Open(_) if lease.revision != revision => GuardState::Suspended,
            state => state,
        }
    }

    /// Writes an act into the history, if there is one.
    pub fn record(&self, instance: &str, act: &str, revision: u64) {
        let Some(history) = &self.history else { return };
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = at.tv_sec * 1_000_000 + at.tv_nsec / 1000;
        let line = format!("{micros} {instance} {act} {revision}\n");
        // A history with gaps would prove nothing, but the instance's work does not depend on it.
        let _ = history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(line.as_bytes());
    }
}

#[cfg(test)]
mod tests;

//! The gate before all that an instance does under a policy: taking a message on, and beginning a leg. Whoever holds the
//! policy in common with others opens and shuts it; once it is shut, nothing is done behind it any more.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard};
use std::time::Instant;

/// How the gate stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Acts are let through, until then if a time is given.
    Open(Option<Instant>),
    /// A change of policy is under way: what is handed in waits for it.
    Still,
    /// Nobody knows which policy holds: what is handed in is told to come again.
    Shut,
}

#[derive(Clone, Copy, Debug)]
struct Pass {
    revision: u64,
    standing: Standing,
}

/// The gate of all instances of a process.
#[derive(Debug)]
pub struct Gate {
    pass: RwLock<Pass>,
    history: Option<Mutex<File>>,
}

/// Held while something is done behind the gate: it is shut only once no act is under way.
pub struct Act<'a> {
    _pass: Option<RwLockReadGuard<'a, Pass>>,
}

impl Act<'_> {
    /// One that nobody holds back.
    pub fn free() -> Act<'static> {
        Act { _pass: None }
    }
}

impl Gate {
    /// A gate that is shut. All that passes is written to `history`, if there is one: a line each with the system's
    /// monotonic clock in microseconds, the instance, what it did and the revision; `-` for the gate itself.
    pub fn new(history: Option<File>) -> Gate {
        let pass = RwLock::new(Pass { revision: 0, standing: Standing::Shut });
        Gate { pass, history: history.map(Mutex::new) }
    }

    /// Opens or shuts it for a revision of the policy; returns once no act that passed before is under way.
    pub fn set(&self, revision: u64, standing: Standing) {
        *self.pass.write().unwrap_or_else(PoisonError::into_inner) = Pass { revision, standing };
        let what = match standing {
            Standing::Open(_) => "acts",
            Standing::Still => "still",
            Standing::Shut => "shut",
        };
        self.note("-", what, revision);
    }

    /// Lets an act under a revision pass, if it may at this very moment.
    pub fn enter(&self, revision: u64) -> Option<Act<'_>> {
        let pass = self.pass.read().unwrap_or_else(PoisonError::into_inner);
        let open = match pass.standing {
            Standing::Open(until) => until.is_none_or(|until| Instant::now() < until),
            Standing::Still | Standing::Shut => false,
        };
        (open && pass.revision == revision).then_some(Act { _pass: Some(pass) })
    }

    /// How it stands towards whoever has this revision. One that is about to take up the revision in force is still.
    pub fn standing(&self, revision: u64) -> Standing {
        let pass = *self.pass.read().unwrap_or_else(PoisonError::into_inner);
        match pass.standing {
            Standing::Open(Some(until)) if until <= Instant::now() => Standing::Shut,
            Standing::Open(_) if pass.revision != revision => Standing::Still,
            standing => standing,
        }
    }

    /// Writes an act into the history, if there is one.
    pub fn note(&self, instance: &str, what: &str, revision: u64) {
        let Some(history) = &self.history else { return };
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let micros = at.tv_sec * 1_000_000 + at.tv_nsec / 1000;
        let line = format!("{micros} {instance} {what} {revision}\n");
        // A history with gaps would prove nothing, but the courier's work does not depend on it.
        let _ = history.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn only_the_revision_in_force_passes_and_only_in_its_time() {
        let gate = Gate::new(None);
        assert!(gate.enter(0).is_none(), "a new gate is shut");
        gate.set(3, Standing::Open(None));
        assert!(gate.enter(3).is_some() && gate.enter(2).is_none());
        assert_eq!(gate.standing(2), Standing::Still);
        let past = Instant::now().checked_sub(Duration::from_millis(1)).unwrap();
        gate.set(3, Standing::Open(Some(past)));
        assert!(gate.enter(3).is_none());
        assert_eq!(gate.standing(3), Standing::Shut);
        gate.set(3, Standing::Still);
        assert!(gate.enter(3).is_none());
    }

    #[test]
    fn shutting_waits_for_an_act_that_is_under_way() {
        let gate = std::sync::Arc::new(Gate::new(None));
        gate.set(1, Standing::Open(None));
        let act = gate.enter(1).unwrap();
        let (shut, heard) = std::sync::mpsc::channel();
        let other = gate.clone();
        let shutting = std::thread::spawn(move || {
            other.set(1, Standing::Still);
            shut.send(()).unwrap();
        });
        assert!(heard.try_recv().is_err());
        drop(act);
        heard.recv_timeout(Duration::from_secs(5)).unwrap();
        shutting.join().unwrap();
        assert!(gate.enter(1).is_none());
    }
}

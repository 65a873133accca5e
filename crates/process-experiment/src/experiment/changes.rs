//! Changes of the policy, which operators apply while faults are injected and clients submit events.

use crate::observation::ChangeOutcomes;
use marblefall_process_harness::run_command;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// The output of `apply` that precedes the revision of a change in force.
const IN_FORCE_PREFIX: &str = "in force everywhere as revision ";
/// The output of `apply` for a change that was withdrawn.
const WITHDRAWN_TEXT: &str = "withdrawn everywhere";

/// Returns the operator's name under which a change is applied. The program reads it from the environment.
pub fn operator_name(number: u64) -> String {
    format!("c{number}")
}

/// Returns whether a name was made by [`operator_name`].
pub fn is_operator_name(name: &str) -> bool {
    name.starts_with('c')
}

/// A planned change that is ready to be applied.
pub struct PlannedChange {
    /// The program under test.
    pub program: PathBuf,
    /// The path of the plan.
    pub plan: String,
    /// The home at which the plan is applied.
    pub home: String,
    /// The number of the change in the run.
    pub number: u64,
}

/// The changes of a run and their outcomes.
#[derive(Default)]
pub struct Changes {
    /// The threads that run `apply`.
    appliers: Vec<JoinHandle<()>>,
    outcomes: Arc<Mutex<ChangeOutcomes>>,
    applied: usize,
}

impl Changes {
    /// Applies a planned change in a new thread.
    pub fn apply(&mut self, change: PlannedChange) {
        self.applied += 1;
        let outcomes = Arc::clone(&self.outcomes);
        self.appliers.push(thread::spawn(move || {
            let name = operator_name(change.number);
            if let Some(outcome) = change.apply(&name) {
                let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                outcomes.insert(name, outcome);
            }
        }));
    }

    /// Waits until every running `apply` has exited.
    pub fn wait_for_all(&mut self) {
        for applier in self.appliers.drain(..) {
            // A thread that panicked leaves its change without an outcome, like an `apply` that failed.
            let _ = applier.join();
        }
    }

    /// Returns the number of changes for which `apply` was run.
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// Returns the outcomes that `apply` has printed so far.
    pub fn outcomes(&self) -> ChangeOutcomes {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

impl PlannedChange {
    /// Runs `apply` and returns the outcome that it printed: the revision of a change in force, or `Some(None)` if the
    /// change was withdrawn. `None` means that it printed no outcome, because the plan was stale, another change was
    /// pending, or the daemon died.
    fn apply(&self, operator: &str) -> Option<Option<u64>> {
        let mut command = Command::new(&self.program);
        command
            .args(["apply", &self.plan, &self.home])
            .env("USER", operator);
        let output = run_command(&mut command).ok()?;
        match output.text.split(IN_FORCE_PREFIX).nth(1) {
            Some(revision) => Some(revision.trim().parse().ok()),
            None if output.text.contains(WITHDRAWN_TEXT) => Some(None),
            None => None,
        }
    }
}

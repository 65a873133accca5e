//! Changes of the policy, which operators apply beside everything else that happens.

use crate::observation::ChangeOutcomes;
use marblefall_process_harness::run_command;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// What `apply` prints before the revision of a change in force.
const IN_FORCE_PREFIX: &str = "in force everywhere as revision ";
/// What `apply` prints of a change that was withdrawn.
const WITHDRAWN_TEXT: &str = "withdrawn everywhere";

/// The operator's name for a change: the program takes it from the environment.
pub fn operator_name(number: u64) -> String {
    format!("c{number}")
}

/// Whether a name is one that [`operator_name`] made.
pub fn is_operator_name(name: &str) -> bool {
    name.starts_with('c')
}

/// A plan to apply.
pub struct PlannedChange {
    /// The program under test.
    pub program: PathBuf,
    /// The path of the plan.
    pub plan: String,
    /// The home at which it is applied.
    pub home: String,
    /// The number of the change in the run.
    pub number: u64,
}

/// The changes of a run.
#[derive(Default)]
pub struct Changes {
    appliers: Vec<JoinHandle<()>>,
    outcomes: Arc<Mutex<ChangeOutcomes>>,
    applied: usize,
}

impl Changes {
    /// Applies a plan in a thread.
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

    /// Waits until `apply` has ended for all changes.
    pub fn wait_for_all(&mut self) {
        for applier in self.appliers.drain(..) {
            // The outcome of a thread that panicked is missing, as that of an `apply` that failed.
            let _ = applier.join();
        }
    }

    /// How many were applied.
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// The outcomes that `apply` printed.
    pub fn outcomes(&self) -> ChangeOutcomes {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

impl PlannedChange {
    /// Applies it. Returns what `apply` says of its outcome: nothing where the plan was stale, another change was pending,
    /// or the daemon died.
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

//! Process scenarios with fault schedules from fixed seeds: all invariants hold, whatever faults are injected.
//! `marblefall-simulation hunt --on processes` runs more seeds for longer.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{new_folder, program_path};
use marblefall_process_experiment::experiment::play;
use marblefall_process_experiment::schedule::{ProcessScenario, Schedule};
use std::path::Path;

/// Duration of each run in seconds, enough for about ten changes and as many faults.
const SECONDS: f64 = 9.0;
/// A run needs more events than this in the members' histories to be meaningful.
const MIN_EVENTS: usize = 500;

fn check_invariants(scenario: &str, seed: u64) {
    let scenarios = Path::new(env!("CARGO_MANIFEST_DIR")).join("../simulation/scenarios/processes");
    let mut settings = ProcessScenario::read(&scenarios.join(scenario))
        .unwrap()
        .processes;
    settings.seconds = SECONDS;
    let schedule = Schedule::draw(&settings, seed);
    let folder = new_folder(&format!("processes-{seed}"));
    let report = play(&schedule, program_path(), folder.path()).unwrap();
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{scenario}, seed {seed}:\n{}\n{}",
        report.trace.join("\n"),
        violations.join("\n")
    );
    assert!(
        report.events > MIN_EVENTS,
        "too few events: {}",
        report.events
    );
}

#[test]
fn invariants_hold_under_random_faults() {
    check_invariants("changes.toml", 1);
    check_invariants("changes.toml", 7);
}

#[test]
fn invariants_hold_under_serve_policy_in_a_partition() {
    check_invariants("serve.toml", 3);
}

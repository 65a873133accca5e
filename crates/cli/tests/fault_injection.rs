//! Scenarios for processes under schedules from fixed seeds: whatever is struck, every promise is kept. More seeds, longer, are
//! played by `lab hunt --on processes`.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_simulation::rig::play::play;
use marblefall_simulation::rig::schedule::{Form, Schedule};
use std::path::Path;

/// Seconds of each run: enough for some ten changes and as many faults.
const SECONDS: f64 = 9.0;

fn plays(scenario: &str, seed: u64) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../simulation/scenarios/processes")
        .join(scenario);
    let mut form = Form::read(&path).unwrap();
    form.processes.seconds = SECONDS;
    let schedule = Schedule::draw(&form.processes, seed);
    let folder = std::env::temp_dir().join(format!("marblefall-rig-{}-{seed}", std::process::id()));
    let report = play(
        &schedule,
        Path::new(env!("CARGO_BIN_EXE_marblefall")),
        &folder,
    )
    .unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    let breaches: Vec<String> = report.breaches.iter().map(ToString::to_string).collect();
    let broken = || {
        format!(
            "{scenario}, seed {seed}:\n{}\n{}",
            report.trace.join("\n"),
            breaches.join("\n")
        )
    };
    assert!(breaches.is_empty(), "{}", broken());
    assert!(
        report.acts > 500,
        "too little was done to tell: {} acts",
        report.acts
    );
}

#[test]
fn invariants_hold_under_random_faults() {
    plays("changes.toml", 1);
    plays("changes.toml", 7);
}

#[test]
fn invariants_hold_under_serve_policy_in_a_partition() {
    plays("serve.toml", 3);
}

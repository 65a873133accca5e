//! Whole days on the courier's core: engine, ledger and journal, over deaths of its process, judged from outside.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_simulation::core_driver::Cores;
use marblefall_simulation::invariants::{judge, Rule};
use marblefall_simulation::metrics::{measure, Figures};
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{in_service, Life};
use std::collections::HashSet;
use std::path::Path;
use std::sync::Mutex;
use std::thread;

/// As the platform's folders are.
const DISK: u64 = 3_000_000;

fn named(name: &str, sets: &[&str], seed: u64) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(format!("{name}.toml"));
    let sets: Vec<String> = sets.iter().map(|set| (*set).to_owned()).collect();
    Scenario::read(&path, &sets, seed).unwrap()
}

#[test]
fn the_core_keeps_the_rules_and_as_much_as_the_decisions_alone() {
    let days = [
        "base",
        "blackout",
        "crash",
        "drain",
        "loss",
        "mixed",
        "month-start",
        "rolling",
        "shut",
    ];
    let threads = days.map(|name| {
        thread::spawn(move || {
            for seed in 1..=2 {
                let (scenario, cores) = (named(name, &[], seed), Cores::new(DISK).unwrap());
                let (tally, verdict) = measure(&scenario, seed, &|life| cores.node(life));
                assert!(verdict.is_clean(), "{name} {seed}: {}", verdict.breaches[0]);
                let core = Figures::of(&tally, &verdict);
                let (tally, verdict) = measure(&scenario, seed, &in_service);
                let model = Figures::of(&tally, &verdict);
                let change = core.kept - model.kept;
                assert!(
                    change.abs() < 0.03,
                    "{name} {seed}: {} on the core, {} alone",
                    core.kept,
                    model.kept
                );
            }
        })
    });
    threads.into_iter().for_each(|one| one.join().unwrap());
}

#[test]
fn a_journal_that_is_lost_with_its_process_is_found_out() {
    let scenario = named("rolling", &[], 1);
    let (cores, lived) = (Cores::new(DISK).unwrap(), Mutex::new(HashSet::new()));
    let forgetful = |life: Life| {
        if !lived.lock().unwrap().insert(life.courier) {
            std::fs::remove_dir_all(cores.folder(life.courier)).unwrap();
        }
        cores.node(life)
    };
    let verdict = judge(&scenario, 1, &forgetful);
    assert!(
        verdict
            .breaches
            .iter()
            .any(|breach| breach.rule == Rule::NothingLost),
        "{:?}",
        verdict.count
    );
}

#[test]
fn a_disk_that_is_nearly_full_declines_and_loses_nothing() {
    // What waits for the hospital fills half a megabyte many times over.
    let scenario = named("month-start", &["couriers.max_open=4000"], 1);
    let refused = |disk: u64| {
        let cores = Cores::new(disk).unwrap();
        let (tally, verdict) = measure(&scenario, 1, &|life| cores.node(life));
        assert!(verdict.is_clean(), "{disk}: {}", verdict.breaches[0]);
        let size = |courier| {
            let files = std::fs::read_dir(cores.folder(courier)).unwrap();
            files
                .map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512)
                .sum::<u64>()
        };
        assert!(
            (0..scenario.couriers).all(|courier| size(courier) <= disk),
            "{disk}"
        );
        tally.classes.iter().map(|class| class.refused).sum::<u64>()
    };
    let (small, large) = (refused(500_000), refused(30_000_000));
    assert!(
        small > large,
        "{small} on a small disk, {large} on a large one"
    );
}

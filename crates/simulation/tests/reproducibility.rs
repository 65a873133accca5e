//! The same scenario and seed produce the same run and the same files.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{shipped_scenario, TempFolder};
use marblefall_simulation::metrics::Metrics;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{play, production_node};
use std::fs;
use std::path::Path;
use std::thread;

fn observations(path: &Path, seed: u64) -> Vec<String> {
    let scenario = Scenario::read(path, &[], seed).unwrap();
    let mut observations = Vec::new();
    play(&scenario, seed, &production_node, &mut |at, observation| {
        observations.push(format!("{at:?} {observation:?}"));
    });
    observations
}

#[test]
fn same_seed_repeats_run_and_other_seed_changes_it() {
    let path = shipped_scenario("mixed");
    let first = observations(&path, 5);
    let on_other_threads: Vec<_> = (0..4)
        .map(|_| {
            let path = path.clone();
            thread::spawn(move || observations(&path, 5))
        })
        .collect();
    for run in on_other_threads {
        assert!(run.join().unwrap() == first);
    }
    assert!(observations(&path, 6) != first);
}

#[test]
fn metrics_files_of_same_seed_are_identical() {
    let folder = TempFolder::new("metrics");
    let write = |name: &str| {
        let scenario = Scenario::read(&shipped_scenario("crash"), &[], 3).unwrap();
        let mut metrics = Metrics::new(&scenario);
        play(&scenario, 3, &production_node, &mut |at, observation| {
            metrics.observe(at, observation);
        });
        let out = folder.0.join(name);
        metrics.write(&out).unwrap();
        ["classes.csv", "latency.csv", "partners.csv"].map(|file| fs::read(out.join(file)).unwrap())
    };
    let (first, second) = (write("first"), write("second"));
    assert!(first == second);
    assert!(first.iter().all(|file| file.len() > 100));
}

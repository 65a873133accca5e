//! Complete scenarios with the core (engine, message store and journal), including crashes of its process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shipped_scenario;
use marblefall_simulation::core_driver::CoreNodes;
use marblefall_simulation::invariants::{check_run, Invariant};
use marblefall_simulation::metrics::measure;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{production_node, Incarnation};
use std::collections::HashSet;
use std::sync::Mutex;
use std::thread;

/// Size of the state folders that the platform provides, in bytes.
const MAX_DISK_BYTES: u64 = 3_000_000;
/// Size of a file system block, in bytes.
const BLOCK_BYTES: u64 = 512;

fn read(name: &str, overrides: &[&str], seed: u64) -> Scenario {
    let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
    Scenario::read(&shipped_scenario(name), &overrides, seed).unwrap()
}

#[test]
fn core_satisfies_invariants_and_delivers_like_scheduler() {
    let scenarios = [
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
    let threads = scenarios.map(|name| {
        thread::spawn(move || (1..=2).for_each(|seed| assert_core_delivers_alike(name, seed)))
    });
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
}

fn assert_core_delivers_alike(name: &str, seed: u64) {
    let scenario = read(name, &[], seed);
    let nodes = CoreNodes::new(MAX_DISK_BYTES).unwrap();
    let run = measure(&scenario, seed, &|incarnation| nodes.node(incarnation));
    assert!(
        run.verdict.is_clean(),
        "{name} {seed}: {}",
        run.verdict.violations[0]
    );
    let core = run.summary().delivered_value_share;
    let run = measure(&scenario, seed, &production_node);
    let scheduler = run.summary().delivered_value_share;
    assert!(
        (core - scheduler).abs() < 0.03,
        "{name} {seed}: {core} with the core, {scheduler} with the scheduler only"
    );
}

#[test]
fn lost_journal_is_detected() {
    let scenario = read("rolling", &[], 1);
    let nodes = CoreNodes::new(MAX_DISK_BYTES).unwrap();
    let started = Mutex::new(HashSet::new());
    let node_without_journal = |incarnation: Incarnation| {
        let is_first = started.lock().unwrap().insert(incarnation.instance);
        if !is_first {
            std::fs::remove_dir_all(nodes.folder(incarnation.instance)).unwrap();
        }
        nodes.node(incarnation)
    };
    let verdict = check_run(&scenario, 1, &node_without_journal);
    let mut violations = verdict.violations.iter();
    assert!(
        violations.any(|violation| violation.invariant == Invariant::NoMessageLost),
        "no lost message among {} violations",
        verdict.count
    );
}

#[test]
fn nearly_full_disk_rejects_messages_and_loses_none() {
    // The messages that wait for the destination `hospital` need many times half a megabyte.
    let scenario = read("month-start", &["couriers.max_open=4000"], 1);
    let rejected = |max_disk_bytes: u64| {
        let nodes = CoreNodes::new(max_disk_bytes).unwrap();
        let run = measure(&scenario, 1, &|incarnation| nodes.node(incarnation));
        assert!(
            run.verdict.is_clean(),
            "{max_disk_bytes}: {}",
            run.verdict.violations[0]
        );
        let occupied = |instance| {
            let files = std::fs::read_dir(nodes.folder(instance)).unwrap();
            let sizes = files.map(|file| file.unwrap().metadata().unwrap().len());
            sizes
                .map(|size| size.div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
                .sum::<u64>()
        };
        assert!(
            (0..scenario.instances).all(|instance| occupied(instance) <= max_disk_bytes),
            "a journal occupies more than {max_disk_bytes} bytes"
        );
        let classes = run.metrics.classes.iter();
        classes.map(|class| class.counts.rejected).sum::<u64>()
    };
    let (small, large) = (rejected(500_000), rejected(30_000_000));
    assert!(
        small > large,
        "{small} rejected with a small disk, {large} with a large disk"
    );
}

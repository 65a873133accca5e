//! Measures changes of the policy in a group of processes: the duration of `apply`, the time from proposed to in force by
//! the leader's clock, the time for which members are quiesced, and the resources of a member at rest.
//! Run with `cargo bench -p marblefall --bench group`.

#![allow(clippy::unwrap_used, reason = "a failed step ends the measurement")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::group::{check_single_policy, found_group, history};
use common::{new_folder, run, start_healthy_server, wait_for, TemporaryFolder, TestServer};
use marblefall_process_harness::client::{ClientLoad, Clients};
use marblefall_process_harness::group::Group;
use marblefall_process_harness::ResourceUsage;
use std::thread;
use std::time::{Duration, Instant};

const CHANGES: usize = 25;
const CHANGES_UNDER_TRAFFIC: usize = 15;
/// Time for which a group is observed at rest.
const REST: Duration = Duration::from_secs(5);

fn main() {
    println!("| processes | apply to its end, ms | proposed to in force, ms | held still, ms | at rest: % of a core, B/s, MB |");
    println!("| --- | --- | --- | --- | --- |");
    for members in [3, 10, 20, 40] {
        measure_changes(members, 0);
    }
    println!("\nwith a third of the members down, first change after they died, then the rest:");
    measure_changes(9, 3);
    measure_traffic();
}

/// A running group with its endpoint and folder.
struct RunningGroup {
    group: Group,
    endpoint: TestServer,
    _folder: TemporaryFolder,
}

fn start_group(name: &str, members: usize) -> RunningGroup {
    let endpoint = start_healthy_server();
    let folder = new_folder(name);
    let path = folder.path().join("group");
    let mut group = found_group(path, members, "stop", endpoint.address);
    group.start_all().unwrap();
    RunningGroup {
        group,
        endpoint,
        _folder: folder,
    }
}

/// Formats the median, 99th percentile and maximum.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let quantile = |part: f64| {
        let index = ((values.len() as f64 - 1.0) * part).round() as usize;
        values.get(index).copied().unwrap_or(f64::NAN)
    };
    format!(
        "{:.0}, {:.0}, {:.0}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    )
}

fn measure_changes(members: usize, down: usize) {
    let RunningGroup {
        mut group,
        endpoint: _endpoint,
        _folder,
    } = start_group(&format!("bench-{members}"), members);
    let rest = measure_rest(&group);
    for member in members - down..members {
        group.kill(member);
    }
    let mut durations = apply_changes(&mut group);
    let first = (down > 0).then(|| durations.remove(0));
    let in_force = durations_to_in_force(&group, usize::from(down > 0));
    let first = first.map_or(String::new(), |first| format!(" (the first {first:.0})"));
    println!(
        "| {members} | {}{first} | {} | {} | {rest} |",
        spread(durations),
        spread(in_force),
        spread(quiesced_durations(&group, members - down))
    );
    check_single_policy(&group);
}

/// Measures the resources that each member uses at rest.
fn measure_rest(group: &Group) -> String {
    let (before, bytes) = (usages(group), group.links.forwarded_bytes());
    thread::sleep(REST);
    let after = usages(group);
    let members = after.len() as f64;
    let processor_s = processor_seconds(&after) - processor_seconds(&before);
    let bytes = (group.links.forwarded_bytes() - bytes) as f64;
    let resident_kb: u64 = after.iter().map(|usage| usage.resident_kb).sum();
    let member_seconds = members * REST.as_secs_f64();
    format!(
        "{:.2}, {:.0}, {:.1}",
        processor_s / member_seconds * 100.0,
        bytes / member_seconds,
        resident_kb as f64 / members / 1024.0
    )
}

fn usages(group: &Group) -> Vec<ResourceUsage> {
    let processes = group.processes();
    processes
        .map(|process| process.resource_usage().unwrap())
        .collect()
}

fn processor_seconds(usages: &[ResourceUsage]) -> f64 {
    usages
        .iter()
        .map(|usage| usage.processor_time.as_secs_f64())
        .sum()
}

/// Applies changes, and returns the duration of each `apply` in milliseconds.
fn apply_changes(group: &mut Group) -> Vec<f64> {
    let mut durations = Vec::new();
    for number in 1..=CHANGES {
        let member = number % 3;
        let plan = group.plan(member, &group.changed_manifest(number)).unwrap();
        let started_at = Instant::now();
        let output = run(&["apply", &plan, &group.home(member)]);
        assert!(output.is_success(), "{output}");
        durations.push(started_at.elapsed().as_secs_f64() * 1000.0);
    }
    durations
}

/// Returns the times of changes from proposed to in force, in milliseconds, without the founding and the first `skipped`
/// changes.
fn durations_to_in_force(group: &Group, skipped: usize) -> Vec<f64> {
    let history = run(&["group", "history", &group.home(0)]).text;
    let duration = |line: &str| {
        let (_, duration) = line.rsplit_once("(after ")?;
        duration.strip_suffix(" ms)")?.parse().ok()
    };
    history
        .lines()
        .skip(1 + skipped)
        .filter_map(duration)
        .collect()
}

/// Returns the times for which each member was quiesced at each change, in milliseconds.
fn quiesced_durations(group: &Group, members: usize) -> Vec<f64> {
    let mut durations = Vec::new();
    for member in 0..members {
        let mut quiesced_at = None;
        for event in history(group, member) {
            match event.action.as_str() {
                "still" if event.is_of_lease_guard() => quiesced_at = Some(event.at),
                "acts" if event.is_of_lease_guard() => {
                    let since = quiesced_at.take();
                    durations.extend(since.map(|since| (event.at - since) as f64 / 1000.0));
                }
                _ => {}
            }
        }
    }
    durations
}

/// Measures the effect of a change on clients: calls in the second around it, relative to the second before.
fn measure_traffic() {
    let RunningGroup {
        mut group,
        endpoint,
        _folder,
    } = start_group("bench-traffic", 3);
    let clients = Clients::start(&ClientLoad {
        addresses: group.event_addresses(),
        clients: 12,
        pause: Duration::from_millis(10),
        run: 1,
    });
    wait_for("traffic", || endpoint.request_count() > 500);
    let mut shares = Vec::new();
    for number in 1..=CHANGES_UNDER_TRAFFIC {
        let calm = calls_in_a_second(&endpoint);
        let plan = group.plan(0, &group.changed_manifest(number)).unwrap();
        let home = group.home(0);
        let applying = thread::spawn(move || run(&["apply", &plan, &home]));
        let busy = calls_in_a_second(&endpoint);
        assert!(applying.join().unwrap().is_success());
        shares.push(busy / calm);
    }
    let submissions = clients.stop();
    let rejected = submissions
        .iter()
        .filter(|submission| submission.status != 204)
        .count();
    shares.sort_by(f64::total_cmp);
    println!(
        "\nunder traffic, {CHANGES_UNDER_TRAFFIC} changes: {} submissions, {rejected} rejected; goodput in the second of a \
         change against the one before, median {:.3}, least {:.3}",
        submissions.len(),
        shares[shares.len() / 2],
        shares[0]
    );
    check_single_policy(&group);
}

fn calls_in_a_second(endpoint: &TestServer) -> f64 {
    let before = endpoint.request_count();
    thread::sleep(Duration::from_secs(1));
    (endpoint.request_count() - before) as f64
}

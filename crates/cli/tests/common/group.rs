//! Groups of daemons, for tests and benchmarks.

use super::{new_folder_in_memory, program_path, run, CommandOutput, TemporaryFolder};
use marblefall_process_experiment::invariants;
use marblefall_process_experiment::observation::{HistoryEvent, Observation};
use marblefall_process_harness::client::{ClientLoad, Clients, Submission};
use marblefall_process_harness::destination::Destination;
use marblefall_process_harness::group::{Group, GroupSettings};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of members of a group that vote.
const VOTERS: usize = 3;
/// The duration of a lease in milliseconds.
const LEASE_MS: u64 = 1000;

/// Founds a group without starting it.
pub fn found_group(
    folder: PathBuf,
    members: usize,
    partition_policy: &str,
    endpoint: SocketAddr,
) -> Group {
    Group::found(GroupSettings {
        program: program_path().to_owned(),
        folder,
        members,
        voters: VOTERS,
        partition_policy: partition_policy.to_owned(),
        lease_ms: LEASE_MS,
        endpoints: vec![endpoint],
    })
    .unwrap()
}

/// Returns the history of a member.
pub fn history(group: &Group, member: usize) -> Vec<HistoryEvent> {
    // A member that never ran has no history file.
    let text = fs::read_to_string(group.history_file(member)).unwrap_or_default();
    HistoryEvent::parse_all(&text)
}

/// Checks that no member acted under a revision after any member acted under a later one. Returns the events of all members.
pub fn check_single_policy(group: &Group) -> Vec<HistoryEvent> {
    let events = (0..group.member_count())
        .flat_map(|member| history(group, member))
        .collect();
    let observation = Observation {
        events,
        ..Observation::default()
    };
    let violations = invariants::check(&observation);
    assert!(
        violations.is_empty(),
        "{violations:?}\n{}",
        group.recent_logs()
    );
    observation.events
}

/// Runs the tests of a file one at a time, as each runs several processes and some check lease deadlines.
static SERIAL: Mutex<()> = Mutex::new(());

/// Waits until no other test of the file runs, and keeps others from running until the guard is dropped.
pub fn serial() -> MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Founds a group whose folder is in memory and is removed on drop.
pub fn found_in_memory(
    name: &str,
    members: usize,
    partition_policy: &str,
    endpoint: SocketAddr,
) -> (Group, TemporaryFolder) {
    let folder = new_folder_in_memory(&format!("group-{name}"));
    let group = found_group(
        folder.path().join("group"),
        members,
        partition_policy,
        endpoint,
    );
    (group, folder)
}

/// Starts a destination that responds at once, and deduplicates events by their keys.
pub fn start_destination() -> Destination {
    Destination::start(Duration::ZERO).unwrap()
}

/// Starts clients of all members. `run` is part of all event ids.
pub fn start_clients(group: &Group, clients: usize, pause_ms: u64, run: u64) -> Clients {
    Clients::start(&ClientLoad {
        addresses: group.event_addresses(),
        clients,
        pause: Duration::from_millis(pause_ms),
        run,
    })
}

/// Checks that every event reported as delivered was executed, and that no event was executed twice.
pub fn check_executions(destination: &Destination, submissions: &[Submission]) {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for call in destination.calls().into_iter().filter(|call| call.executed) {
        *executions.entry(call.key).or_default() += 1;
    }
    let is_duplicate = |(_, count): &(&String, &usize)| **count > 1;
    let duplicates: Vec<_> = executions.iter().filter(is_duplicate).collect();
    assert!(duplicates.is_empty(), "duplicates: {duplicates:?}");
    for submission in submissions
        .iter()
        .filter(|submission| submission.status == 204)
    {
        assert!(
            executions.contains_key(&submission.id),
            "reported as delivered but never executed: {submission:?}"
        );
    }
}

/// Starts a thread that applies a plan at the home of a member.
pub fn start_applying(plan: String, home: String) -> JoinHandle<CommandOutput> {
    thread::spawn(move || run(&["apply", &plan, &home]))
}

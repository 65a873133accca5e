//! Failures of system calls in a daemon, injected by a preloaded shim. Each test also checks that its fault was injected.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shim::*;
use common::*;
use marblefall_fault_plan::{FaultKind, EVERY_CALL};
use marblefall_process_harness::network::reserve_addresses;
use std::fs;
use std::net::TcpStream;
use std::time::Duration;

/// A loopback address with a port that the system picks.
const ANY_PORT: &str = "127.0.0.1:0";

/// Returns a manifest with these instances.
fn manifest(instances: &[&str]) -> String {
    manifest_at(ANY_PORT, instances)
}

/// Returns a manifest with these instances, each of which listens at the given address.
fn manifest_at(listen: &str, instances: &[&str]) -> String {
    let mut manifest = r#"[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 8000
[destination.well]
endpoints = [{ name = "well-1", address = "127.0.0.1:9" }]
"#
    .to_owned();
    for name in instances {
        manifest += &format!(
            r#"[instance.{name}]
events = {{ listen = "{listen}", path = "/events", destination_attribute = "clinic", types = {{ status = "status" }} }}
"#
        );
    }
    manifest
}

/// Returns a manifest with one instance, whose destination is in the endpoint lists of the folder `lists`.
fn manifest_with_lists() -> String {
    manifest(&["one"]).replace(
        "[destination.well]\nendpoints = [{ name = \"well-1\", address = \"127.0.0.1:9\" }]\n",
        "[destination.well]\nrate = 20\n[roster]\npath = \"lists\"\npoll_ms = 200\nmost_weight_lost = 1.0\nmost_endpoints_lost = 1.0\n",
    )
}

/// Regression: the daemon did not retry when it could not open the applied manifest.
#[test]
fn manifest_applied_while_opens_fail_comes_into_force_later() {
    let folder = new_folder("applied-later");
    apply(&folder, &manifest(&["one"]));
    let home = home(&folder);
    let (delay, duration) = (Duration::from_secs(3), Duration::from_secs(4));
    let open_fault = fault(FaultKind::OpenNoFiles, delay, duration, EVERY_CALL);
    let shim = new_shim(&folder, &home, &[open_fault]);
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    program.address(EVENTS_MARKER, 0);
    wait_for("the start of the fault", || {
        open_fault.is_active(monotonic_ms())
    });
    apply(&folder, &manifest(&["one", "two"]));
    program.address(EVENTS_MARKER, 1);
    assert!(
        shim.injected(FaultKind::OpenNoFiles) > 0,
        "{}",
        program.log()
    );
}

/// Regression: a list in force that could not be stored was not stored later either, so the next start used the previous
/// list.
#[test]
fn list_that_could_not_be_stored_is_stored_later() {
    let folder = new_folder("stored-later");
    let lists = folder.path().join("lists");
    fs::create_dir_all(&lists).unwrap();
    let write_list = |revision: u32| {
        let list = format!(
            "revision = {revision}\n[destination.well]\nendpoints = [{{ name = \"well-{revision}\", address = \"127.0.0.1:9\" }}]\n[end]\nrevision = {revision}\n"
        );
        fs::write(lists.join("all.toml"), list).unwrap();
    };
    write_list(1);
    apply(&folder, &manifest_with_lists());
    let (home, stored) = (
        home(&folder),
        folder.path().join("home/rosters/all.toml.good"),
    );
    let (delay, duration) = (Duration::from_secs(3), Duration::from_secs(3));
    let disk_fault = fault(FaultKind::DiskError, delay, duration, EVERY_CALL);
    let shim = new_shim(&folder, &home.join("rosters"), &[disk_fault]);
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    let is_stored = |revision: u32| {
        let text = fs::read_to_string(&stored).unwrap_or_default();
        text.contains(&format!("revision = {revision}\n"))
    };
    wait_for("the first list", || is_stored(1));
    wait_for("the start of the fault", || {
        disk_fault.is_active(monotonic_ms())
    });
    write_list(2);
    wait_for("the second list in force", || {
        assert!(disk_fault.is_active(monotonic_ms()), "{}", program.log());
        program.log().contains("last-good-list-not-written")
    });
    assert!(!is_stored(2));
    wait_for("the second list on disk", || is_stored(2));
    assert!(shim.injected(FaultKind::DiskError) > 0, "{}", program.log());
}

/// Regression: the supervisor listened before the instance had its state folder, so clients had no response while the disk
/// failed.
#[test]
fn instance_waiting_for_its_disk_refuses_connections() {
    let folder = new_folder("instance-waits");
    let listen = reserve_addresses(1).unwrap()[0];
    apply(&folder, &manifest_at(&listen.to_string(), &["one"]));
    let home = home(&folder);
    let shim = new_shim(
        &folder,
        &home.join("instances"),
        &[fault(
            FaultKind::DiskFull,
            NO_DELAY,
            UNTIL_TEST_END,
            EVERY_CALL,
        )],
    );
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    wait_for("the fault", || {
        shim.is_loaded() && shim.injected(FaultKind::DiskFull) > 2
    });
    assert!(TcpStream::connect(listen).is_err(), "{}", program.log());
}

/// Regression: a daemon exited if it could not open its home for a moment.
#[test]
fn daemon_starts_once_its_home_can_be_opened() {
    let folder = new_folder("home-later");
    apply(&folder, &manifest(&["one"]));
    let home = home(&folder);
    let duration = Duration::from_millis(1200);
    let shim = new_shim(
        &folder,
        &home,
        &[fault(
            FaultKind::OpenNoFiles,
            NO_DELAY,
            duration,
            EVERY_CALL,
        )],
    );
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(exchange(address, READY_REQUEST).unwrap().status(), 200);
    assert!(
        shim.injected(FaultKind::OpenNoFiles) > 0,
        "{}",
        program.log()
    );
}

#[test]
fn daemon_shut_down_before_its_home_opens_exits_cleanly() {
    let folder = new_folder("home-never");
    apply(&folder, &manifest(&["one"]));
    let home = home(&folder);
    let shim = new_shim(
        &folder,
        &home,
        &[fault(
            FaultKind::OpenNoFiles,
            NO_DELAY,
            UNTIL_TEST_END,
            EVERY_CALL,
        )],
    );
    let mut program = Program::start(&["run", path_str(&home)], &shim.environment());
    wait_for("the fault", || {
        shim.is_loaded() && shim.injected(FaultKind::OpenNoFiles) > 2
    });
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
}

/// Regression: a daemon that could not open its last good lists at its start ran without any list.
#[test]
fn lists_unreadable_at_start_come_into_force_later() {
    let endpoint = start_healthy_server();
    let folder = new_folder("lists-later");
    let lists = folder.path().join("lists");
    fs::create_dir_all(&lists).unwrap();
    let list = format!(
        "revision = 1\n[destination.well]\nendpoints = [{{ name = \"well-1\", address = \"{}\" }}]\n[end]\nrevision = 1\n",
        endpoint.address
    );
    fs::write(lists.join("all.toml"), list).unwrap();
    apply(&folder, &manifest_with_lists());
    let (home, stored) = (
        home(&folder),
        folder.path().join("home/rosters/all.toml.good"),
    );
    let first = start_daemon(&folder);
    wait_for("the list on disk", || stored.exists());
    first.kill();
    fs::remove_dir_all(&lists).unwrap();
    let duration = Duration::from_millis(1500);
    let shim = new_shim(
        &folder,
        &home.join("rosters"),
        &[fault(
            FaultKind::OpenNoFiles,
            NO_DELAY,
            duration,
            EVERY_CALL,
        )],
    );
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    let address = program.address(EVENTS_MARKER, 0);
    let mut n = 0;
    wait_for("a delivery to the listed endpoint", || {
        n += 1;
        event_status(address, &n.to_string(), "status", "well", "") == 204
    });
    assert!(
        shim.injected(FaultKind::OpenNoFiles) > 0,
        "{}",
        program.log()
    );
}

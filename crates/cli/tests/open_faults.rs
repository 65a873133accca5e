//! Failures to open and lock files in a process on the platform, injected by a preloaded shim.
//!
//! Most tests also check that their fault was injected.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::shim::*;
use common::*;
use marblefall_fault_plan::{FaultKind, EVERY_CALL};
use marblefall_process_harness::platform::LISTENING_MARKER;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn process_without_lock_does_not_take_over_from_the_active_one() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("locks", endpoint.address, "6000");
    let (mut old, _) = platform.start_first();
    let duration = Duration::from_millis(400);
    let (new, shim) =
        platform.start_with_faults(&[fault(FaultKind::LockFails, NO_DELAY, duration, EVERY_CALL)]);
    new.address(LISTENING_MARKER, 0);
    assert!(shim.injected(FaultKind::LockFails) > 0);
    assert_eq!(new.log().matches("takes-over").count(), 0, "{}", new.log());
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    assert!(old.log().contains("code=\"handed-over\""), "{}", old.log());
    wait_for("the takeover", || new.log().contains("takes-over"));
}

#[test]
fn process_with_failing_opens_starts_with_its_pending_messages() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("opens", endpoint.address, "6000");
    let (program, address) = platform.start_first();
    assert_eq!(
        submit_status(address, "held", IDEMPOTENT_CLASS, "20000"),
        202
    );
    program.kill();
    // Each process leaves its own file in the state folder.
    for _ in 0..5 {
        let program = platform.start();
        program.address(LISTENING_MARKER, 0);
        program.kill();
    }
    open.store(true, Ordering::SeqCst);
    endpoint.wait_until_disconnected().unwrap();
    let before = endpoint.request_count();
    let duration = Duration::from_secs(4);
    let (_program, shim) = platform.start_with_faults(&[fault(
        FaultKind::OpenNoFiles,
        NO_DELAY,
        duration,
        HALF_OF_CALLS,
    )]);
    wait_for("the message's attempt", || {
        endpoint.request_count() > before
    });
    assert!(shim.injected(FaultKind::OpenNoFiles) > 0);
}

#[test]
fn disabled_endpoint_stays_disabled_while_opens_fail_at_random() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("disabled", endpoint.address, "6000");
    let (program, address) = platform.start_first();
    program.kill();
    std::fs::write(platform.state_folder().join("held-out.txt"), "s-1\n").unwrap();
    for n in 0..8 {
        let duration = Duration::from_secs(4);
        let (mut program, _shim) = platform.start_with_faults(&[fault(
            FaultKind::OpenNoFiles,
            NO_DELAY,
            duration,
            HALF_OF_CALLS,
        )]);
        program.address(LISTENING_MARKER, 0);
        submit(address, &format!("m-{n}"), IDEMPOTENT_CLASS, "700").unwrap();
        program.signal(Signal::TERM);
        assert!(program.wait_for_exit(), "{}", program.log());
        assert_eq!(endpoint.request_count(), 0, "{}", program.log());
    }
}

#[test]
fn standby_with_failing_opens_takes_over_all_messages() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("standby-opens", endpoint.address, "6000");
    let (first, address) = platform.start_first();
    let mut accepted = Vec::new();
    let mut submit = |id: String| {
        assert_eq!(submit_status(address, &id, IDEMPOTENT_CLASS, "20000"), 202);
        accepted.push(id);
    };
    submit("of-first".to_owned());
    first.kill();
    let mut old = platform.start();
    old.address(LISTENING_MARKER, 0);
    submit("of-old".to_owned());
    let duration = Duration::from_secs(6);
    let (new, shim) = platform.start_with_faults(&[fault(
        FaultKind::OpenNoFiles,
        NO_DELAY,
        duration,
        HALF_OF_CALLS,
    )]);
    new.address(LISTENING_MARKER, 0);
    submit("of-either".to_owned());
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    open.store(true, Ordering::SeqCst);
    let before = endpoint.request_count();
    let is_delivered = |id: &String| {
        let requests = endpoint.requests();
        let mut later = requests[before..].iter();
        later.any(|attempt| message_id(attempt) == Some(id))
    };
    wait_for("all messages", || accepted.iter().all(is_delivered));
    assert!(shim.injected(FaultKind::OpenNoFiles) > 0, "{}", new.log());
}

#[test]
fn killed_standby_with_failing_opens_is_adopted() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("unannounced", endpoint.address, "6000");
    let (_active, address) = platform.start_first();
    for n in 0..6 {
        let duration = Duration::from_secs(4);
        let (standby, _shim) = platform.start_with_faults(&[fault(
            FaultKind::OpenNoFiles,
            NO_DELAY,
            duration,
            HALF_OF_CALLS,
        )]);
        standby.address(LISTENING_MARKER, 0);
        let id = format!("m-{n}");
        assert_eq!(submit_status(address, &id, IDEMPOTENT_CLASS, "20000"), 202);
        standby.kill();
        wait_for("the delivery of the message", || {
            let requests = endpoint.requests();
            let mut attempts = requests.iter();
            attempts.any(|attempt| message_id(attempt) == Some(&id))
        });
    }
}

/// Regression: a process exited if it could not open its configuration for a moment.
#[test]
fn process_starts_once_its_configuration_can_be_opened() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("config-later", endpoint.address, "6000");
    let duration = Duration::from_millis(800);
    let open_fault = fault(FaultKind::OpenNoFiles, NO_DELAY, duration, EVERY_CALL);
    let (program, shim) = platform.start_with_faults_in(platform.folder.path(), &[open_fault]);
    program.address(LISTENING_MARKER, 0);
    assert!(shim.injected(FaultKind::OpenNoFiles) > 0);
}

/// Regression: a configuration that could not be opened at SIGHUP was not read again, and discovery kept its old address.
#[test]
fn configuration_unreadable_at_reload_is_read_later() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("reload-later", endpoint.address, "6000");
    let (delay, duration) = (Duration::from_millis(1500), Duration::from_millis(1500));
    let open_fault = fault(FaultKind::OpenNoFiles, delay, duration, EVERY_CALL);
    let (program, shim) = platform.start_with_faults_in(platform.folder.path(), &[open_fault]);
    program.address(LISTENING_MARKER, 0);
    let second = TestDiscovery::start(0);
    platform.configure(&second);
    wait_for("the start of the fault", || {
        open_fault.is_active(monotonic_ms())
    });
    program.signal(Signal::HUP);
    wait_for("the fault", || shim.injected(FaultKind::OpenNoFiles) > 0);
    wait_for("a request at the new address", || {
        second.server().request_count() > 0
    });
}

/// Guards against a shutdown that ends two processes. A process that waited for files claims the state folder later than the
/// process started to replace it, and requests a handover from it. If the waiting process is shut down first, the other one
/// must stay active.
#[test]
fn shutdown_of_a_standby_does_not_end_the_active_process() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("both-end", endpoint.address, "6000");
    let (first, address) = platform.start_first();
    first.kill();
    let duration = Duration::from_millis(1500);
    let (mut waiting, shim) = platform.start_with_faults(&[fault(
        FaultKind::OpenNoFiles,
        NO_DELAY,
        duration,
        EVERY_CALL,
    )]);
    wait_for("the fault", || {
        shim.is_loaded() && shim.injected(FaultKind::OpenNoFiles) > 0
    });
    let replacement = platform.start();
    replacement.address(LISTENING_MARKER, 0);
    waiting.address(LISTENING_MARKER, 0);
    // The process that listens last receives all new connections. Its accepted message keeps it from exiting at once.
    assert_eq!(
        submit_status(address, "held", IDEMPOTENT_CLASS, "20000"),
        202
    );
    waiting.signal(Signal::TERM);
    assert!(waiting.wait_for_exit(), "{}", waiting.log());
    assert_eq!(
        replacement.log().matches("code=\"handed-over\"").count(),
        0,
        "{}",
        waiting.log()
    );
    open.store(true, Ordering::SeqCst);
    wait_for("the delivery", || {
        replacement.signal(Signal::USR1);
        replacement.log().contains("delivered=1 ")
    });
}

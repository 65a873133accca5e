//! Disk faults of limited duration in a process on the platform, injected by a preloaded shim.
//!
//! Most tests also check that their fault was injected.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::shim::*;
use common::*;
use marblefall_fault_plan::{FaultKind, EVERY_CALL};
use marblefall_process_harness::discovery::EndpointPhase;
use marblefall_process_harness::platform::LISTENING_MARKER;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Limit of the processor time used during a fault of 3 s.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(1);

#[test]
fn messages_accepted_after_a_disk_fault_survive_a_kill() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("disk", endpoint.address, "6000");
    let duration = Duration::from_millis(1500);
    let disk_fault = fault(FaultKind::DiskError, duration, duration, EVERY_CALL);
    let (program, shim) = platform.start_with_faults(&[disk_fault]);
    let address = program.address(LISTENING_MARKER, 0);
    // Messages accepted before the fault would use up the instance's capacity.
    wait_for("the start of the fault", || {
        disk_fault.is_active(monotonic_ms())
    });
    wait_for("the fault", || {
        submit(address, "in-fault", IDEMPOTENT_CLASS, "20000").unwrap();
        shim.injected(FaultKind::DiskError) > 8
    });
    let mut accepted = 0;
    let mut n = 0;
    wait_for("messages to be accepted again", || {
        n += 1;
        let response = submit(address, &format!("m-{n}"), IDEMPOTENT_CLASS, "20000").unwrap();
        accepted += usize::from(response.status() == 202);
        accepted >= 5
    });
    program.kill();
    open.store(true, Ordering::SeqCst);
    let program = platform.start();
    program.address(LISTENING_MARKER, 0);
    program.wait_for_counter("resumed=");
    let log = program.log();
    let resumed: usize = log
        .split("resumed=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next()?.parse().ok())
        .unwrap();
    assert!(
        resumed >= accepted,
        "{resumed} of {accepted} accepted messages were resumed"
    );
}

#[test]
fn pending_messages_are_delivered_despite_a_disk_fault() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("held", endpoint.address, "6000");
    let delay = Duration::from_millis(1000);
    let duration = Duration::from_millis(1500);
    let (program, shim) =
        platform.start_with_faults(&[fault(FaultKind::DiskFull, delay, duration, EVERY_CALL)]);
    let address = program.address(LISTENING_MARKER, 0);
    for n in 0..3 {
        assert_eq!(
            submit_status(address, &format!("m-{n}"), IDEMPOTENT_CLASS, "20000"),
            202
        );
    }
    wait_for("the fault", || shim.injected(FaultKind::DiskFull) > 3);
    open.store(true, Ordering::SeqCst);
    wait_for("all outcomes", || {
        program.signal(Signal::USR1);
        let log = program.log();
        log.contains("delivered=3 ") || !platform.discovery.notices().is_empty()
    });
    assert_eq!(platform.discovery.notices(), "", "{}", program.log());
}

#[test]
fn process_started_on_a_failing_disk_waits_until_it_works() {
    let endpoint = start_healthy_server();
    for kind in [FaultKind::DiskFull, FaultKind::DiskError] {
        let platform = Platform::new("starts", endpoint.address, "6000");
        let (program, shim) = platform.start_with_faults(&[fault(
            kind,
            NO_DELAY,
            Duration::from_millis(1200),
            EVERY_CALL,
        )]);
        let address = program.address(LISTENING_MARKER, 0);
        assert_eq!(submit_status(address, "m", IDEMPOTENT_CLASS, "9000"), 202);
        assert!(shim.injected(kind) > 0);
    }
}

#[test]
fn process_shut_down_while_waiting_for_its_disk_exits_cleanly() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("term-early", endpoint.address, "6000");
    let (mut program, shim) = platform.start_with_faults(&[fault(
        FaultKind::DiskFull,
        NO_DELAY,
        UNTIL_TEST_END,
        EVERY_CALL,
    )]);
    wait_for("the fault", || {
        shim.is_loaded() && shim.injected(FaultKind::DiskFull) > 0
    });
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
}

#[test]
fn delivery_during_a_disk_fault_is_not_repeated_after_a_restart() {
    let open = Arc::new(AtomicBool::new(false));
    let is_open = open.clone();
    let endpoint = start_server(move |_| {
        wait_for("the endpoint to respond", || is_open.load(Ordering::SeqCst));
        Reply::ok()
    });
    let platform = Platform::new("ends", endpoint.address, "6000");
    let delay = Duration::from_millis(1200);
    let duration = Duration::from_millis(1200);
    let disk_fault = fault(FaultKind::DiskError, delay, duration, EVERY_CALL);
    let (program, shim) = platform.start_with_faults(&[disk_fault]);
    let address = program.address(LISTENING_MARKER, 0);
    assert_eq!(submit_status(address, "m", IDEMPOTENT_CLASS, "20000"), 202);
    wait_for("the start of the fault", || {
        disk_fault.is_active(monotonic_ms())
    });
    open.store(true, Ordering::SeqCst);
    program.wait_for_counter("delivered=1 ");
    assert!(shim.injected(FaultKind::DiskError) > 0);
    wait_for("the disk to work again", || {
        let response = submit(address, "after", IDEMPOTENT_CLASS, "20000").unwrap();
        response.status() == 202
    });
    program.wait_for_counter("delivered=2 ");
    program.kill();
    let mut program = platform.start();
    program.address(LISTENING_MARKER, 0);
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit());
    let requests = endpoint.requests();
    let of_first = requests
        .iter()
        .filter(|attempt| message_id(attempt) == Some("m"));
    assert_eq!(of_first.count(), 1);
}

#[test]
fn process_waiting_for_its_disk_refuses_connections() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("refuses", endpoint.address, "6000");
    let (first, address) = platform.start_first();
    first.kill();
    let (_program, shim) = platform.start_with_faults(&[fault(
        FaultKind::DiskFull,
        NO_DELAY,
        UNTIL_TEST_END,
        EVERY_CALL,
    )]);
    wait_for("the fault", || {
        shim.is_loaded() && shim.injected(FaultKind::DiskFull) > 2
    });
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn process_that_waited_for_its_disk_does_not_call_a_draining_endpoint() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("stale", endpoint.address, "6000");
    let (program, address) = platform.start_first();
    assert_eq!(
        submit_status(address, "held", IDEMPOTENT_CLASS, "20000"),
        202
    );
    program.kill();
    open.store(true, Ordering::SeqCst);
    let draining = one_endpoint(endpoint.address, EndpointPhase::Draining);
    platform
        .discovery
        .set_complete_list(list_of(42, true, draining));
    endpoint.wait_until_disconnected().unwrap();
    let before = endpoint.request_count();
    let duration = Duration::from_millis(1500);
    let (program, shim) =
        platform.start_with_faults(&[fault(FaultKind::DiskFull, NO_DELAY, duration, EVERY_CALL)]);
    program.address(LISTENING_MARKER, 0);
    assert!(shim.injected(FaultKind::DiskFull) > 0);
    wait_for("an accepted message or a call", || {
        let response = submit(address, "new", IDEMPOTENT_CLASS, "1500").unwrap();
        response.status() == 202 || endpoint.request_count() > before
    });
    assert_eq!(endpoint.request_count(), before);
}

#[test]
fn failing_disk_does_not_keep_the_processor_busy() {
    let open = Arc::new(AtomicBool::new(false));
    let is_open = open.clone();
    let endpoint = start_server(move |_| {
        wait_for("the endpoint to respond", || is_open.load(Ordering::SeqCst));
        Reply::ok()
    });
    let platform = Platform::new("busy", endpoint.address, "6000");
    let delay = Duration::from_millis(1000);
    let duration = Duration::from_millis(3000);
    let disk_fault = fault(FaultKind::DiskError, delay, duration, EVERY_CALL);
    let (program, _shim) = platform.start_with_faults(&[disk_fault]);
    let address = program.address(LISTENING_MARKER, 0);
    for n in 0..20 {
        submit(address, &format!("held-{n}"), IDEMPOTENT_CLASS, "20000").unwrap();
    }
    wait_for("the start of the fault", || {
        disk_fault.is_active(monotonic_ms())
    });
    // Deliveries from now on cannot be written to the journal.
    open.store(true, Ordering::SeqCst);
    let before = program.resource_usage().processor_time;
    let mut n = 0;
    wait_for("the end of the fault", || {
        n += 1;
        let _ = submit(address, &format!("in-fault-{n}"), IDEMPOTENT_CLASS, "20000");
        !disk_fault.is_active(monotonic_ms())
    });
    let used = program.resource_usage().processor_time - before;
    assert!(used < MAX_PROCESSOR_TIME, "{used:?} of 3 s, {n} requests");
}

//! Steps of the wall clock in a process on the platform, injected by a preloaded shim.
//!
//! Each test also checks that its fault was injected.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::shim::*;
use common::*;
use marblefall_fault_plan::FaultKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[test]
fn wall_clock_an_hour_ahead_after_a_restart_expires_no_message() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_rejecting_until(&open);
    let platform = Platform::new("ahead", endpoint.address, "6000");
    let (program, address) = platform.start_listening();
    assert_eq!(
        submit_status(address, "held", IDEMPOTENT_CLASS, "20000"),
        202
    );
    wait_for("an attempt", || endpoint.request_count() > 0);
    program.kill();
    open.store(true, Ordering::SeqCst);
    endpoint.wait_until_disconnected().unwrap();
    let before = endpoint.request_count();
    let (_program, shim) = platform.start_with_faults(&[fault(
        FaultKind::WallClockStepped,
        NO_DELAY,
        UNTIL_TEST_END,
        HOUR_MS,
    )]);
    wait_for("the message's attempt or notice", || {
        endpoint.request_count() > before || !platform.discovery.notices().is_empty()
    });
    assert_eq!(
        platform.discovery.notices(),
        "",
        "a notice before the deadline of 20 s"
    );
    assert!(shim.injected(FaultKind::WallClockStepped) > 0);
}

#[test]
fn wall_clock_an_hour_behind_after_a_restart_reopens_no_window() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_silent_until(&open);
    let platform = Platform::new("back", endpoint.address, "1");
    let (program, address) = platform.start_listening();
    assert_eq!(submit_status(address, "order", KEYED_CLASS, "20000"), 202);
    wait_for("its attempt", || endpoint.request_count() == 1);
    program.kill();
    open.store(true, Ordering::SeqCst);
    let (_program, shim) = platform.start_with_faults(&[fault(
        FaultKind::WallClockStepped,
        NO_DELAY,
        UNTIL_TEST_END,
        -HOUR_MS,
    )]);
    wait_for("its notice or a repeat", || {
        endpoint.request_count() > 1 || platform.discovery.has_notice_of("order")
    });
    assert_eq!(
        endpoint.request_count(),
        1,
        "a repeat after the deduplication window"
    );
    assert!(shim.injected(FaultKind::WallClockStepped) > 0);
}

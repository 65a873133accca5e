//! Failures of socket calls that Linux documents, injected into a process on the platform by a preloaded shim.
//!
//! Each test also checks that its fault was injected.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::shim::*;
use common::*;
use marblefall_fault_plan::{FaultKind, EVERY_CALL};
use marblefall_process_harness::platform::LISTENING_MARKER;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn interrupted_and_short_transfers_lose_no_message() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("short", endpoint.address, "6000");
    let plan = [
        fault(FaultKind::ReceiveInterrupted, NO_DELAY, UNTIL_TEST_END, 300),
        fault(FaultKind::ReceiveShort, NO_DELAY, UNTIL_TEST_END, 300),
        fault(FaultKind::SendInterrupted, NO_DELAY, UNTIL_TEST_END, 300),
        fault(FaultKind::SendShort, NO_DELAY, UNTIL_TEST_END, 300),
    ];
    let (program, shim) = platform.start_with_faults(&plan);
    let address = program.address(LISTENING_MARKER, 0);
    for n in 0..20 {
        let response = submit(address, &format!("m-{n}"), KEYED_CLASS, "9000");
        assert_eq!(
            response.map(|response| response.status()),
            Some(202),
            "message {n}"
        );
    }
    program.wait_for_counter("delivered=20 ");
    assert!(program.log().contains("resets=0 "), "{}", program.log());
    assert_eq!(endpoint.request_count(), 20);
    for fault in plan {
        assert!(shim.injected(fault.kind) > 0, "{fault} was never injected");
    }
}

#[test]
fn signals_are_handled_after_an_interrupted_read() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("signals", endpoint.address, "6000");
    let duration = Duration::from_millis(2500);
    let (mut program, shim) = platform.start_with_faults(&[fault(
        FaultKind::ReceiveInterrupted,
        NO_DELAY,
        duration,
        500,
    )]);
    program.address(LISTENING_MARKER, 0);
    let injected = shim.injected(FaultKind::ReceiveInterrupted);
    for _ in 0..20 {
        program.signal(Signal::USR1);
        std::thread::yield_now();
    }
    wait_for("the fault", || {
        program.signal(Signal::USR1);
        shim.injected(FaultKind::ReceiveInterrupted) > injected + 3
    });
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
}

#[test]
fn queued_connections_are_served_at_shutdown_despite_failing_accepts() {
    let endpoint = start_healthy_server();
    for (kind, amount) in [
        (FaultKind::AcceptNoFiles, EVERY_CALL),
        (FaultKind::AcceptInterrupted, 700),
    ] {
        let platform = Platform::new("accepts", endpoint.address, "6000");
        let (mut program, shim) = platform.start_with_faults(&[fault(
            kind,
            Duration::from_secs(2),
            Duration::from_millis(1500),
            amount,
        )]);
        let address = program.address(LISTENING_MARKER, 0);
        wait_for("the fault", || {
            let _ = TcpStream::connect(address);
            shim.injected(kind) > 0
        });
        program.signal(Signal::TERM);
        let request = READY_REQUEST;
        let mut waiting: Vec<TcpStream> = (0..4)
            .map(|_| TcpStream::connect(address).unwrap())
            .collect();
        for stream in &mut waiting {
            stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            stream.write_all(request).unwrap();
        }
        for (n, stream) in waiting.iter().enumerate() {
            let response = Message::read(&mut BufReader::new(stream));
            assert!(
                response.is_some(),
                "{kind:?}, connection {n}: {}",
                program.log()
            );
        }
        assert!(program.wait_for_exit());
    }
}

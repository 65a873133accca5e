//! A planned restart of a daemon while clients wait for the outcomes of their events.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients, each with one event.
const CLIENTS: usize = 9;
/// The earliest time of SIGKILL after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);
/// Number of calls that may be in flight.
const SLOTS: usize = 3;

/// Returns the manifest of one instance with a class whose events must not be executed twice.
fn payment_manifest(endpoint: SocketAddr) -> String {
    format!(
        r#"[limits]
slots = {SLOTS}
[class.payment]
repeats = "never"
wanted_ms = 2500
give_up_ms = 24000
[destination.a]
path = "/in"
rate = 50
endpoints = [{{ name = "a-1", address = "{endpoint}" }}]
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ payment = "payment" }} }}
"#
    )
}

/// Guards against duplicated effects: events that waited when the daemon ended were answered 429, and delivered by the next
/// process all the same.
#[test]
fn event_refused_at_a_restart_is_not_delivered_after_it() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_silent_until(&open);
    let folder = new_folder("event-restart");
    apply(&folder, &payment_manifest(endpoint.address));
    let mut program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || event_status(address, &format!("e{client}"), "payment", "a", ""))
        })
        .collect();
    program.wait_for_counter(&format!("taken_on={CLIENTS} "));
    wait_for("calls of the first process", || {
        endpoint.request_count() > 0
    });
    program.signal(Signal::TERM);
    let mut statuses = BTreeMap::<u16, usize>::new();
    for client in clients {
        *statuses.entry(client.join().unwrap()).or_default() += 1;
    }
    assert!(program.wait_for_exit());
    let called = endpoint.request_count();
    // An event whose call had no response may have been executed, so it fails.
    assert_eq!(
        statuses,
        BTreeMap::from([(502, called), (503, CLIENTS - called)])
    );
    open.store(true, Ordering::SeqCst);
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(event_status(address, "new", "payment", "a", ""), 204);
    assert_eq!(endpoint.request_count(), called + 1);
}

/// Guards against late answers: events that waited while an instance restarted for a setting got no answer for 8 s.
#[test]
fn restart_for_a_setting_answers_waiting_events_at_once() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = start_server_silent_until(&open);
    let folder = new_folder("setting-restart");
    let manifest = payment_manifest(endpoint.address);
    apply(&folder, &manifest);
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    let (sender, statuses) = std::sync::mpsc::channel();
    for client in 0..CLIENTS {
        let sender = sender.clone();
        thread::spawn(move || {
            let status = event_status(address, &format!("e{client}"), "payment", "a", "");
            sender.send(status).unwrap();
        });
    }
    program.wait_for_counter(&format!("taken_on={CLIENTS} "));
    wait_for("calls", || endpoint.request_count() > 0);
    apply(&folder, &manifest.replace("slots", "idle_ms = 4000\nslots"));
    let called = endpoint.request_count();
    // The calls have no response until all events that wait are answered, nor after that.
    for _ in called..CLIENTS {
        assert_eq!(statuses.recv_timeout(WAIT_LIMIT), Ok(503));
    }
    open.store(true, Ordering::SeqCst);
    for _ in 0..called {
        assert_eq!(statuses.recv_timeout(WAIT_LIMIT), Ok(502));
    }
    assert_eq!(event_status(address, "new", "payment", "a", ""), 204);
    assert_eq!(endpoint.request_count(), called + 1);
}

/// Guards against requests without an answer: SIGTERM did not shorten the 8 s for which an instance that restarts for a
/// setting waits for its calls, and SIGKILL came first.
#[test]
fn shutdown_during_a_restart_answers_all_requests_before_the_kill() {
    let endpoint = start_server_silent_until(&Arc::new(AtomicBool::new(false)));
    let folder = new_folder("setting-restart-term");
    let manifest = payment_manifest(endpoint.address);
    apply(&folder, &manifest);
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    let (sender, statuses) = std::sync::mpsc::channel();
    for client in 0..SLOTS {
        let sender = sender.clone();
        thread::spawn(move || {
            let id = format!("e{client}");
            let response = submit_event(address, &id, "payment", "a", "", b"1");
            sender.send(response.map(|response| response.status()))
        });
    }
    program.wait_for_counter(&format!("taken_on={SLOTS} "));
    wait_for("a call", || endpoint.request_count() > 0);
    apply(&folder, &manifest.replace("slots", "idle_ms = 4000\nslots"));
    wait_for("the restart", || {
        program.log().contains("applies a change by a restart")
    });
    program.signal(Signal::TERM);
    let killed_at = Instant::now() + EARLIEST_KILL;
    let mut received = Vec::new();
    while received.len() < SLOTS {
        let remaining = killed_at.saturating_duration_since(Instant::now());
        let Ok(status) = statuses.recv_timeout(remaining) else {
            break;
        };
        received.push(status);
    }
    program.kill();
    let called = endpoint.request_count();
    let is_failed = |status: &&Option<u16>| **status == Some(502);
    assert_eq!(received.len(), SLOTS, "{received:?}");
    assert_eq!(
        received.iter().filter(is_failed).count(),
        called,
        "{received:?}"
    );
    assert!(received
        .iter()
        .all(|status| matches!(status, Some(502 | 503))));
}

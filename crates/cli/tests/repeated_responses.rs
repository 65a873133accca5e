//! Responses of endpoints and requests of clients that come more than once on the same connection.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::*;
use marblefall_process_harness::http::response_bytes;
use marblefall_process_harness::platform::PlatformMessage;
use marblefall_process_harness::response_copies::{CopyLength, ResponseCopies};
use marblefall_process_harness::{monotonic_micros, Micros, Workers};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Execution time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// One of this many calls is rejected.
const CALLS_PER_REJECTION: usize = 4;
/// Number of clients, each of which submits one event at a time.
const CLIENTS: usize = 24;
/// Number of events in a run.
const EVENTS: usize = 400;

/// A call as its endpoint observed it.
#[derive(Clone, Copy, Debug)]
struct Call {
    started_at: Micros,
    ended_at: Micros,
    is_delivered: bool,
}

type Calls = Arc<Mutex<BTreeMap<String, Vec<Call>>>>;

/// Starts an endpoint that executes three of four calls, rejects the fourth at once, and sends copies of one of
/// `responses_per_copy` responses.
fn start_endpoint(copies: ResponseCopies, responses_per_copy: usize, calls: &Calls) -> TestServer {
    let (calls, count) = (Arc::clone(calls), AtomicUsize::new(0));
    start_server(move |request| {
        let started_at = monotonic_micros();
        let id = request.header("ce-id").unwrap().to_owned();
        let number = count.fetch_add(1, Ordering::SeqCst);
        let is_delivered = !number.is_multiple_of(CALLS_PER_REJECTION);
        let is_copied = number.is_multiple_of(responses_per_copy);
        let calls = Arc::clone(&calls);
        Reply::Custom(Box::new(move |stream| {
            let status = if is_delivered {
                thread::sleep(SERVICE_TIME);
                200
            } else {
                503
            };
            calls.lock().unwrap().entry(id).or_default().push(Call {
                started_at,
                ended_at: monotonic_micros(),
                is_delivered,
            });
            let count = if is_copied { copies.count } else { 0 };
            let copies = ResponseCopies { count, ..copies };
            copies.write(stream, &response_bytes(status, "", b""))
        }))
    })
}

/// Half of the events are of a class that is never repeated, the others of one that is repeated freely.
fn manifest(endpoint: SocketAddr) -> String {
    format!(
        r#"[limits]
slots = 24
max_open = 128
[class.payment]
repeats = "never"
wanted_ms = 2500
give_up_ms = 20000
[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 20000
[destination.a]
path = "/in"
rate = 2000
endpoints = [{{ name = "a-1", address = "{endpoint}" }}]
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ payment = "payment", status = "status" }} }}
"#
    )
}

/// The result of an event for its client.
struct Submission {
    id: String,
    status: u16,
    responded_at: Micros,
}

fn submit_events(address: SocketAddr) -> Vec<Submission> {
    let new_client = |client: usize| {
        move |number: usize| {
            let class = ["payment", "status"][number % 2];
            let id = format!("{class}-{client}-{number}");
            let response = submit_event(address, &id, class, "a", "", b"1");
            Submission {
                status: response.unwrap().status(),
                responded_at: monotonic_micros(),
                id,
            }
        }
    };
    let workers = Workers::start(CLIENTS, Duration::ZERO, new_client);
    workers.wait_for_completions(EVENTS).unwrap();
    workers.stop()
}

/// Returns the broken rules, each with an event.
fn violations(submissions: &[Submission], calls: &BTreeMap<String, Vec<Call>>) -> Vec<String> {
    let mut violations = Vec::new();
    for submission in submissions {
        let id = &submission.id;
        let mut calls = calls.get(id).cloned().unwrap_or_default();
        calls.sort_by_key(|call| call.started_at);
        let is_delivered =
            |call: &Call| call.is_delivered && call.ended_at < submission.responded_at;
        if submission.status == 204 && !calls.iter().any(is_delivered) {
            violations.push(format!("{id}: answered 204 before its delivery"));
        }
        let deliveries = calls.iter().filter(|call| call.is_delivered).count();
        if id.starts_with("payment") && deliveries > 1 {
            violations.push(format!("{id}: executed {deliveries} times"));
        }
        let overlaps = |pair: &[Call]| pair[1].started_at < pair[0].ended_at;
        if calls.windows(2).any(overlaps) {
            violations.push(format!("{id}: two attempts in flight"));
        }
    }
    violations
}

/// Plays an endpoint with copies, and checks that each event's outcome is that of its own calls.
fn check_outcomes(name: &str, copies: ResponseCopies, responses_per_copy: usize) {
    let calls = Calls::default();
    let endpoint = start_endpoint(copies, responses_per_copy, &calls);
    let folder = new_folder(name);
    apply(&folder, &manifest(endpoint.address));
    let program = start_daemon(&folder);
    let submissions = submit_events(program.address(EVENTS_MARKER, 0));
    program.signal(Signal::USR1);
    let violations = violations(&submissions, &calls.lock().unwrap());
    let first = &violations[..violations.len().min(5)];
    let count = submissions.len();
    assert!(
        violations.is_empty(),
        "{} violations in {count} events, {first:?}",
        violations.len()
    );
}

#[test]
fn late_copy_of_a_response_is_not_taken_for_the_next_one() {
    for (delay_ms, responses_per_copy) in [(4, 1), (12, 1), (4, 20)] {
        let copies = ResponseCopies::one_after(Duration::from_millis(delay_ms));
        check_outcomes("late-copies", copies, responses_per_copy);
    }
}

#[test]
fn several_unfinished_copies_end_no_message() {
    let copies = ResponseCopies {
        delay: Duration::from_millis(4),
        count: 3,
        length: CopyLength::Half,
    };
    check_outcomes("unfinished-copies", copies, 5);
}

/// On the platform, each submission has an id of its own.
#[test]
fn copy_of_a_clients_request_is_neither_run_nor_answered() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("repeated-request", endpoint.address, "6000");
    let (_program, address) = platform.start_first();
    let message = PlatformMessage {
        id: "once",
        class: KEYED_CLASS,
        budget_ms: "15000",
        destination: DESTINATION,
        idempotency_key: "key-of-once",
        body: b"two boxes",
    };
    let request = message.to_request().to_bytes();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&request).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    assert_eq!(Message::read(&mut reader).unwrap().status(), 202);
    wait_for("the delivery", || endpoint.request_count() == 1);
    stream.write_all(&request).unwrap();
    assert!(Message::read(&mut reader).is_none(), "a second response");
    assert_eq!(
        submit_status(address, "next", KEYED_CLASS, "15000"),
        202,
        "on a new connection"
    );
    wait_for("the delivery of the next message", || {
        let requests = endpoint.requests();
        requests.iter().any(|call| message_id(call) == Some("next"))
    });
    assert_eq!(endpoint.request_count(), 2);
}

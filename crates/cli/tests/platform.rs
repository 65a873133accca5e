//! The platform's protocol over sockets, with the program as a process between a simulated discovery and endpoint.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::*;
use marblefall_process_harness::discovery::EndpointPhase;
use marblefall_process_harness::http::write_response;
use marblefall_process_harness::platform::{LISTENING_MARKER, SUBMIT_PATH};
use marblefall_process_harness::server::Responder;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[test]
fn message_is_delivered_unchanged_and_program_exits_cleanly() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("passes", endpoint.address, "6000");
    let (mut program, address) = platform.start_listening();
    assert_eq!(exchange(address, READY_REQUEST).unwrap().status(), 200);
    assert_eq!(submit_status(address, "m-1", KEYED_CLASS, "9000"), 202);
    wait_for("the attempt", || endpoint.request_count() == 1);
    let attempt = first_request(&endpoint);
    assert_eq!(attempt.start_line, "POST /receive HTTP/1.1");
    assert_eq!(
        (
            message_id(&attempt),
            attempt.header(headers::IDEMPOTENCY_KEY)
        ),
        (Some("m-1"), Some("key-of-m-1"))
    );
    assert_eq!(attempt.body, BODY);
    assert!(
        attempt
            .header(headers::BUDGET_MS)
            .unwrap()
            .parse::<u64>()
            .unwrap()
            <= 9000
    );
    program.signal(Signal::USR1);
    wait_for("the counters", || {
        program.log().contains("offered=1 taken_on=1 declined=0 ")
    });
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
    assert_eq!(
        platform.discovery.notices(),
        "",
        "a notice of a delivered message"
    );
}

#[test]
fn notice_of_returned_message_is_sent_until_acknowledged() {
    let closed = unused_address();
    let platform = Platform::with_rejected_notices("given-up", closed, "6000", 2);
    let (_program, address) = platform.start_listening();
    assert_eq!(submit_status(address, "m-2", IDEMPOTENT_CLASS, "3000"), 202);
    wait_for("the notice", || !platform.discovery.notices().is_empty());
    let notices = platform.discovery.notices();
    assert!(
        notices.contains(r#"{"id":"m-2","state":"returned","after_ms":"#),
        "{notices}"
    );
}

#[test]
fn accepted_message_survives_a_kill_and_is_repeated_only_if_its_class_permits() {
    // The endpoint does not respond to attempts of the first incarnation, but to those of the next.
    let silent = Arc::new(Mutex::new(true));
    let is_silent = silent.clone();
    let endpoint = start_server(move |_| {
        if *is_silent.lock().unwrap() {
            Reply::Hang
        } else {
            Reply::ok()
        }
    });
    // The window of the keyed class has passed when the instance runs again, so its message must not be sent again.
    let platform = Platform::new("outlives", endpoint.address, "1");
    let (program, address) = platform.start_listening();
    assert_eq!(submit_status(address, "order", KEYED_CLASS, "20000"), 202);
    assert_eq!(
        submit_status(address, "status", IDEMPOTENT_CLASS, "20000"),
        202
    );
    wait_for("both attempts", || endpoint.request_count() == 2);
    program.kill();
    *silent.lock().unwrap() = false;
    let (program, address) = platform.start_listening();
    wait_for("the retry of the idempotent message", || {
        endpoint.request_count() == 3
    });
    wait_for("the outcome of the keyed message", || {
        platform.discovery.has_notice_of("order")
    });
    assert_eq!(message_id(&endpoint.requests()[2]), Some("status"));
    // If the process were killed before it recorded the endpoint's response, it would correctly resume a message that may
    // have been executed.
    program.wait_for_counter("delivered=1 ");
    // This submission is handled after that response.
    let fields = [
        (headers::CALL_ID, "nowhere"),
        (headers::CALL_CLASS, IDEMPOTENT_CLASS),
        (headers::BUDGET_MS, "20000"),
        (headers::ENVELOPE, "dest=99"),
    ];
    assert_eq!(
        post(address, SUBMIT_PATH, &fields, b"").unwrap().status(),
        503
    );
    program.kill();
    // All messages have outcomes, so a third incarnation resumes none.
    let mut program = platform.start();
    program.address(LISTENING_MARKER, 0);
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit());
    assert!(program.log().contains("resumed=0 "), "{}", program.log());
    assert_eq!(endpoint.request_count(), 3);
}

#[test]
fn new_configuration_moves_discovery_without_losing_notices() {
    let refusing = unused_address();
    let platform = Platform::with_rejected_notices("moves", refusing, "6000", usize::MAX);
    let (program, address) = platform.start_listening();
    assert_eq!(
        submit_status(address, "owed", IDEMPOTENT_CLASS, "3000"),
        202
    );
    wait_for("a notice that is rejected", || {
        program.log().contains("notices not taken")
    });
    // A configuration that cannot be parsed has no effect.
    write_file(&platform.folder, "config.json", "{");
    program.signal(Signal::HUP);
    wait_for("the failed reload", || {
        program.log().contains("configuration kept as it was")
    });
    assert_eq!(exchange(address, READY_REQUEST).unwrap().status(), 200);

    let second = TestDiscovery::start(0);
    platform.configure(&second);
    program.signal(Signal::HUP);
    wait_for("the notice at the new address", || {
        second.has_notice_of("owed")
    });
    let endpoint = start_healthy_server();
    let listed = one_endpoint(endpoint.address, EndpointPhase::Serving);
    second.send(&list_of(1, true, listed));
    wait_for("the watch at the new address", || {
        second.server().request_count() >= 2
    });
    assert!(second
        .server()
        .requests()
        .iter()
        .any(|request| request.start_line.contains("since=0 ")));
    // After the list was received, its endpoint is called.
    let mut n = 0;
    wait_for("an attempt to the endpoint listed there", || {
        n += 1;
        submit(address, &format!("m-{n}"), IDEMPOTENT_CLASS, "3000").unwrap();
        endpoint.request_count() > 0
    });

    // The next incarnation uses the address in the file, not the first address, which is in the environment.
    let before = second.server().request_count();
    program.kill();
    let program = platform.start();
    program.address(LISTENING_MARKER, 0);
    wait_for("the watch of the next incarnation", || {
        second.server().request_count() > before
    });
}

#[test]
fn draining_endpoint_gets_no_new_attempts() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("drains", endpoint.address, "6000");
    let (program, address) = platform.start_listening();
    assert_eq!(
        submit_status(address, "before", IDEMPOTENT_CLASS, "3000"),
        202
    );
    wait_for("an attempt", || endpoint.request_count() == 1);
    let draining = one_endpoint(endpoint.address, EndpointPhase::Draining);
    platform.discovery.send(&list_of(42, false, draining));
    wait_for("the drain", || program.log().contains("code=\"draining\""));
    let before = endpoint.request_count();
    assert_eq!(
        submit_status(address, "after", IDEMPOTENT_CLASS, "1500"),
        202
    );
    wait_for("its outcome", || platform.discovery.has_notice_of("after"));
    assert_eq!(endpoint.request_count(), before);
}

/// Responds, closes the connection without a `Connection: close` field, and counts the closed connections.
fn respond_and_close(closed: &Arc<AtomicUsize>) -> Responder {
    let closed = closed.clone();
    Box::new(move |stream| {
        write_response(stream, 200, "", b"")?;
        stream.shutdown(Shutdown::Both)?;
        closed.fetch_add(1, Ordering::SeqCst);
        Err(io::ErrorKind::ConnectionAborted.into())
    })
}

#[test]
fn connection_closed_by_peer_is_not_reused() {
    let closed = Arc::<AtomicUsize>::default();
    let closing = closed.clone();
    let endpoint = start_server(move |_| Reply::Custom(respond_and_close(&closing)));
    let platform = Platform::new("closed", endpoint.address, "6000");
    let (mut program, address) = platform.start_listening();
    for n in 1..=4 {
        assert_eq!(
            submit_status(address, &format!("m-{n}"), KEYED_CLASS, "9000"),
            202
        );
        // The next message is submitted after the connection was closed.
        wait_for("the connection's end", || {
            closed.load(Ordering::SeqCst) == n
        });
    }
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit());
    let log = program.log();
    assert!(
        log.contains("delivered=4 ") && log.contains("resets=0 "),
        "{log}"
    );
}

#[test]
fn shutdown_leaves_pending_messages_to_the_next_incarnation() {
    let open = Arc::new(Mutex::new(false));
    let serving = open.clone();
    let endpoint = start_server(move |_| {
        if *serving.lock().unwrap() {
            Reply::ok()
        } else {
            Reply::retry_after(429, "8")
        }
    });
    let platform = Platform::new("leaves", endpoint.address, "6000");
    let (mut program, address) = platform.start_listening();
    assert_eq!(
        submit_status(address, "held", IDEMPOTENT_CLASS, "20000"),
        202
    );
    wait_for("the attempt that is rejected", || {
        endpoint.request_count() == 1
    });
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
    *open.lock().unwrap() = true;
    // A restart ends the backoff.
    let program = platform.start();
    program.address(LISTENING_MARKER, 0);
    wait_for("its delivery by the next incarnation", || {
        endpoint.request_count() == 2
    });
    assert_eq!(message_id(&endpoint.requests()[1]), Some("held"));
    assert_eq!(platform.discovery.notices(), "");
}

/// Regression: connections in the listener's queue, or opened just before the process exited, were reset.
#[test]
fn process_closes_its_listener_and_serves_waiting_clients_before_exit() {
    let endpoint = start_healthy_server();
    for busy in [true, false] {
        let platform = Platform::new("last-clients", endpoint.address, "6000");
        let (mut program, address) = platform.start_listening();
        // Half a request keeps the process running until its shutdown limit.
        let mut half_request = TcpStream::connect(address).unwrap();
        half_request
            .write_all(if busy { b"POST /api HTTP/1.1\r\n" } else { b"" })
            .unwrap();
        if !busy {
            drop(half_request);
        }
        program.signal(Signal::TERM);
        // A request before the listener is closed has a response.
        let response = submit(address, "late", IDEMPOTENT_CLASS, "20000").unwrap();
        assert!([202, 503].contains(&response.status()));
        wait_for("its listener to be closed", || {
            program.log().contains("no longer accepts connections")
        });
        assert!(
            TcpStream::connect(address).is_err(),
            "it still listens after it logged the end of listening"
        );
        assert!(program.wait_for_exit(), "{}", program.log());
    }
}

#[test]
fn misbehaving_clients_do_not_starve_others() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("misbehaving-clients", endpoint.address, "6000");
    let (_program, address) = platform.start_listening();
    check_misbehaving_clients_do_no_harm(address, SUBMIT_PATH);
    // In this protocol clients send one request at a time: bytes after a request make it malformed.
    let fields =
        "X-Call-Id: c\r\nX-Call-Class: refill-status\r\nX-Budget-Ms: 900\r\nX-Envelope: dest=3";
    let request = format!("POST /api HTTP/1.1\r\n{fields}\r\nContent-Length: 1\r\n\r\nx");
    for extra in ["y".to_owned(), request.repeat(300)] {
        assert_eq!(
            exchange(address, format!("{request}{extra}").as_bytes())
                .unwrap()
                .status(),
            400
        );
    }
    assert_eq!(endpoint.request_count(), 0);
    assert_eq!(exchange(address, request.as_bytes()).unwrap().status(), 202);
    wait_for("the attempt", || endpoint.request_count() == 1);
}

/// Malformed requests, and the statuses of their responses.
const MALFORMED_REQUESTS: [(&[u8], u16); 8] = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET /ready HTTP/2.0\r\n\r\n", 400),
    (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
    (b"GET /api HTTP/1.1\r\n\r\n", 405),
    (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400),
    (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
    (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
];

#[test]
fn malformed_request_is_rejected_without_affecting_others() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("bad", endpoint.address, "6000");
    let (_program, address) = platform.start_listening();
    let long = format!("GET /ready HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    for (bytes, status) in MALFORMED_REQUESTS
        .into_iter()
        .chain([(long.as_bytes(), 431)])
    {
        let response = exchange(address, bytes).map(|response| response.status());
        assert_eq!(
            response,
            Some(status),
            "{}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(80)])
        );
    }
    assert_eq!(
        submit(address, "m", "no-such-class", "900")
            .unwrap()
            .status(),
        400
    );
    for budget in [
        "soon",
        "-1",
        "+900",
        "9e2",
        "900.5",
        "99999999999999999999999",
    ] {
        assert_eq!(
            submit(address, "m", KEYED_CLASS, budget).unwrap().status(),
            400,
            "{budget}"
        );
    }
    for id in ["a b", "\u{e9}", &"x".repeat(300)] {
        assert_eq!(
            submit(address, id, KEYED_CLASS, "900").unwrap().status(),
            400,
            "{id}"
        );
    }
    let keyless =
        b"POST /api HTTP/1.1\r\nX-Call-Id: c\r\nX-Call-Class: refill-order\r\nX-Budget-Ms: 900\r\n\
        X-Envelope: dest=3\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(exchange(address, keyless).unwrap().status(), 400);
    let chunked =
        b"POST /api HTTP/1.1\r\nX-Call-Id: c\r\nX-Call-Class: refill-status\r\nX-Budget-Ms: 900\r\n\
        X-Envelope: dest=3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    assert_eq!(exchange(address, chunked).unwrap().status(), 202);
    wait_for("the attempt", || endpoint.request_count() == 1);
    assert_eq!(first_request(&endpoint).body, b"abcde");
}

#[test]
fn second_sigterm_does_not_affect_the_shutdown() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("twice", endpoint.address, "6000");
    let (mut program, address) = platform.start_listening();
    let ready = || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(READY_REQUEST).unwrap();
        Message::read(&mut BufReader::new(stream)).map(|response| response.status())
    };
    program.signal(Signal::TERM);
    wait_for("the first signal", || {
        program.log().contains("shutdown requested")
    });
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    assert_eq!(
        ready(),
        Some(200),
        "the response to a client that connects during the shutdown"
    );
    assert!(program.wait_for_exit());
    assert_eq!(program.log().matches("shutdown requested").count(), 1);
}

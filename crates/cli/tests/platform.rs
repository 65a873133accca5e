//! The platform's protocol over sockets: the program as a process between stand-ins.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

#[test]
fn message_passes_unchanged_and_program_ends_cleanly() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("passes", endpoint.at, "6000", 0);
    let mut program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        raw(at, b"GET /ready HTTP/1.1\r\n\r\n").unwrap().status(),
        200
    );
    assert_eq!(
        hand(at, "m-1", "refill-order", "9000").unwrap().status(),
        202
    );
    wait_for("the attempt", || endpoint.count() == 1);
    let attempt = endpoint.first();
    assert_eq!(attempt.first, "POST /receive HTTP/1.1");
    assert_eq!(
        (attempt.field("x-call-id"), attempt.field("idempotency-key")),
        (Some("m-1"), Some("key-of-m-1"))
    );
    assert_eq!(attempt.body, b"two boxes\0\xff");
    assert!(
        attempt
            .field("x-budget-ms")
            .unwrap()
            .parse::<u64>()
            .unwrap()
            <= 9000
    );
    program.signal("USR1");
    wait_for("the counters", || {
        program.log().contains("offered=1 taken_on=1 declined=0 ")
    });
    program.signal("TERM");
    assert!(program.ended(), "{}", program.log());
    assert_eq!(
        site.discovery.told(),
        "",
        "a delivered message needs no notice"
    );
}

#[test]
fn returned_message_is_notified_at_once_until_acknowledged() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let site = Site::new("given-up", closed, "6000", 2);
    let program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        hand(at, "m-2", "refill-status", "3000").unwrap().status(),
        202
    );
    wait_for("the notice", || !site.discovery.told().is_empty());
    let told = site.discovery.told();
    assert!(
        told.contains(r#"{"id":"m-2","state":"returned","after_ms":"#),
        "{told}"
    );
}

#[test]
fn accepted_message_outlives_the_process_and_is_repeated_only_as_its_class_permits() {
    // The first attempts of an incarnation get no answer; those of the next are served.
    let silent = Arc::new(Mutex::new(true));
    let quiet = silent.clone();
    let endpoint = StandIn::start(move |_| {
        if *quiet.lock().unwrap() {
            Act::Silence
        } else {
            ok()
        }
    });
    // The keyed class's window is over by the time the instance is back, so its message must not go out again.
    let site = Site::new("outlives", endpoint.at, "1", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        hand(at, "order", "refill-order", "20000").unwrap().status(),
        202
    );
    assert_eq!(
        hand(at, "status", "refill-status", "20000")
            .unwrap()
            .status(),
        202
    );
    wait_for("both attempts", || endpoint.count() == 2);
    program.kill();
    *silent.lock().unwrap() = false;
    let program = site.start();
    let at = program.address(MARKER, 0);
    wait_for("the free one's repeat", || endpoint.count() == 3);
    wait_for("the keyed one's end", || {
        site.discovery.told().contains("\"order\"")
    });
    assert_eq!(
        endpoint.seen.lock().unwrap()[2].field("x-call-id"),
        Some("status")
    );
    // Killed before it has noted the answer that the endpoint gave, it would rightly resume what may have run.
    wait_for("the answer to be read", || {
        program.signal("USR1");
        program.log().contains("delivered=1 ")
    });
    // What is handed in now is looked at after that answer.
    let fields = [
        ("X-Call-Id", "nowhere"),
        ("X-Call-Class", "refill-status"),
        ("X-Budget-Ms", "20000"),
        ("X-Envelope", "dest=99"),
    ];
    assert_eq!(post(at, "/api", &fields, b"").unwrap().status(), 503);
    program.kill();
    // All is over: a third incarnation has nothing to do.
    let mut program = site.start();
    program.address(MARKER, 0);
    program.signal("TERM");
    assert!(program.ended());
    assert!(program.log().contains("resumed=0 "), "{}", program.log());
    assert_eq!(endpoint.count(), 3);
}

#[test]
fn new_configuration_moves_discovery_without_losing_pending_messages() {
    let refusing = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let site = Site::new("moves", refusing, "6000", usize::MAX);
    let program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        hand(at, "owed", "refill-status", "3000").unwrap().status(),
        202
    );
    wait_for("a notice that is not taken", || {
        program.log().contains("notices not taken")
    });
    // One that cannot be read changes nothing.
    site.folder.file("config.json", "{");
    program.signal("HUP");
    wait_for("the failed reading", || {
        program.log().contains("configuration kept as it was")
    });
    assert_eq!(
        raw(at, b"GET /ready HTTP/1.1\r\n\r\n").unwrap().status(),
        200
    );

    let second = Discovery::start(0);
    site.configure(&second);
    program.signal("HUP");
    wait_for("the notice at the new address", || {
        second.told().contains("\"owed\"")
    });
    let endpoint = StandIn::start(|_| ok());
    let news = format!(
        "{{\"revision\":1,\"complete\":true,\"members\":[{}]}}\n",
        member(endpoint.at, "SERVING")
    );
    second.lines.lock().unwrap().extend(news.into_bytes());
    wait_for("the watch at the new address", || {
        second.server.count() >= 2
    });
    assert!(second
        .server
        .seen
        .lock()
        .unwrap()
        .iter()
        .any(|seen| seen.first.contains("since=0 ")));
    // Once the news is in, the listed endpoint is the one that is called.
    let mut n = 0;
    wait_for("an attempt to the endpoint listed there", || {
        n += 1;
        hand(at, &format!("m-{n}"), "refill-status", "3000").unwrap();
        endpoint.count() > 0
    });

    // The next incarnation starts from the file, not from the environment that names the first address.
    let before = second.server.count();
    program.kill();
    let program = site.start();
    program.address(MARKER, 0);
    wait_for("the next life's watch", || second.server.count() > before);
}

#[test]
fn draining_endpoint_gets_no_new_attempts() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("drains", endpoint.at, "6000", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        hand(at, "before", "refill-status", "3000")
            .unwrap()
            .status(),
        202
    );
    wait_for("an attempt", || endpoint.count() == 1);
    let news = format!(
        "{{\"revision\":42,\"complete\":false,\"members\":[{}]}}\n",
        member(endpoint.at, "DRAINING")
    );
    site.discovery
        .lines
        .lock()
        .unwrap()
        .extend(news.into_bytes());
    wait_for("the drain", || program.log().contains("code=\"draining\""));
    let before = endpoint.count();
    assert_eq!(
        hand(at, "after", "refill-status", "1500").unwrap().status(),
        202
    );
    wait_for("its end", || site.discovery.told().contains("\"after\""));
    assert_eq!(endpoint.count(), before);
}

#[test]
fn connection_closed_by_peer_carries_no_further_attempt() {
    let endpoint = StandIn::start(|_| Act::Last);
    let site = Site::new("closed", endpoint.at, "6000", 0);
    let mut program = site.start();
    let at = program.address(MARKER, 0);
    for n in 1..=4 {
        assert_eq!(
            hand(at, &format!("m-{n}"), "refill-order", "9000")
                .unwrap()
                .status(),
            202
        );
        // Only once it is closed does the next attempt find it so.
        wait_for("the connection's end", || {
            endpoint.closed.load(Ordering::SeqCst) == n
        });
    }
    program.signal("TERM");
    assert!(program.ended());
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
    let endpoint = StandIn::start(move |_| {
        if *serving.lock().unwrap() {
            ok()
        } else {
            Act::Answer(429, "Retry-After: 8\r\n".to_owned())
        }
    });
    let site = Site::new("leaves", endpoint.at, "6000", 0);
    let mut program = site.start();
    let at = program.address(MARKER, 0);
    assert_eq!(
        hand(at, "held", "refill-status", "20000").unwrap().status(),
        202
    );
    wait_for("the attempt that is turned away", || endpoint.count() == 1);
    program.signal("TERM");
    assert!(program.ended(), "{}", program.log());
    *open.lock().unwrap() = true;
    // A restart ends the wait that was told.
    let program = site.start();
    program.address(MARKER, 0);
    wait_for("its delivery in the next life", || endpoint.count() == 2);
    assert_eq!(
        endpoint.seen.lock().unwrap()[1].field("x-call-id"),
        Some("held")
    );
    assert_eq!(site.discovery.told(), "");
}

/// A process that ended took no leave of its listener: whoever had just been let in by the system, or connected in the
/// last moments and asked, was reset.
#[test]
fn process_stops_listening_and_answers_all_that_wait_before_exit() {
    let endpoint = StandIn::start(|_| ok());
    for busy in [true, false] {
        let site = Site::new("last-clients", endpoint.at, "6000", 0);
        let mut program = site.start();
        let at = program.address(MARKER, 0);
        // Half a request holds the process to the last moment that it has.
        let mut half = TcpStream::connect(at).unwrap();
        half.write_all(if busy { b"POST /api HTTP/1.1\r\n" } else { b"" })
            .unwrap();
        if !busy {
            drop(half);
        }
        program.signal("TERM");
        // Who comes before that is answered.
        let answer = hand(at, "late", "refill-status", "20000").unwrap();
        assert!([202, 503].contains(&answer.status()));
        wait_for("its listener to be let go", || {
            program.log().contains("no longer accepts connections")
        });
        assert!(
            TcpStream::connect(at).is_err(),
            "it listens on after it said that it does not"
        );
        assert!(program.ended(), "{}", program.log());
    }
}

#[test]
fn misbehaving_clients_do_not_starve_others() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("manners", endpoint.at, "6000", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    bears_bad_clients(at, "/api");
    // Here clients send one request at a time: what stands behind one makes it unreadable.
    let fields =
        "X-Call-Id: c\r\nX-Call-Class: refill-status\r\nX-Budget-Ms: 900\r\nX-Envelope: dest=3";
    let one = format!("POST /api HTTP/1.1\r\n{fields}\r\nContent-Length: 1\r\n\r\nx");
    for more in ["y".to_owned(), one.repeat(300)] {
        assert_eq!(
            raw(at, format!("{one}{more}").as_bytes()).unwrap().status(),
            400
        );
    }
    assert_eq!(endpoint.count(), 0);
    assert_eq!(raw(at, one.as_bytes()).unwrap().status(), 202);
    wait_for("the attempt", || endpoint.count() == 1);
}

#[test]
fn malformed_request_is_answered_and_harms_nobody() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("bad", endpoint.at, "6000", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    let long = format!("GET /ready HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    let cases: [(&[u8], u16); 9] = [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /ready HTTP/2.0\r\n\r\n", 400),
        (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
        (b"GET /api HTTP/1.1\r\n\r\n", 405),
        (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        (long.as_bytes(), 431),
    ];
    for (bytes, status) in cases {
        let answer = raw(at, bytes).map(|answer| answer.status());
        assert_eq!(
            answer,
            Some(status),
            "{}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(80)])
        );
    }
    assert_eq!(hand(at, "m", "no-such-class", "900").unwrap().status(), 400);
    for budget in [
        "soon",
        "-1",
        "+900",
        "9e2",
        "900.5",
        "99999999999999999999999",
    ] {
        assert_eq!(
            hand(at, "m", "refill-order", budget).unwrap().status(),
            400,
            "{budget}"
        );
    }
    for id in ["a b", "\u{e9}", &"x".repeat(300)] {
        assert_eq!(
            hand(at, id, "refill-order", "900").unwrap().status(),
            400,
            "{id}"
        );
    }
    let keyless =
        b"POST /api HTTP/1.1\r\nX-Call-Id: c\r\nX-Call-Class: refill-order\r\nX-Budget-Ms: 900\r\n\
        X-Envelope: dest=3\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(raw(at, keyless).unwrap().status(), 400);
    let chunked =
        b"POST /api HTTP/1.1\r\nX-Call-Id: c\r\nX-Call-Class: refill-status\r\nX-Budget-Ms: 900\r\n\
        X-Envelope: dest=3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    assert_eq!(raw(at, chunked).unwrap().status(), 202);
    wait_for("the attempt", || endpoint.count() == 1);
    assert_eq!(endpoint.first().body, b"abcde");
}

#[test]
fn second_sigterm_changes_nothing_of_the_shutdown() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("twice", endpoint.at, "6000", 0);
    let mut program = site.start();
    let at = program.address(MARKER, 0);
    let ready = || {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        stream.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        Message::read(&mut std::io::BufReader::new(stream)).map(|answer| answer.status())
    };
    program.signal("TERM");
    wait_for("the first signal", || {
        program.log().contains("shutdown requested")
    });
    program.signal("TERM");
    program.signal("INT");
    assert_eq!(ready(), Some(200), "clients that do not know of it yet");
    assert!(program.ended());
    assert_eq!(program.log().matches("shutdown requested").count(), 1);
}

//! CloudEvents over HTTP: whole paths from a partner's request to its answer, between stand-in partners on
//! loopback that count every effect.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MARKER: &str = "takes events at ";
const STRUCTURED: (&str, &str) = ("Content-Type", "application/cloudevents+json");

/// One instance with a destination `a` that takes binary mode and `b` that takes structured mode.
fn file(binary: SocketAddr, structured: SocketAddr, window_ms: u64) -> String {
    format!(
        r#"[class.order]
repeats = "keyed"
window_ms = {window_ms}
wanted_ms = 2500
give_up_ms = 24000
[class.status]
repeats = "free"
worth = 2
wanted_ms = 1000
give_up_ms = 20000
[destination.a]
path = "/in"
rate = 50
endpoints = [{{ name = "a-1", address = "{binary}" }}]
[destination.b]
mode = "structured"
path = "/in"
rate = 50
endpoints = [{{ name = "b-1", address = "{structured}" }}]
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ order = "order", status = "status" }} }}
"#
    )
}

#[test]
fn event_keeps_its_meaning_in_either_content_mode() {
    let (a, b) = (
        StandIn::start(|_| ok()),
        StandIn::start(|_| Act::Answer(204, String::new())),
    );
    let folder = Folder::new("modes");
    apply(&folder, &file(a.at, b.at, 6000));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);

    let body = r#"{"specversion":"1.0","id":"é 1","source":"/s","type":"order","clinic":"a","ext":true,"data":{"n":1}}"#;
    let answer = post(
        at,
        "/events",
        &[STRUCTURED, ("Idempotency-Key", "key/1")],
        body.as_bytes(),
    )
    .unwrap();
    assert_eq!(answer.status(), 204);
    let attempt = a.first();
    assert_eq!(attempt.first, "POST /in HTTP/1.1");
    let fields = [
        "ce-id",
        "ce-source",
        "ce-type",
        "ce-ext",
        "ce-specversion",
        "content-type",
        "idempotency-key",
    ];
    let values = fields.map(|name| attempt.field(name).unwrap_or_default());
    assert_eq!(
        values,
        [
            "%C3%A9%201",
            "/s",
            "order",
            "true",
            "1.0",
            "application/json",
            "key/1"
        ]
    );
    assert_eq!(attempt.body, br#"{"n":1}"#);

    assert_eq!(
        event(at, "%C3%A9 2", "status", "b", "", b"[1]")
            .unwrap()
            .status(),
        204
    );
    let attempt = b.first();
    assert_eq!(
        attempt.field("content-type"),
        Some("application/cloudevents+json; charset=utf-8")
    );
    let whole: serde_json::Value = serde_json::from_slice(&attempt.body).unwrap();
    let want = r#"{"specversion":"1.0","id":"é 2","source":"/clinic","type":"status","clinic":"b",
        "datacontenttype":"application/json","data":[1]}"#;
    assert_eq!(
        whole,
        serde_json::from_str::<serde_json::Value>(want).unwrap()
    );
}

#[test]
fn unacceptable_event_is_rejected_with_reason() {
    let a = StandIn::start(|_| ok());
    let folder = Folder::new("rejects");
    apply(&folder, &file(a.at, a.at, 6000));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    let status = |answer: Option<Message>| answer.unwrap().status();
    let batch = ("Content-Type", "application/cloudevents-batch+json");
    assert_eq!(status(post(at, "/events", &[batch], b"[]")), 415);
    assert_eq!(status(post(at, "/events", &[STRUCTURED], b"{}")), 400);
    assert_eq!(status(post(at, "/other", &[STRUCTURED], b"{}")), 404);
    assert_eq!(status(event(at, "1", "unheard-of", "a", "k", b"")), 422);
    assert_eq!(status(event(at, "1", "order", "nowhere", "k", b"")), 422);
    assert_eq!(
        status(event(at, "1", "order", "a", "", b"")),
        400,
        "a keyed class needs its key"
    );
    let late = r#"{"specversion":"1.0","id":"1","source":"/s","type":"status","clinic":"a","expirytime":"2020-01-01T00:00:00Z"}"#;
    assert_eq!(
        status(post(at, "/events", &[STRUCTURED], late.as_bytes())),
        504
    );
    let odd = late.replace("2020-01-01T00:00:00Z", "tomorrow");
    assert_eq!(
        status(post(at, "/events", &[STRUCTURED], odd.as_bytes())),
        400
    );
    assert_eq!(a.count(), 0);
}

#[test]
fn repeated_event_joins_the_first_without_another_attempt() {
    let gate = Arc::new(AtomicBool::new(false));
    let opened = gate.clone();
    let a = StandIn::start(move |_| {
        wait_for("the gate", || opened.load(Ordering::SeqCst));
        ok()
    });
    let folder = Folder::new("joins");
    apply(&folder, &file(a.at, a.at, 6000));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    let hand = |id: &'static str, key: &'static str| {
        thread::spawn(move || event(at, id, "order", "a", key, b"1"))
    };
    // The same identity; another identity under the same key, which the receiver would not tell apart.
    let together = [hand("1", "k"), hand("1", "k"), hand("2", "k")];
    // The first is out until the others have come.
    wait_for("all three", || {
        program.signal("USR1");
        program.log().contains("offered=3 ")
    });
    gate.store(true, Ordering::SeqCst);
    let ends: Vec<u16> = together
        .into_iter()
        .map(|one| one.join().unwrap().unwrap().status())
        .collect();
    assert_eq!(ends, [204, 204, 204]);
    assert_eq!(
        event(at, "1", "order", "a", "k", b"1").unwrap().status(),
        204,
        "also once it has ended"
    );
    assert_eq!(
        event(at, "1", "order", "a", "other", b"1")
            .unwrap()
            .status(),
        409
    );
    assert_eq!(a.count(), 1);
    program.kill();
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    assert_eq!(
        event(at, "1", "order", "a", "k", b"1").unwrap().status(),
        204,
        "also in the next life"
    );
    assert_eq!(
        event(at, "1", "order", "a", "other", b"1")
            .unwrap()
            .status(),
        409
    );
    assert_eq!(a.count(), 1);
}

#[test]
fn returned_event_is_answered_at_once_with_retry_after() {
    let a = StandIn::start(|_| Act::Answer(429, "Retry-After: 40\r\n".to_owned()));
    let folder = Folder::new("given-up-event");
    apply(&folder, &file(a.at, a.at, 6000));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    // The receiver is shut for longer than the event has.
    let answer = event(at, "1", "status", "a", "", b"1").unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.field("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
    // It may come again, and then is a new try, not the old end: still shut, it is declined.
    let again = event(at, "1", "status", "a", "", b"1").unwrap();
    assert!([429, 503].contains(&again.status()) && again.field("retry-after").is_some());
    assert_eq!(a.count(), 1, "told to wait, nothing more goes there");
}

/// Each further try would have been answered alike, until the event's time ran out.
#[test]
fn permanently_rejected_event_ends_at_once() {
    let a = StandIn::start(|attempt| match attempt.field("ce-id") {
        Some("bad") => Act::Answer(422, String::new()),
        _ => ok(),
    });
    let folder = Folder::new("refused");
    apply(&folder, &file(a.at, a.at, 6000));
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    assert_eq!(
        event(at, "bad", "status", "a", "", b"1").unwrap().status(),
        502
    );
    assert_eq!(
        event(at, "bad", "status", "a", "", b"1").unwrap().status(),
        502,
        "known, and not tried again"
    );
    assert_eq!(
        event(at, "good", "status", "a", "", b"1").unwrap().status(),
        204
    );
    assert_eq!(a.count(), 2);
}

/// The window that the instance is told, and the one that partners keep: a busy machine may bring an attempt late.
const TOLD: Duration = Duration::from_millis(3000);
const WINDOW: Duration = Duration::from_millis(4000);

/// A partner that counts effects and goes wrong in turns. Its contract: a keyed event has an effect unless its
/// key was seen within the window; a free one may come again only while nobody has heard of its delivery.
/// Within one incarnation of the instance, one attempt is out at a time and none follows an answer.
/// Each incarnation finds the partner at an address of its own: what a killed instance left in its connections may be read
/// long after its end, and must count for its own incarnation.
#[derive(Default)]
struct Partner {
    wrong: Mutex<Vec<String>>,
    effects: Mutex<HashMap<String, usize>>,
    keys: Mutex<HashMap<String, Instant>>,
    heard: Mutex<HashSet<String>>,
    answered: Mutex<HashSet<(usize, String)>>,
    out: Mutex<HashSet<(usize, String)>>,
    turn: AtomicUsize,
}

impl Partner {
    fn attempt(&self, incarnation: usize, attempt: &Message) -> Act {
        let id = attempt.field("ce-id").unwrap().to_owned();
        let here = (incarnation, id.clone());
        let say = |what: &str| self.wrong.lock().unwrap().push(format!("{id} {what}"));
        if self.heard.lock().unwrap().contains(&id) {
            say("came again after its end was heard");
        }
        if self.answered.lock().unwrap().contains(&here) {
            say("came again after it was answered");
        }
        if !self.out.lock().unwrap().insert(here.clone()) {
            say("was out twice");
        }
        let turn = self.turn.fetch_add(1, Ordering::SeqCst) % 5;
        // Turned away in its first turn: it never runs. In any other turn it has run, whatever is answered.
        if let (Some(key), true) = (attempt.field("idempotency-key"), turn != 0) {
            let (mut keys, now) = (self.keys.lock().unwrap(), Instant::now());
            if keys.get(key).is_none_or(|at| now - *at >= WINDOW) {
                keys.insert(key.to_owned(), now);
                *self.effects.lock().unwrap().entry(id).or_default() += 1;
            }
        }
        if turn == 3 {
            thread::sleep(Duration::from_millis(150));
        }
        self.out.lock().unwrap().remove(&here);
        match turn {
            0 => Act::Answer(503, String::new()),
            1 => Act::Drop,
            2 => Act::Answer(500, String::new()),
            _ => {
                self.answered.lock().unwrap().insert(here);
                ok()
            }
        }
    }
}

#[test]
fn no_effect_doubles_through_resets_errors_kills_and_restarts() {
    let partner = Arc::new(Partner::default());
    let folder = Folder::new("doubles");
    // The partner as one incarnation of the instance meets it.
    let met_in = |incarnation: usize| {
        let serving = partner.clone();
        let server = StandIn::start(move |attempt| serving.attempt(incarnation, attempt));
        apply(
            &folder,
            &file(server.at, server.at, TOLD.as_millis() as u64),
        );
        server
    };
    let current = Arc::new(Mutex::new(None::<SocketAddr>));
    // Clinics hand their events in until they hear of an end that is no "come again".
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (current, partner) = (current.clone(), partner.clone());
            thread::spawn(move || {
                let (kind, id) = (if n % 2 == 0 { "order" } else { "status" }, format!("e{n}"));
                let key = if n % 2 == 0 {
                    format!("key-{n}")
                } else {
                    String::new()
                };
                let until = Instant::now() + BOUND;
                while Instant::now() < until {
                    let at = *current.lock().unwrap();
                    let answer = at.and_then(|at| event(at, &id, kind, "a", &key, b"{}"));
                    match answer.map(|answer| answer.status()) {
                        Some(end @ (204 | 502 | 504)) => {
                            partner.heard.lock().unwrap().insert(id.clone());
                            return Some((id, end));
                        }
                        Some(429 | 503) | None => thread::sleep(Duration::from_millis(50)),
                        Some(other) => panic!("answered {other}"),
                    }
                }
                None
            })
        })
        .collect();
    // Three incarnations end while attempts are out; the last one serves what is left.
    for incarnation in 1..=3 {
        let server = met_in(incarnation);
        let program = daemon(&folder);
        *current.lock().unwrap() = Some(program.address(MARKER, 0));
        wait_for("attempts of this life", || server.count() >= 3);
        program.kill();
    }
    let _server = met_in(4);
    let program = daemon(&folder);
    *current.lock().unwrap() = Some(program.address(MARKER, 0));
    let ends: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap().expect("an end"))
        .collect();
    assert_eq!(*partner.wrong.lock().unwrap(), Vec::<String>::new());
    let effects = partner.effects.lock().unwrap();
    assert!(effects.values().all(|count| *count == 1), "{effects:?}");
    let delivered: Vec<&String> = ends
        .iter()
        .filter(|(_, end)| *end == 204)
        .map(|(id, _)| id)
        .collect();
    assert!(delivered.len() >= 8, "{ends:?}");
    let orders = delivered
        .iter()
        .filter(|id| id[1..].parse::<usize>().unwrap() % 2 == 0);
    assert!(
        orders.clone().count() > 0 && orders.clone().all(|id| effects.get(*id) == Some(&1)),
        "{ends:?}"
    );
}

#[test]
fn running_instance_applies_planned_change() {
    let (old, new) = (StandIn::start(|_| ok()), StandIn::start(|_| ok()));
    let folder = Folder::new("takes-up");
    let said = apply(&folder, &file(old.at, old.at, 6000));
    assert!(
        said.contains("+ instance one") && said.contains("6 to add, 0 to change, 0 to remove"),
        "{said}"
    );
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    assert_eq!(
        event(at, "1", "order", "a", "k", b"1").unwrap().status(),
        204
    );

    // To read again what is applied harms nothing that runs.
    program.signal("HUP");
    // A plan made now is stale once another one was applied.
    let home = folder.0.join("home");
    let (path, stale) = (
        folder.file("other.toml", &file(old.at, old.at, 5000)),
        folder.0.join("stale"),
    );
    assert!(run(&["plan", text(&path), text(&home), "--out", text(&stale)]).0);
    let said = apply(&folder, &file(new.at, old.at, 6000));
    assert!(
        said.contains("~ destination a") && said.contains("0 to add, 1 to change, 0 to remove"),
        "{said}"
    );
    let (done, said) = run(&["apply", text(&stale), text(&home)]);
    assert!(!done && said.contains("stale"), "{said}");

    // Where a destination is reached changes while the instance runs.
    let mut turn = 1;
    wait_for("the change", || {
        turn += 1;
        let (id, key) = (turn.to_string(), format!("k{turn}"));
        event(at, &id, "order", "a", &key, b"1").unwrap().status() == 204 && new.count() == 1
    });
    let before = old.count();
    assert_eq!(
        event(at, "last", "order", "a", "last", b"1")
            .unwrap()
            .status(),
        204
    );
    assert_eq!((old.count(), new.count()), (before, 2));
    assert!(
        !program.log().contains("applies a change"),
        "{}",
        program.log()
    );

    // So does what it decides by: no other incarnation of it begins.
    apply(&folder, &file(new.at, old.at, 5500));
    wait_for("the change of a class", || {
        program.log().contains("policy-in-force")
    });
    assert_eq!(program.log().matches(MARKER).count(), 1);
    assert_eq!(
        event(at, "1", "order", "a", "k", b"1").unwrap().status(),
        204,
        "known across the change"
    );
    // What its folder may hold changes with another incarnation. The port was the system's choice: the listener stays, and so
    // does the address.
    apply(
        &folder,
        &format!("[limits]\ndisk_mb = 17\n{}", file(new.at, old.at, 5500)),
    );
    let again = program.address(MARKER, 1);
    assert_eq!(again, at);
    assert_eq!(
        event(at, "1", "order", "a", "k", b"1").unwrap().status(),
        204,
        "known across the change"
    );
    assert_eq!((old.count(), new.count()), (before, 2));
    let gone = file(new.at, old.at, 6000)
        .split("[instance.one]")
        .next()
        .unwrap()
        .to_owned();
    let said = apply(&folder, &gone);
    assert!(said.contains("- instance one"), "{said}");
    wait_for("the instance's end", || {
        std::net::TcpStream::connect(at).is_err()
    });
}

#[test]
fn misbehaving_clients_do_not_starve_others() {
    let endpoint = StandIn::start(|_| ok());
    let folder = Folder::new("manners");
    apply(
        &folder,
        &format!(
            "[limits]\nsockets = 256\n{}",
            file(endpoint.at, endpoint.at, 6000)
        ),
    );
    let program = daemon(&folder);
    let at = program.address(MARKER, 0);
    bears_bad_clients(at, "/events");
    // Several requests may stand on a connection at once; each is served.
    let fields = "ce-specversion: 1.0\r\nce-source: /s\r\nce-type: status\r\nce-clinic: a";
    let one = |id| {
        format!("POST /events HTTP/1.1\r\n{fields}\r\nce-id: {id}\r\nContent-Length: 1\r\n\r\nx")
    };
    assert_eq!(
        raw(at, format!("{}{}", one(1), one(2)).as_bytes())
            .unwrap()
            .status(),
        204
    );
    wait_for("both attempts", || endpoint.count() == 2);
}

#[test]
fn both_frontends_of_one_instance_serve_the_same_destinations() {
    let endpoint = StandIn::start(|_| ok());
    let folder = Folder::new("both");
    let notices = StandIn::start(|_| Act::Answer(204, String::new()));
    let front = format!(
        "relay = {{ listen = \"127.0.0.1:0\", notices = \"{}\", numbers = {{ 3 = \"a\", 4 = \"b\" }} }}\n",
        notices.at
    );
    apply(&folder, &(file(endpoint.at, free(), 6000) + &front));
    let program = daemon(&folder);
    let (plain, events) = (
        program.address("listens at ", 0),
        program.address(MARKER, 0),
    );
    let hand = |id: &str, dest: &str| {
        let fields = [
            ("X-Call-Id", id),
            ("X-Call-Class", "status"),
            ("X-Budget-Ms", "3000"),
            ("X-Envelope", dest),
        ];
        post(plain, "/api", &fields, b"x").unwrap().status()
    };
    assert_eq!(
        event(events, "1", "order", "a", "k", b"1")
            .unwrap()
            .status(),
        204
    );
    assert_eq!((hand("m-1", "dest=3"), hand("m-2", "dest=5")), (202, 400));
    wait_for("both attempts", || endpoint.count() == 2);
    let paths: Vec<String> = endpoint
        .seen
        .lock()
        .unwrap()
        .iter()
        .map(|attempt| attempt.first.clone())
        .collect();
    assert_eq!(paths, ["POST /in HTTP/1.1", "POST /receive HTTP/1.1"]);
    assert_eq!(hand("m-3", "dest=4"), 202);
    wait_for("the notice", || notices.count() > 0);
    assert!(
        String::from_utf8_lossy(&notices.first().body).contains(r#""id":"m-3","state":"returned""#)
    );
}

/// An address that nothing listens at just now.
fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

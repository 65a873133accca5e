//! Processes that replace each other over one folder and one address, with faults between them: stopped, killed, started
//! in numbers, told to wait in the middle of it. Clients write on all the while.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// So long a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);

/// What became of a request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    TakenOn,
    Declined,
    /// Its last byte was written, and no answer came.
    Nothing,
}

/// Clients on connections that they keep, each with one request at a time.
struct Clients {
    over: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    all: Vec<JoinHandle<BTreeMap<String, Heard>>>,
}

impl Clients {
    fn start(at: SocketAddr, number: usize, class: &'static str) -> Clients {
        let (over, asked) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let client = |client: usize| {
            let (over, asked) = (over.clone(), asked.clone());
            thread::spawn(move || {
                let (mut heard, mut link) = (BTreeMap::new(), None);
                for call in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("c{client}-{call}");
                    heard.insert(id.clone(), ask(&mut link, at, &id, class));
                    asked.fetch_add(1, Ordering::SeqCst);
                    // A pace for the load, nothing waits for it.
                    thread::sleep(Duration::from_millis(40));
                }
                heard
            })
        };
        let all = (0..number).map(client).collect();
        Clients { over, asked, all }
    }

    /// Waits until they have asked so many times more: the clock by which faults come.
    fn ask_on(&self, more: usize) {
        let until = self.asked.load(Ordering::SeqCst) + more;
        wait_for("the clients' requests", || {
            self.asked.load(Ordering::SeqCst) >= until
        });
    }

    fn end(self) -> BTreeMap<String, Heard> {
        self.over.store(true, Ordering::SeqCst);
        self.all
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    }
}

/// One request on a connection that is kept, or on a new one. Where a kept one had been closed before the request was
/// read, it is sent once more, as the platform's clients do; an answer that does not come is waited for like a lost one.
fn ask(link: &mut Option<BufReader<TcpStream>>, at: SocketAddr, id: &str, class: &str) -> Heard {
    let body = "two boxes";
    let text = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: 15000\r\nX-Envelope: dest=3\r\n\
         Idempotency-Key: key-of-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // The outer nothing is a connection that ended unread; an answer that does not come in time is one within.
    let on = |mut reader: BufReader<TcpStream>| -> Option<(Heard, Option<BufReader<TcpStream>>)> {
        reader.get_mut().write_all(text.as_bytes()).ok()?;
        if reader
            .fill_buf()
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
        {
            return Some((Heard::Nothing, None));
        }
        let answer = Message::read(&mut reader)?;
        let kept = answer.field("connection") != Some("close");
        Some((
            if answer.status() == 202 {
                Heard::TakenOn
            } else {
                Heard::Declined
            },
            kept.then_some(reader),
        ))
    };
    let opened = || {
        let stream = TcpStream::connect(at).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        on(BufReader::new(stream))
    };
    let (heard, kept) = link
        .take()
        .and_then(on)
        .or_else(opened)
        .unwrap_or((Heard::Nothing, None));
    *link = kept;
    heard
}

/// How often each message ran at the partner.
fn runs(endpoint: &StandIn) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for call in endpoint.seen.lock().unwrap().iter() {
        *runs
            .entry(call.field("x-call-id").unwrap().to_owned())
            .or_default() += 1;
    }
    runs
}

/// Every message that was taken on has run or was ended by a notice.
fn all_end(site: &Site, endpoint: &StandIn, heard: &BTreeMap<String, Heard>) {
    let taken: BTreeSet<&String> = heard
        .iter()
        .filter(|(_, heard)| **heard == Heard::TakenOn)
        .map(|(id, _)| id)
        .collect();
    assert!(
        taken.len() > 20,
        "too little was taken on to tell: {}",
        taken.len()
    );
    wait_for("an end of every message", || {
        let (runs, told) = (runs(endpoint), site.discovery.told());
        taken
            .iter()
            .all(|id| runs.contains_key(*id) || told.contains(&format!("\"{id}\"")))
    });
}

fn unheard(heard: &BTreeMap<String, Heard>) -> usize {
    heard
        .values()
        .filter(|heard| **heard == Heard::Nothing)
        .count()
}

#[test]
fn sixty_clients_get_every_response_through_three_replacements() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("sixty", endpoint.at, "6000", 0);
    let (mut old, at) = site.first();
    let clients = Clients::start(at, 60, "refill-order");
    clients.ask_on(200);
    for _ in 0..3 {
        let new = site.beside();
        clients.ask_on(60);
        old.signal("TERM");
        assert!(old.ended(), "{}", old.log());
        assert!(old.log().contains("code=\"handed-over\""), "{}", old.log());
        clients.ask_on(200);
        wait_for("the end of the change", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        old = new;
    }
    let heard = clients.end();
    assert!(
        unheard(&heard) <= 2 * 3,
        "{} requests of {} unheard",
        unheard(&heard),
        heard.len()
    );
    all_end(&site, &endpoint, &heard);
    assert!(
        runs(&endpoint).values().all(|runs| *runs == 1),
        "nothing failed, so nothing goes out twice"
    );
}

#[test]
fn suspended_process_is_fenced_and_does_no_harm_when_continued() {
    // Stopped before it is told to end, or as soon as it is told.
    for told_first in [false, true] {
        let endpoint = StandIn::start(|_| ok());
        let site = Site::new(&format!("stopped-{told_first}"), endpoint.at, "6000", 0);
        let (mut old, at) = site.first();
        let clients = Clients::start(at, 8, "refill-order");
        clients.ask_on(40);
        if told_first {
            old.signal("TERM");
        }
        old.signal("STOP");
        let new = site.beside();
        assert_eq!(
            raw(at, b"GET /ready HTTP/1.1\r\n\r\n").map(|answer| answer.status()),
            Some(200)
        );
        wait_for("the new one's service", || {
            let log = new.log();
            log.contains("code=\"fenced-off\"") && log.contains("code=\"takes-over\"")
        });
        let before = endpoint.count();
        wait_for("attempts of the new one", || endpoint.count() > before + 20);
        old.signal("CONT");
        assert!(old.ended(), "{}", old.log());
        wait_for("the end of the change", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        clients.ask_on(40);
        let heard = clients.end();
        all_end(&site, &endpoint, &heard);
        let doubled = runs(&endpoint)
            .into_values()
            .filter(|runs| *runs > 1)
            .count();
        assert_eq!(doubled, 0, "a fenced process sends nothing again");
    }
}

#[test]
fn every_message_has_an_outcome_whichever_process_is_killed() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("dies", endpoint.at, "6000", 0);
    let (mut old, at) = site.first();
    let clients = Clients::start(at, 12, "refill-order");
    let mut rng = Pcg64::seed_from_u64(22);
    let mut trace = Vec::new();
    for round in 0..10 {
        clients.ask_on(rng.random_range(5..40));
        let new = site.beside();
        clients.ask_on(rng.random_range(0..20));
        let act = rng.random_range(0..5);
        trace.push(format!("round {round}: {act}"));
        match act {
            // The old one dies, before or after it is told to end.
            0 => old.kill(),
            1 => {
                old.signal("TERM");
                clients.ask_on(rng.random_range(0..10));
                old.kill();
            }
            // The new one dies before anybody was told to end; the old one goes on, with what the new one took on.
            2 => {
                new.kill();
                clients.ask_on(rng.random_range(20..60));
                let next = site.beside();
                old.signal("TERM");
                assert!(old.ended(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // The new one dies after it took over, as soon as it did or while the old one sees its clients out.
            3 => {
                old.signal("TERM");
                clients.ask_on(rng.random_range(0..30));
                new.kill();
                let next = site.beside();
                assert!(old.ended(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // Both at once.
            _ => {
                old.kill();
                new.kill();
                old = site.beside();
                continue;
            }
        }
        old = new;
    }
    clients.ask_on(60);
    let heard = clients.end();
    all_end(&site, &endpoint, &heard);
    // The receiver drops what comes again under the same key; it must come within its window.
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    for call in endpoint.seen.lock().unwrap().iter() {
        let (id, came) = (call.field("x-call-id").unwrap(), call.came.unwrap());
        let first = *first.entry(id.to_owned()).or_insert(came);
        assert!(
            came - first < Duration::from_secs(6),
            "{id} again after its window; {trace:?}"
        );
    }
}

#[test]
fn of_two_concurrent_starts_one_serves() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("two", endpoint.at, "6000", 0);
    let (mut old, at) = site.first();
    let clients = Clients::start(at, 8, "refill-order");
    clients.ask_on(30);
    let mut two = [site.start(), site.start()];
    two.iter()
        .for_each(|one| assert_eq!(one.address(MARKER, 0), at));
    old.signal("TERM");
    assert!(old.ended(), "{}", old.log());
    // The earlier of the two hands over to the later, or ends without having served.
    let mut ended = None;
    wait_for("one of the two to give way", || {
        ended = two
            .iter()
            .position(|one| one.log().contains("handover requested"));
        ended.is_some()
    });
    let first = ended.unwrap();
    assert!(two[first].ended(), "{}", two[first].log());
    let before = endpoint.count();
    clients.ask_on(60);
    wait_for("attempts of the one that is left", || {
        endpoint.count() > before + 40
    });
    let heard = clients.end();
    all_end(&site, &endpoint, &heard);
    assert!(
        runs(&endpoint).values().all(|runs| *runs == 1),
        "{:?}",
        runs(&endpoint)
    );
}

#[test]
fn backoff_learned_after_handover_binds_the_new_process() {
    // The first call is answered once the new process decides; those after it at once.
    let (release, answered) = (
        Arc::<AtomicBool>::default(),
        Arc::<Mutex<Option<Instant>>>::default(),
    );
    let (held, at_last) = (release.clone(), answered.clone());
    let endpoint = StandIn::start(move |message| {
        if message.field("x-call-id") != Some("first") || at_last.lock().unwrap().is_some() {
            return ok();
        }
        wait_for("the word to answer", || held.load(Ordering::SeqCst));
        *at_last.lock().unwrap() = Some(Instant::now());
        Act::Answer(429, "Retry-After: 2.5\r\n".to_owned())
    });
    let site = Site::new("wait", endpoint.at, "6000", 0);
    let (mut old, at) = site.first();
    assert_eq!(
        hand(at, "first", "refill-status", "15000")
            .unwrap()
            .status(),
        202
    );
    // Shown only once it is decided, so the attempt is seen by its counter.
    old.signal("USR1");
    wait_for("the attempt", || {
        old.signal("USR1");
        old.log().contains(" legs=1 ")
    });
    let new = site.beside();
    old.signal("TERM");
    wait_for("the new one's word", || {
        new.log().contains("code=\"takes-over\"")
    });
    release.store(true, Ordering::SeqCst);
    assert!(old.ended(), "{}", old.log());
    assert_eq!(
        hand(at, "second", "refill-status", "15000")
            .unwrap()
            .status(),
        202
    );
    wait_for("both deliveries", || endpoint.count() == 3);
    let told = answered.lock().unwrap().unwrap();
    for call in &endpoint.seen.lock().unwrap()[1..] {
        let after = call.came.unwrap() - told;
        assert!(
            after >= Duration::from_millis(2500),
            "sent {after:?} after a wait of 2.5 s was told"
        );
    }
}

#[test]
fn full_journal_is_taken_over_without_loss_or_duplicates() {
    let open = Arc::<AtomicBool>::default();
    let serving = open.clone();
    let endpoint = StandIn::start(move |_| match serving.load(Ordering::SeqCst) {
        true => ok(),
        false => Act::Answer(429, "Retry-After: 0.5\r\n".to_owned()),
    });
    let site = Site::new("full", endpoint.at, "20000", 0);
    let (mut old, at) = site.first();
    let fields = |id: &str| {
        format!(
            "X-Call-Id: {id}\r\nX-Call-Class: refill-order\r\nX-Budget-Ms: 20000\r\nIdempotency-Key: {id}"
        )
    };
    let give = |id: &str, len: usize| {
        let head = format!(
            "POST /api HTTP/1.1\r\n{}\r\nX-Envelope: dest=3\r\nContent-Length: {len}\r\n\r\n",
            fields(id)
        );
        raw(at, &[head.as_bytes(), &vec![b'x'; len]].concat()).map(|answer| answer.status())
    };
    let taken: Vec<String> = (0..36)
        .map(|n| format!("m{n}"))
        .filter(|id| give(id, 60_000) == Some(202))
        .collect();
    assert!(taken.len() > 15, "the journal holds {}", taken.len());
    let new = site.beside();
    old.signal("TERM");
    assert!(old.ended(), "{}", old.log());
    wait_for("the new one's word", || {
        new.log().contains("code=\"predecessor-exited\"")
    });
    let state = site.folder.0.join("state");
    let size: u64 = std::fs::read_dir(&state)
        .unwrap()
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum();
    assert!(size <= 3_000_000, "{size} bytes in the folder");
    let turned_away = endpoint.count();
    open.store(true, Ordering::SeqCst);
    wait_for("an end of each", || {
        let seen = endpoint.seen.lock().unwrap();
        let served: BTreeSet<_> = seen[turned_away..]
            .iter()
            .filter_map(|call| call.field("x-call-id"))
            .collect();
        let told = site.discovery.told();
        taken
            .iter()
            .all(|id| served.contains(id.as_str()) || told.contains(&format!("\"{id}\"")))
    });
    let mut served = BTreeMap::<String, usize>::new();
    for call in &endpoint.seen.lock().unwrap()[turned_away..] {
        *served
            .entry(call.field("x-call-id").unwrap().to_owned())
            .or_default() += 1;
    }
    // One that was under way when the partner opened may have been turned away still.
    assert!(served.values().all(|runs| *runs <= 2), "{served:?}");
}

#[test]
fn marks_of_exited_processes_delay_nobody() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("marks", endpoint.at, "6000", 0);
    let state = site.folder.0.join("state");
    std::fs::create_dir_all(&state).unwrap();
    // Of one before and of one after, none of which runs; and what an earlier program left.
    for name in ["life-3", "life.lock", "life.next"] {
        std::fs::write(state.join(name), "bo").unwrap();
    }
    let (mut program, at) = site.first();
    std::fs::write(state.join("life-900"), "").unwrap();
    assert_eq!(
        hand(at, "one", "refill-status", "5000").unwrap().status(),
        202
    );
    wait_for("its attempt", || endpoint.count() == 1);
    program.signal("TERM");
    assert!(program.ended(), "{}", program.log());
    assert!(
        !program.log().contains("handed-over"),
        "nobody was there to take over: {}",
        program.log()
    );
    let (mut next, at) = site.first();
    assert_eq!(
        hand(at, "two", "refill-status", "5000").unwrap().status(),
        202
    );
    wait_for("its attempt", || endpoint.count() == 2);
    next.signal("TERM");
    assert!(next.ended());
}

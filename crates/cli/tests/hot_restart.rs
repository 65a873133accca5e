//! Processes that replace each other over one folder and one address, while they are suspended, killed or rejected by the
//! endpoint. Clients submit messages all the while.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::*;
use marblefall_process_harness::platform::{PlatformMessage, LISTENING_MARKER};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The body of messages that fill the journal, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// Pause of a client between two requests: a pace for the load, nothing waits for it.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
/// Most messages must be accepted for a test to show anything.
const MIN_ACCEPTED: usize = 20;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionResult {
    Accepted,
    Rejected,
    /// Its last byte was written, and there was no response.
    NoResponse,
}

type Submissions = BTreeMap<String, SubmissionResult>;

/// Clients that reuse their connections, each with one request at a time.
struct Clients {
    stop: Arc<AtomicBool>,
    submitted: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Submissions>>,
}

impl Clients {
    fn start(address: SocketAddr, count: usize) -> Clients {
        let stop = Arc::<AtomicBool>::default();
        let submitted = Arc::<AtomicUsize>::default();
        let client = |client: usize| {
            let (stop, submitted) = (stop.clone(), submitted.clone());
            thread::spawn(move || {
                let (mut submissions, mut reusable) = (BTreeMap::new(), None);
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("c{client}-{number}");
                    let result = submit_on(&mut reusable, address, &id);
                    submissions.insert(id, result);
                    submitted.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(CLIENT_PAUSE);
                }
                submissions
            })
        };
        let threads = (0..count).map(client).collect();
        Clients {
            stop,
            submitted,
            threads,
        }
    }

    /// Waits until they have submitted this many more messages: the clock by which faults are injected.
    fn wait_for_submissions(&self, more: usize) {
        let target = self.submitted.load(Ordering::SeqCst) + more;
        wait_for("the clients' requests", || {
            self.submitted.load(Ordering::SeqCst) >= target
        });
    }

    fn stop(self) -> Submissions {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    }
}

/// Submits a message on the reusable connection, or on a new one. Where the reusable one was closed before the request was
/// read, the message is sent once more, as the platform's clients do.
fn submit_on(
    reusable: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    id: &str,
) -> SubmissionResult {
    let message = PlatformMessage {
        id,
        class: KEYED_CLASS,
        budget_ms: "15000",
        destination: DESTINATION,
        idempotency_key: &format!("key-of-{id}"),
        body: b"two boxes",
    };
    let request = message.to_request().to_bytes();
    let submit_on_new = || {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        exchange_on(BufReader::new(stream), &request)
    };
    let exchanged = reusable
        .take()
        .and_then(|reader| exchange_on(reader, &request))
        .or_else(submit_on_new);
    let (result, exchanged_connection) = exchanged.unwrap_or((SubmissionResult::NoResponse, None));
    *reusable = exchanged_connection;
    result
}

/// Sends a request on a connection. Returns its result, and the connection if it can be used again; `None` where the
/// connection ended before the request was read. A response that does not come in time is a result.
fn exchange_on(
    mut reader: BufReader<TcpStream>,
    request: &[u8],
) -> Option<(SubmissionResult, Option<BufReader<TcpStream>>)> {
    reader.get_mut().write_all(request).ok()?;
    let first_read = reader.fill_buf().map(|_| ());
    if first_read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
        return Some((SubmissionResult::NoResponse, None));
    }
    let response = Message::read(&mut reader)?;
    let result = match response.status() {
        202 => SubmissionResult::Accepted,
        _ => SubmissionResult::Rejected,
    };
    let is_reusable = response.header(headers::CONNECTION) != Some("close");
    Some((result, is_reusable.then_some(reader)))
}

/// How often each message was executed at the endpoint.
fn executions(calls: &[Message]) -> BTreeMap<String, usize> {
    let mut executions = BTreeMap::new();
    for call in calls {
        let id = message_id(call).unwrap().to_owned();
        *executions.entry(id).or_default() += 1;
    }
    executions
}

/// Checks that every message that was accepted is executed or ended by a notice.
fn check_outcomes(platform: &Platform, endpoint: &TestServer, submissions: &Submissions) {
    let accepted: Vec<&String> = submissions
        .iter()
        .filter(|(_, result)| **result == SubmissionResult::Accepted)
        .map(|(id, _)| id)
        .collect();
    assert!(
        accepted.len() > MIN_ACCEPTED,
        "too few messages were accepted: {}",
        accepted.len()
    );
    wait_for("an outcome of every message", || {
        let executions = executions(&endpoint.requests());
        let notices = platform.discovery.notices();
        accepted
            .iter()
            .all(|id| executions.contains_key(*id) || notices.contains(&format!("\"{id}\"")))
    });
}

fn count_without_response(submissions: &Submissions) -> usize {
    submissions
        .values()
        .filter(|result| **result == SubmissionResult::NoResponse)
        .count()
}

#[test]
fn sixty_clients_get_every_response_through_three_replacements() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("sixty", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 60);
    clients.wait_for_submissions(200);
    for _ in 0..3 {
        let new = platform.start_standby();
        clients.wait_for_submissions(60);
        old.signal(Signal::TERM);
        assert!(old.wait_for_exit(), "{}", old.log());
        assert!(old.log().contains("code=\"handed-over\""), "{}", old.log());
        clients.wait_for_submissions(200);
        wait_for("the end of the old process", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        old = new;
    }
    let submissions = clients.stop();
    assert!(
        count_without_response(&submissions) <= 2 * 3,
        "{} requests of {} without a response",
        count_without_response(&submissions),
        submissions.len()
    );
    check_outcomes(&platform, &endpoint, &submissions);
    assert!(
        executions(&endpoint.requests())
            .values()
            .all(|count| *count == 1),
        "nothing failed, so nothing is sent twice"
    );
}

#[test]
fn suspended_process_is_fenced_and_does_no_harm_when_continued() {
    // Suspended before SIGTERM, or right after it.
    for terminated_first in [false, true] {
        let endpoint = start_healthy_server();
        let platform = Platform::new(
            &format!("stopped-{terminated_first}"),
            endpoint.address,
            "6000",
        );
        let (mut old, address) = platform.start_first();
        let clients = Clients::start(address, 8);
        clients.wait_for_submissions(40);
        if terminated_first {
            old.signal(Signal::TERM);
        }
        old.signal(Signal::STOP);
        let new = platform.start_standby();
        assert_eq!(
            exchange(address, READY_REQUEST).map(|response| response.status()),
            Some(200)
        );
        wait_for("the takeover", || {
            let log = new.log();
            log.contains("code=\"fenced-off\"") && log.contains("code=\"takes-over\"")
        });
        let before = endpoint.request_count();
        wait_for("attempts of the new one", || {
            endpoint.request_count() > before + 20
        });
        old.signal(Signal::CONT);
        assert!(old.wait_for_exit(), "{}", old.log());
        wait_for("the end of the old process", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        clients.wait_for_submissions(40);
        let submissions = clients.stop();
        check_outcomes(&platform, &endpoint, &submissions);
        let duplicates = executions(&endpoint.requests())
            .into_values()
            .filter(|count| *count > 1)
            .count();
        assert_eq!(duplicates, 0, "a fenced process sends nothing again");
    }
}

#[test]
fn every_message_has_an_outcome_whichever_process_is_killed() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("dies", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 12);
    let mut rng = Pcg64::seed_from_u64(22);
    let mut trace = Vec::new();
    for round in 0..10 {
        clients.wait_for_submissions(rng.random_range(5..40));
        let new = platform.start_standby();
        clients.wait_for_submissions(rng.random_range(0..20));
        let act = rng.random_range(0..5);
        trace.push(format!("round {round}: {act}"));
        match act {
            // The old one is killed, before or after SIGTERM.
            0 => old.kill(),
            1 => {
                old.signal(Signal::TERM);
                clients.wait_for_submissions(rng.random_range(0..10));
                old.kill();
            }
            // The new one is killed before SIGTERM; the old one continues with what the new one accepted.
            2 => {
                new.kill();
                clients.wait_for_submissions(rng.random_range(20..60));
                let next = platform.start_standby();
                old.signal(Signal::TERM);
                assert!(old.wait_for_exit(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // The new one is killed after the takeover, at once or while the old one drains its clients.
            3 => {
                old.signal(Signal::TERM);
                clients.wait_for_submissions(rng.random_range(0..30));
                new.kill();
                let next = platform.start_standby();
                assert!(old.wait_for_exit(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // Both are killed.
            _ => {
                old.kill();
                new.kill();
                old = platform.start_standby();
                continue;
            }
        }
        old = new;
    }
    clients.wait_for_submissions(60);
    let submissions = clients.stop();
    check_outcomes(&platform, &endpoint, &submissions);
    // The endpoint drops a repeat under the same key only within its window.
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    for call in endpoint.requests().iter() {
        let (id, received_at) = (message_id(call).unwrap(), call.received_at.unwrap());
        let first = *first.entry(id.to_owned()).or_insert(received_at);
        assert!(
            received_at - first < Duration::from_secs(6),
            "{id} again after its window; {trace:?}"
        );
    }
}

#[test]
fn of_two_concurrent_starts_one_serves() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("two", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 8);
    clients.wait_for_submissions(30);
    let mut two = [platform.start(), platform.start()];
    two.iter()
        .for_each(|one| assert_eq!(one.address(LISTENING_MARKER, 0), address));
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    // The earlier of the two hands over to the later, or ends without having served.
    let mut ended = None;
    wait_for("one of the two to hand over", || {
        ended = two
            .iter()
            .position(|one| one.log().contains("handover requested"));
        ended.is_some()
    });
    let first = ended.unwrap();
    assert!(two[first].wait_for_exit(), "{}", two[first].log());
    let before = endpoint.request_count();
    clients.wait_for_submissions(60);
    wait_for("attempts of the one that is left", || {
        endpoint.request_count() > before + 40
    });
    let submissions = clients.stop();
    check_outcomes(&platform, &endpoint, &submissions);
    assert!(
        executions(&endpoint.requests())
            .values()
            .all(|count| *count == 1),
        "{:?}",
        executions(&endpoint.requests())
    );
}

#[test]
fn backoff_learned_after_handover_binds_the_new_process() {
    // The first call is answered once the new process decides; those after it at once.
    let release = Arc::<AtomicBool>::default();
    let rejected_at = Arc::<Mutex<Option<Instant>>>::default();
    let (released, rejection) = (release.clone(), rejected_at.clone());
    let endpoint = start_server(move |message| {
        if message_id(message) != Some("first") || rejection.lock().unwrap().is_some() {
            return Reply::ok();
        }
        wait_for("the release", || released.load(Ordering::SeqCst));
        *rejection.lock().unwrap() = Some(Instant::now());
        Reply::retry_after(429, "2.5")
    });
    let platform = Platform::new("wait", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    assert_eq!(
        submit(address, "first", IDEMPOTENT_CLASS, "15000")
            .unwrap()
            .status(),
        202
    );
    // It is recorded only once it is answered, so the attempt is seen by the process's counter.
    old.wait_for_counter(" legs=1 ");
    let new = platform.start_standby();
    old.signal(Signal::TERM);
    wait_for("the takeover", || new.log().contains("code=\"takes-over\""));
    release.store(true, Ordering::SeqCst);
    assert!(old.wait_for_exit(), "{}", old.log());
    assert_eq!(
        submit(address, "second", IDEMPOTENT_CLASS, "15000")
            .unwrap()
            .status(),
        202
    );
    wait_for("both deliveries", || endpoint.request_count() == 3);
    let rejected_at = rejected_at.lock().unwrap().unwrap();
    for call in &endpoint.requests()[1..] {
        let after = call.received_at.unwrap() - rejected_at;
        assert!(
            after >= Duration::from_millis(2500),
            "sent {after:?} after a Retry-After of 2.5 s"
        );
    }
}

#[test]
fn full_journal_is_taken_over_without_loss_or_duplicates() {
    let open = Arc::<AtomicBool>::default();
    let is_open = open.clone();
    let endpoint = start_server(move |_| match is_open.load(Ordering::SeqCst) {
        true => Reply::ok(),
        false => Reply::retry_after(429, "0.5"),
    });
    let platform = Platform::new("full", endpoint.address, "20000");
    let (mut old, address) = platform.start_first();
    let is_accepted = |id: &String| {
        let message = PlatformMessage {
            id,
            class: KEYED_CLASS,
            budget_ms: "20000",
            destination: DESTINATION,
            idempotency_key: id,
            body: &[b'x'; LARGE_BODY_BYTES],
        };
        let response = message.submit(address, WAIT_LIMIT);
        response.is_some_and(|response| response.status() == 202)
    };
    let accepted: Vec<String> = (0..36)
        .map(|n| format!("m{n}"))
        .filter(is_accepted)
        .collect();
    assert!(accepted.len() > 15, "the journal holds {}", accepted.len());
    let new = platform.start_standby();
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    wait_for("the takeover", || {
        new.log().contains("code=\"predecessor-exited\"")
    });
    let state = platform.state_folder();
    let size: u64 = std::fs::read_dir(&state)
        .unwrap()
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum();
    assert!(size <= 3_000_000, "{size} bytes in the folder");
    let rejected = endpoint.request_count();
    open.store(true, Ordering::SeqCst);
    wait_for("an outcome of each", || {
        let served = executions(&endpoint.requests()[rejected..]);
        let notices = platform.discovery.notices();
        accepted
            .iter()
            .all(|id| served.contains_key(id) || notices.contains(&format!("\"{id}\"")))
    });
    let served = executions(&endpoint.requests()[rejected..]);
    // A call that was on its way when the endpoint opened may have been rejected still.
    assert!(served.values().all(|count| *count <= 2), "{served:?}");
}

#[test]
fn marks_of_exited_processes_delay_nobody() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("marks", endpoint.address, "6000");
    let state = platform.state_folder();
    std::fs::create_dir_all(&state).unwrap();
    // Marks of processes that do not run, and files that an earlier version left.
    for name in ["life-3", "life.lock", "life.next"] {
        std::fs::write(state.join(name), "bo").unwrap();
    }
    let (mut program, address) = platform.start_first();
    std::fs::write(state.join("life-900"), "").unwrap();
    assert_eq!(
        submit(address, "one", IDEMPOTENT_CLASS, "5000")
            .unwrap()
            .status(),
        202
    );
    wait_for("its attempt", || endpoint.request_count() == 1);
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
    assert!(
        !program.log().contains("handed-over"),
        "nobody was there to take over: {}",
        program.log()
    );
    let (mut next, address) = platform.start_first();
    assert_eq!(
        submit(address, "two", IDEMPOTENT_CLASS, "5000")
            .unwrap()
            .status(),
        202
    );
    wait_for("its attempt", || endpoint.request_count() == 2);
    next.signal(Signal::TERM);
    assert!(next.wait_for_exit());
}

//! Recovery of an instance that is killed while its attempts are in flight.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::manifests::event_manifest;
use common::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The deduplication window in the instance's manifest.
const CONFIGURED_WINDOW: Duration = Duration::from_millis(3000);
/// The deduplication window of the destination. It is longer because a busy machine may delay an attempt.
const DESTINATION_WINDOW: Duration = Duration::from_millis(4000);
/// Delay of a late response.
const SLOW_RESPONSE: Duration = Duration::from_millis(150);
/// Pause of a client before it submits an event again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Number of clients, each with one event.
const CLIENTS: usize = 16;

/// The destination's treatment of a call. Successive calls go through [`BEHAVIOURS`] in turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Rejects the call without executing it.
    Reject,
    /// Executes the call, and closes the connection.
    Close,
    /// Executes the call, and responds with an error.
    Fail,
    /// Executes the call, and responds late.
    RespondLate,
    /// Executes the call, and responds.
    Respond,
}

const BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::Reject,
    Behaviour::Close,
    Behaviour::Fail,
    Behaviour::RespondLate,
    Behaviour::Respond,
];

/// The record of calls at a destination.
#[derive(Default)]
struct State {
    violations: Vec<String>,
    /// Number of executions of each event.
    executions: HashMap<String, usize>,
    /// Time of the last execution under each idempotency key.
    executed_at: HashMap<String, Instant>,
    /// Events whose final outcome a client received.
    finished: HashSet<String>,
    /// Calls with a response, as pairs of the instance's incarnation and the event.
    responded: HashSet<(usize, String)>,
    /// Calls in flight, as pairs of the instance's incarnation and the event.
    in_flight: HashSet<(usize, String)>,
}

/// A destination that goes through [`BEHAVIOURS`], and checks the calls that it receives. An event with a key is executed
/// unless its key was executed within the window. An event without a key may be repeated until a client has received its
/// final outcome. Within an incarnation of the instance, at most one attempt of an event is in flight at a time, and no
/// attempt follows a response.
///
/// Each incarnation has its own address of the destination. Data left in the connections of a killed instance may be read
/// long after its end, and must be attributed to its own incarnation.
#[derive(Default)]
struct FaultyDestination {
    state: Mutex<State>,
    calls: AtomicUsize,
}

impl FaultyDestination {
    /// Starts a server for an incarnation of the instance.
    fn start_server(self: &Arc<Self>, incarnation: usize) -> TestServer {
        let destination = Arc::clone(self);
        start_server(move |call| destination.handle(incarnation, call))
    }

    fn handle(&self, incarnation: usize, call: &Message) -> Reply {
        let id = call.header(headers::EVENT_ID).unwrap().to_owned();
        let attempt = (incarnation, id);
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let behaviour = BEHAVIOURS[number % BEHAVIOURS.len()];
        self.state.lock().unwrap().start(&attempt, call, behaviour);
        if behaviour == Behaviour::RespondLate {
            thread::sleep(SLOW_RESPONSE);
        }
        self.state.lock().unwrap().finish(attempt, behaviour)
    }

    fn client_received_outcome(&self, id: &str) {
        self.state.lock().unwrap().finished.insert(id.to_owned());
    }
}

impl State {
    fn start(&mut self, attempt: &(usize, String), call: &Message, behaviour: Behaviour) {
        let (_, id) = attempt;
        if self.finished.contains(id) {
            self.violations
                .push(format!("{id} was sent after its final outcome"));
        }
        if self.responded.contains(attempt) {
            self.violations
                .push(format!("{id} was sent after a response"));
        }
        if !self.in_flight.insert(attempt.clone()) {
            self.violations.push(format!("{id} was in flight twice"));
        }
        let key = call.header(headers::IDEMPOTENCY_KEY);
        if let Some(key) = key.filter(|_| behaviour != Behaviour::Reject) {
            self.execute(id, key);
        }
    }

    fn execute(&mut self, id: &str, key: &str) {
        let now = Instant::now();
        let executed_at = self.executed_at.get(key);
        if executed_at.is_none_or(|at| now - *at >= DESTINATION_WINDOW) {
            self.executed_at.insert(key.to_owned(), now);
            *self.executions.entry(id.to_owned()).or_default() += 1;
        }
    }

    fn finish(&mut self, attempt: (usize, String), behaviour: Behaviour) -> Reply {
        self.in_flight.remove(&attempt);
        match behaviour {
            Behaviour::Reject => Reply::status(503),
            Behaviour::Close => Reply::Close,
            Behaviour::Fail => Reply::status(500),
            Behaviour::RespondLate | Behaviour::Respond => {
                self.responded.insert(attempt);
                Reply::ok()
            }
        }
    }
}

/// A client with one event. Events with even numbers have an idempotency key.
struct Client {
    number: usize,
    /// The current address of the instance; `None` before its first start.
    instance: Arc<Mutex<Option<SocketAddr>>>,
    destination: Arc<FaultyDestination>,
}

impl Client {
    fn has_key(number: usize) -> bool {
        number.is_multiple_of(2)
    }

    /// Submits the client's event until a response is final, and returns its status.
    fn run(&self) -> Option<u16> {
        let id = format!("e{}", self.number);
        let (event_type, key) = if Client::has_key(self.number) {
            ("order", format!("key-{}", self.number))
        } else {
            ("status", String::new())
        };
        let deadline = Instant::now() + WAIT_LIMIT;
        while Instant::now() < deadline {
            let address = *self.instance.lock().unwrap();
            let response = address
                .and_then(|address| submit_event(address, &id, event_type, "a", &key, b"{}"));
            match response.map(|response| response.status()) {
                Some(status @ (204 | 502 | 504)) => {
                    self.destination.client_received_outcome(&id);
                    return Some(status);
                }
                Some(429 | 503) | None => thread::sleep(RETRY_PAUSE),
                Some(status) => panic!("responded with {status}"),
            }
        }
        None
    }
}

#[test]
fn no_event_is_executed_twice_despite_resets_errors_and_kills() {
    let destination = Arc::new(FaultyDestination::default());
    let folder = new_folder("duplicates");
    let instance = Arc::new(Mutex::new(None::<SocketAddr>));
    let start_incarnation = |incarnation: usize| {
        let server = destination.start_server(incarnation);
        let window_ms = CONFIGURED_WINDOW.as_millis() as u64;
        let manifest = event_manifest(server.address, server.address, window_ms);
        apply(&folder, &manifest);
        let program = start_daemon(&folder);
        *instance.lock().unwrap() = Some(program.address(EVENTS_MARKER, 0));
        (program, server)
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                instance: Arc::clone(&instance),
                destination: Arc::clone(&destination),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    // Three incarnations are killed while attempts are in flight. The last incarnation serves the remaining events.
    for incarnation in 1..=3 {
        let (program, server) = start_incarnation(incarnation);
        wait_for("attempts of this incarnation", || {
            server.request_count() >= 3
        });
        program.kill();
    }
    let _last = start_incarnation(4);
    let statuses: Vec<u16> = clients
        .into_iter()
        .map(|client| client.join().unwrap().expect("a final outcome"))
        .collect();
    let state = destination.state.lock().unwrap();
    assert_eq!(state.violations, Vec::<String>::new());
    let executions = &state.executions;
    assert!(
        executions.values().all(|count| *count == 1),
        "{executions:?}"
    );
    let delivered: Vec<usize> = (0..CLIENTS)
        .filter(|number| statuses[*number] == 204)
        .collect();
    assert!(delivered.len() >= 8, "{statuses:?}");
    let mut with_key = delivered
        .into_iter()
        .filter(|number| Client::has_key(*number));
    let first = with_key.next().expect("an event with a key is delivered");
    let is_executed = |number: usize| executions.get(&format!("e{number}")) == Some(&1);
    assert!(
        is_executed(first) && with_key.all(is_executed),
        "{statuses:?}"
    );
}

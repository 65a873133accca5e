//! Events with one idempotency key that are submitted again after restarts, in any order.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::restarting_engine::{
    attempt_finished, message, open_store, RestartingEngine, IDEMPOTENT_CLASS, KEYED_CLASS,
    NON_IDEMPOTENT_CLASS,
};
use common::{
    endpoint, folder as temporary_folder, responses, started_attempts, timestamp_of, START_MS,
};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::message_record::NoticeState;
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse,
};
use marblefall_scheduler::{DestinationId, Outcome, Span, Time};
use std::collections::BTreeMap;
use std::fs;
use std::rc::Rc;

const KEY: &[u8] = b"key";
const DELIVERED: SubmitResponse = SubmitResponse::Finished(FinalOutcome::Delivered);
const FAILED: SubmitResponse = SubmitResponse::Finished(FinalOutcome::Failed);
/// Duration of a restart, in ms.
const RESTART_MS: i64 = 200;
/// The deduplication window of [`common::KEYED`], in ms.
const DEDUPLICATION_WINDOW_MS: i64 = 6000;

/// Creates the submission of an event with an idempotency key, which lives until the end of the longest test.
fn event(request: u64, name: &str, key: &[u8], class: usize, body: usize) -> EngineEvent {
    let mut event = message(name, Origin::CloudEvents, class, body);
    event.idempotency_key = Some(key.to_vec());
    event.expires_ms = START_MS + 3_600_000;
    EngineEvent::Submitted(RequestId(request), event)
}

/// Steps an engine that ends for a restart until it may end, and starts the next incarnation.
fn restart(mut engine: RestartingEngine, after_ms: i64) -> (RestartingEngine, Vec<EngineCommand>) {
    let deadline = Time((after_ms + RESTART_MS) * 1000);
    let mut commands = engine.step(after_ms, vec![EngineEvent::Restart { deadline }]);
    commands.extend(engine.step(after_ms + 10, Vec::new()));
    engine
        .engine
        .end(timestamp_of(0, after_ms + RESTART_MS), &mut commands);
    let (next, more) = RestartingEngine::start(engine.folder.clone(), after_ms + RESTART_MS);
    commands.extend(more);
    (next, commands)
}

fn rejected(retry_after_ms: f64) -> Outcome {
    Outcome::Rejected {
        retry_after: Some(Span::from_ms(retry_after_ms)),
    }
}

/// Submits both events of a key, which are returned by a restart before any of them is executed. Returns the next incarnation.
fn return_two_events(folder: &str, class: usize) -> RestartingEngine {
    let (mut engine, _) = RestartingEngine::start(temporary_folder(folder), 0);
    let commands = engine.step(0, vec![event(1, "first", KEY, class, 9)]);
    let attempt = started_attempts(&commands)[0];
    engine.step(20, vec![attempt_finished(attempt, rejected(400.0))]);
    engine.step(30, vec![event(2, "second", KEY, class, 9)]);
    let (engine, commands) = restart(engine, 40);
    let returned = responses(&commands).into_iter().filter(|(_, response)| {
        matches!(
            response,
            SubmitResponse::Finished(FinalOutcome::Returned { .. })
        )
    });
    assert_eq!(returned.count(), 2, "both events are returned");
    engine
}

/// Guards against repeated executions: an event that had joined a returned message was not recognised as a repeat of the
/// message that superseded it.
#[test]
fn returned_events_of_one_key_are_delivered_once() {
    for class in [KEYED_CLASS, NON_IDEMPOTENT_CLASS, IDEMPOTENT_CLASS] {
        for [early, late] in [["first", "second"], ["second", "first"]] {
            let mut engine = return_two_events(&format!("{early}-{class}"), class);
            let commands = engine.step(400, vec![event(3, early, KEY, class, 9)]);
            let attempt = started_attempts(&commands)[0];
            let commands = engine.step(410, vec![event(4, late, KEY, class, 9)]);
            assert_eq!(
                (started_attempts(&commands).len(), responses(&commands)),
                (0, vec![(4, SubmitResponse::Accepted)]),
                "{late} joins {early} in class {class}"
            );
            let commands = engine.step(500, vec![attempt_finished(attempt, Outcome::Delivered)]);
            assert_eq!(responses(&commands), [(3, DELIVERED), (4, DELIVERED)]);
            let commands = engine.step(9000, vec![event(5, late, KEY, class, 9)]);
            assert_eq!(responses(&commands), [(5, DELIVERED)]);
        }
    }
}

/// Guards against repeated executions: the repeat was delivered again after a second restart.
#[test]
fn delivery_after_a_return_is_recognised_after_a_further_restart() {
    let mut engine = return_two_events("further-restart", NON_IDEMPOTENT_CLASS);
    let commands = engine.step(400, vec![event(3, "first", KEY, NON_IDEMPOTENT_CLASS, 9)]);
    let attempt = started_attempts(&commands)[0];
    engine.step(500, vec![attempt_finished(attempt, Outcome::Delivered)]);
    let (mut engine, _) = RestartingEngine::start(engine.folder.clone(), 2000);
    let commands = engine.step(10, vec![event(4, "second", KEY, NON_IDEMPOTENT_CLASS, 9)]);
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(4, DELIVERED)])
    );
}

/// Guards against an outcome of another event: an identity of one message with the key of another is a conflict, in the
/// step in which they are submitted and later.
#[test]
fn identity_and_key_of_different_messages_conflict() {
    let (mut engine, _) = RestartingEngine::start(temporary_folder("identity-and-key"), 0);
    let class = NON_IDEMPOTENT_CLASS;
    let commands = engine.step(
        0,
        vec![
            event(1, "a", b"key of a", class, 9),
            event(2, "alias of a", b"key of a", class, 9),
            event(3, "b", b"key of b", class, 9),
            event(4, "a", b"key of b", class, 9),
            event(5, "alias of a", b"key of b", class, 9),
        ],
    );
    assert_eq!(started_attempts(&commands).len(), 2);
    let commands_later = engine.step(10, vec![event(6, "alias of a", b"key of b", class, 9)]);
    let conflicts = |commands: &[EngineCommand]| -> Vec<u64> {
        let all = responses(commands).into_iter();
        all.filter(|(_, response)| *response == SubmitResponse::Conflict)
            .map(|(request, _)| request)
            .collect()
    };
    assert_eq!(conflicts(&commands), [4, 5]);
    assert_eq!(conflicts(&commands_later), [6]);
    let (mut engine, _) = RestartingEngine::start(engine.folder.clone(), 1000);
    let commands = engine.step(10, vec![event(7, "alias of a", b"key of b", class, 9)]);
    assert_eq!(conflicts(&commands), [7]);
}

/// Stores a finished event in the journal of an earlier version, which could accept two messages with one key.
fn store_finished(store: &mut MessageStore, name: &str, outcome: FinalOutcome) {
    let mut event = message(name, Origin::CloudEvents, NON_IDEMPOTENT_CLASS, 9);
    event.idempotency_key = Some(KEY.to_vec());
    let id = store.allocate_id();
    store.accept(id, Rc::new(event), None).unwrap();
    let retain_until_ms = START_MS + 60_000;
    let finished = store.finish(id, outcome, NoticeState::NotRequired, retain_until_ms);
    assert!(finished.unwrap());
}

/// Guards against a further execution where an earlier version has delivered one event of a key and returned a later one.
#[test]
fn delivery_counts_before_a_later_return_in_an_old_journal() {
    let returned = FinalOutcome::Returned { retry_after_ms: 1 };
    let folder = temporary_folder("old-journal");
    let mut store = open_store(&folder);
    store_finished(&mut store, "first", returned);
    store_finished(&mut store, "second", FinalOutcome::Delivered);
    store_finished(&mut store, "first", returned);
    drop(store);
    let (mut engine, _) = RestartingEngine::start(folder, 1000);
    for name in ["first", "second", "third"] {
        let commands = engine.step(10, vec![event(1, name, KEY, NON_IDEMPOTENT_CLASS, 9)]);
        assert_eq!(
            (started_attempts(&commands).len(), responses(&commands)),
            (0, vec![(1, DELIVERED)]),
            "{name}"
        );
    }
}

/// Guards against a delivery that never was: the same event for a second destination was answered with the outcome at the
/// first one.
#[test]
fn event_for_two_destinations_is_delivered_to_both() {
    let other = DestinationId(8);
    let class = NON_IDEMPOTENT_CLASS;
    let lists = || {
        let elsewhere = ListedEndpoint {
            destination: other,
            ..endpoint("other")
        };
        EngineEvent::EndpointsReplaced(vec![endpoint("h"), elsewhere])
    };
    let for_other = |request, key: &[u8]| match event(request, "e", key, class, 9) {
        EngineEvent::Submitted(request, message) => {
            let destination = other;
            EngineEvent::Submitted(
                request,
                Message {
                    destination,
                    ..message
                },
            )
        }
        event => event,
    };
    for (name, other_key) in [("one-key", KEY), ("two-keys", b"other key")] {
        let folder = temporary_folder(&format!("two-destinations-{name}"));
        let (mut engine, _) = RestartingEngine::start(folder, 0);
        engine.step(0, vec![lists()]);
        // In one step, and again while both are open.
        let commands = engine.step(
            10,
            vec![event(1, "e", KEY, class, 9), for_other(2, other_key)],
        );
        let attempts = started_attempts(&commands);
        assert_eq!(attempts.len(), 2, "{name}");
        let commands = engine.step(
            20,
            vec![event(3, "e", KEY, class, 9), for_other(4, other_key)],
        );
        assert_eq!(started_attempts(&commands), []);
        // Each client gets the outcome at its own destination.
        let failed = attempt_finished(attempts[1], Outcome::Reset);
        let commands = engine.step(
            30,
            vec![attempt_finished(attempts[0], Outcome::Delivered), failed],
        );
        let mut received = responses(&commands);
        received.sort_by_key(|(request, _)| *request);
        assert_eq!(
            received,
            [(1, DELIVERED), (2, FAILED), (3, DELIVERED), (4, FAILED)]
        );
        let (mut engine, _) = RestartingEngine::start(engine.folder.clone(), 1000);
        engine.step(0, vec![lists()]);
        let repeats = vec![event(5, "e", KEY, class, 9), for_other(6, other_key)];
        assert_eq!(
            responses(&engine.step(10, repeats)),
            [(5, DELIVERED), (6, FAILED)]
        );
    }
}

/// An attempt at the destination, which executes the message or not.
struct Attempt {
    id: (MessageId, u32),
    key: usize,
    outcome: Outcome,
}

/// A random history of events that share keys, with the records of their destination.
struct History {
    rng: fastrand::Rng,
    engine: RestartingEngine,
    /// Start of the incarnation, and the current time, in ms.
    started_ms: i64,
    ms: i64,
    next_request: u64,
    in_flight: Vec<Attempt>,
    /// Times at which each key was executed at the destination.
    executions: BTreeMap<usize, Vec<i64>>,
    /// The keys of the requests that have no final response.
    requests: BTreeMap<u64, usize>,
    delivered_requests: usize,
    trace: Vec<String>,
}

/// Number of idempotency keys of a history.
const KEYS: usize = 12;
/// Number of events of each key.
const EVENTS_PER_KEY: usize = 4;
/// Number of steps of a history.
const STEPS: usize = 600;
/// Length of an event's body. The journal is compacted several times in a history.
const BODY_BYTES: usize = 40_000;

fn class_of_key(key: usize) -> usize {
    [KEYED_CLASS, NON_IDEMPOTENT_CLASS, IDEMPOTENT_CLASS][key % 3]
}

impl History {
    fn new(seed: u64) -> History {
        let folder = temporary_folder(&format!("repeated-events-{seed}"));
        History {
            rng: fastrand::Rng::with_seed(seed),
            engine: RestartingEngine::start(folder, 0).0,
            started_ms: 0,
            ms: 0,
            next_request: 0,
            in_flight: Vec::new(),
            executions: BTreeMap::new(),
            requests: BTreeMap::new(),
            delivered_requests: 0,
            trace: Vec::new(),
        }
    }

    fn advance(&mut self) {
        self.ms += self.rng.i64(1..120);
        match self.rng.u8(..40) {
            0 => self.restart(),
            1 => self.kill(),
            2..20 => self.submit(),
            _ => self.finish_attempt(),
        }
    }

    fn step(&mut self, events: Vec<EngineEvent>) {
        let commands = self.engine.step(self.ms - self.started_ms, events);
        self.execute(commands);
    }

    fn submit(&mut self) {
        let key = self.rng.usize(..KEYS);
        let name = format!("{key}-{}", self.rng.usize(..EVENTS_PER_KEY));
        self.next_request += 1;
        self.trace.push(format!(
            "{} submit {name} as {}",
            self.ms, self.next_request
        ));
        self.requests.insert(self.next_request, key);
        let key_bytes = format!("key {key}").into_bytes();
        let body = BODY_BYTES;
        self.step(vec![event(
            self.next_request,
            &name,
            &key_bytes,
            class_of_key(key),
            body,
        )]);
    }

    fn finish_attempt(&mut self) {
        if self.in_flight.is_empty() {
            return self.step(Vec::new());
        }
        let index = self.rng.usize(..self.in_flight.len());
        let attempt = self.in_flight.remove(index);
        self.trace.push(format!(
            "{} attempt of key {} ends: {:?}",
            self.ms, attempt.key, attempt.outcome
        ));
        self.step(vec![attempt_finished(attempt.id, attempt.outcome)]);
    }

    fn restart(&mut self) {
        let after_ms = self.ms - self.started_ms;
        let deadline = Time((after_ms + RESTART_MS) * 1000);
        self.trace.push(format!("{} restart", self.ms));
        self.step(vec![EngineEvent::Restart { deadline }]);
        self.ms += RESTART_MS;
        let mut commands = Vec::new();
        let now = timestamp_of(self.started_ms, self.ms);
        self.engine.engine.end(now, &mut commands);
        self.execute(commands);
        self.start();
    }

    fn kill(&mut self) {
        self.trace.push(format!("{} kill", self.ms));
        self.start();
    }

    /// Starts the next incarnation. Attempts in flight and requests without a response are lost.
    fn start(&mut self) {
        self.in_flight.clear();
        self.requests.clear();
        let (engine, commands) = RestartingEngine::start(self.engine.folder.clone(), self.ms);
        self.engine = engine;
        self.started_ms = self.ms;
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<EngineCommand>) {
        for command in commands {
            match command {
                EngineCommand::StartAttempt(request) => {
                    let identity = String::from_utf8(request.message.identity.clone()).unwrap();
                    let key = identity.split('-').next().unwrap().parse().unwrap();
                    self.start_attempt((request.message_id, request.attempt), key);
                }
                EngineCommand::Respond(request, response)
                    if response != SubmitResponse::Accepted =>
                {
                    self.respond(request.0, response);
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, id: (MessageId, u32), key: usize) {
        self.trace
            .push(format!("{} attempt of key {key}: {id:?}", self.ms));
        assert!(
            !self.in_flight.iter().any(|attempt| attempt.key == key),
            "two attempts of key {key} in flight"
        );
        let (outcome, is_executed) = match self.rng.u8(..8) {
            0..3 => (Outcome::Delivered, true),
            3 => (Outcome::Reset, self.rng.bool()),
            4 => (Outcome::ConnectFailed, false),
            _ => (rejected(self.rng.f64() * 900.0), false),
        };
        if is_executed {
            self.record_execution(key);
        }
        self.in_flight.push(Attempt { id, key, outcome });
    }

    fn record_execution(&mut self, key: usize) {
        let times = self.executions.entry(key).or_default();
        let first_ms = *times.first().unwrap_or(&self.ms);
        times.push(self.ms);
        match class_of_key(key) {
            NON_IDEMPOTENT_CLASS => assert_eq!(times.len(), 1, "key {key} is executed twice"),
            KEYED_CLASS => assert!(
                self.ms - first_ms < DEDUPLICATION_WINDOW_MS,
                "key {key} is executed after its window"
            ),
            _ => {}
        }
    }

    fn respond(&mut self, request: u64, response: SubmitResponse) {
        self.trace
            .push(format!("{} response to {request}: {response:?}", self.ms));
        let key = self.requests.remove(&request).unwrap();
        assert_ne!(response, SubmitResponse::Conflict, "request {request}");
        if response == DELIVERED {
            self.delivered_requests += 1;
            assert!(
                self.executions.contains_key(&key),
                "key {key} is reported as delivered"
            );
        }
    }
}

/// In every history no key is executed more often than its class permits, and no event is reported as delivered that was not.
#[test]
fn random_histories_of_events_with_shared_keys_execute_each_key_once() {
    for seed in 0..120 {
        let mut history = History::new(seed);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..STEPS {
                history.advance();
            }
        }));
        assert!(result.is_ok(), "seed {seed}:\n{}", history.trace.join("\n"));
        assert!(history.delivered_requests > KEYS, "seed {seed}");
        let _ = fs::remove_dir_all(&history.engine.folder);
    }
}

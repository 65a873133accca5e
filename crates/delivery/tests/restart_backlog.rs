//! Messages that were accepted but not attempted before a restart. They must still be attempted, whatever the state of the
//! endpoint list, the endpoints and the other instances. The tests set the clock.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    attempt_finished, class_names, endpoint_list, engine_settings, folder as temporary_folder,
    limits, notice_outcomes, started_attempts, timestamp_of, DESTINATION, KEYED, START_MS,
};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, MessageId, Origin, RequestId};
use marblefall_scheduler::{ClassId, Idempotency, Limits, Outcome, RateHints, Span};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 3_000_000;
/// Maximum number of open messages.
const MAX_OPEN: usize = 50;
const TIME_TO_LIVE_MS: i64 = 20_000;

fn classes() -> Vec<String> {
    class_names(&["keyed", "free", "never"])
}

fn settings(instances: usize) -> EngineSettings {
    let limits = Limits {
        max_attempts: 1000,
        ..limits(MAX_OPEN)
    };
    let mut settings = engine_settings(
        &[KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent],
        limits,
    );
    settings.scheduler.instances = instances;
    settings.scheduler.rate_hints = RateHints::Approximate;
    settings.scheduler.rules.overload_window = Span::from_ms(2000.0);
    settings.scheduler.rules.ramp_duration = Span::from_ms(10_000.0);
    settings.scheduler.rules.ramp_start = 0.3;
    settings.scheduler.rules.overload_factor = 1.5;
    settings
}

/// An incarnation of the engine over a folder. Times are in milliseconds after the first incarnation's start.
struct Incarnation {
    engine: Engine,
    started_ms: i64,
    /// The time of the last step.
    ms: i64,
}

impl Incarnation {
    fn start(
        folder: &Path,
        instances: usize,
        ms: i64,
        endpoints: &[&str],
    ) -> (Incarnation, Vec<EngineCommand>) {
        let store = MessageStore::open(folder, MAX_BYTES, classes()).unwrap();
        let mut commands = Vec::new();
        let now = timestamp_of(ms, ms);
        let engine = Engine::new(settings(instances), store, now, &mut commands);
        let mut incarnation = Incarnation {
            engine,
            started_ms: ms,
            ms,
        };
        commands.extend(incarnation.step(0, vec![endpoint_list(endpoints)]));
        (incarnation, commands)
    }

    /// Steps the engine after `later_ms` milliseconds, and again while it has scheduler events to handle.
    fn step(&mut self, later_ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        self.ms += later_ms;
        let now = timestamp_of(self.started_ms, self.ms);
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut commands);
        }
        commands
    }
}

fn submission(number: u64, ms: i64) -> EngineEvent {
    let class = (number % 3) as usize;
    let message = Message {
        origin: Origin::Platform,
        identity: format!("m-{number}").into_bytes(),
        idempotency_key: (class == 0).then(|| format!("key-{number}").into_bytes()),
        class: ClassId(class),
        destination: DESTINATION,
        expires_ms: START_MS + ms + TIME_TO_LIVE_MS,
        attributes: Vec::new(),
        body: vec![b'x'; 100],
    };
    EngineEvent::Submitted(RequestId(number), message)
}

/// Creates the folder of an incarnation that was killed with the given number of open messages. Returns the folder and how
/// many of the messages were attempted.
fn crashed_folder(name: &str, instances: usize, messages: u64) -> (PathBuf, usize) {
    let folder = temporary_folder(name);
    let (mut incarnation, _) = Incarnation::start(&folder, instances, 0, &["h"]);
    let commands: Vec<EngineCommand> = (0..messages)
        .flat_map(|number| incarnation.step(0, vec![submission(number, 0)]))
        .collect();
    assert_eq!(notice_outcomes(&commands).len(), 0);
    let attempted = started_attempts(&commands).len();
    assert!(attempted < 5 && incarnation.engine.load().open_messages == messages as usize);
    (folder, attempted)
}

#[test]
fn backlog_is_delivered_once_an_endpoint_is_listed() {
    let (folder, attempted) = crashed_folder("unlisted", 1, 45);
    let (mut incarnation, commands) = Incarnation::start(&folder, 1, 1000, &[]);
    // Messages that were in flight and are not idempotent get a final outcome immediately. All others are pending.
    let mut given_up = notice_outcomes(&commands).len();
    for _ in 0..70 {
        let commands = incarnation.step(100, Vec::new());
        assert_eq!(started_attempts(&commands), [], "no endpoint is known yet");
        given_up += notice_outcomes(&commands).len();
    }
    assert!(
        given_up <= attempted,
        "{given_up} of 45 messages given up, {attempted} were attempted"
    );
    let mut started = started_attempts(&incarnation.step(10, vec![endpoint_list(&["h"])]));
    let mut deliveries = BTreeMap::new();
    for _ in 0..400 {
        let events = started.drain(..).map(|(id, attempt)| {
            *deliveries.entry(id).or_insert(0) += 1;
            attempt_finished(id, attempt, Outcome::Delivered)
        });
        let events: Vec<EngineEvent> = events.collect();
        let commands = incarnation.step(20, events);
        assert_eq!(notice_outcomes(&commands).len(), 0);
        started = started_attempts(&commands);
    }
    assert_eq!(deliveries.len(), 45 - given_up);
    assert!(deliveries.values().all(|count| *count == 1));
    let _ = std::fs::remove_dir_all(&folder);
}

/// When hundreds of instances share the capacity of an idle destination, an instance's next attempt may be due after a
/// message's deadline. Messages must not fail for that reason while most of their time to live is left.
#[test]
fn hanging_endpoints_do_not_expire_the_backlog_early() {
    for instances in [1, 30, 300] {
        let (folder, attempted) = crashed_folder(&format!("hangs-{instances}"), instances, 30);
        let (mut incarnation, commands) = Incarnation::start(&folder, instances, 500, &["h"]);
        let mut given_up = notice_outcomes(&commands).len();
        let mut in_flight: Vec<(i64, MessageId, u32)> = Vec::new();
        let mut started = started_attempts(&commands);
        // No endpoint responds until 70 % of the messages' time to live have passed.
        while incarnation.ms < TIME_TO_LIVE_MS * 7 / 10 - 200 {
            in_flight.extend(
                started
                    .drain(..)
                    .map(|(id, attempt)| (incarnation.ms + 1000, id, attempt)),
            );
            let (ended, remaining): (Vec<_>, Vec<_>) = in_flight
                .into_iter()
                .partition(|(at, ..)| *at <= incarnation.ms);
            in_flight = remaining;
            let timed_out = ended
                .into_iter()
                .map(|(_, id, attempt)| attempt_finished(id, attempt, Outcome::ConnectFailed))
                .collect();
            let commands = incarnation.step(100, timed_out);
            given_up += notice_outcomes(&commands).len();
            started = started_attempts(&commands);
        }
        assert!(
            given_up <= attempted,
            "{given_up} of 30 messages given up early with {instances} instances, {attempted} were attempted"
        );
        let _ = std::fs::remove_dir_all(&folder);
    }
}

/// New submissions to an instance that restarted with a full backlog must not cause messages of the backlog to fail.
#[test]
fn new_messages_do_not_displace_the_backlog() {
    let (folder, attempted) = crashed_folder("pushed", 1, 45);
    let (mut incarnation, commands) = Incarnation::start(&folder, 1, 500, &["h"]);
    let mut given_up = notice_outcomes(&commands).len();
    for number in 0..100 {
        let ms = incarnation.ms;
        given_up +=
            notice_outcomes(&incarnation.step(20, vec![submission(1000 + number, ms)])).len();
    }
    assert!(
        given_up <= attempted,
        "{given_up} of 45 messages given up, {attempted} were attempted"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

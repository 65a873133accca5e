//! Messages that a restart finds accepted and not attempted, with a clock set by the tests: they are still attempted, whatever
//! the list, the endpoints and the other instances do.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    attempt_finished, endpoint, engine_settings, folder, limits, started_attempts, KEYED, START_MS,
};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, Origin, RequestId, Timestamp};
use marblefall_scheduler::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const MAX_OPEN: usize = 50;
const TIME_TO_LIVE_MS: i64 = 20_000;

fn classes() -> Vec<String> {
    ["keyed", "free", "never"].map(String::from).to_vec()
}

fn backlog_settings(instances: usize) -> EngineSettings {
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

/// An incarnation of the engine over a folder, at a time since the first one's start.
struct TestIncarnation {
    engine: Engine,
    started_ms: i64,
    ms: i64,
}

impl TestIncarnation {
    fn start(
        dir: &Path,
        instances: usize,
        ms: i64,
        list: Vec<&str>,
    ) -> (TestIncarnation, Vec<EngineCommand>) {
        let store = MessageStore::open(dir, 3_000_000, classes()).unwrap();
        let mut commands = Vec::new();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let engine = Engine::new(backlog_settings(instances), store, now, &mut commands);
        let mut incarnation = TestIncarnation {
            engine,
            started_ms: ms,
            ms,
        };
        commands.extend(incarnation.step(
            0,
            vec![EngineEvent::EndpointsReplaced(
                list.into_iter().map(endpoint).collect(),
            )],
        ));
        (incarnation, commands)
    }

    /// Steps so many milliseconds later, and as often as there is more to handle.
    fn step(&mut self, later: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        self.ms += later;
        let monotonic = Time((self.ms - self.started_ms) * 1000);
        let now = Timestamp {
            monotonic,
            unix_ms: START_MS + self.ms,
        };
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
        destination: DestinationId(7),
        expires_ms: START_MS + ms + TIME_TO_LIVE_MS,
        attributes: Vec::new(),
        body: vec![b'x'; 100],
    };
    EngineEvent::Submitted(RequestId(number), message)
}

fn notice_count(commands: &[EngineCommand]) -> usize {
    commands
        .iter()
        .filter(|command| matches!(command, EngineCommand::SendNotice { .. }))
        .count()
}

/// A folder that a killed incarnation left with so many accepted messages, and how many of these were attempted.
fn crashed_folder(name: &str, instances: usize, messages: u64) -> (PathBuf, usize) {
    let dir = folder(name);
    let (mut incarnation, _) = TestIncarnation::start(&dir, instances, 0, vec!["h"]);
    let commands: Vec<EngineCommand> = (0..messages)
        .flat_map(|number| incarnation.step(0, vec![submission(number, 0)]))
        .collect();
    assert_eq!(notice_count(&commands), 0);
    let attempted = started_attempts(&commands).len();
    assert!(attempted < 5 && incarnation.engine.load().0 == messages as usize);
    (dir, attempted)
}

#[test]
fn backlog_waits_for_the_list_and_is_then_delivered() {
    let (dir, attempted) = crashed_folder("unlisted", 1, 45);
    let (mut incarnation, commands) = TestIncarnation::start(&dir, 1, 1000, Vec::new());
    // Of what was in flight when the process was killed, all but idempotent messages has its final outcome; all else is pending.
    let mut given_up = notice_count(&commands);
    for _ in 0..70 {
        let commands = incarnation.step(100, Vec::new());
        assert_eq!(started_attempts(&commands), [], "no endpoint is known yet");
        given_up += notice_count(&commands);
    }
    assert!(
        given_up <= attempted,
        "{given_up} of 45 given up, {attempted} were attempted"
    );
    let mut out = started_attempts(&incarnation.step(
        10,
        vec![EngineEvent::EndpointsReplaced(vec![endpoint("h")])],
    ));
    let mut delivered = BTreeMap::new();
    for _ in 0..400 {
        let events = out.drain(..).map(|(id, attempt)| {
            *delivered.entry(id).or_insert(0) += 1;
            attempt_finished(id, attempt, Outcome::Delivered)
        });
        let events: Vec<EngineEvent> = events.collect();
        let commands = incarnation.step(20, events);
        assert_eq!(notice_count(&commands), 0);
        out = started_attempts(&commands);
    }
    assert_eq!(delivered.len(), 45 - given_up);
    assert!(delivered.values().all(|times| *times == 1));
    let _ = std::fs::remove_dir_all(&dir);
}

/// Where hundreds share the capacity of a cold destination, one instance's next attempt may lie past a message's deadline. All
/// that a restart had found for it was then given up in one step, with most of its time left and no attempt.
#[test]
fn hanging_endpoints_do_not_expire_the_backlog_early() {
    for instances in [1, 30, 300] {
        let (dir, attempted) = crashed_folder(&format!("hangs-{instances}"), instances, 30);
        let (mut incarnation, commands) = TestIncarnation::start(&dir, instances, 500, vec!["h"]);
        let mut given_up = notice_count(&commands);
        let mut out: Vec<(i64, MessageId, u32)> = Vec::new();
        let mut started = started_attempts(&commands);
        // Nothing responds until seven tenths of their time are over.
        while incarnation.ms < TIME_TO_LIVE_MS * 7 / 10 - 200 {
            out.extend(
                started
                    .drain(..)
                    .map(|(id, attempt)| (incarnation.ms + 1000, id, attempt)),
            );
            let (over, still): (Vec<_>, Vec<_>) =
                out.into_iter().partition(|(at, ..)| *at <= incarnation.ms);
            out = still;
            let timed_out = over
                .into_iter()
                .map(|(_, id, attempt)| attempt_finished(id, attempt, Outcome::ConnectFailed))
                .collect();
            let commands = incarnation.step(100, timed_out);
            given_up += notice_count(&commands);
            started = started_attempts(&commands);
        }
        assert!(
            given_up <= attempted,
            "{given_up} of 30 given up early among {instances} instances, {attempted} were attempted"
        );
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// An instance that restarted with a full backlog gave it up message by message for each new one that was submitted.
#[test]
fn new_messages_do_not_displace_the_backlog() {
    let (dir, attempted) = crashed_folder("pushed", 1, 45);
    let (mut incarnation, commands) = TestIncarnation::start(&dir, 1, 500, vec!["h"]);
    let mut given_up = notice_count(&commands);
    for number in 0..100 {
        let ms = incarnation.ms;
        given_up += notice_count(&incarnation.step(20, vec![submission(1000 + number, ms)]));
    }
    assert!(
        given_up <= attempted,
        "{given_up} of 45 that were found given up, {attempted} were attempted"
    );
    let _ = std::fs::remove_dir_all(&dir);
}

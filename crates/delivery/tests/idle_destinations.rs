//! Many idle destinations: the scheduler is given only those in use, and the state of the others is stored compactly.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::destinations::{event_submission, table_replaced, TableSpec};
use common::{
    attempt_finished_after, engine_settings, folder as temporary_folder, started_attempts,
    timestamp, START_MS,
};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{MessageId, SubmitResponse, Timestamp};
use marblefall_scheduler::{
    DestinationId, Idempotency, Limits, Outcome, RateHints, Rules, Span, Time,
};
use std::path::PathBuf;

/// The maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 64_000_000;

/// This many destinations, all at one port.
fn table(count: u64, port: u16) -> TableSpec {
    TableSpec {
        count,
        port,
        rate: 50.0,
    }
}

fn settings() -> EngineSettings {
    let limits = Limits {
        max_in_flight: 64,
        max_open_messages: 20_000,
        max_attempts: 8,
        cancellation_allowed: true,
        max_retry_after: Span::from_ms(90_000.0),
        idle_timeout: Span::from_ms(10_000.0),
        ..Limits::default()
    };
    let rules = Rules {
        ramp_start: 0.27,
        ramp_duration: Span::from_ms(10_000.0),
        overload_factor: 1.5,
        overload_window: Span::from_ms(2000.0),
        ..Rules::default()
    };
    let mut settings = engine_settings(&[Idempotency::Idempotent], limits);
    settings.scheduler.rules = rules;
    settings.scheduler.rate_hints = RateHints::Approximate;
    settings.retention_ms = vec![60_000];
    settings.max_retained = 100;
    settings
}

/// An engine beside many destinations. Times are in milliseconds after its start.
struct Fixture {
    engine: Engine,
    folder: PathBuf,
    /// The number of the last submission.
    last_number: u64,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fixture {
    /// Starts an engine that is given a table of destinations.
    fn start(name: &str, count: u64) -> Fixture {
        let folder = temporary_folder(&format!("idle-{name}"));
        let store = MessageStore::open(&folder, MAX_BYTES, vec!["free".to_owned()]).unwrap();
        let mut fixture = Fixture {
            engine: Engine::new(settings(), store, timestamp(0), &mut Vec::new()),
            folder,
            last_number: 0,
        };
        let commands = fixture.step(0, vec![table_replaced(table(count, 1))]);
        assert!(commands.is_empty(), "no destination is in use yet");
        fixture
    }

    fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        self.engine.step(timestamp(ms), events, &mut commands);
        commands
    }

    /// The next submission of an event for a destination.
    fn submission(&mut self, ms: i64, destination: u64) -> EngineEvent {
        self.last_number += 1;
        event_submission(ms, self.last_number, DestinationId(destination))
    }

    /// Steps the engine every second without events, so that idle destinations are compacted.
    fn pass_time(&mut self, from_ms: i64, to_ms: i64) -> Vec<EngineCommand> {
        (from_ms / 1000..=to_ms / 1000)
            .flat_map(|second| self.step(second * 1000, Vec::new()))
            .collect()
    }
}

/// How commands change the listed endpoints.
#[derive(Debug, Default, PartialEq)]
struct EndpointChanges {
    /// The names of those that were listed, or listed differently.
    listed: Vec<String>,
    /// How many were removed.
    removed: usize,
}

impl EndpointChanges {
    fn of(commands: &[EngineCommand]) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        for command in commands {
            match command {
                EngineCommand::EndpointListed(_, endpoint) => {
                    changes.listed.push(endpoint.name.clone());
                }
                EngineCommand::EndpointRemoved(_) => changes.removed += 1,
                _ => {}
            }
        }
        changes
    }

    fn none() -> EndpointChanges {
        EndpointChanges::default()
    }

    fn listed(name: &str) -> EndpointChanges {
        EndpointChanges {
            listed: vec![name.to_owned()],
            removed: 0,
        }
    }

    fn removed(count: usize) -> EndpointChanges {
        EndpointChanges {
            listed: Vec::new(),
            removed: count,
        }
    }
}

/// The result of an attempt that was in flight for 10 ms.
fn attempt_finished((id, attempt): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    attempt_finished_after(Span::from_ms(10.0), id, attempt, outcome)
}

#[test]
fn destination_is_active_only_while_in_use() {
    let mut fixture = Fixture::start("use", 1000);
    let submission = fixture.submission(100, 5);
    let commands = fixture.step(100, vec![submission]);
    assert_eq!(
        EndpointChanges::of(&commands),
        EndpointChanges::listed("clinic-5-1")
    );
    let started = started_attempts(&commands)[0];
    fixture.step(110, vec![attempt_finished(started, Outcome::Delivered)]);
    // It stays active when it is used again, is compacted when idle, and becomes active with the next message.
    let submission = fixture.submission(20_000, 5);
    let commands = fixture.step(20_000, vec![submission]);
    assert_eq!(EndpointChanges::of(&commands), EndpointChanges::none());
    let started = started_attempts(&commands)[0];
    fixture.step(20_010, vec![attempt_finished(started, Outcome::Delivered)]);
    assert_eq!(
        EndpointChanges::of(&fixture.pass_time(20_000, 49_000)),
        EndpointChanges::none()
    );
    assert_eq!(
        EndpointChanges::of(&fixture.pass_time(50_000, 52_000)),
        EndpointChanges::removed(1)
    );
    assert_eq!(
        fixture.engine.next_wake(),
        None,
        "there is no destination left to check"
    );
    let submission = fixture.submission(90_000, 5);
    let commands = fixture.step(90_000, vec![submission]);
    assert_eq!(
        (
            EndpointChanges::of(&commands).listed,
            started_attempts(&commands).len()
        ),
        (vec!["clinic-5-1".to_owned()], 1)
    );
    // A destination with a message in flight stays active.
    assert_eq!(
        EndpointChanges::of(&fixture.pass_time(91_000, 135_000)),
        EndpointChanges::none()
    );
    let unknown = fixture.submission(136_000, 1000);
    let commands = fixture.step(136_000, vec![unknown]);
    assert!(
        matches!(
            commands[0],
            EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
        ),
        "{commands:?}"
    );
}

#[test]
fn backoff_survives_an_idle_period() {
    let mut fixture = Fixture::start("backoff", 10);
    let submission = fixture.submission(0, 3);
    let started = started_attempts(&fixture.step(0, vec![submission]))[0];
    fixture.step(
        10,
        vec![attempt_finished(
            started,
            Outcome::Rejected {
                retry_after: Some(Span::from_ms(60_000.0)),
            },
        )],
    );
    assert_eq!(
        EndpointChanges::of(&fixture.pass_time(1000, 40_000)).removed,
        1,
        "it is compacted"
    );
    let submission = fixture.submission(41_000, 3);
    assert!(started_attempts(&fixture.step(41_000, vec![submission])).is_empty());
    assert!(
        started_attempts(&fixture.pass_time(42_000, 60_000)).is_empty(),
        "no attempt starts before the backoff ends"
    );
    let submission = fixture.submission(60_009, 3);
    assert!(started_attempts(&fixture.step(60_009, vec![submission])).is_empty());
    let commands = fixture.pass_time(61_000, 66_000);
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "one trial call after the backoff"
    );
}

#[test]
fn ejection_survives_an_idle_period() {
    let mut fixture = Fixture::start("ejection", 10);
    let mut now_ms = 0;
    let mut started = Vec::new();
    let submission = fixture.submission(0, 3);
    started.extend(started_attempts(&fixture.step(0, vec![submission])));
    // No connection is established, so every attempt fails until the message expires.
    while now_ms < 30_000 {
        now_ms += 10;
        let failed = started
            .drain(..)
            .map(|attempt| attempt_finished(attempt, Outcome::ConnectFailed))
            .collect();
        let commands = fixture.step(now_ms, failed);
        started.extend(started_attempts(&commands));
    }
    assert!(started.is_empty());
    assert_eq!(
        EndpointChanges::of(&fixture.pass_time(31_000, 62_000)).removed,
        1,
        "it is compacted"
    );
    let burst: Vec<EngineEvent> = (0..10).map(|_| fixture.submission(70_000, 3)).collect();
    let commands = fixture.step(70_000, burst);
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "an ejected destination receives one trial call, others two"
    );
    let submission: Vec<EngineEvent> = (0..10).map(|_| fixture.submission(70_001, 4)).collect();
    assert_eq!(started_attempts(&fixture.step(70_001, submission)).len(), 2);
}

#[test]
fn ten_thousand_destinations_are_served_and_compacted() {
    const COUNT: u64 = 10_000;
    let mut fixture = Fixture::start("many", COUNT);
    let (mut started, mut delivered, mut listed, mut now_ms) = (Vec::new(), 0, 0, 0);
    while delivered < COUNT {
        now_ms += 1;
        assert!(now_ms < 20_000, "{delivered} delivered");
        let mut events: Vec<EngineEvent> = std::mem::take(&mut started)
            .into_iter()
            .map(|attempt| attempt_finished(attempt, Outcome::Delivered))
            .collect();
        delivered += events.len() as u64;
        let first = (now_ms as u64 - 1) * COUNT / 1000;
        let last = (now_ms as u64 * COUNT / 1000).min(COUNT);
        events.extend((first..last).map(|id| fixture.submission(now_ms, id)));
        let commands = fixture.step(now_ms, events);
        listed += EndpointChanges::of(&commands).listed.len() as u64;
        started = started_attempts(&commands);
    }
    assert_eq!(listed, COUNT);
    // They are compacted a few at a time.
    let (mut removed, mut ms) = (0, now_ms);
    while removed < COUNT as usize {
        ms += 20;
        assert!(ms < now_ms + 60_000, "{removed} removed");
        let removed_now = EndpointChanges::of(&fixture.step(ms, Vec::new())).removed;
        assert!(removed_now <= 16, "{removed_now} at once");
        removed += removed_now;
    }
}

#[test]
fn new_destination_table_updates_active_destinations_only() {
    let mut fixture = Fixture::start("table", 100);
    let submissions = vec![fixture.submission(0, 1), fixture.submission(0, 99)];
    let started = started_attempts(&fixture.step(0, submissions));
    let commands = fixture.step(5, vec![table_replaced(table(99, 2))]);
    let changes = EndpointChanges::of(&commands);
    assert_eq!(
        (changes.listed.len(), changes.removed),
        (2, 1),
        "{commands:?}"
    );
    let moved = commands.iter().any(
        |command| matches!(command, EngineCommand::EndpointListed(_, endpoint) if endpoint.address == "127.0.0.1:2"),
    );
    assert!(moved, "{commands:?}");
    // Of the two attempts that fail, only the one to the endpoint that is still listed is retried.
    let commands = fixture.step(
        10,
        started
            .into_iter()
            .map(|attempt| attempt_finished(attempt, Outcome::Reset))
            .collect(),
    );
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "one message is retried"
    );
    let submission = fixture.submission(20, 99);
    assert!(matches!(
        fixture.step(20, vec![submission])[0],
        EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
    ));
}

#[test]
fn ejection_survives_a_restart_but_backoff_does_not() {
    let mut fixture = Fixture::start("records", 10);
    let submissions = vec![
        fixture.submission(0, 3),
        fixture.submission(0, 4),
        fixture.submission(0, 5),
    ];
    let started = started_attempts(&fixture.step(0, submissions));
    let outcomes = [
        Outcome::Delivered,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(60_000.0)),
        },
        Outcome::Delivered,
    ];
    fixture.step(
        10,
        started
            .iter()
            .zip(outcomes)
            .map(|(attempt, outcome)| attempt_finished(*attempt, outcome))
            .collect(),
    );
    let records = fixture.engine.destination_records(timestamp(20));
    assert_eq!(
        records
            .iter()
            .map(|record| record.destination)
            .collect::<Vec<_>>(),
        [3, 4, 5]
    );
    assert_eq!(records[1].backoff_until_ms, Some(START_MS + 60_010));
    assert_eq!(
        (records[1].ejected_since_ms, records[0].ejected_since_ms),
        (Some(START_MS + 10), None)
    );
    // The clock of one of the next incarnations was set back by an hour.
    for (name, shift_ms) in [("later", 0), ("set-back", -3_600_000)] {
        let mut next = Fixture::start(name, 10);
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + shift_ms,
        };
        next.engine.restore_destinations(now, &records);
        let submissions: Vec<EngineEvent> = (0..6).map(|_| next.submission(100, 4)).collect();
        assert_eq!(
            started_attempts(&next.step(100, submissions)).len(),
            1,
            "{name}: the backoff has ended, the ejection has not"
        );
        let submissions: Vec<EngineEvent> = (0..6).map(|_| next.submission(101, 3)).collect();
        assert_eq!(
            started_attempts(&next.step(101, submissions)).len(),
            6,
            "{name}: a healthy destination needs no trial call"
        );
    }
}

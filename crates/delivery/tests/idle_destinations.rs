//! Many idle destinations: only those in use are known to the scheduler, and what must not be forgotten of the others is
//! kept.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{class, START_MS};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::engine::{
    AttemptResult, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    Disposition, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

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
    let settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        kinds: vec![DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        value_decay: ValueDecay::Linear,
        limits,
        rules,
        rate_hints: RateHints::Approximate,
        instances: 1,
        ..Settings::default()
    };
    EngineSettings {
        scheduler: settings,
        seed: 1,
        retention_ms: vec![60_000],
        max_remembered: 100,
    }
}

/// So many destinations with an endpoint each, all at one port.
fn destination_table(count: u64, port: u16) -> Arc<DestinationTable> {
    let mut destination_table = DestinationTable::default();
    for number in 0..count {
        let (name, endpoint_name) = (format!("clinic-{number}"), format!("clinic-{number}-1"));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let entry = DestinationEntry {
            name: &name,
            id: DestinationId(number),
            encoding: 0,
            rate: 50.0,
            from_list: false,
        };
        let endpoint = EndpointEntry {
            name: &endpoint_name,
            address,
            weight: None,
            active: true,
        };
        destination_table
            .add(entry, std::iter::once(endpoint))
            .unwrap();
    }
    Arc::new(destination_table.build())
}

struct Fixture {
    engine: Engine,
    dir: PathBuf,
    next: u64,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Fixture {
    fn new(name: &str, count: u64) -> Fixture {
        let dir =
            std::env::temp_dir().join(format!("marblefall-idle-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let store = MessageStore::open(&dir, 64_000_000, vec!["free".to_owned()]).unwrap();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS,
        };
        let mut fixture = Fixture {
            engine: Engine::new(settings(), store, now, &mut Vec::new()),
            dir,
            next: 0,
        };
        assert!(
            fixture
                .step(
                    0,
                    vec![EngineEvent::DestinationTableReplaced(destination_table(
                        count, 1
                    ))]
                )
                .is_empty(),
            "nothing is in use yet"
        );
        fixture
    }

    fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        let now = Timestamp {
            monotonic: Time(ms * 1000),
            unix_ms: START_MS + ms,
        };
        self.engine.step(now, events, &mut commands);
        commands
    }

    fn submit(&mut self, ms: i64, destination: u64) -> EngineEvent {
        self.next += 1;
        let message = Message {
            origin: Origin::CloudEvents,
            identity: self.next.to_string().into_bytes(),
            idempotency_key: None,
            class: ClassId(0),
            destination: DestinationId(destination),
            expires_ms: START_MS + ms + 20_000,
            attributes: Vec::new(),
            body: Vec::new(),
        };
        EngineEvent::Submitted(RequestId(self.next), message)
    }

    /// Lets seconds pass without events, so that idle destinations are found.
    fn pass_time(&mut self, from_ms: i64, to_ms: i64) -> Vec<EngineCommand> {
        (from_ms / 1000..=to_ms / 1000)
            .flat_map(|second| self.step(second * 1000, Vec::new()))
            .collect()
    }
}

fn started_attempts(commands: &[EngineCommand]) -> Vec<(MessageId, u32)> {
    let started = |command: &EngineCommand| match command {
        EngineCommand::StartAttempt(request) => Some((request.message_id, request.attempt)),
        _ => None,
    };
    commands.iter().filter_map(started).collect()
}

/// The names of the endpoints that were listed, and how many were removed.
fn endpoints(commands: &[EngineCommand]) -> (Vec<&str>, usize) {
    let listed = commands.iter().filter_map(|command| match command {
        EngineCommand::EndpointListed(_, endpoint) => Some(endpoint.name.as_str()),
        _ => None,
    });
    (
        listed.collect(),
        commands
            .iter()
            .filter(|command| matches!(command, EngineCommand::EndpointRemoved(_)))
            .count(),
    )
}

fn attempt_finished((id, attempt): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    let (duration, disposition, report) = (
        Span::from_ms(10.0),
        Disposition::Undecided,
        RateLimitReport::default(),
    );
    EngineEvent::AttemptFinished(AttemptResult {
        message_id: id,
        attempt,
        outcome,
        duration,
        disposition,
        rate_limit: report,
    })
}

#[test]
fn destination_is_active_only_while_in_use() {
    let mut fixture = Fixture::new("use", 1000);
    let submission = fixture.submit(100, 5);
    let commands = fixture.step(100, vec![submission]);
    assert_eq!(endpoints(&commands), (vec!["clinic-5-1"], 0));
    let started = started_attempts(&commands)[0];
    fixture.step(110, vec![attempt_finished(started, Outcome::Delivered)]);
    // Used again in time, it stays; then it is compacted, and comes back with the next message.
    let submission = fixture.submit(20_000, 5);
    let commands = fixture.step(20_000, vec![submission]);
    assert_eq!(endpoints(&commands), (vec![], 0));
    let started = started_attempts(&commands)[0];
    fixture.step(20_010, vec![attempt_finished(started, Outcome::Delivered)]);
    assert_eq!(endpoints(&fixture.pass_time(20_000, 49_000)), (vec![], 0));
    assert_eq!(endpoints(&fixture.pass_time(50_000, 52_000)), (vec![], 1));
    assert_eq!(fixture.engine.next_wake(), None, "nothing is left to check");
    let submission = fixture.submit(90_000, 5);
    let commands = fixture.step(90_000, vec![submission]);
    assert_eq!(
        (endpoints(&commands).0, started_attempts(&commands).len()),
        (vec!["clinic-5-1"], 1)
    );
    // One that waits for its attempt is in use however long that takes.
    assert_eq!(endpoints(&fixture.pass_time(91_000, 135_000)), (vec![], 0));
    let unknown = fixture.submit(136_000, 1000);
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
    let mut fixture = Fixture::new("wait", 10);
    let submission = fixture.submit(0, 3);
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
        endpoints(&fixture.pass_time(1000, 40_000)).1,
        1,
        "it is compacted"
    );
    let submission = fixture.submit(41_000, 3);
    assert!(started_attempts(&fixture.step(41_000, vec![submission])).is_empty());
    assert!(
        started_attempts(&fixture.pass_time(42_000, 60_000)).is_empty(),
        "not before the backoff ends"
    );
    let submission = fixture.submit(60_009, 3);
    assert!(started_attempts(&fixture.step(60_009, vec![submission])).is_empty());
    let commands = fixture.pass_time(61_000, 66_000);
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "one trial once the backoff is over"
    );
}

#[test]
fn outage_is_remembered_while_its_destination_is_idle() {
    let mut fixture = Fixture::new("outage", 10);
    let mut now = 0;
    let mut out = Vec::new();
    let submission = fixture.submit(0, 3);
    out.extend(started_attempts(&fixture.step(0, vec![submission])));
    // Nobody responds there: every attempt fails until its message expires.
    while now < 30_000 {
        now += 10;
        let failed = out
            .drain(..)
            .map(|started| attempt_finished(started, Outcome::ConnectFailed))
            .collect();
        let commands = fixture.step(now, failed);
        out.extend(started_attempts(&commands));
    }
    assert!(out.is_empty());
    assert_eq!(
        endpoints(&fixture.pass_time(31_000, 62_000)).1,
        1,
        "it is compacted"
    );
    let burst: Vec<EngineEvent> = (0..10).map(|_| fixture.submit(70_000, 3)).collect();
    let commands = fixture.step(70_000, burst);
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "a trial, where one that is not known to be down gets two"
    );
    let submission: Vec<EngineEvent> = (0..10).map(|_| fixture.submit(70_001, 4)).collect();
    assert_eq!(started_attempts(&fixture.step(70_001, submission)).len(), 2);
}

#[test]
fn ten_thousand_destinations_are_served_and_compacted() {
    const ALL: u64 = 10_000;
    let mut fixture = Fixture::new("each", ALL);
    let (mut out, mut delivered, mut listed, mut now) = (Vec::new(), 0, 0, 0);
    while delivered < ALL {
        now += 1;
        assert!(now < 20_000, "{delivered} delivered");
        let mut events: Vec<EngineEvent> = std::mem::take(&mut out)
            .into_iter()
            .map(|started| attempt_finished(started, Outcome::Delivered))
            .collect();
        delivered += events.len() as u64;
        let first = (now as u64 - 1) * ALL / 1000;
        let last = (now as u64 * ALL / 1000).min(ALL);
        events.extend((first..last).map(|to| fixture.submit(now, to)));
        let commands = fixture.step(now, events);
        listed += endpoints(&commands).0.len() as u64;
        out = started_attempts(&commands);
    }
    assert_eq!(listed, ALL);
    // They are removed a few at a time.
    let (mut removed, mut at) = (0, now);
    while removed < ALL as usize {
        at += 20;
        assert!(at < now + 60_000, "{removed} removed");
        let some = endpoints(&fixture.step(at, Vec::new())).1;
        assert!(some <= 16, "{some} at once");
        removed += some;
    }
}

#[test]
fn new_destination_table_updates_active_destinations_only() {
    let mut fixture = Fixture::new("table", 100);
    let submissions = vec![fixture.submit(0, 1), fixture.submit(0, 99)];
    let out = started_attempts(&fixture.step(0, submissions));
    let commands = fixture.step(
        5,
        vec![EngineEvent::DestinationTableReplaced(destination_table(
            99, 2,
        ))],
    );
    let (listed, removed) = endpoints(&commands);
    assert_eq!((listed.len(), removed), (2, 1), "{commands:?}");
    let moved = commands.iter().any(
        |command| matches!(command, EngineCommand::EndpointListed(_, endpoint) if endpoint.address == "127.0.0.1:2"),
    );
    assert!(moved, "{commands:?}");
    // What is in flight to a removed one may still succeed; nothing new is sent there.
    let commands = fixture.step(
        10,
        out.into_iter()
            .map(|started| attempt_finished(started, Outcome::Reset))
            .collect(),
    );
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "the one that is still listed is retried"
    );
    let submission = fixture.submit(20, 99);
    assert!(matches!(
        fixture.step(20, vec![submission])[0],
        EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
    ));
}

#[test]
fn outage_outlasts_the_process_and_backoff_does_not() {
    let mut fixture = Fixture::new("records", 10);
    let submissions = vec![
        fixture.submit(0, 3),
        fixture.submit(0, 4),
        fixture.submit(0, 5),
    ];
    let out = started_attempts(&fixture.step(0, submissions));
    let ends = [
        Outcome::Delivered,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(60_000.0)),
        },
        Outcome::Delivered,
    ];
    fixture.step(
        10,
        out.iter()
            .zip(ends)
            .map(|(started, outcome)| attempt_finished(*started, outcome))
            .collect(),
    );
    let at = |ms: i64| Timestamp {
        monotonic: Time(ms * 1000),
        unix_ms: START_MS + ms,
    };
    let records = fixture.engine.destination_records(at(20));
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
    // The next incarnation's clock was set back an hour.
    for (name, shift) in [("later", 0), ("set-back", -3_600_000)] {
        let mut next = Fixture::new(name, 10);
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + shift,
        };
        next.engine.restore_destinations(now, &records);
        let submissions: Vec<EngineEvent> = (0..6).map(|_| next.submit(100, 4)).collect();
        assert_eq!(
            started_attempts(&next.step(100, submissions)).len(),
            1,
            "{name}: the backoff is over, the outage is not"
        );
        let submissions: Vec<EngineEvent> = (0..6).map(|_| next.submit(101, 3)).collect();
        assert_eq!(
            started_attempts(&next.step(101, submissions)).len(),
            6,
            "{name}: a healthy one needs no trial"
        );
    }
}

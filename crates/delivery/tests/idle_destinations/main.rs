//! Tests with many idle destinations: the scheduler receives only the destinations in use, and the state of the others is
//! stored compactly.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "../common/mod.rs"]
mod common;
mod fixture;

use common::destinations::table_replaced;
use common::{started_attempts, timestamp, START_MS};
use fixture::{attempt_finished, table, EndpointChanges, Fixture};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::{SubmitResponse, Timestamp};
use marblefall_scheduler::{Outcome, Span, Time};

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
    // The destination stays active when it is used again, is compacted once it is idle, and becomes active with the next
    // message.
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
        "no destination is left to check"
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
        "an ejected destination receives one trial call, a new one receives two attempts"
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
        assert!(now_ms < 20_000, "only {delivered} delivered");
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
    // The idle destinations are compacted a few at a time.
    let (mut removed, mut ms) = (0, now_ms);
    while removed < COUNT as usize {
        ms += 20;
        assert!(ms < now_ms + 60_000, "only {removed} removed");
        let removed_now = EndpointChanges::of(&fixture.step(ms, Vec::new())).removed;
        assert!(removed_now <= 16, "{removed_now} removed in one step");
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
    // Both attempts fail. Only the one whose endpoint is still listed is retried.
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
    // One of the two next incarnations runs with a clock that was set back by an hour.
    for (name, clock_offset_ms) in [("later", 0), ("set-back", -3_600_000)] {
        let mut next = Fixture::start(name, 10);
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + clock_offset_ms,
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

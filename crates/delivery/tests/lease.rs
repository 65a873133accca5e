//! The engine while its lease is suspended or lost. The tests use no network and set the clock themselves.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::policy::{message, PolicyEngine};
use common::{attempt_finished, responses, started_attempts, timestamp, REJECTED};
use marblefall_delivery::core::engine::{EngineEvent, LeaseState};
use marblefall_delivery::core::{FinalOutcome, RequestId, SubmitResponse};
use marblefall_scheduler::{Outcome, Time};

#[test]
fn suspended_engine_defers_submissions_and_attempts() {
    let mut fixture = PolicyEngine::start("suspended");
    let first = started_attempts(&fixture.submit(10, 1, message("first", 0, 20_000)))[0];
    // One attempt may be in flight, so the second message is pending.
    assert_eq!(
        responses(&fixture.submit(20, 2, message("second", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    fixture.engine.set_lease(LeaseState::Suspended);
    let commands = fixture.submit(30, 3, message("third", 0, 20_000));
    assert_eq!(
        (responses(&commands), started_attempts(&commands)),
        (vec![], vec![])
    );
    // The attempt in flight ends, and no other attempt is started.
    let commands = fixture.step(
        100,
        vec![attempt_finished(first.0, first.1, Outcome::Delivered)],
    );
    assert_eq!(
        responses(&commands),
        [(1, SubmitResponse::Finished(FinalOutcome::Delivered))]
    );
    assert_eq!(started_attempts(&commands), []);
    // The message of a client that disconnects during the suspension is not accepted later.
    fixture.submit(110, 4, message("fourth", 0, 20_000));
    fixture.step(120, vec![EngineEvent::ClientGone(RequestId(4))]);
    fixture.engine.set_lease(LeaseState::Held);
    let commands = fixture.step(200, vec![]);
    assert_eq!(responses(&commands), [(3, SubmitResponse::Accepted)]);
    assert_eq!(started_attempts(&commands).len(), 1, "the second message");
    assert_eq!(fixture.engine.load().open_messages, 2);
}

#[test]
fn overdue_or_excess_deferred_submissions_are_rejected() {
    let mut fixture = PolicyEngine::start("overdue");
    fixture.engine.set_lease(LeaseState::Suspended);
    // At most eight messages may be open.
    let submissions = (0..10)
        .map(|n| EngineEvent::Submitted(RequestId(n), message(&format!("m{n}"), 0, 20_000)))
        .collect();
    let commands = fixture.step(10, submissions);
    assert_eq!(responses(&commands), [(8, REJECTED), (9, REJECTED)]);
    // The latency objective of their class is 2 s.
    assert_eq!(responses(&fixture.step(1900, vec![])), []);
    assert_eq!(responses(&fixture.step(2020, vec![])).len(), 8);
    // While the lease is lost, submissions are rejected immediately.
    fixture.engine.set_lease(LeaseState::Lost);
    assert_eq!(
        responses(&fixture.submit(2030, 11, message("late", 0, 20_000))),
        [(11, REJECTED)]
    );
}

#[test]
fn messages_expire_without_the_lease() {
    let mut fixture = PolicyEngine::start("deadline");
    fixture.submit(10, 1, message("in flight", 1, 20_000));
    fixture.submit(20, 2, message("pending", 1, 5000));
    fixture.engine.set_lease(LeaseState::Lost);
    fixture.step(30, vec![]);
    let wake = fixture
        .engine
        .next_wake_without_lease(timestamp(30))
        .unwrap();
    assert!(
        wake <= Time(5_001_000) && wake > Time(4_900_000),
        "{wake:?}"
    );
    assert_eq!(responses(&fixture.step(4990, vec![])), []);
    assert_eq!(
        responses(&fixture.step(5002, vec![])),
        [(2, SubmitResponse::Finished(FinalOutcome::Expired))]
    );
}

#[test]
fn repeat_joins_open_message_without_the_lease() {
    let mut fixture = PolicyEngine::start("repeat");
    fixture.submit(10, 1, message("pending", 0, 20_000));
    fixture.engine.set_lease(LeaseState::Lost);
    // If the repeat were rejected, its client would submit the message to another instance as well.
    assert_eq!(
        responses(&fixture.submit(20, 2, message("pending", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    assert_eq!(
        responses(&fixture.submit(30, 3, message("new", 0, 20_000))),
        [(3, REJECTED)]
    );
}

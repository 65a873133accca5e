//! Policy changes of a running engine. The tests use no network and set the clock themselves.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::policy::{message, policy_settings, PolicyEngine, CLASSES, IDEMPOTENCIES};
use common::{attempt_finished, class_names, responses, started_attempts, DESTINATION, KEYED};
use marblefall_delivery::core::engine::{
    EngineCommand, EngineEvent, EngineLoad, LeaseState, ProposedPolicy,
};
use marblefall_delivery::core::SubmitResponse;
use marblefall_scheduler::{DestinationId, Idempotency, Outcome, Span};
use std::collections::BTreeSet;

#[test]
fn policy_change_preserves_open_messages_and_attempts() {
    let mut fixture = PolicyEngine::start("change");
    // The delivery gives the route a state that must be preserved as well: an unused route would receive only two attempts.
    let delivered = started_attempts(&fixture.submit(1, 9, message("delivered", 1, 20_000)))[0];
    fixture.step(
        5,
        vec![attempt_finished(
            delivered.0,
            delivered.1,
            Outcome::Delivered,
        )],
    );
    let in_flight = started_attempts(&fixture.submit(10, 1, message("in flight", 0, 20_000)))[0];
    fixture.submit(20, 2, message("pending", 1, 20_000));
    fixture.engine.set_lease(LeaseState::Suspended);
    fixture.submit(30, 3, message("deferred", 1, 20_000));
    // The new policy permits six attempts in flight, and has a third class.
    let commands = fixture.change_policy(
        40,
        2,
        &["keyed", "free", "never"],
        policy_settings(
            6,
            &[KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent],
        ),
    );
    assert!(commands
        .iter()
        .any(|command| matches!(command, EngineCommand::PolicyInForce(2))));
    assert_eq!(started_attempts(&commands), [], "the lease is suspended");
    assert_eq!(
        fixture.engine.load(),
        EngineLoad {
            open_messages: 2,
            in_flight: 1
        }
    );
    fixture.engine.set_lease(LeaseState::Held);
    let commands = fixture.step(50, vec![]);
    // The attempt in flight is not started again. The other messages are attempted, as the new policy permits.
    let started = started_attempts(&commands);
    assert_eq!(started.len(), 2, "{started:?}");
    assert!(started.iter().all(|started| started.0 != in_flight.0));
    assert_eq!(responses(&commands), [(3, SubmitResponse::Accepted)]);
    // The attempt in flight fails, and is retried under the next number.
    let others = started
        .into_iter()
        .map(|(id, attempt)| attempt_finished(id, attempt, Outcome::Delivered))
        .collect();
    fixture.step(90, others);
    let commands = fixture.step(
        100,
        vec![attempt_finished(
            in_flight.0,
            in_flight.1,
            Outcome::ConnectFailed,
        )],
    );
    let mut retried = started_attempts(&commands);
    (110..3000)
        .step_by(10)
        .for_each(|ms| retried.extend(started_attempts(&fixture.step(ms, vec![]))));
    assert_eq!(retried.first(), Some(&(in_flight.0, in_flight.1 + 1)));
    // A message of the class that only the new policy contains is accepted.
    let commands = fixture.submit(3010, 4, message("new class", 2, 20_000));
    assert_eq!(responses(&commands), [(4, SubmitResponse::Accepted)]);
}

#[test]
fn policy_change_preserves_backoff_and_deduplication_window() {
    let mut fixture = PolicyEngine::start("backoff");
    let first = started_attempts(&fixture.submit(10, 1, message("first", 0, 20_000)))[0];
    fixture.step(
        100,
        vec![attempt_finished(
            first.0,
            first.1,
            Outcome::Rejected {
                retry_after: Some(Span::from_ms(2500.0)),
            },
        )],
    );
    fixture.change_policy(200, 2, &CLASSES, policy_settings(4, &IDEMPOTENCIES));
    let mut started = Vec::new();
    for ms in (300..4000).step_by(50) {
        started.extend(
            started_attempts(&fixture.step(ms, vec![]))
                .into_iter()
                .map(|started| (ms, started)),
        );
    }
    let (started_ms, second) = *started.first().expect("the message is retried");
    assert!(
        (2600..3600).contains(&started_ms),
        "retried at {started_ms} ms, but the backoff ends at 2,600 ms and the retry is due by 3,600 ms"
    );
    assert_eq!(second, (first.0, 1));
    // The second attempt may have been executed, so repeats must stay within its window, even after another policy change.
    fixture.step(
        4100,
        vec![attempt_finished(second.0, second.1, Outcome::Reset)],
    );
    fixture.change_policy(4200, 3, &CLASSES, policy_settings(4, &IDEMPOTENCIES));
    let (mut repeats, window) = (Vec::new(), started_ms + 6000);
    for ms in (4300..19_000).step_by(50) {
        let commands = fixture.step(ms, vec![]);
        for started in started_attempts(&commands) {
            repeats.push(ms);
            fixture.step(
                ms + 10,
                vec![attempt_finished(started.0, started.1, Outcome::Reset)],
            );
        }
    }
    assert!(
        repeats.iter().all(|ms| *ms < window),
        "repeats at {repeats:?} ms, but the window closes at {window} ms"
    );
}

#[test]
fn proposed_policy_must_cover_open_messages() {
    let mut fixture = PolicyEngine::start("proposed");
    fixture.submit(10, 1, message("one", 0, 20_000));
    fixture.submit(20, 2, message("two", 1, 20_000));
    let complete = ProposedPolicy {
        classes: class_names(&CLASSES).into_iter().collect(),
        destinations: BTreeSet::from([DESTINATION]),
        max_open: 2,
    };
    let mut check = |proposed: ProposedPolicy| {
        let (result_sender, results) = async_channel::bounded(1);
        fixture.step(30, vec![EngineEvent::CheckPolicy(proposed, result_sender)]);
        results
            .try_recv()
            .expect("the check responds in the same step")
    };
    assert_eq!(check(complete.clone()), Ok(()));
    let without_class = ProposedPolicy {
        classes: class_names(&["free"]).into_iter().collect(),
        ..complete.clone()
    };
    assert!(check(without_class)
        .unwrap_err()
        .to_string()
        .contains("class keyed"));
    let without_destination = ProposedPolicy {
        destinations: BTreeSet::from([DestinationId(8)]),
        ..complete.clone()
    };
    assert!(check(without_destination)
        .unwrap_err()
        .to_string()
        .contains("destination"));
    let with_lower_limit = ProposedPolicy {
        max_open: 1,
        ..complete
    };
    assert!(check(with_lower_limit)
        .unwrap_err()
        .to_string()
        .contains("2 messages are held"));
}

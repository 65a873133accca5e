//! Retries that the idempotency of a message permits, and endpoints that may be called.

mod common;

use common::*;
use marblefall_scheduler::*;

#[test]
fn non_idempotent_message_is_not_repeated_after_possible_execution() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (message, actions) = scheduler.submit(2, 0);
        assert_eq!(sends(&actions).len(), 1);
        let actions = scheduler
            .at(1100.0)
            .handle(attempt_finished(message, 0, outcome));
        assert!(
            actions.contains(&Action::Fail(message)),
            "{outcome:?}: {actions:?}"
        );
        assert!(sends(&scheduler.idle(4000.0)).is_empty());
    }
}

#[test]
fn non_idempotent_message_is_retried_if_not_executed() {
    for outcome in [REJECTED, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (message, _) = scheduler.submit(2, 0);
        let retried = scheduler
            .at(1100.0)
            .handle(attempt_finished(message, 0, outcome));
        let mut sent = sends(&retried);
        sent.extend(sends(&scheduler.idle(6000.0)));
        assert_eq!(sent.len(), 1, "{outcome:?}");
    }
}

#[test]
fn retries_with_a_key_stay_in_zone_and_window() {
    let mut scheduler = TestScheduler::new(settings());
    scheduler.handle(Event::EndpointsReplaced(vec![
        listed_endpoint(0, 0, 0, 0),
        listed_endpoint(1, 0, 0, 1),
        listed_endpoint(2, 0, 0, 0),
    ]));
    let (message, actions) = scheduler.submit(1, 0);
    let zone = |endpoint: EndpointId| endpoint.0 % 2;
    let first = sends(&actions)[0].1;
    let retried = sends(&scheduler.at(2000.0).handle(attempt_finished(
        message,
        0,
        Outcome::TimedOut,
    )));
    assert_eq!(retried.len(), 1);
    assert_eq!(zone(retried[0].1), zone(first));
    // The backoff ends at the end of the deduplication window. If it ended any earlier, there would be another attempt.
    let rejected = scheduler
        .at(2100.0)
        .handle(attempt_finished(message, 1, rejected_for(2900.0)));
    assert!(sends(&rejected).is_empty());
    assert_eq!(given_up(&scheduler.idle(5000.0)), [message]);
    assert!(sends(&scheduler.idle(5100.0)).is_empty());
}

#[test]
fn message_with_zone_key_fails_after_possible_execution() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (message, _) = scheduler.submit(1, 0);
    let actions = scheduler
        .at(5000.0)
        .handle(attempt_finished(message, 0, Outcome::TimedOut));
    assert!(actions.contains(&Action::Fail(message)), "{actions:?}");
}

#[test]
fn message_never_has_two_attempts_in_flight() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.submit(0, 0);
    assert!((2..16).all(|s| sends(&scheduler.idle(f64::from(s) * 1000.0)).is_empty()));
}

#[test]
fn draining_endpoint_receives_nothing_from_the_same_batch_on() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (_, new_message) = scheduler.message(0, 0);
        let change = Event::EndpointsUpdated(vec![EndpointUpdate {
            status,
            ..listed_endpoint(0, 0, 0, 0)
        }]);
        assert!(sends(&scheduler.handle_all(&[new_message, change])).is_empty());
        assert!(sends(&scheduler.idle(3000.0)).is_empty());
        let active = Event::EndpointsUpdated(vec![listed_endpoint(0, 0, 0, 0)]);
        assert_eq!(sends(&scheduler.handle(active)).len(), 1);
    }
}

#[test]
fn endpoint_missing_from_a_complete_list_is_removed() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    scheduler.handle(Event::EndpointsReplaced(vec![listed_endpoint(1, 1, 0, 0)]));
    assert!(sends(&scheduler.submit(0, 0).1).is_empty());
    assert_eq!(sends(&scheduler.submit(0, 1).1).len(), 1);
}

//! Backoffs from `Retry-After` apply to every message of the route that requested them.

mod common;

use common::*;
use marblefall_scheduler::*;

#[test]
fn retry_after_delays_every_message_until_its_exact_end() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    let (message, _) = scheduler.submit(0, 0);
    scheduler
        .at(1050.0)
        .handle(attempt_finished(message, 0, rejected_for(800.0)));
    for at in [1051.0, 1500.0, 1849.999] {
        scheduler.now = Time::from_ms(at);
        assert!(sends(&scheduler.submit(2, 0).1).is_empty());
    }
    assert_eq!(
        sends(&scheduler.submit(0, 1).1).len(),
        1,
        "the backoff does not apply to another destination"
    );
    assert_eq!(
        sends(&scheduler.idle(6000.0)).len(),
        1,
        "one message is sent after the end of the backoff"
    );
}

#[test]
fn retry_after_of_one_batched_message_delays_the_route() {
    let mut settings = settings();
    settings.kinds[0].max_batch = 2;
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    let (first, first_event) = scheduler.message(0, 0);
    let (second, second_event) = scheduler.message(0, 0);
    let sent = sends(&scheduler.handle_all(&[first_event, second_event]));
    assert_eq!(sent.len(), 2);
    scheduler.at(1100.0).handle_all(&[
        attempt_finished(first, 0, rejected_for(3000.0)),
        attempt_finished(second, 0, Outcome::Cancelled),
    ]);
    assert!(sends(&scheduler.idle(4000.0)).is_empty());
    assert!(!sends(&scheduler.idle(4100.0)).is_empty());
}

#[test]
fn retry_after_delays_only_its_separate_route() {
    let mut scheduler = TestScheduler::new(settings());
    scheduler.handle(Event::EndpointsReplaced(vec![
        listed_endpoint(0, 0, 1, 0),
        listed_endpoint(1, 0, 1, 0),
    ]));
    let (message, actions) = scheduler.submit(0, 0);
    let rejecting = sends(&actions)[0].1;
    let retried = scheduler
        .at(1050.0)
        .handle(attempt_finished(message, 0, rejected_for(9000.0)));
    let retried = sends(&retried);
    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0].1, rejecting);
}

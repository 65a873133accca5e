//! Messages with the same ordering key are sent one at a time, with a pause after an attempt that may still be running.

mod common;

use common::*;
use marblefall_scheduler::*;

/// Index of the ordered class in the test settings.
const ORDERED: usize = 3;

/// Returns a message with the ordering key that all of these tests use, and its event.
fn ordered_message(scheduler: &mut TestScheduler, destination: u64) -> (MessageId, Event) {
    let new_message = NewMessage {
        ordering_key: Some(OrderingKey(5)),
        ..scheduler.new_message(ORDERED, destination, 0.0)
    };
    (new_message.message, Event::Accepted(new_message))
}

#[test]
fn next_ordered_message_waits_for_cancelled_attempt_and_pause() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (first, first_event) = ordered_message(&mut scheduler, 0);
    let (second, second_event) = ordered_message(&mut scheduler, 0);
    assert_eq!(
        sends(&scheduler.handle_all(&[first_event, second_event])),
        [(first, EndpointId(0))]
    );
    // The client withdrew the first message, but its attempt is still in flight.
    assert!(sends(&scheduler.at(1100.0).handle(Event::Cancelled(first))).is_empty());
    let cancelled = scheduler
        .at(1200.0)
        .handle(attempt_finished(first, 0, Outcome::Cancelled));
    assert!(sends(&cancelled).is_empty());
    assert!(sends(&scheduler.idle(1899.999)).is_empty());
    assert_eq!(sends(&scheduler.idle(1900.0)), [(second, EndpointId(0))]);
}

#[test]
fn ordered_message_is_retried_without_a_pause() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (first, event) = ordered_message(&mut scheduler, 0);
    scheduler.handle(event);
    let retried = scheduler
        .at(2500.0)
        .handle(attempt_finished(first, 0, Outcome::TimedOut));
    assert_eq!(sends(&retried), [(first, EndpointId(0))]);
}

#[test]
fn final_attempt_starts_an_ordering_pause() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 2);
        let (first, event) = ordered_message(&mut scheduler, 0);
        assert_eq!(sends(&scheduler.handle(event)).len(), 1);
        scheduler.at(1050.0).handle(Event::Cancelled(first));
        scheduler.at(1100.0).handle(Event::AttemptFinished {
            message: first,
            attempt: AttemptNumber(0),
            outcome,
            duration: Span::from_ms(100.0),
            is_final: true,
            rate_limit: RateLimitReport::default(),
        });
        let (second, event) = ordered_message(scheduler.at(1200.0), 1);
        assert!(
            sends(&scheduler.handle(event)).is_empty(),
            "{outcome:?}: sent within the pause"
        );
        assert!(sends(&scheduler.idle(1799.0)).is_empty());
        assert_eq!(
            sends(&scheduler.idle(1800.0)),
            [(second, EndpointId(1))],
            "{outcome:?}"
        );
    }
}

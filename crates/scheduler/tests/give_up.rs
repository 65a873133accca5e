//! Messages that end without a delivery: those past their deadline, without time for a call, or shed under load.

mod common;

use common::*;
use marblefall_scheduler::*;

#[test]
fn undeliverable_message_is_given_up_once_at_its_deadline() {
    let mut scheduler = TestScheduler::new(settings());
    let (message, actions) = scheduler.submit(0, 9);
    assert!(given_up(&actions).is_empty());
    assert!(given_up(&scheduler.idle(16999.0)).is_empty());
    assert_eq!(given_up(&scheduler.idle(17000.0)), [message]);
    assert!(scheduler.idle(17005.0).is_empty());
    let list = Event::EndpointsReplaced(vec![listed_endpoint(0, 9, 0, 0)]);
    assert!(sends(&scheduler.at(17010.0).handle(list)).is_empty());
}

#[test]
fn timer_is_set_for_a_deadline() {
    let mut scheduler = TestScheduler::new(settings());
    let (_, actions) = scheduler.submit(0, 9);
    let is_set = actions.iter().any(
        |action| matches!(action, Action::SetTimer { at, .. } if *at == Time::from_ms(17000.0)),
    );
    assert!(is_set, "{actions:?}");
}

#[test]
fn message_timed_out_at_its_deadline_fails_at_once() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (message, _) = scheduler.submit(0, 0);
    let actions = scheduler
        .at(17000.0)
        .handle(attempt_finished(message, 0, Outcome::TimedOut));
    assert_eq!(actions.first(), Some(&Action::Fail(message)));
}

#[test]
fn message_without_time_for_a_call_is_rejected_at_once() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (late, event) = scheduler.submitted_earlier(0, 0, 15950.0);
    let actions = scheduler.handle(event);
    assert!(sends(&actions).is_empty());
    let is_rejected = actions.iter().any(|action| {
        matches!(action, Action::Reject { message, retry_after }
            if *message == late && retry_after.0 > 0)
    });
    assert!(is_rejected, "{actions:?}");
    let (_, in_time) = scheduler.submitted_earlier(0, 0, 15800.0);
    assert_eq!(sends(&scheduler.handle(in_time)).len(), 1);
}

#[test]
fn message_whose_route_opens_too_late_is_rejected_at_once() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (first, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_finished(first, 0, rejected_for(30_000.0)));
    let (late, actions) = scheduler.submit(0, 0);
    let is_rejected = actions
        .iter()
        .any(|action| matches!(action, Action::Reject { message, .. } if *message == late));
    assert!(is_rejected, "{actions:?}");
}

#[test]
fn full_instance_rejects_the_least_valuable_message() {
    let mut settings = one_call_at_a_time();
    settings.limits.max_open_messages = 10;
    let mut scheduler = TestScheduler::new(settings);
    let (old, event) = scheduler.submitted_earlier(0, 0, 9000.0);
    scheduler.handle(event);
    let events: Vec<Event> = (0..9).map(|_| scheduler.message(2, 0).1).collect();
    assert_eq!(given_up(&scheduler.handle_all(&events)), [old]);
}

#[test]
fn full_instance_sends_message_that_need_not_wait() {
    let mut settings = settings();
    settings.limits.max_open_messages = 10;
    let mut scheduler = TestScheduler::with_destinations(settings, 2);
    scheduler.warm_up(0);
    scheduler.warm_up(1);
    // Messages with a high weight for a destination in backoff use up the limit on open messages.
    let (first, _) = scheduler.submit(2, 0);
    scheduler.handle(attempt_finished(first, 0, rejected_for(1500.0)));
    let pending: Vec<_> = (0..8).map(|_| scheduler.message(2, 0).1).collect();
    assert!(sends(&scheduler.handle_all(&pending)).is_empty());
    let (light, actions) = scheduler.submit(0, 1);
    assert_eq!(
        sends(&actions),
        [(light, EndpointId(1))],
        "a message that can be sent at once is not shed"
    );
    assert!(!given_up(&actions).contains(&light));
}

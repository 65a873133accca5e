//! Time-outs of attempts.

mod common;

use common::*;
use marblefall_scheduler::*;

/// A random loss must not raise the mean latency, which would raise every time-out.
#[test]
fn lost_call_does_not_raise_later_timeouts() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (lost, actions) = scheduler.submit(0, 0);
    let before = timeout_ms(scheduler.now, &actions);
    scheduler
        .after(before)
        .handle(attempt_finished(lost, 0, Outcome::TimedOut));
    scheduler
        .after(100.0)
        .handle(attempt_finished(lost, 1, Outcome::Delivered));
    let (_, actions) = scheduler.submit(0, 0);
    assert_eq!(timeout_ms(scheduler.now, &actions), before);
}

/// Loses one call to destination 0 while a later call to it is answered, as on a connection that stopped responding.
fn lose_one_call(scheduler: &mut TestScheduler) {
    let (lost, actions) = scheduler.submit(0, 0);
    let timeout_ms = timeout_ms(scheduler.now, &actions);
    let (later, _) = scheduler.after(10.0).submit(0, 0);
    scheduler
        .after(100.0)
        .handle(attempt_finished(later, 0, Outcome::Delivered));
    scheduler
        .after(timeout_ms)
        .handle(attempt_finished(lost, 0, Outcome::TimedOut));
    scheduler
        .after(100.0)
        .handle(attempt_finished(lost, 1, Outcome::Delivered));
}

/// Delivers a message and returns the time-out of its attempt, in ms.
fn delivered_with_timeout(scheduler: &mut TestScheduler, destination: u64) -> f64 {
    let (message, actions) = scheduler.submit(0, destination);
    let timeout_ms = timeout_ms(scheduler.now, &actions);
    scheduler
        .after(100.0)
        .handle(attempt_finished(message, 0, Outcome::Delivered));
    timeout_ms
}

#[test]
fn timeouts_are_shortened_while_single_calls_are_lost() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    scheduler.warm_up(0);
    let before = delivered_with_timeout(&mut scheduler, 0);
    lose_one_call(&mut scheduler);
    assert_eq!(
        delivered_with_timeout(&mut scheduler, 0),
        before,
        "one lost call counts as random"
    );
    (0..3).for_each(|_| lose_one_call(&mut scheduler));
    assert!(delivered_with_timeout(&mut scheduler, 0) < 0.5 * before);
    assert!(
        delivered_with_timeout(&mut scheduler, 1) < 0.5 * before,
        "the loss rate applies to all destinations"
    );
    for _ in 0..200 {
        delivered_with_timeout(&mut scheduler, 0);
    }
    assert_eq!(delivered_with_timeout(&mut scheduler, 0), before);
}

/// No later call of a hanging route is answered, so its timed-out calls do not count as lost.
#[test]
fn hanging_route_does_not_shorten_timeouts_of_others() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    (0..2).for_each(|destination| scheduler.warm_up(destination));
    let (hanging, actions) = scheduler.submit(0, 0);
    let before = timeout_ms(scheduler.now, &actions);
    let mut now = scheduler.now.ms();
    for attempt in 0..4 {
        now += 8.0 * before;
        scheduler
            .at(now)
            .handle(attempt_finished(hanging, attempt, Outcome::TimedOut));
        scheduler.idle(now + 20.0 * before);
    }
    let (_, actions) = scheduler.submit(0, 1);
    assert_eq!(timeout_ms(scheduler.now, &actions), before);
}

/// If the time-out did not grow for a route that has become slow, every call to it would be wasted.
#[test]
fn timeouts_grow_while_the_route_does_not_answer() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (first, actions) = scheduler.submit(0, 0);
    let before = timeout_ms(scheduler.now, &actions);
    let retried = scheduler
        .after(before)
        .handle(attempt_finished(first, 0, Outcome::TimedOut));
    assert!(timeout_ms(scheduler.now, &retried) > before);
}

/// An attempt that ends at its message's deadline, before the route's time-out, is no evidence against the route.
#[test]
fn attempt_cut_by_deadline_does_not_count_against_route() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    for _ in 0..4 {
        let (message, event) = scheduler.submitted_earlier(0, 0, 15600.0);
        assert_eq!(
            sends(&scheduler.handle(event)).len(),
            1,
            "the route is not ejected"
        );
        scheduler
            .after(400.0)
            .handle(attempt_finished(message, 0, Outcome::TimedOut));
    }
}

//! Time-outs of attempts.

mod common;

use common::*;
use marblefall_scheduler::*;

/// Random losses must not raise the mean latency and with it every time-out.
#[test]
fn lost_call_does_not_raise_timeouts_once_answered() {
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

/// Loses one call on destination 0 while a later one there is answered, as on a connection that fell silent.
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

/// Delivers a message and returns the time-out that its attempt had, in ms.
fn delivered_with_timeout(scheduler: &mut TestScheduler, destination: u64) -> f64 {
    let (message, actions) = scheduler.submit(0, destination);
    let timeout_ms = timeout_ms(scheduler.now, &actions);
    scheduler
        .after(100.0)
        .handle(attempt_finished(message, 0, Outcome::Delivered));
    timeout_ms
}

#[test]
fn timeouts_are_cut_while_single_calls_are_lost() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    scheduler.warm_up(0);
    let before = delivered_with_timeout(&mut scheduler, 0);
    lose_one_call(&mut scheduler);
    assert_eq!(
        delivered_with_timeout(&mut scheduler, 0),
        before,
        "one lost call is chance"
    );
    (0..3).for_each(|_| lose_one_call(&mut scheduler));
    assert!(delivered_with_timeout(&mut scheduler, 0) < 0.5 * before);
    assert!(
        delivered_with_timeout(&mut scheduler, 1) < 0.5 * before,
        "the loss rate holds for all destinations"
    );
    for _ in 0..200 {
        delivered_with_timeout(&mut scheduler, 0);
    }
    assert_eq!(delivered_with_timeout(&mut scheduler, 0), before);
}

/// No later call overtakes the calls of a hanging route, so they are not lost ones.
#[test]
fn hanging_route_does_not_cut_others_timeouts() {
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

/// A slow route gets the time that it needs; otherwise every call to it would be wasted.
#[test]
fn timeouts_grow_while_nothing_answers() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (first, actions) = scheduler.submit(0, 0);
    let before = timeout_ms(scheduler.now, &actions);
    let retried = scheduler
        .after(before)
        .handle(attempt_finished(first, 0, Outcome::TimedOut));
    assert!(timeout_ms(scheduler.now, &retried) > before);
}

/// An attempt that ends at its message's deadline says nothing about the route.
#[test]
fn attempt_cut_by_deadline_does_not_count_against_route() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    for _ in 0..4 {
        let (message, event) = scheduler.submitted_earlier(0, 0, 15600.0);
        assert_eq!(
            sends(&scheduler.handle(event)).len(),
            1,
            "the route is open"
        );
        scheduler
            .after(400.0)
            .handle(attempt_finished(message, 0, Outcome::TimedOut));
    }
}

//! Idle and stale connections.

mod common;

use common::*;
use marblefall_scheduler::*;

/// Returns the settings of one of `instances` instances.
fn many_instances(instances: usize) -> Settings {
    Settings {
        instances,
        ..settings()
    }
}

fn closes(actions: &[Action], endpoint: u32) -> bool {
    actions.contains(&Action::CloseIdleConnections(EndpointId(endpoint)))
}

#[test]
fn stale_connections_do_not_eject_a_route() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (message, _) = scheduler.submit(0, 0);
    for attempt in 0..5 {
        let actions = scheduler.after(20.0).handle(attempt_finished(
            message,
            attempt,
            Outcome::StaleConnection,
        ));
        assert_eq!(
            sends(&actions).len(),
            1,
            "attempt {attempt} was not retried at once"
        );
    }
}

/// If endpoints drop idle connections without closing them, the first call after each pause is lost.
#[test]
fn idle_connections_that_lose_calls_are_closed() {
    let mut scheduler = TestScheduler::with_destinations(many_instances(50), 2);
    scheduler.warm_up(0);
    for _ in 0..4 {
        scheduler.after(3000.0);
        let (lost, actions) = scheduler.submit(0, 0);
        assert_eq!(sends(&actions).len(), 1);
        let retried = scheduler
            .after(1300.0)
            .handle(attempt_finished(lost, 0, Outcome::TimedOut));
        assert_eq!(sends(&retried).len(), 1);
        scheduler
            .after(100.0)
            .handle(attempt_finished(lost, 1, Outcome::Delivered));
    }
    // Destination 1 is of the same kind as destination 0.
    scheduler.warm_up(1);
    let (last, _) = scheduler.submit(0, 1);
    let delivered = scheduler
        .after(100.0)
        .handle(attempt_finished(last, 0, Outcome::Delivered));
    assert!(closes(&delivered, 1), "{delivered:?}");
}

#[test]
fn rising_pressure_closes_all_idle_connections_of_the_kind() {
    let mut scheduler = TestScheduler::with_destinations(many_instances(200), 3);
    (0..3).for_each(|destination| scheduler.warm_up(destination));
    let (message, _) = scheduler.submit(0, 0);
    let retried =
        scheduler
            .after(50.0)
            .handle(attempt_finished(message, 0, Outcome::ConnectFailed));
    assert_eq!(sends(&retried).len(), 1);
    let delivered = scheduler
        .after(50.0)
        .handle(attempt_finished(message, 1, Outcome::Delivered));
    for endpoint in 0..3 {
        assert!(
            closes(&delivered, endpoint),
            "endpoint {endpoint}: {delivered:?}"
        );
    }
}

#[test]
fn connections_are_closed_after_each_call_under_pressure() {
    let mut settings = many_instances(200);
    (settings.limits.max_in_flight, settings.rate_hints) = (3, RateHints::Approximate);
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    scheduler.warm_up(0);
    let (message, _) = scheduler.submit(0, 0);
    let delivered = scheduler.handle(attempt_finished(message, 0, Outcome::Delivered));
    assert!(!closes(&delivered, 0), "closed without pressure");
    let (message, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_finished(message, 0, Outcome::ConnectFailed));
    scheduler
        .after(50.0)
        .handle(attempt_finished(message, 1, Outcome::Delivered));
    let (message, _) = scheduler.submit(0, 0);
    let delivered = scheduler.handle(attempt_finished(message, 0, Outcome::Delivered));
    assert!(closes(&delivered, 0));
}

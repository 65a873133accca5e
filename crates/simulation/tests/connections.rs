//! Connections are reused, limited and closed according to the connection policy of the destination.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shipped_scenario;
use marblefall_scheduler::{Outcome, Span, Time};
use marblefall_simulation::connections::{Acquired, ConnectionPool, Release};
use marblefall_simulation::destination::ConnectionPolicy;
use marblefall_simulation::observation::Observation;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{play, production_node};

#[test]
fn connections_are_reused_limited_and_closed() {
    let at = Time::from_ms;
    let policy = ConnectionPolicy {
        max_open: Some(2),
        idle_close: Some(Span::from_ms(3000.0)),
        connect: Span::ZERO,
    };
    let mut pool = ConnectionPool::new(Span::from_ms(10_000.0));
    assert_eq!(
        [0, 0, 1].map(|instance| pool.acquire(at(0.0), instance, 7, &policy)),
        [Acquired::New, Acquired::New, Acquired::LimitReached]
    );
    assert_eq!(
        pool.acquire(at(0.0), 1, 8, &policy),
        Acquired::New,
        "each endpoint has its own limit"
    );
    pool.release(at(100.0), 0, 7, Release::Reusable);
    assert_eq!(
        pool.acquire(at(200.0), 1, 7, &policy),
        Acquired::LimitReached,
        "an idle connection counts against the limit"
    );
    assert_eq!(pool.acquire(at(3000.0), 0, 7, &policy), Acquired::Reused);
    pool.release(at(3050.0), 0, 7, Release::Reusable);
    // The endpoint has closed the idle connection. It no longer counts against the limit, and its instance detects the
    // closure only when it uses the connection.
    assert_eq!(pool.acquire(at(6050.0), 1, 7, &policy), Acquired::New);
    assert_eq!(pool.acquire(at(6100.0), 0, 7, &policy), Acquired::Stale);
    pool.release(at(6200.0), 1, 7, Release::Closed);
    assert_eq!(
        pool.acquire(at(6300.0), 1, 7, &policy),
        Acquired::New,
        "a closed connection is not reused"
    );
    pool.release(at(6400.0), 1, 7, Release::Reusable);
    pool.close_idle(1, 7);
    pool.release(at(6400.0), 0, 7, Release::Reusable);
    pool.remove_instance(0);
    assert_eq!(
        [0, 1].map(|instance| pool.acquire(at(6500.0), instance, 7, &policy)),
        [Acquired::New, Acquired::New]
    );
    // The instance retires an idle connection even if the endpoint leaves it open.
    let unlimited = ConnectionPolicy {
        max_open: None,
        idle_close: None,
        ..policy
    };
    pool.release(at(7000.0), 0, 7, Release::Reusable);
    assert_eq!(
        pool.acquire(at(15_400.0), 0, 7, &unlimited),
        Acquired::Reused
    );
    pool.release(at(15_500.0), 0, 7, Release::Reusable);
    assert_eq!(pool.acquire(at(24_100.0), 0, 7, &unlimited), Acquired::New);
}

#[test]
fn connection_failures_occur_only_under_their_policy() {
    let count = |name: &str, expected: Outcome| {
        let scenario = Scenario::read(&shipped_scenario(name), &[], 2).unwrap();
        let mut count = 0;
        play(&scenario, 2, &production_node, &mut |_, observation| {
            if let Observation::AttemptEnded { outcome, .. } = observation {
                count += usize::from(*outcome == expected);
            }
        });
        count
    };
    assert!(count("silent-close", Outcome::StaleConnection) > 20);
    assert!(count("few-connections", Outcome::ConnectFailed) > 20);
    assert_eq!(count("base", Outcome::StaleConnection), 0);
}

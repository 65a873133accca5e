//! Rate limiter of a route that rejects calls.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

/// Runs a destination that accepts `limit` calls per second for 20 s at 10 messages per second. Returns for each attempt
/// whether it was rejected.
fn rejections_under_limit(limit: f64) -> Vec<bool> {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (mut tokens, mut rejections) = (1.0f64, Vec::new());
    let mut in_flight: Vec<Event> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    for step in 0..1000u64 {
        scheduler.now = Time::from_ms(1000.0 + step as f64 * 20.0);
        tokens = (tokens + limit * 0.02).min(1.0);
        let mut events = std::mem::take(&mut in_flight);
        if step % 5 == 0 {
            events.push(scheduler.message(0, 0).1);
        }
        for (message, _) in sends(&scheduler.handle_all(&events)) {
            let attempt = attempts.entry(message).or_default();
            let is_rejected = tokens < 1.0;
            rejections.push(is_rejected);
            let outcome = if is_rejected {
                REJECTED
            } else {
                tokens -= 1.0;
                Outcome::Delivered
            };
            in_flight.push(attempt_finished(message, *attempt, outcome));
            *attempt += 1;
        }
    }
    rejections
}

#[test]
fn rate_limiter_lowers_rejections_and_uses_the_limit() {
    let rejections = rejections_under_limit(4.0);
    let later = &rejections[rejections.len() / 2..];
    let rejected = later.iter().filter(|rejected| **rejected).count();
    let share = rejected as f64 / later.len() as f64;
    assert!(share < 0.35, "{share} of the later attempts rejected");
    let accepted = rejections.iter().filter(|rejected| !**rejected).count();
    assert!(accepted > 40, "{accepted} of at most 80 calls accepted");
}

#[test]
fn route_without_rejections_is_not_limited() {
    let rejections = rejections_under_limit(1000.0);
    assert_eq!(rejections.len(), 200);
    assert!(rejections.iter().all(|rejected| !rejected));
}

/// A single rejection, for example from a draining endpoint, may start the limiter at a rate far below the traffic.
#[test]
fn too_low_rate_limit_grows_without_rejections() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (rejected, _) = scheduler.submit(0, 0);
    scheduler
        .after(50.0)
        .handle(attempt_finished(rejected, 0, REJECTED));
    let (start, mut last_sends) = (scheduler.now.ms(), 0);
    let mut in_flight: Vec<Event> = Vec::new();
    for step in 1..=180 {
        scheduler.at(start + f64::from(step) * 50.0);
        // Four messages are submitted per second. Each is delivered by the next step.
        let mut events = std::mem::take(&mut in_flight);
        events.extend((step % 5 == 0).then(|| scheduler.message(0, 0).1));
        for (message, _) in sends(&scheduler.handle_all(&events)) {
            last_sends += usize::from(step > 140);
            let attempt = u32::from(message == rejected);
            in_flight.push(attempt_finished(message, attempt, Outcome::Delivered));
        }
    }
    assert!(
        last_sends >= 8,
        "{last_sends} sent in the last 2 s, in which 8 were submitted"
    );
}

#[test]
fn reported_limit_raises_a_lower_learned_rate() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (rejected, _) = scheduler.submit(0, 0);
    scheduler
        .after(50.0)
        .handle(attempt_finished(rejected, 0, REJECTED));
    assert_eq!(sends(&scheduler.idle(scheduler.now.ms() + 2000.0)).len(), 1);
    let report = RateLimitReport {
        remaining: Some(0.9),
        limit: Some(60.0),
    };
    scheduler
        .after(100.0)
        .handle(attempt_reported(rejected, 1, Outcome::Delivered, report));
    let (start, mut sent) = (scheduler.now.ms(), 0);
    let mut in_flight: Vec<Event> = Vec::new();
    for step in 1..=20 {
        scheduler.at(start + f64::from(step) * 100.0);
        let mut events = std::mem::take(&mut in_flight);
        events.push(scheduler.message(0, 0).1);
        for (message, _) in sends(&scheduler.handle_all(&events)) {
            sent += 1;
            in_flight.push(attempt_finished(message, 0, Outcome::Delivered));
        }
    }
    assert!(
        sent >= 18,
        "{sent} of 20 sent in 2 s, although that is half of an even share of the limit"
    );
}

/// The minimum rate is divided among the instances, as the sum of their minimum rates must not use up a low limit.
#[test]
fn instances_share_the_minimum_rate_limit() {
    let sent_by_one_of = |instances: usize| {
        let settings = Settings {
            instances,
            ..settings()
        };
        let mut scheduler = TestScheduler::with_destinations(settings, 1);
        scheduler.warm_up(0);
        let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
        let mut sent = 0;
        for step in 0..600u64 {
            scheduler.now = scheduler.now + Span::from_ms(50.0);
            let mut events = Vec::new();
            if step % 4 == 0 {
                events.push(scheduler.message(0, 0).1);
            }
            let outcome = if step % 5 == 0 {
                Outcome::Delivered
            } else {
                REJECTED
            };
            for (message, _) in sends(&scheduler.handle_all(&events)) {
                let attempt = attempts.entry(message).or_default();
                sent += usize::from(step > 300);
                scheduler.handle(attempt_finished(message, *attempt, outcome));
                *attempt += 1;
            }
        }
        sent
    };
    let (few, many) = (sent_by_one_of(2), sent_by_one_of(12));
    assert!(
        many < few,
        "{many} sends by one of many instances, {few} by one of few"
    );
}

//! Order in which pending messages are sent.

mod common;

use common::*;
use marblefall_scheduler::*;

#[test]
fn higher_priority_weight_is_sent_first() {
    let mut scheduler = TestScheduler::with_destinations(one_call_at_a_time(), 1);
    let (_, light) = scheduler.message(0, 0);
    let (heavy, event) = scheduler.message(2, 0);
    assert_eq!(sends(&scheduler.handle_all(&[light, event]))[0].0, heavy);
}

#[test]
fn new_message_precedes_an_older_one() {
    let mut scheduler = TestScheduler::with_destinations(one_call_at_a_time(), 1);
    let (_, old) = scheduler.submitted_earlier(0, 0, 9000.0);
    let (new, event) = scheduler.message(0, 0);
    assert_eq!(sends(&scheduler.handle_all(&[old, event]))[0].0, new);
}

#[test]
fn faster_destination_is_served_first() {
    let mut scheduler = TestScheduler::with_destinations(one_call_at_a_time(), 2);
    for (destination, latency_ms) in [(0, 800.0), (1, 50.0)] {
        let (message, _) = scheduler.submit(0, destination);
        scheduler.handle(Event::AttemptFinished {
            message,
            attempt: AttemptNumber(0),
            outcome: Outcome::Delivered,
            duration: Span::from_ms(latency_ms),
            is_final: true,
            rate_limit: RateLimitReport::default(),
        });
    }
    let (_, slow) = scheduler.message(0, 0);
    let (fast, event) = scheduler.message(0, 1);
    assert_eq!(sends(&scheduler.handle_all(&[slow, event]))[0].0, fast);
}

/// Under linear decay to a high late value, an old message with a high priority weight precedes a new one with a low
/// weight. Under halving it does not.
#[test]
fn weight_decay_follows_the_settings() {
    for (value_decay, old_is_first) in [(ValueDecay::Halving, false), (ValueDecay::Linear, true)] {
        let mut settings = one_call_at_a_time();
        settings.value_decay = value_decay;
        let mut scheduler = TestScheduler::with_destinations(settings, 1);
        scheduler.warm_up(0);
        let (in_flight, _) = scheduler.submit(0, 0);
        let (old, old_event) = scheduler.submitted_earlier(2, 0, 6000.0);
        let (new, new_event) = scheduler.message(0, 0);
        scheduler.handle_all(&[old_event, new_event]);
        let next = sends(&scheduler.after(100.0).handle(attempt_finished(
            in_flight,
            0,
            Outcome::Delivered,
        )));
        let expected = if old_is_first { old } else { new };
        assert_eq!(next[0].0, expected, "{value_decay:?}");
    }
}

#[test]
fn messages_over_quota_are_sent_after_those_within() {
    let mut settings = one_call_at_a_time();
    settings.tenants = vec![Tenant { quota_per_s: 3.0 }, Tenant { quota_per_s: 3.0 }];
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    let message_of = |scheduler: &mut TestScheduler, tenant: usize| NewMessage {
        tenant: Some(TenantId(tenant)),
        ..scheduler.new_message(0, 0, 0.0)
    };
    let first = message_of(&mut scheduler, 0);
    scheduler.handle(Event::Accepted(first.clone()));
    for _ in 0..30 {
        scheduler.now = scheduler.now + Span::from_ms(20.0);
        let over_quota = message_of(&mut scheduler, 0);
        scheduler.handle(Event::Accepted(over_quota));
    }
    let within_quota = message_of(&mut scheduler, 1);
    scheduler.now = scheduler.now + Span::from_ms(100.0);
    let over_quota = message_of(&mut scheduler, 0);
    scheduler.handle_all(&[
        Event::Accepted(within_quota.clone()),
        Event::Accepted(over_quota),
    ]);
    let next = scheduler.handle(attempt_finished(first.message, 0, Outcome::Delivered));
    assert_eq!(sends(&next)[0].0, within_quota.message);
}

#[test]
fn batched_messages_share_one_call() {
    let mut settings = one_call_at_a_time();
    settings.kinds[0].max_batch = 3;
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    let events = scheduler.messages(5, 0);
    assert_eq!(sends(&scheduler.handle_all(&events)).len(), 3);
}

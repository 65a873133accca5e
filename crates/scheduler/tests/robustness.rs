//! Unusual but legal input, contradictory settings, and independence of schedulers.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeSet;

/// Advertised rates without a sensible meaning.
const INVALID_RATES: [f64; 5] = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300];

#[test]
fn same_events_cause_same_actions_beside_other_schedulers() {
    let actions_of_one = |with_other: bool| {
        let mut scheduler = TestScheduler::with_destinations(settings(), 3);
        let mut other = TestScheduler::with_destinations(settings(), 3);
        let steps = (0..60u64).map(|step| {
            scheduler.now = scheduler.now + Span::from_ms(37.0);
            if with_other {
                other.submit((step % 3) as usize, 1);
            }
            scheduler.submit((step % 3) as usize, step % 3).1
        });
        steps.collect::<Vec<_>>()
    };
    assert_eq!(actions_of_one(false), actions_of_one(true));
}

#[test]
fn unknown_and_late_events_neither_send_nor_end_messages() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (message, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_finished(message, 0, Outcome::Delivered));
    let unknown = MessageId(999);
    let events = [
        attempt_finished(message, 0, Outcome::TimedOut),
        attempt_finished(unknown, 3, REJECTED),
        Event::Cancelled(unknown),
        Event::Cancelled(message),
        Event::TimerFired(12345),
        Event::EndpointListFailed,
        Event::HealthChecked {
            endpoint: EndpointId(77),
            outcome: Outcome::Delivered,
            rate_limit: RateLimitReport::default(),
        },
        Event::EndpointsUpdated(vec![EndpointUpdate {
            kind: KindId(50),
            zone: ZoneId(50),
            ..listed_endpoint(5, 5, 0, 0)
        }]),
    ];
    let actions = scheduler.handle_all(&events);
    assert!(
        sends(&actions).is_empty() && given_up(&actions).is_empty(),
        "{actions:?}"
    );
}

#[test]
fn message_fails_at_once_under_empty_settings() {
    let mut scheduler = TestScheduler::with_destinations(Settings::default(), 1);
    let (message, event) = scheduler.message(3, 0);
    assert_eq!(
        given_up(&scheduler.handle(event)),
        [message],
        "a message of an undefined class fails at once"
    );
}

/// Covers a message past its deadline on arrival, a message of an ordered class without an ordering key, invalid rates,
/// and a list that arrives twice.
#[test]
fn invalid_rates_and_late_messages_are_handled_safely() {
    for advertised_rate in INVALID_RATES {
        let mut settings = settings();
        (settings.rate_hints, settings.instances) = (RateHints::Exact, 300);
        let mut scheduler = TestScheduler::new(settings);
        let list = Event::EndpointsReplaced(vec![EndpointUpdate {
            advertised_rate,
            ..listed_endpoint(0, 0, 0, 0)
        }]);
        scheduler.handle_all(&[list.clone(), list]);
        let (late, event) = scheduler.submitted_earlier(0, 0, 17000.0);
        assert_eq!(scheduler.handle(event).first(), Some(&Action::Fail(late)));
        let (without_key, actions) = scheduler.submit(3, 0);
        assert_eq!(sends(&actions).len(), 1, "sent without an ordering key");
        scheduler
            .at(1100.0)
            .handle(attempt_finished(without_key, 0, rejected_for(9000.0)));
        assert!(sends(&scheduler.idle(10099.0)).is_empty());
        scheduler.idle(900_000.0);
    }
}

/// Reports the end of an attempt twice, with an invalid duration and rate limit.
fn end_twice(scheduler: &mut TestScheduler, message: MessageId, outcome: Outcome) -> Vec<Action> {
    let event = Event::AttemptFinished {
        message,
        attempt: AttemptNumber(0),
        outcome,
        duration: Span::from_ms(-5.0),
        is_final: false,
        rate_limit: RateLimitReport {
            remaining: Some(f64::NAN),
            limit: Some(-1.0),
        },
    };
    let mut actions = scheduler.handle(event.clone());
    actions.extend(scheduler.handle(event));
    actions
}

#[test]
fn every_message_ends_under_contradictory_settings() {
    let mut settings = settings();
    (
        settings.instances,
        settings.kinds,
        settings.zone_fees,
        settings.rate_hints,
    ) = (0, vec![], vec![], RateHints::Approximate);
    settings.rules = Rules::default();
    let mut scheduler = TestScheduler::new(settings);
    let rates = [INVALID_RATES.as_slice(), &[1.0]].concat();
    let invalid_endpoint = |id: u32| EndpointUpdate {
        advertised_rate: rates[id as usize % rates.len()],
        ..listed_endpoint(id, u64::from(id / 3), 9, 9)
    };
    let endpoints = (0..3000).map(invalid_endpoint).collect();
    scheduler.handle(Event::EndpointsReplaced(endpoints));
    let outcomes = [
        rejected_for(0.0),
        REJECTED,
        Outcome::TimedOut,
        Outcome::NotSent,
    ];
    let mut open_messages = BTreeSet::new();
    for step in 0..400u64 {
        scheduler.at(1000.0 + step as f64 * 100.0);
        // The last of these destinations is not listed.
        let (message, mut actions) = scheduler.submit(step as usize % 3, step % 1001);
        open_messages.insert(message);
        for (sent, _) in sends(&actions) {
            let outcome = outcomes[step as usize % outcomes.len()];
            actions.extend(end_twice(&mut scheduler, sent, outcome));
        }
        actions.extend(scheduler.handle(Event::Cancelled(MessageId(1 << 40))));
        actions.extend(scheduler.handle(Event::HealthChecked {
            endpoint: EndpointId(99_999),
            outcome: Outcome::Error,
            rate_limit: RateLimitReport::default(),
        }));
        for id in given_up(&actions) {
            assert!(open_messages.remove(&id), "{id:?} has two final outcomes");
        }
    }
    for id in given_up(&scheduler.idle(100_000.0)) {
        assert!(open_messages.remove(&id), "{id:?} has two final outcomes");
    }
    assert!(
        open_messages.len() <= 4,
        "{} messages have neither a final outcome nor an attempt in flight",
        open_messages.len()
    );
}

#[test]
fn removed_endpoint_loses_its_state() {
    let mut scheduler = TestScheduler::new(settings());
    let separate = vec![listed_endpoint(0, 0, 1, 0)];
    scheduler.handle(Event::EndpointsReplaced(separate.clone()));
    scheduler.warm_up(0);
    let messages = scheduler.messages(6, 0);
    assert_eq!(
        sends(&scheduler.handle_all(&messages)).len(),
        3,
        "the limit of a route that has answered"
    );
    scheduler.handle(Event::EndpointsReplaced(vec![]));
    for message in 2..=4 {
        scheduler.handle(attempt_finished(MessageId(message), 0, Outcome::Delivered));
    }
    let listed_again = scheduler.handle(Event::EndpointsReplaced(separate));
    assert_eq!(
        sends(&listed_again).len(),
        2,
        "the limit of a route that has not answered yet"
    );
}

#[test]
fn resubmission_with_another_deadline_ends_once() {
    let settings = Settings {
        instances: 1,
        ..settings()
    };
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    // The destination is not listed, so nothing is sent to it.
    let first = scheduler.new_message(0, 5, 0.0);
    let again = NewMessage {
        deadline: first.deadline - Span::from_ms(9000.0),
        ..first.clone()
    };
    scheduler.handle_all(&[Event::Accepted(first.clone()), Event::Accepted(again)]);
    let mut ended = Vec::new();
    for ms in (2000..20_000).step_by(500) {
        ended.extend(given_up(&scheduler.idle(f64::from(ms))));
    }
    assert_eq!(ended, [first.message]);
}

/// Regression test: after a failed request for a pushed list, a retry time was never cleared, and the scheduler set a
/// timer for it in every batch.
#[test]
fn failed_list_request_sets_no_timer_where_lists_are_pushed() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    assert_eq!(scheduler.handle(Event::EndpointListFailed), []);
}

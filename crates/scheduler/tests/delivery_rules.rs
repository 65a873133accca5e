//! Each of the six rules at its edges.

mod common;

use common::*;
use marblefall_scheduler::*;

#[test]
fn undeliverable_message_is_answered_once_before_its_deadline() {
    let mut scheduler = TestScheduler::new(settings());
    let (message, actions) = scheduler.submit(0, 9);
    assert!(ends(&actions).is_empty());
    assert!(ends(&scheduler.idle(16999.0)).is_empty());
    assert_eq!(ends(&scheduler.idle(17000.0)), [message]);
    assert!(scheduler.idle(17005.0).is_empty());
    let list = Event::EndpointsReplaced(vec![listed_endpoint(0, 9, 0, 0)]);
    assert!(sends(&scheduler.at(17010.0).handle(list)).is_empty());
}

#[test]
fn timer_fires_for_a_deadline() {
    let mut scheduler = TestScheduler::new(settings());
    let (_, actions) = scheduler.submit(0, 9);
    let wake = actions
        .iter()
        .any(|a| matches!(a, Action::SetTimer { at, .. } if *at == Time::from_ms(17000.0)));
    assert!(wake, "{actions:?}");
}

#[test]
fn timeout_at_the_deadline_is_answered_at_once() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (message, _) = scheduler.submit(0, 0);
    let actions = scheduler
        .at(17000.0)
        .handle(attempt_finished(message, 0, Outcome::TimedOut));
    assert_eq!(actions.first(), Some(&Action::Fail(message)));
}

#[test]
fn non_idempotent_message_is_not_repeated_after_possible_execution() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (message, actions) = scheduler.submit(2, 0);
        assert_eq!(sends(&actions).len(), 1);
        let actions = scheduler
            .at(1100.0)
            .handle(attempt_finished(message, 0, outcome));
        assert!(
            actions.contains(&Action::Fail(message)),
            "{outcome:?}: {actions:?}"
        );
        assert!(sends(&scheduler.idle(4000.0)).is_empty());
    }
}

#[test]
fn non_idempotent_message_is_retried_if_not_executed() {
    for outcome in [
        Outcome::Rejected { retry_after: None },
        Outcome::ConnectFailed,
        Outcome::NotSent,
    ] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (message, _) = scheduler.submit(2, 0);
        let mut sent = sends(
            &scheduler
                .at(1100.0)
                .handle(attempt_finished(message, 0, outcome)),
        );
        sent.extend(sends(&scheduler.idle(6000.0)));
        assert_eq!(sent.len(), 1, "{outcome:?}");
    }
}

#[test]
fn keyed_repeats_stay_in_their_zone_and_window() {
    let mut scheduler = TestScheduler::new(settings());
    scheduler.handle(Event::EndpointsReplaced(vec![
        listed_endpoint(0, 0, 0, 0),
        listed_endpoint(1, 0, 0, 1),
        listed_endpoint(2, 0, 0, 0),
    ]));
    let (message, actions) = scheduler.submit(1, 0);
    let zone = |endpoint: EndpointId| endpoint.0 % 2;
    let first = sends(&actions)[0].1;
    let again = sends(&scheduler.at(2000.0).handle(attempt_finished(
        message,
        0,
        Outcome::TimedOut,
    )));
    assert_eq!(again.len(), 1);
    assert_eq!(zone(again[0].1), zone(first));
    // Turned away when the window ends: one instant earlier it would still go out.
    let wait = Outcome::Rejected {
        retry_after: Some(Span::from_ms(2900.0)),
    };
    assert!(sends(
        &scheduler
            .at(2100.0)
            .handle(attempt_finished(message, 1, wait))
    )
    .is_empty());
    assert_eq!(ends(&scheduler.idle(5000.0)), [message]);
    assert!(sends(&scheduler.idle(5100.0)).is_empty());
}

#[test]
fn zone_keyed_message_is_failed_after_possible_execution() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (message, _) = scheduler.submit(1, 0);
    let actions = scheduler
        .at(5000.0)
        .handle(attempt_finished(message, 0, Outcome::TimedOut));
    assert!(actions.contains(&Action::Fail(message)), "{actions:?}");
}

#[test]
fn one_message_never_has_two_attempts_in_flight() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.submit(0, 0);
    assert!((2..16).all(|s| sends(&scheduler.idle(f64::from(s) * 1000.0)).is_empty()));
}

#[test]
fn draining_endpoint_gets_nothing_from_that_batch_on() {
    for listing in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 1);
        let (_, new_message) = scheduler.message(0, 0);
        let change = Event::EndpointsUpdated(vec![EndpointUpdate {
            status: listing,
            ..listed_endpoint(0, 0, 0, 0)
        }]);
        assert!(sends(&scheduler.handle_all(&[new_message, change])).is_empty());
        assert!(sends(&scheduler.idle(3000.0)).is_empty());
        assert_eq!(
            sends(&scheduler.handle(Event::EndpointsUpdated(vec![listed_endpoint(0, 0, 0, 0)])))
                .len(),
            1
        );
    }
}

#[test]
fn endpoint_missing_from_a_whole_list_is_removed() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    scheduler.handle(Event::EndpointsReplaced(vec![listed_endpoint(1, 1, 0, 0)]));
    assert!(sends(&scheduler.submit(0, 0).1).is_empty());
    assert_eq!(sends(&scheduler.submit(0, 1).1).len(), 1);
}

/// Runs an outage until 20 s, then answers all; returns the times of all sends.
fn through_an_outage(probes: bool) -> Vec<f64> {
    let mut set = settings();
    set.limits.health_checks_allowed = probes;
    let mut scheduler = TestScheduler::with_destinations(set, 1);
    let (mut out, mut probing, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for step in 0..6000u64 {
        scheduler.now = Time::from_ms(1000.0 + step as f64 * 5.0);
        let mut events = Vec::new();
        if step % 60 == 0 {
            events.push(scheduler.message(0, 0).1);
        }
        let down = (5.0..20.0).contains(&scheduler.now.secs());
        let outcome = if down {
            Outcome::ConnectFailed
        } else {
            Outcome::Delivered
        };
        let due = |sent: &Time| scheduler.now - *sent >= Span::from_ms(100.0);
        let mut attempts: Vec<(MessageId, u32, Time)> = std::mem::take(&mut out);
        attempts.retain(|(message, attempt, sent)| {
            let ends = due(sent);
            if ends {
                events.push(attempt_finished(*message, *attempt, outcome));
            } else {
                out.push((*message, *attempt, *sent));
            }
            ends
        });
        probing.retain(|sent: &Time| {
            let ends = due(sent);
            if ends {
                events.push(Event::HealthChecked {
                    endpoint: EndpointId(0),
                    outcome,
                    rate_limit: RateLimitReport::default(),
                });
            }
            !ends
        });
        for action in scheduler.handle_all(&events) {
            match action {
                Action::Send { message, .. } => {
                    let attempt = times
                        .iter()
                        .filter(|(_, sent)| *sent == Some(message))
                        .count() as u32;
                    out.push((message, attempt, scheduler.now));
                    times.push((scheduler.now.secs(), Some(message)));
                }
                Action::HealthCheck(_) => {
                    probing.push(scheduler.now);
                    times.push((scheduler.now.secs(), None));
                }
                _ => {}
            }
        }
    }
    times.into_iter().map(|(at, _)| at).collect()
}

trait Secs {
    fn secs(self) -> f64;
}

impl Secs for Time {
    fn secs(self) -> f64 {
        self.ms() / 1000.0
    }
}

#[test]
fn recovering_route_keeps_its_budget_in_any_window() {
    for probes in [false, true] {
        let times = through_an_outage(probes);
        // The usual rate is 10 in 3 s. Cold, the rule allows 2 x 0.2 of it: 2.7 in 2 s, chance aside.
        for start in 0..40 {
            let start = 7.0 + f64::from(start) * 0.35;
            let sent = times
                .iter()
                .filter(|at| (start..start + 2.0).contains(*at))
                .count();
            assert!(
                sent <= 4,
                "{sent} sent within 2 s from {start}, probes {probes}"
            );
        }
        let soon = times.iter().filter(|at| (20.0..24.0).contains(*at)).count();
        assert!(
            soon >= 2,
            "the return is found out within seconds, probes {probes}"
        );
        let late = times.iter().filter(|at| (29.5..31.0).contains(*at)).count();
        assert!(
            late >= 4,
            "once warm it is sent its usual rate, probes {probes}"
        );
    }
}

#[test]
fn retry_after_binds_every_message_exactly() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    let (message, _) = scheduler.submit(0, 0);
    scheduler.at(1050.0).handle(attempt_finished(
        message,
        0,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(800.0)),
        },
    ));
    for at in [1051.0, 1500.0, 1849.999] {
        scheduler.now = Time::from_ms(at);
        assert!(sends(&scheduler.submit(2, 0).1).is_empty());
    }
    assert_eq!(
        sends(&scheduler.submit(0, 1).1).len(),
        1,
        "another destination is not bound"
    );
    assert_eq!(
        sends(&scheduler.idle(6000.0)).len(),
        1,
        "once it is over the best one goes"
    );
}

#[test]
fn retry_after_of_one_batched_message_binds_the_route() {
    let mut set = settings();
    set.kinds[0].max_batch = 2;
    let mut scheduler = TestScheduler::with_destinations(set, 1);
    let (a, first) = scheduler.message(0, 0);
    let (b, second) = scheduler.message(0, 0);
    assert_eq!(sends(&scheduler.handle_all(&[first, second])).len(), 2);
    let wait = Outcome::Rejected {
        retry_after: Some(Span::from_ms(3000.0)),
    };
    scheduler.at(1100.0).handle_all(&[
        attempt_finished(a, 0, wait),
        attempt_finished(b, 0, Outcome::Cancelled),
    ]);
    assert!(sends(&scheduler.idle(4000.0)).is_empty());
    assert!(!sends(&scheduler.idle(4100.0)).is_empty());
}

#[test]
fn retry_after_binds_only_a_separate_route() {
    let mut scheduler = TestScheduler::new(settings());
    scheduler.handle(Event::EndpointsReplaced(vec![
        listed_endpoint(0, 0, 1, 0),
        listed_endpoint(1, 0, 1, 0),
    ]));
    let (message, actions) = scheduler.submit(0, 0);
    let full = sends(&actions)[0].1;
    let again = sends(&scheduler.at(1050.0).handle(attempt_finished(
        message,
        0,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(9000.0)),
        },
    )));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, full);
}

fn keyed_message(scheduler: &mut TestScheduler) -> (MessageId, Event) {
    let (message, event) = scheduler.message(3, 0);
    let Event::Accepted(new_message) = event else {
        unreachable!()
    };
    (
        message,
        Event::Accepted(NewMessage {
            ordering_key: Some(OrderingKey(5)),
            ..new_message
        }),
    )
}

#[test]
fn ordered_messages_go_one_by_one_and_pause_after_timeout() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (first, a) = keyed_message(&mut scheduler);
    let (second, b) = keyed_message(&mut scheduler);
    assert_eq!(
        sends(&scheduler.handle_all(&[a, b])),
        [(first, EndpointId(0))]
    );
    // Gone, but its attempt is still out: the key stays taken.
    assert!(sends(&scheduler.at(1100.0).handle(Event::Cancelled(first))).is_empty());
    assert!(sends(
        &scheduler
            .at(1200.0)
            .handle(attempt_finished(first, 0, Outcome::Cancelled))
    )
    .is_empty());
    assert!(sends(&scheduler.idle(1899.999)).is_empty());
    assert_eq!(sends(&scheduler.idle(1900.0)), [(second, EndpointId(0))]);
}

#[test]
fn ordered_message_is_retried_without_a_pause() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    let (first, a) = keyed_message(&mut scheduler);
    scheduler.handle(a);
    let again = sends(
        &scheduler
            .at(2500.0)
            .handle(attempt_finished(first, 0, Outcome::TimedOut)),
    );
    assert_eq!(again, [(first, EndpointId(0))]);
}

/// Rule 5 where the attempt was the last of its message: the key rests all the same, and only then is forgotten.
#[test]
fn ordering_pause_follows_the_last_attempt_too() {
    for ending in [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut scheduler = TestScheduler::with_destinations(settings(), 2);
        let keyed = |event: Event| match event {
            Event::Accepted(new_message) => Event::Accepted(NewMessage {
                ordering_key: Some(OrderingKey(5)),
                ..new_message
            }),
            other => other,
        };
        let (first, event) = scheduler.message(3, 0);
        assert_eq!(sends(&scheduler.handle(keyed(event))).len(), 1);
        scheduler.at(1050.0).handle(Event::Cancelled(first));
        let over = Event::AttemptFinished {
            message: first,
            attempt: AttemptNumber(0),
            outcome: ending,
            duration: Span::from_ms(100.0),
            is_final: true,
            rate_limit: RateLimitReport::default(),
        };
        scheduler.at(1100.0).handle(over);
        let (second, event) = scheduler.at(1200.0).message(3, 1);
        assert!(
            sends(&scheduler.handle(keyed(event))).is_empty(),
            "{ending:?}: no rest"
        );
        assert!(sends(&scheduler.idle(1799.0)).is_empty());
        assert_eq!(
            sends(&scheduler.idle(1800.0)),
            [(second, EndpointId(1))],
            "{ending:?}"
        );
    }
}

/// Odd but legal input: late on arrival, without a key, rates of nothing or beyond all sense, a list told twice.
#[test]
fn odd_input_breaks_nothing() {
    for share in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        let mut set = settings();
        (set.rate_hints, set.instances) = (RateHints::Exact, 300);
        let mut scheduler = TestScheduler::new(set);
        let list = Event::EndpointsReplaced(vec![EndpointUpdate {
            advertised_rate: share,
            ..listed_endpoint(0, 0, 0, 0)
        }]);
        scheduler.handle_all(&[list.clone(), list]);
        let (late, event) = scheduler.submitted_earlier(0, 0, 17000.0);
        assert_eq!(scheduler.handle(event).first(), Some(&Action::Fail(late)));
        let (ordered, actions) = scheduler.submit(3, 0);
        assert_eq!(sends(&actions).len(), 1, "no key: not held back");
        let wait = Outcome::Rejected {
            retry_after: Some(Span::from_ms(9000.0)),
        };
        scheduler
            .at(1100.0)
            .handle(attempt_finished(ordered, 0, wait));
        assert!(sends(&scheduler.idle(10099.0)).is_empty());
        scheduler.idle(900_000.0);
    }
}

/// A message that outlived its instance's process: the attempts of the earlier incarnation count.
fn resumed(
    scheduler: &mut TestScheduler,
    class: usize,
    attempts: u32,
    ran: Option<(Time, EndpointId)>,
) -> Vec<Action> {
    let (_, event) = scheduler.message(class, 0);
    let Event::Accepted(new_message) = event else {
        unreachable!()
    };
    scheduler.handle(Event::Resumed(
        new_message,
        PriorAttempts {
            attempts,
            first_possible_execution: ran,
            in_flight: None,
        },
    ))
}

#[test]
fn resumed_message_keeps_its_classs_repeat_rules() {
    let earlier = |ms| Some((Time::from_ms(ms), EndpointId(0)));
    // Within the window of 4 s it goes out again, beyond it ends; what is unsafe never goes out again.
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.at(9000.0);
    assert_eq!(
        sends(&resumed(&mut scheduler, 1, 1, earlier(6000.0))).len(),
        1
    );
    for (class, ran) in [(1, earlier(4900.0)), (2, earlier(8900.0))] {
        let actions = resumed(&mut scheduler, class, 1, ran);
        assert_eq!((sends(&actions).len(), ends(&actions).len()), (0, 1));
    }
    assert_eq!(
        sends(&resumed(&mut scheduler, 0, 1, earlier(-60_000.0))).len(),
        1,
        "a pure one is free"
    );
}

#[test]
fn resumed_message_has_only_its_remaining_attempts() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.at(9000.0);
    assert_eq!(sends(&resumed(&mut scheduler, 0, 5, None)).len(), 1);
    let actions = resumed(&mut scheduler, 0, 6, None);
    assert_eq!((sends(&actions).len(), ends(&actions).len()), (0, 1));
}

//! Return of ejected and silent routes to service.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

/// While a destination rejects every call for 8 s, the rate of its limiter must not keep falling.
#[test]
fn recovered_destination_is_served_soon() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (start, mut sent_after_recovery) = (scheduler.now.ms(), 0);
    let mut in_flight: Vec<Event> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    for step in 1..=300 {
        scheduler.at(start + f64::from(step) * 50.0);
        let mut events = std::mem::take(&mut in_flight);
        events.extend((step % 2 == 0).then(|| scheduler.message(0, 0).1));
        let outcome = if (60..220).contains(&step) {
            REJECTED
        } else {
            Outcome::Delivered
        };
        for (message, _) in sends(&scheduler.handle_all(&events)) {
            sent_after_recovery += usize::from(step >= 260);
            let attempt = attempts.entry(message).or_default();
            in_flight.push(attempt_finished(message, *attempt, outcome));
            *attempt += 1;
        }
    }
    assert!(
        sent_after_recovery >= 10,
        "{sent_after_recovery} sent from 2 s to 4 s after the recovery, with 10 messages per second submitted"
    );
}

#[test]
fn recovered_route_is_unlimited_after_its_ramp() {
    let mut settings = settings();
    (settings.instances, settings.rate_hints) = (200, RateHints::Exact);
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    scheduler.warm_up(0);
    let (lost, _) = scheduler.submit(0, 0);
    let mut actions = Vec::new();
    for attempt in 0..3 {
        actions =
            scheduler
                .after(50.0)
                .handle(attempt_finished(lost, attempt, Outcome::ConnectFailed));
    }
    let is_ejected = actions
        .iter()
        .any(|action| matches!(action, Action::Log(text) if text.contains("ejected")));
    assert!(is_ejected, "{actions:?}");
    scheduler.handle(Event::Cancelled(lost));
    let mut sent = Vec::new();
    for _ in 0..400 {
        let (message, actions) = scheduler.after(1000.0).submit(0, 0);
        sent = sends(&actions);
        if !sent.is_empty() {
            break;
        }
        scheduler.handle(Event::Cancelled(message));
    }
    let (trial_call, _) = *sent.first().expect("a half-open trial call is sent");
    scheduler
        .after(100.0)
        .handle(attempt_finished(trial_call, 0, Outcome::Delivered));
    let (_, actions) = scheduler.after(9001.0).submit(0, 0);
    assert_eq!(sends(&actions).len(), 1);
}

/// Returns settings with many concurrent calls, so that only a ramp limits the sending of a backlog.
fn thirty_calls() -> Settings {
    let mut settings = settings();
    settings.limits.max_in_flight = 30;
    settings
}

/// Returns the number of calls that are sent at the first answer of a silent route with this backlog.
fn sent_after_silence(backlog: usize) -> usize {
    let mut scheduler = TestScheduler::with_destinations(thirty_calls(), 1);
    scheduler.warm_up(0);
    // These calls hang: none of them fails during the test, but the route answers nothing.
    for at in [2000.0, 2001.0] {
        scheduler.at(at).submit(0, 0);
    }
    let (message, event) = scheduler.at(3500.0).message(0, 0);
    assert!(
        sends(&scheduler.handle(event)).is_empty(),
        "{message:?} waits while calls are overdue"
    );
    let others = scheduler.messages(backlog - 1, 0);
    scheduler.handle_all(&others);
    let answered =
        scheduler
            .at(7000.0)
            .handle(attempt_finished(MessageId(2), 0, Outcome::Delivered));
    sends(&answered).len()
}

#[test]
fn backlog_of_a_silent_route_is_ramped_after_its_first_answer() {
    assert!(
        sent_after_silence(7) >= 7,
        "a small backlog is sent at once"
    );
    assert!(sent_after_silence(8) <= 1, "a large backlog is ramped");
}

/// Returns the number of calls that are sent at the first answer of a destination with a backlog of 12 messages. Each
/// message has the given prior attempts.
fn sent_after_first_answer(prior: Option<PriorAttempts>) -> usize {
    let mut scheduler = TestScheduler::with_destinations(thirty_calls(), 1);
    let events: Vec<Event> = (0..12)
        .map(|_| {
            let new_message = scheduler.new_message(0, 0, 0.0);
            match &prior {
                Some(prior) => Event::Resumed(new_message, prior.clone()),
                None => Event::Accepted(new_message),
            }
        })
        .collect();
    let sent = sends(&scheduler.handle_all(&events));
    assert!(
        sent.len() <= 2,
        "too many sent before the first answer: {sent:?}"
    );
    let attempt = prior.map_or(0, |prior| prior.attempts);
    let (first, _) = sent[0];
    let answered =
        scheduler
            .after(50.0)
            .handle(attempt_finished(first, attempt, Outcome::Delivered));
    sends(&answered).len()
}

#[test]
fn backlog_of_a_failed_earlier_incarnation_is_ramped() {
    let prior = |attempts| PriorAttempts {
        attempts,
        first_possible_execution: None,
        in_flight: None,
    };
    assert!(sent_after_first_answer(Some(prior(1))) <= 1);
    assert!(sent_after_first_answer(Some(prior(0))) > 5);
    assert!(sent_after_first_answer(None) > 5);
}

/// A destination that refuses connections from 5 s to 20 s and receives a message every 300 ms.
struct Outage {
    scheduler: TestScheduler,
    attempts: BTreeMap<MessageId, u32>,
    in_flight: Vec<SentAttempt>,
    /// Send times of the health checks in flight.
    health_checks: Vec<Time>,
    /// Times of all sends and health checks, in seconds.
    sent_at_s: Vec<f64>,
}

struct SentAttempt {
    message: MessageId,
    attempt: u32,
    sent: Time,
}

impl Outage {
    fn new(health_checks_allowed: bool) -> Outage {
        let mut settings = settings();
        settings.limits.health_checks_allowed = health_checks_allowed;
        Outage {
            scheduler: TestScheduler::with_destinations(settings, 1),
            attempts: BTreeMap::new(),
            in_flight: Vec::new(),
            health_checks: Vec::new(),
            sent_at_s: Vec::new(),
        }
    }

    /// Runs 30 s. Returns the times of all sends and health checks, in seconds.
    fn run(mut self) -> Vec<f64> {
        for step in 0..6000u64 {
            self.scheduler.now = Time::from_ms(1000.0 + step as f64 * 5.0);
            let mut events = Vec::new();
            if step % 60 == 0 {
                events.push(self.scheduler.message(0, 0).1);
            }
            events.extend(self.finished());
            for action in self.scheduler.handle_all(&events) {
                self.execute(&action);
            }
        }
        self.sent_at_s
    }

    /// Returns the events of the attempts and health checks that have been in flight for 100 ms.
    fn finished(&mut self) -> Vec<Event> {
        let now = self.scheduler.now;
        let is_due = |sent: Time| now - sent >= Span::from_ms(100.0);
        let outcome = if (5.0..20.0).contains(&seconds(now)) {
            Outcome::ConnectFailed
        } else {
            Outcome::Delivered
        };
        let attempts = self.in_flight.extract_if(.., |sent| is_due(sent.sent));
        let attempts = attempts.map(|sent| attempt_finished(sent.message, sent.attempt, outcome));
        let checks = self.health_checks.extract_if(.., |sent| is_due(*sent));
        let checks = checks.map(|_| Event::HealthChecked {
            endpoint: EndpointId(0),
            outcome,
            rate_limit: RateLimitReport::default(),
        });
        attempts.chain(checks).collect()
    }

    fn execute(&mut self, action: &Action) {
        let sent = self.scheduler.now;
        match *action {
            Action::Send { message, .. } => {
                let next = self.attempts.entry(message).or_default();
                let attempt = *next;
                *next += 1;
                self.in_flight.push(SentAttempt {
                    message,
                    attempt,
                    sent,
                });
            }
            Action::HealthCheck(_) => self.health_checks.push(sent),
            _ => return,
        }
        self.sent_at_s.push(seconds(sent));
    }
}

fn seconds(time: Time) -> f64 {
    time.ms() / 1000.0
}

#[test]
fn recovering_route_keeps_its_budget_in_any_window() {
    for health_checks in [false, true] {
        let times = Outage::new(health_checks).run();
        let sent_in = |window: std::ops::Range<f64>| {
            let sent = times.iter().filter(|at| window.contains(*at));
            sent.count()
        };
        // The usual rate is 10 sends in 3 s. At the start of the ramp the rule permits 2 x 0.2 of that rate, which is 2.7
        // sends in 2 s. The bound adds a margin for random variation.
        for start in 0..40 {
            let start = 7.0 + f64::from(start) * 0.35;
            let sent = sent_in(start..start + 2.0);
            assert!(
                sent <= 4,
                "{sent} sent within 2 s from {start}, health checks {health_checks}"
            );
        }
        assert!(
            sent_in(20.0..24.0) >= 2,
            "the recovery is not detected within seconds, health checks {health_checks}"
        );
        assert!(
            sent_in(29.5..31.0) >= 4,
            "the usual rate is not reached after the ramp, health checks {health_checks}"
        );
    }
}

//! Combined behaviour of hundreds of instances that share nothing but a route.

mod common;

use common::fleet::*;
use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

const STEP_MS: f64 = 50.0;

/// A call to the destination, and its outcome.
#[derive(Clone, Copy)]
struct CallRecord {
    at: Time,
    outcome: Outcome,
}

impl CallRecord {
    fn is_delivered(&self) -> bool {
        self.outcome == Outcome::Delivered
    }
}

/// Runs one destination that is listed with `rate` calls per second and receives messages at `load` times that rate.
/// `respond` returns the outcome of a call that is sent at the given time.
fn run(
    seconds: u64,
    rate: f64,
    load: f64,
    mut respond: impl FnMut(Time) -> Outcome,
) -> Vec<CallRecord> {
    let mut listed = listed_endpoint(0, 0, 0, 0);
    listed.advertised_rate = rate;
    let mut fleet = Fleet::new(&fleet_settings(), &[listed]);
    let mut finished: Vec<Vec<Event>> = vec![vec![]; INSTANCES];
    let mut calls = Vec::new();
    let (mut due, mut next_instance) = (0.0, 0usize);
    for step in 0..seconds * 20 {
        let now = Time::from_ms(1000.0 + step as f64 * STEP_MS);
        due += rate * load * 0.05;
        let mut batches = std::mem::replace(&mut finished, vec![vec![]; INSTANCES]);
        while due >= 1.0 {
            due -= 1.0;
            // A fixed stride visits the instances without clusters.
            next_instance = (next_instance + 77) % INSTANCES;
            batches[next_instance].push(fleet.message(now));
        }
        for (instance, events) in batches.iter().enumerate() {
            for sent in fleet.handle(instance, now, events) {
                let outcome = respond(now);
                calls.push(CallRecord { at: now, outcome });
                finished[instance].push(attempt_finished(sent.message, sent.attempt, outcome));
            }
        }
    }
    calls
}

/// Guards against an overload of a recovering destination by half-open trial calls, or by a budget of at least one call
/// for each instance.
#[test]
fn many_instances_stay_within_a_recovering_routes_budget() {
    run_outage(|_| Outcome::ConnectFailed);
}

/// Instances whose `Retry-After` ends at the same time must together stay within the recovering destination's budget.
#[test]
fn many_instances_ramp_up_after_the_same_backoff() {
    run_outage(|remaining| Outcome::Rejected {
        retry_after: Some(remaining),
    });
}

/// Runs an outage and checks the budget after it. `outcome` returns the outcome of a call from the remaining time of the
/// outage.
fn run_outage(outcome: impl Fn(Span) -> Outcome) {
    let (rate, down, up) = (60.0, Time::from_ms(6000.0), Time::from_ms(22000.0));
    let rules = settings().rules;
    let calls = run(40, rate, 0.75, |now| {
        if now >= down && now < up {
            outcome(up - now)
        } else {
            Outcome::Delivered
        }
    });
    for step in 0..90 {
        let from = up + Span::from_ms(step as f64 * 100.0);
        let ramp = ((from - up).ms() / rules.ramp_duration.ms()).min(1.0);
        let capacity = rate * (rules.ramp_start + (1.0 - rules.ramp_start) * ramp);
        let in_window =
            |call: &&CallRecord| call.at >= from && call.at < from + rules.overload_window;
        let sent = calls.iter().filter(in_window).count() as f64;
        // The rule does not count the calls of instances that never detected the outage. The tolerance covers them.
        let most = rules.overload_factor * capacity * rules.overload_window.secs();
        assert!(
            sent <= most * 1.1,
            "{sent} calls in the window from step {step}, at most {most} permitted"
        );
    }
    let later = calls
        .iter()
        .filter(|call| call.at > up + Span::from_ms(8000.0))
        .count() as f64;
    assert!(
        later > 0.5 * 10.0 * rate * 0.75,
        "only {later} calls after the recovery"
    );
}

/// If rejected calls count against a shared limit, retries must not keep the limit exhausted.
#[test]
fn rejections_fade_if_they_count_against_a_shared_limit() {
    let (limit, mut tokens, mut last) = (20.0, 20.0f64, Time::from_ms(1000.0));
    let closed = (Time::from_ms(6000.0), Time::from_ms(14000.0));
    let calls = run(60, limit, 0.8, |now| {
        tokens = (tokens + (now - last).secs() * limit).min(limit) - 1.0;
        last = now;
        // All calls are rejected for a while, so that every instance has messages to retry.
        let is_closed = now >= closed.0 && now < closed.1;
        tokens = tokens.max(-2.0 * limit);
        if tokens < 0.0 || is_closed {
            REJECTED
        } else {
            Outcome::Delivered
        }
    });
    let late: Vec<CallRecord> = calls
        .into_iter()
        .filter(|call| call.at > Time::from_ms(35000.0))
        .collect();
    let rejected = late.iter().filter(|call| !call.is_delivered()).count();
    assert!(late.len() > 200, "only {} late calls", late.len());
    assert!(
        rejected * 2 < late.len(),
        "{rejected} of {} late calls rejected",
        late.len()
    );
}

/// Under an overload, each instance receives too few rejections to slow down, while rejected calls use up the limit.
#[test]
fn overloaded_shared_limit_is_used_by_accepted_calls() {
    let (limit, mut tokens, mut last) = (50.0, 25.0f64, Time::from_ms(1000.0));
    let calls = run(30, limit, 1.4, |now| {
        tokens = (tokens + (now - last).secs() * limit).min(0.5 * limit);
        let is_accepted = tokens >= 1.0;
        (tokens, last) = ((tokens - 1.0).max(0.0), now);
        if is_accepted {
            Outcome::Delivered
        } else {
            REJECTED
        }
    });
    let late: Vec<CallRecord> = calls
        .into_iter()
        .filter(|call| call.at > Time::from_ms(11_000.0))
        .collect();
    let accepted = late.iter().filter(|call| call.is_delivered()).count();
    let rejected = late.len() - accepted;
    assert!(
        accepted as f64 > 0.8 * 20.0 * limit,
        "{accepted} accepted of {} in 20 s",
        late.len()
    );
    assert!(
        rejected * 5 < late.len(),
        "{rejected} of {} rejected",
        late.len()
    );
}

/// Returns the number of calls that one instance sends in the first 8 s after an outage of 4 s. Responses report `limit`.
fn sent_after_outage(limit: Option<f64>) -> usize {
    let (down_ms, up_ms) = (2000.0, 6000.0);
    let settings = Settings {
        rate_hints: RateHints::Absent,
        ..fleet_settings()
    };
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    let report = RateLimitReport {
        remaining: None,
        limit,
    };
    let (first, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_reported(first, 0, Outcome::Delivered, report));
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    let mut sent_after_outage = 0;
    for step in 0..1000 {
        let now = 1000.0 + f64::from(step) * 20.0;
        scheduler.at(now);
        let mut actions = if step % 50 == 0 {
            scheduler.submit(0, 0).1
        } else {
            scheduler.handle_all(&[])
        };
        while let Some((message, _)) = sends(&actions).first().copied() {
            let attempt = attempts.entry(message).or_default();
            sent_after_outage += usize::from(now >= up_ms && now < up_ms + 8000.0);
            let finished = if now >= down_ms && now < up_ms {
                attempt_finished(message, *attempt, Outcome::ConnectFailed)
            } else {
                attempt_reported(message, *attempt, Outcome::Delivered, report)
            };
            *attempt += 1;
            actions = scheduler.handle(finished);
        }
    }
    sent_after_outage
}

/// The ramp of an instance that rarely called a destination must follow a higher reported limit, not the low rate of its
/// own calls.
#[test]
fn recovery_is_ramped_by_the_reported_limit() {
    let guessed = sent_after_outage(None);
    let reported = sent_after_outage(Some(INSTANCES as f64 * 2.0));
    assert!(
        reported >= 8,
        "{reported} calls in the first 8 s after an outage, {guessed} without a reported limit"
    );
}

/// Returns the time until the next call after a response that reports this remaining share of the quota, in ms.
fn delay_after_report(remaining: f64) -> f64 {
    let mut scheduler = TestScheduler::with_destinations(fleet_settings(), 1);
    let (first, _) = scheduler.submit(0, 0);
    let report = RateLimitReport {
        remaining: Some(remaining),
        limit: Some(INSTANCES as f64),
    };
    scheduler
        .at(3000.0)
        .handle(attempt_reported(first, 0, Outcome::Delivered, report));
    let (_, mut actions) = scheduler.submit(0, 0);
    while sends(&actions).is_empty() {
        actions = scheduler.idle(scheduler.now.ms() + 20.0);
    }
    scheduler.now.ms() - 3000.0
}

#[test]
fn low_remaining_quota_delays_the_next_call() {
    assert_eq!(delay_after_report(0.8), 0.0);
    let delay_ms = delay_after_report(0.1);
    assert!(
        (400.0..=1700.0).contains(&delay_ms),
        "{delay_ms} ms, although the instance's share of the limit is one call per second"
    );
}

#[test]
fn instances_spread_over_endpoints_by_advertised_rates() {
    let listed = |id: u32, advertised_rate: f64| EndpointUpdate {
        advertised_rate,
        ..listed_endpoint(id, 0, 1, 0)
    };
    let endpoints = [listed(0, 10.0), listed(1, 10.0), listed(2, 30.0)];
    let mut fleet = Fleet::new(&fleet_settings(), &endpoints);
    let mut counts = [0usize; 3];
    for instance in 0..INSTANCES {
        let event = fleet.message(Time(0));
        for sent in fleet.handle(instance, Time(0), &[event]) {
            counts[sent.endpoint.0 as usize] += 1;
        }
    }
    assert_eq!(counts.iter().sum::<usize>(), INSTANCES);
    assert!(counts.iter().all(|count| *count >= 20), "{counts:?}");
    assert!(
        counts[2] >= 95 && counts[2] <= 145,
        "not three fifths of the instances: {counts:?}"
    );
}

/// Returns the time until the next call after a run of rejections, in ms. Responses report `limit`.
fn hold_after_rejections(limit: Option<f64>) -> f64 {
    let mut settings = fleet_settings();
    settings.rate_hints = RateHints::Absent;
    let mut scheduler = TestScheduler::with_destinations(settings, 1);
    let (first, _) = scheduler.submit(0, 0);
    let report = RateLimitReport {
        remaining: None,
        limit,
    };
    scheduler.handle(attempt_reported(first, 0, Outcome::Delivered, report));
    // The rejected calls were in flight at the same time, so that the rate limiter cuts its rate only once.
    let calls: Vec<MessageId> = (0..2).map(|_| scheduler.submit(0, 0).0).collect();
    scheduler.after(50.0);
    for round in 0..2 {
        for call in &calls {
            scheduler.handle(attempt_finished(*call, round, REJECTED));
        }
    }
    let from = scheduler.now.ms();
    while sends(&scheduler.idle(scheduler.now.ms() + 20.0)).is_empty() {
        assert!(scheduler.now.ms() - from < 15_000.0, "never sent again");
    }
    scheduler.now.ms() - from
}

#[test]
fn reported_limit_shortens_the_hold_after_rejections() {
    let guessed = hold_after_rejections(None);
    let reported = hold_after_rejections(Some(4000.0));
    assert!(
        reported < guessed,
        "{reported} ms with a reported limit, {guessed} ms without"
    );
    assert!(reported < 5000.0, "{reported} ms with a reported limit");
}

/// Instances whose requests for the list failed at the same time must not retry at the same time.
#[test]
fn failed_list_requests_are_retried_spread_out_and_in_time() {
    let mut settings = fleet_settings();
    settings.discovery = DiscoveryMode::Subscribe;
    let mut fleet = Fleet::new(&settings, &[listed_endpoint(0, 0, 0, 0)]);
    let mut requests_by_quarter_second: BTreeMap<i64, usize> = BTreeMap::new();
    for instance in &mut fleet.instances {
        let (mut last_request, mut has_failed) = (Time(0), true);
        for step in 1..2400 {
            let (now, mut actions) = (Time::from_ms(step as f64 * 25.0), Vec::new());
            let events = if has_failed {
                vec![Event::EndpointListFailed]
            } else {
                vec![]
            };
            instance.handle(now, &events, &mut actions);
            has_failed = actions.contains(&Action::Subscribe);
            if has_failed {
                assert!(
                    now - last_request < settings.rules.max_poll_interval,
                    "requested too late"
                );
                last_request = now;
                *requests_by_quarter_second
                    .entry(now.0 / 250_000)
                    .or_default() += 1;
            }
        }
    }
    let most = requests_by_quarter_second.values().max();
    let most = most.expect("the list is requested again");
    assert!(
        *most < INSTANCES / 2,
        "{most} of {INSTANCES} instances sent a request in the same quarter of a second"
    );
}

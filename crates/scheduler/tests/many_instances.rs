//! What one instance does, done by hundreds at once: sums over instances that share nothing but a route.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

const INSTANCES: usize = 200;

/// A fleet of instances, each with its own seed, that are told of the same endpoints.
struct InstanceGroup {
    instances: Vec<Scheduler>,
    attempts: BTreeMap<(usize, MessageId), u32>,
    next: u64,
}

fn group_settings() -> Settings {
    let mut set = settings();
    (set.instances, set.limits.max_in_flight, set.rate_hints) =
        (INSTANCES, 3, RateHints::Approximate);
    set
}

impl InstanceGroup {
    fn new(set: &Settings, endpoints: &[EndpointUpdate]) -> InstanceGroup {
        let mut instances: Vec<Scheduler> = (0..INSTANCES)
            .map(|n| Scheduler::new(set.clone(), 1000 + n as u64))
            .collect();
        for instance in &mut instances {
            instance.handle(
                Time(0),
                &[Event::EndpointsReplaced(endpoints.to_vec())],
                &mut Vec::new(),
            );
        }
        InstanceGroup {
            instances,
            attempts: BTreeMap::new(),
            next: 0,
        }
    }

    fn message(&mut self, now: Time) -> Event {
        self.next += 1;
        let (message, deadline) = (MessageId(self.next), now + Span::from_ms(16000.0));
        let (class, destination) = (ClassId(0), DestinationId(0));
        Event::Accepted(NewMessage {
            message,
            class,
            tenant: None,
            ordering_key: None,
            deadline,
            destination,
        })
    }

    /// Submits one instance its events; returns the sends as message, number of the attempt and endpoint.
    fn handle(
        &mut self,
        n: usize,
        now: Time,
        events: &[Event],
    ) -> Vec<(MessageId, u32, EndpointId)> {
        let mut actions = Vec::new();
        self.instances[n].handle(now, events, &mut actions);
        let numbered = sends(&actions).into_iter().map(|(message, endpoint)| {
            let attempt = self.attempts.entry((n, message)).or_insert(0);
            *attempt += 1;
            (message, *attempt - 1, endpoint)
        });
        numbered.collect()
    }
}

/// One destination of `rate` calls a second, listed at that, with messages coming at `load` of it.
/// `answer` says how a call of a moment ends; returns for each call its moment and how it ended.
fn play(
    seconds: u64,
    rate: f64,
    load: f64,
    mut answer: impl FnMut(Time) -> Outcome,
) -> Vec<(Time, Outcome)> {
    let mut listed = listed_endpoint(0, 0, 0, 0);
    listed.advertised_rate = rate;
    let mut fleet = InstanceGroup::new(&group_settings(), &[listed]);
    let (mut out, mut calls): (Vec<Vec<Event>>, Vec<(Time, Outcome)>) =
        (vec![vec![]; INSTANCES], vec![]);
    let (mut due, mut turn) = (0.0, 0usize);
    for step in 0..seconds * 20 {
        let now = Time::from_ms(1000.0 + step as f64 * 50.0);
        due += rate * load * 0.05;
        let mut news: Vec<Vec<Event>> = std::mem::replace(&mut out, vec![vec![]; INSTANCES]);
        while due >= 1.0 {
            due -= 1.0;
            // A fixed stride visits the instances in an order that no clump of them shares.
            turn = (turn + 77) % INSTANCES;
            let event = fleet.message(now);
            news[turn].push(event);
        }
        for (n, events) in news.iter().enumerate() {
            for (message, attempt, _) in fleet.handle(n, now, events) {
                let outcome = answer(now);
                calls.push((now, outcome));
                out[n].push(attempt_finished(message, attempt, outcome));
            }
        }
    }
    calls
}

/// Fail-back at size: a trial every few seconds and a budget of at least one call, times hundreds of
/// instances, pushed over what came back (office-main-dc-later big-2, split-office-later big-1).
#[test]
fn many_instances_keep_a_recovering_routes_budget() {
    outage(|_| Outcome::ConnectFailed);
}

/// Told the same moment by a shut destination, all instances sent in the instant in which their waits ended
/// (pritchard-caerdydd rules-2: 41 calls of 93 instances at once, 2.8 times what it could do).
#[test]
fn many_instances_ramp_a_reopened_route() {
    outage(|left| Outcome::Rejected {
        retry_after: Some(left),
    });
}

/// An outage that answers calls as given, by the time that it still lasts.
fn outage(answer: impl Fn(Span) -> Outcome) {
    let (rate, down, back) = (60.0, Time::from_ms(6000.0), Time::from_ms(22000.0));
    let rules = settings().rules;
    let calls = play(40, rate, 0.75, |now| {
        if now >= down && now < back {
            answer(back - now)
        } else {
            Outcome::Delivered
        }
    });
    for step in 0..90 {
        let from = back + Span::from_ms(step as f64 * 100.0);
        let warm = ((from - back).ms() / rules.ramp_duration.ms()).min(1.0);
        let present = rate * (rules.ramp_start + (1.0 - rules.ramp_start) * warm);
        let sent = calls
            .iter()
            .filter(|(at, _)| *at >= from && *at < from + rules.overload_window)
            .count() as f64;
        // Instances that never saw the outage send what comes to them; the rule leaves them out.
        let most = rules.overload_factor * present * rules.overload_window.secs();
        assert!(
            sent <= most * 1.1,
            "{sent} calls in the span from {step}, at most {most}"
        );
    }
    let later = calls
        .iter()
        .filter(|(at, _)| *at > back + Span::from_ms(8000.0))
        .count() as f64;
    assert!(
        later > 0.5 * 10.0 * rate * 0.75,
        "only {later} calls once it was back"
    );
}

/// Limits shared by many at which rejected calls count: retries kept the limit used up for good
/// (rijeka-office-later, 31 % of attempts rejected on a quiet day).
#[test]
fn rejections_fade_where_they_count_against_a_shared_limit() {
    let (limit, mut left, mut last) = (20.0, 20.0f64, Time::from_ms(1000.0));
    let burst = (Time::from_ms(6000.0), Time::from_ms(14000.0));
    let calls = play(60, limit, 0.8, |now| {
        left = (left + (now - last).secs() * limit).min(limit) - 1.0;
        last = now;
        // For a while the limit falls to nothing, which leaves every instance with something to retry.
        let shut = now >= burst.0 && now < burst.1;
        left = left.max(-2.0 * limit);
        if left < 0.0 || shut {
            Outcome::Rejected { retry_after: None }
        } else {
            Outcome::Delivered
        }
    });
    let late: Vec<_> = calls
        .iter()
        .filter(|(at, _)| *at > Time::from_ms(35000.0))
        .collect();
    let refused = late
        .iter()
        .filter(|(_, outcome)| *outcome != Outcome::Delivered)
        .count();
    assert!(late.len() > 200, "only {} late calls", late.len());
    assert!(
        refused * 2 < late.len(),
        "{refused} of {} late calls were refused",
        late.len()
    );
}

/// More came than the limit takes, each rejected call used it up, and no instance saw enough rejections to slow down: of a
/// hundred instances' calls half were rejected and a third of the limit went to waste (`vast` days, a pharmacy at 58 a second).
#[test]
fn overloaded_shared_limit_is_used_by_accepted_calls() {
    let (limit, mut left, mut last) = (50.0, 25.0f64, Time::from_ms(1000.0));
    let calls = play(30, limit, 1.4, |now| {
        left = (left + (now - last).secs() * limit).min(0.5 * limit);
        let served = left >= 1.0;
        (left, last) = ((left - 1.0).max(0.0), now);
        if served {
            Outcome::Delivered
        } else {
            Outcome::Rejected { retry_after: None }
        }
    });
    let late: Vec<_> = calls
        .iter()
        .filter(|(at, _)| *at > Time::from_ms(11_000.0))
        .collect();
    let served = late
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Delivered)
        .count();
    assert!(
        served as f64 > 0.8 * 20.0 * limit,
        "{served} served of {} in 20 s",
        late.len()
    );
    assert!(
        (late.len() - served) * 5 < late.len(),
        "{} of {} refused",
        late.len() - served,
        late.len()
    );
}

/// What came back was sent a fifth of what it could do for ten seconds: each instance eased it by what it had been used
/// to deliver there, though every answer told a limit of more than twice that (`zone+vast`, seed 4).
#[test]
fn recovery_is_ramped_by_the_reported_limit() {
    let sent = |limit: Option<f64>| {
        let mut scheduler = TestScheduler::with_destinations(
            Settings {
                rate_hints: RateHints::Absent,
                ..group_settings()
            },
            1,
        );
        let report = RateLimitReport {
            remaining: None,
            limit,
        };
        let (met, _) = scheduler.submit(0, 0);
        scheduler.handle(attempt_reported(met, 0, Outcome::Delivered, report));
        let mut tries = BTreeMap::new();
        let (mut count, down, back) = (0, 2000.0, 6000.0);
        for step in 0..1000 {
            let now = 1000.0 + f64::from(step) * 20.0;
            scheduler.at(now);
            let mut actions = if step % 50 == 0 {
                scheduler.submit(0, 0).1
            } else {
                scheduler.handle_all(&[])
            };
            while let Some((message, _)) = sends(&actions).first().copied() {
                let attempt = tries
                    .entry(message)
                    .and_modify(|attempt| *attempt += 1)
                    .or_insert(0);
                count += usize::from(now >= back && now < back + 8000.0);
                actions = scheduler.handle(match now >= down && now < back {
                    true => attempt_finished(message, *attempt, Outcome::ConnectFailed),
                    false => attempt_reported(message, *attempt, Outcome::Delivered, report),
                });
            }
        }
        count
    };
    let (guessed, told) = (sent(None), sent(Some(INSTANCES as f64 * 2.0)));
    assert!(
        told >= 8,
        "{told} calls in the first 8 s of a return, {guessed} with no limit told"
    );
}

/// The allowance was all but used up, each answer said so, and every instance that heard it sent its next call at once,
/// which was rejected and used it up further (`join+vast`).
#[test]
fn low_remaining_quota_delays_the_next_call() {
    let waits = |left: f64| {
        let mut scheduler = TestScheduler::with_destinations(group_settings(), 1);
        let (met, _) = scheduler.submit(0, 0);
        let report = RateLimitReport {
            remaining: Some(left),
            limit: Some(INSTANCES as f64),
        };
        scheduler
            .at(3000.0)
            .handle(attempt_reported(met, 0, Outcome::Delivered, report));
        let (_, mut actions) = scheduler.submit(0, 0);
        while sends(&actions).is_empty() {
            actions = scheduler.idle(scheduler.now.ms() + 20.0);
        }
        scheduler.now.ms() - 3000.0
    };
    assert_eq!(waits(0.8), 0.0);
    let held = waits(0.1);
    assert!(
        (400.0..=1700.0).contains(&held),
        "{held} ms, where a part of the limit is one call a second"
    );
}

/// All instances favoured the one cheapest endpoint, whose own limit filled while its others idled.
#[test]
fn instances_spread_over_endpoints_by_advertised_rates() {
    let listed = |id: u32, share: f64| EndpointUpdate {
        advertised_rate: share,
        ..listed_endpoint(id, 0, 1, 0)
    };
    let mut fleet = InstanceGroup::new(
        &group_settings(),
        &[listed(0, 10.0), listed(1, 10.0), listed(2, 30.0)],
    );
    let mut split = [0usize; 3];
    for n in 0..INSTANCES {
        let event = fleet.message(Time(0));
        fleet
            .handle(n, Time(0), &[event])
            .into_iter()
            .for_each(|(.., id)| split[id.0 as usize] += 1);
    }
    assert_eq!(split.iter().sum::<usize>(), INSTANCES);
    assert!(split.iter().all(|fraction| *fraction >= 20), "{split:?}");
    assert!(
        split[2] >= 95 && split[2] <= 145,
        "three fifths of the rate: {split:?}"
    );
}

/// i13356c's like at size: a message that no route will take in time waited out its time for nothing.
#[test]
fn message_whose_route_opens_too_late_is_rejected_at_once() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let (first, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_finished(
        first,
        0,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(30_000.0)),
        },
    ));
    let (late, actions) = scheduler.submit(0, 0);
    let told = |a: &Action| matches!(a, Action::Reject { message, .. } if *message == late);
    assert!(actions.iter().any(told), "{actions:?}");
}

/// office-main-dc-later: idle connections of 290 instances filled small tables, 14 to 29 % of attempts got none.
#[test]
fn connections_are_closed_after_each_call_under_pressure() {
    let mut scheduler = TestScheduler::with_destinations(group_settings(), 1);
    scheduler.warm_up(0);
    let closes =
        |actions: &[Action]| actions.contains(&Action::CloseIdleConnections(EndpointId(0)));
    let (message, _) = scheduler.submit(0, 0);
    assert!(
        !closes(&scheduler.handle(attempt_finished(message, 0, Outcome::Delivered))),
        "nothing was crowded yet"
    );
    let (message, _) = scheduler.submit(0, 0);
    scheduler.handle(attempt_finished(message, 0, Outcome::ConnectFailed));
    scheduler
        .at(scheduler.now.ms() + 50.0)
        .handle(attempt_finished(message, 1, Outcome::Delivered));
    let (message, _) = scheduler.submit(0, 0);
    assert!(closes(&scheduler.handle(attempt_finished(
        message,
        0,
        Outcome::Delivered
    ))));
}

/// Settings and news that contradict themselves: no panic, and what is owed is still answered.
#[test]
fn odd_settings_and_events_are_read_safely() {
    let mut set = settings();
    (set.instances, set.kinds, set.zone_fees, set.rate_hints) =
        (0, vec![], vec![], RateHints::Approximate);
    set.rules = Rules::default();
    let mut scheduler = TestScheduler::new(set);
    let odd = |id: u32, share: f64| EndpointUpdate {
        advertised_rate: share,
        ..listed_endpoint(id, u64::from(id / 3), 9, 9)
    };
    let shares = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1.0];
    scheduler.handle(Event::EndpointsReplaced(
        (0..3000)
            .map(|id| odd(id, shares[id as usize % 6]))
            .collect(),
    ));
    let outcomes = [
        Outcome::Rejected {
            retry_after: Some(Span::ZERO),
        },
        Outcome::Rejected { retry_after: None },
        Outcome::TimedOut,
        Outcome::NotSent,
    ];
    let mut owed = std::collections::BTreeSet::new();
    for step in 0..400u64 {
        scheduler.at(1000.0 + step as f64 * 100.0);
        // The last of these destinations is on no list.
        let (message, actions) = scheduler.submit(step as usize % 3, step % 1001);
        owed.insert(message);
        let mut actions = actions.clone();
        for (sent, _) in sends(&actions) {
            let report = RateLimitReport {
                remaining: Some(f64::NAN),
                limit: Some(-1.0),
            };
            let (outcome, took) = (outcomes[step as usize % 4], Span::from_ms(-5.0));
            let event = Event::AttemptFinished {
                message: sent,
                attempt: AttemptNumber(0),
                outcome,
                duration: took,
                is_final: false,
                rate_limit: report,
            };
            actions.extend(scheduler.handle(event.clone()));
            actions.extend(scheduler.handle(event));
        }
        actions.extend(scheduler.handle(Event::Cancelled(MessageId(1 << 40))));
        let probed = Event::HealthChecked {
            endpoint: EndpointId(99_999),
            outcome: Outcome::Error,
            rate_limit: RateLimitReport::default(),
        };
        actions.extend(scheduler.handle(probed));
        ends(&actions)
            .iter()
            .for_each(|id| assert!(owed.remove(id), "{id:?} ended twice"));
    }
    let last = scheduler.idle(100_000.0);
    ends(&last)
        .iter()
        .for_each(|id| assert!(owed.remove(id), "{id:?} ended twice"));
    assert!(
        owed.len() <= 4,
        "{} messages are neither answered nor out",
        owed.len()
    );
}

/// split-office-later lists no rates: a instance guessed its part from its own traffic and stayed away too long.
#[test]
fn reported_limit_shortens_the_hold_after_rejections() {
    let away = |limit: Option<f64>| {
        let mut set = group_settings();
        set.rate_hints = RateHints::Absent;
        let mut scheduler = TestScheduler::with_destinations(set, 1);
        let (met, _) = scheduler.submit(0, 0);
        scheduler.handle(attempt_reported(
            met,
            0,
            Outcome::Delivered,
            RateLimitReport {
                remaining: None,
                limit,
            },
        ));
        // Refusals of calls that were out together, so that the rate limiter is cut no further.
        let calls: Vec<MessageId> = (0..2).map(|_| scheduler.submit(0, 0).0).collect();
        scheduler.at(scheduler.now.ms() + 50.0);
        for round in 0..2 {
            for call in &calls {
                scheduler.handle(attempt_finished(
                    *call,
                    round,
                    Outcome::Rejected { retry_after: None },
                ));
            }
        }
        let from = scheduler.now.ms();
        while sends(&scheduler.idle(scheduler.now.ms() + 20.0)).is_empty() {
            assert!(scheduler.now.ms() - from < 15_000.0, "never sent again");
        }
        scheduler.now.ms() - from
    };
    let (guessed, told) = (away(None), away(Some(4000.0)));
    assert!(
        told < guessed,
        "{told} ms with a limit told, {guessed} ms without"
    );
    assert!(told < 5000.0, "{told} ms with a limit told");
}

/// A list that must be asked for: instances that were rejected together asked together again.
#[test]
fn failed_list_requests_are_retried_apart_and_in_time() {
    let mut set = group_settings();
    set.discovery = DiscoveryMode::Subscribe;
    let mut fleet = InstanceGroup::new(&set, &[listed_endpoint(0, 0, 0, 0)]);
    let mut asked: BTreeMap<i64, usize> = BTreeMap::new();
    for instance in &mut fleet.instances {
        let (mut last, mut failed) = (Time(0), true);
        for step in 1..2400 {
            let (now, mut actions) = (Time::from_ms(step as f64 * 25.0), Vec::new());
            let news = if failed {
                vec![Event::EndpointListFailed]
            } else {
                vec![]
            };
            instance.handle(now, &news, &mut actions);
            failed = actions.contains(&Action::Subscribe);
            if failed {
                assert!(now - last < set.rules.max_poll_interval, "deemed told");
                last = now;
                *asked.entry(now.0 / 250_000).or_default() += 1;
            }
        }
    }
    let most = asked.values().max().expect("they ask again");
    assert!(
        *most < INSTANCES / 2,
        "{most} of {INSTANCES} in a quarter of a second"
    );
}

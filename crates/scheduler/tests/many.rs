//! What one courier does, done by hundreds at once: sums over couriers that share nothing but a route.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

const COURIERS: usize = 200;

/// A fleet of couriers, each with its own seed, that are told of the same endpoints.
struct Fleet {
    couriers: Vec<Scheduler>,
    copies: BTreeMap<(usize, MessageId), u32>,
    next: u64,
}

fn fleet_settings() -> Settings {
    let mut set = settings();
    (set.instances, set.limits.max_in_flight, set.rate_hints) =
        (COURIERS, 3, RateHints::Approximate);
    set
}

impl Fleet {
    fn new(set: &Settings, entries: &[EndpointUpdate]) -> Fleet {
        let mut couriers: Vec<Scheduler> = (0..COURIERS)
            .map(|n| Scheduler::new(set.clone(), 1000 + n as u64))
            .collect();
        for courier in &mut couriers {
            courier.handle(
                Time(0),
                &[Event::EndpointsReplaced(entries.to_vec())],
                &mut Vec::new(),
            );
        }
        Fleet {
            couriers,
            copies: BTreeMap::new(),
            next: 0,
        }
    }

    fn message(&mut self, now: Time) -> Event {
        self.next += 1;
        let (message, expires) = (MessageId(self.next), now + Span::from_ms(16000.0));
        let (class, destination) = (ClassId(0), DestinationId(0));
        Event::Accepted(NewMessage {
            message,
            class,
            tenant: None,
            ordering_key: None,
            deadline: expires,
            destination,
        })
    }

    /// Hands one courier its events; gives the sends as message, number of the attempt and endpoint.
    fn say(&mut self, n: usize, now: Time, events: &[Event]) -> Vec<(MessageId, u32, EndpointId)> {
        let mut actions = Vec::new();
        self.couriers[n].handle(now, events, &mut actions);
        let numbered = sends(&actions).into_iter().map(|(message, endpoint)| {
            let copy = self.copies.entry((n, message)).or_insert(0);
            *copy += 1;
            (message, *copy - 1, endpoint)
        });
        numbered.collect()
    }
}

/// One destination of `rate` calls a second, listed at that, with messages coming at `load` of it.
/// `answer` says how a call of a moment ends; gives for each call its moment and how it ended.
fn play(
    seconds: u64,
    rate: f64,
    load: f64,
    mut answer: impl FnMut(Time) -> Outcome,
) -> Vec<(Time, Outcome)> {
    let mut listed = entry(0, 0, 0, 0);
    listed.advertised_rate = rate;
    let mut fleet = Fleet::new(&fleet_settings(), &[listed]);
    let (mut out, mut calls): (Vec<Vec<Event>>, Vec<(Time, Outcome)>) =
        (vec![vec![]; COURIERS], vec![]);
    let (mut due, mut turn) = (0.0, 0usize);
    for step in 0..seconds * 20 {
        let now = Time::from_ms(1000.0 + step as f64 * 50.0);
        due += rate * load * 0.05;
        let mut news: Vec<Vec<Event>> = std::mem::replace(&mut out, vec![vec![]; COURIERS]);
        while due >= 1.0 {
            due -= 1.0;
            // A fixed stride visits the couriers in an order that no clump of them shares.
            turn = (turn + 77) % COURIERS;
            let event = fleet.message(now);
            news[turn].push(event);
        }
        for (n, events) in news.iter().enumerate() {
            for (message, copy, _) in fleet.say(n, now, events) {
                let outcome = answer(now);
                calls.push((now, outcome));
                out[n].push(closed(message, copy, outcome));
            }
        }
    }
    calls
}

/// Fail-back at size: a trial every few seconds and a budget of at least one call, times hundreds of
/// couriers, pushed over what came back (office-main-dc-later big-2, split-office-later big-1).
#[test]
fn hundreds_of_couriers_together_keep_within_the_budget_of_a_cold_route() {
    outage(|_| Outcome::ConnectFailed);
}

/// Told the same moment by a shut destination, all couriers sent in the instant in which their waits ended
/// (pritchard-caerdydd rules-2: 41 calls of 93 couriers at once, 2.8 times what it could do).
#[test]
fn hundreds_of_couriers_together_come_back_gently_to_a_route_that_was_shut() {
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
        // Couriers that never saw the outage send what comes to them; the rule leaves them out.
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

/// Limits shared by many at which refused calls count: retries kept the limit used up for good
/// (rijeka-office-later, 31 % of attempts refused on a quiet day).
#[test]
fn refusals_fade_where_hundreds_of_couriers_share_a_limit_that_refused_calls_use_up() {
    let (limit, mut left, mut last) = (20.0, 20.0f64, Time::from_ms(1000.0));
    let burst = (Time::from_ms(6000.0), Time::from_ms(14000.0));
    let calls = play(60, limit, 0.8, |now| {
        left = (left + (now - last).secs() * limit).min(limit) - 1.0;
        last = now;
        // For a while the limit falls to nothing, which leaves every courier with something to retry.
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

/// More came than the limit takes, each refused call used it up, and no courier saw enough refusals to slow down: of a
/// hundred couriers' calls half were refused and a third of the limit went to waste (`vast` days, a pharmacy at 58 a second).
#[test]
fn hundreds_of_couriers_use_a_limit_that_is_asked_too_much_of_and_do_not_use_it_up_by_refusals() {
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

/// What came back was sent a fifth of what it could do for ten seconds: each courier eased it by what it had been used
/// to deliver there, though every answer told a limit of more than twice that (`zone+vast`, seed 4).
#[test]
fn what_comes_back_is_eased_by_the_told_limit_where_there_is_one() {
    let sent = |limit: Option<f64>| {
        let mut bed = Bed::with_destinations(
            Settings {
                rate_hints: RateHints::Absent,
                ..fleet_settings()
            },
            1,
        );
        let report = RateLimitReport {
            remaining: None,
            limit,
        };
        let (met, _) = bed.hand(0, 0);
        bed.say(reported(met, 0, Outcome::Delivered, report));
        let mut tries = BTreeMap::new();
        let (mut count, down, back) = (0, 2000.0, 6000.0);
        for step in 0..1000 {
            let now = 1000.0 + f64::from(step) * 20.0;
            bed.at(now);
            let mut said = if step % 50 == 0 {
                bed.hand(0, 0).1
            } else {
                bed.say_all(&[])
            };
            while let Some((message, _)) = sends(&said).first().copied() {
                let copy = tries
                    .entry(message)
                    .and_modify(|copy| *copy += 1)
                    .or_insert(0);
                count += usize::from(now >= back && now < back + 8000.0);
                said = bed.say(match now >= down && now < back {
                    true => closed(message, *copy, Outcome::ConnectFailed),
                    false => reported(message, *copy, Outcome::Delivered, report),
                });
            }
        }
        count
    };
    let (guessed, told) = (sent(None), sent(Some(COURIERS as f64 * 2.0)));
    assert!(
        told >= 8,
        "{told} calls in the first 8 s of a return, {guessed} with no limit told"
    );
}

/// The allowance was all but used up, each answer said so, and every courier that heard it sent its next call at once,
/// which was refused and used it up further (`join+vast`).
#[test]
fn an_answer_that_tells_of_little_left_holds_the_next_call_back() {
    let waits = |left: f64| {
        let mut bed = Bed::with_destinations(fleet_settings(), 1);
        let (met, _) = bed.hand(0, 0);
        let report = RateLimitReport {
            remaining: Some(left),
            limit: Some(COURIERS as f64),
        };
        bed.at(3000.0)
            .say(reported(met, 0, Outcome::Delivered, report));
        let (_, mut said) = bed.hand(0, 0);
        while sends(&said).is_empty() {
            said = bed.idle(bed.now.ms() + 20.0);
        }
        bed.now.ms() - 3000.0
    };
    assert_eq!(waits(0.8), 0.0);
    let held = waits(0.1);
    assert!(
        (400.0..=1700.0).contains(&held),
        "{held} ms, where a part of the limit is one call a second"
    );
}

/// All couriers favoured the one cheapest endpoint, whose own limit filled while its others idled.
#[test]
fn couriers_split_a_destination_over_its_endpoints_by_the_listed_rates() {
    let listed = |id: u32, share: f64| EndpointUpdate {
        advertised_rate: share,
        ..entry(id, 0, 1, 0)
    };
    let mut fleet = Fleet::new(
        &fleet_settings(),
        &[listed(0, 10.0), listed(1, 10.0), listed(2, 30.0)],
    );
    let mut split = [0usize; 3];
    for n in 0..COURIERS {
        let event = fleet.message(Time(0));
        fleet
            .say(n, Time(0), &[event])
            .into_iter()
            .for_each(|(.., id)| split[id.0 as usize] += 1);
    }
    assert_eq!(split.iter().sum::<usize>(), COURIERS);
    assert!(split.iter().all(|part| *part >= 20), "{split:?}");
    assert!(
        split[2] >= 95 && split[2] <= 145,
        "three fifths of the rate: {split:?}"
    );
}

/// i13356c's like at size: a message that no route will take in time waited out its time for nothing.
#[test]
fn a_message_whose_route_opens_only_after_its_time_is_refused_at_once() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (first, _) = bed.hand(0, 0);
    bed.say(closed(
        first,
        0,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(30_000.0)),
        },
    ));
    let (late, actions) = bed.hand(0, 0);
    let told = |a: &Action| matches!(a, Action::Reject { message, .. } if *message == late);
    assert!(actions.iter().any(told), "{actions:?}");
}

/// office-main-dc-later: idle connections of 290 couriers filled small tables, 14 to 29 % of attempts got none.
#[test]
fn connections_of_a_kind_whose_endpoints_are_crowded_are_closed_after_each_call() {
    let mut bed = Bed::with_destinations(fleet_settings(), 1);
    bed.meet(0);
    let closes =
        |actions: &[Action]| actions.contains(&Action::CloseIdleConnections(EndpointId(0)));
    let (message, _) = bed.hand(0, 0);
    assert!(
        !closes(&bed.say(closed(message, 0, Outcome::Delivered))),
        "nothing was crowded yet"
    );
    let (message, _) = bed.hand(0, 0);
    bed.say(closed(message, 0, Outcome::ConnectFailed));
    bed.at(bed.now.ms() + 50.0)
        .say(closed(message, 1, Outcome::Delivered));
    let (message, _) = bed.hand(0, 0);
    assert!(closes(&bed.say(closed(message, 0, Outcome::Delivered))));
}

/// Settings and news that contradict themselves: no panic, and what is owed is still answered.
#[test]
fn odd_settings_and_news_are_read_safely() {
    let mut set = settings();
    (set.instances, set.kinds, set.zone_fees, set.rate_hints) =
        (0, vec![], vec![], RateHints::Approximate);
    set.rules = Rules::default();
    let mut bed = Bed::new(set);
    let odd = |id: u32, share: f64| EndpointUpdate {
        advertised_rate: share,
        ..entry(id, u64::from(id / 3), 9, 9)
    };
    let shares = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1.0];
    bed.say(Event::EndpointsReplaced(
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
        bed.at(1000.0 + step as f64 * 100.0);
        // The last of these destinations is on no list.
        let (message, actions) = bed.hand(step as usize % 3, step % 1001);
        owed.insert(message);
        let mut said = actions.clone();
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
            said.extend(bed.say(event.clone()));
            said.extend(bed.say(event));
        }
        said.extend(bed.say(Event::Cancelled(MessageId(1 << 40))));
        let probed = Event::HealthChecked {
            endpoint: EndpointId(99_999),
            outcome: Outcome::Error,
            rate_limit: RateLimitReport::default(),
        };
        said.extend(bed.say(probed));
        ends(&said)
            .iter()
            .for_each(|id| assert!(owed.remove(id), "{id:?} ended twice"));
    }
    let last = bed.idle(100_000.0);
    ends(&last)
        .iter()
        .for_each(|id| assert!(owed.remove(id), "{id:?} ended twice"));
    assert!(
        owed.len() <= 4,
        "{} messages are neither answered nor out",
        owed.len()
    );
}

/// split-office-later lists no rates: a courier guessed its part from its own traffic and stayed away too long.
#[test]
fn a_reported_limit_shortens_the_hold_after_refusals_where_nothing_is_listed() {
    let away = |limit: Option<f64>| {
        let mut set = fleet_settings();
        set.rate_hints = RateHints::Absent;
        let mut bed = Bed::with_destinations(set, 1);
        let (met, _) = bed.hand(0, 0);
        bed.say(reported(
            met,
            0,
            Outcome::Delivered,
            RateLimitReport {
                remaining: None,
                limit,
            },
        ));
        // Refusals of calls that were out together, so that the pace is cut no further.
        let calls: Vec<MessageId> = (0..2).map(|_| bed.hand(0, 0).0).collect();
        bed.at(bed.now.ms() + 50.0);
        for round in 0..2 {
            for call in &calls {
                bed.say(closed(
                    *call,
                    round,
                    Outcome::Rejected { retry_after: None },
                ));
            }
        }
        let from = bed.now.ms();
        while sends(&bed.idle(bed.now.ms() + 20.0)).is_empty() {
            assert!(bed.now.ms() - from < 15_000.0, "never sent again");
        }
        bed.now.ms() - from
    };
    let (guessed, told) = (away(None), away(Some(4000.0)));
    assert!(
        told < guessed,
        "{told} ms with a limit told, {guessed} ms without"
    );
    assert!(told < 5000.0, "{told} ms with a limit told");
}

/// A list that must be asked for: couriers that were turned away together asked together again.
#[test]
fn couriers_whose_calls_for_the_list_fail_ask_again_apart_and_in_time() {
    let mut set = fleet_settings();
    set.discovery = DiscoveryMode::Subscribe;
    let mut fleet = Fleet::new(&set, &[entry(0, 0, 0, 0)]);
    let mut asked: BTreeMap<i64, usize> = BTreeMap::new();
    for courier in &mut fleet.couriers {
        let (mut last, mut failed) = (Time(0), true);
        for step in 1..2400 {
            let (now, mut actions) = (Time::from_ms(step as f64 * 25.0), Vec::new());
            let news = if failed {
                vec![Event::EndpointListFailed]
            } else {
                vec![]
            };
            courier.handle(now, &news, &mut actions);
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
        *most < COURIERS / 2,
        "{most} of {COURIERS} in a quarter of a second"
    );
}

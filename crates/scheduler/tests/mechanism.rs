//! The ordinary path and the guards around it, and what once went wrong.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

fn one_slot() -> Settings {
    let mut set = settings();
    set.limits.max_in_flight = 1;
    set
}

#[test]
fn the_higher_worth_leaves_first() {
    let mut bed = Bed::with_destinations(one_slot(), 1);
    let (_, cheap) = bed.message(0, 0);
    let (dear, event) = bed.message(2, 0);
    assert_eq!(sends(&bed.say_all(&[cheap, event]))[0].0, dear);
}

#[test]
fn the_fresh_leaves_before_the_old_and_a_message_handed_in_again_is_not_fresh() {
    let mut bed = Bed::with_destinations(one_slot(), 1);
    let (_, old) = bed.aged(0, 0, 9000.0);
    let (fresh, event) = bed.message(0, 0);
    assert_eq!(sends(&bed.say_all(&[old, event]))[0].0, fresh);
}

#[test]
fn the_quicker_destination_is_served_first() {
    let mut bed = Bed::with_destinations(one_slot(), 2);
    for (destination, took) in [(0, 800.0), (1, 50.0)] {
        let (message, _) = bed.hand(0, destination);
        let took = Span::from_ms(took);
        let (copy, outcome, report) = (
            AttemptNumber(0),
            Outcome::Delivered,
            RateLimitReport::default(),
        );
        bed.say(Event::AttemptFinished {
            message,
            attempt: copy,
            outcome,
            duration: took,
            is_final: true,
            rate_limit: report,
        });
    }
    let (_, slow) = bed.message(0, 0);
    let (quick, event) = bed.message(0, 1);
    assert_eq!(sends(&bed.say_all(&[slow, event]))[0].0, quick);
}

#[test]
fn a_message_with_less_time_left_than_a_call_is_given_up_at_once_and_told_when_to_come_back() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (late, event) = bed.aged(0, 0, 15950.0);
    let actions = bed.say(event);
    assert!(sends(&actions).is_empty());
    let told = |a: &Action| matches!(a, Action::Reject { message, retry_after: retry_in } if *message == late && retry_in.0 > 0);
    assert!(actions.iter().any(told), "{actions:?}");
    let (_, in_time) = bed.aged(0, 0, 15800.0);
    assert_eq!(sends(&bed.say(in_time)).len(), 1);
}

/// Sends refused by a destination that takes `limit` calls a second, over 20 s at 10 messages a second.
fn refused_at_a_limit(limit: f64) -> (Vec<bool>, usize) {
    let mut bed = Bed::with_destinations(settings(), 1);
    let (mut allowance, mut refused, mut out, mut copies) =
        (1.0f64, Vec::new(), Vec::new(), Vec::new());
    for step in 0..1000u64 {
        bed.now = Time::from_ms(1000.0 + step as f64 * 20.0);
        allowance = (allowance + limit * 0.02).min(1.0);
        let mut events: Vec<Event> = std::mem::take(&mut out);
        if step % 5 == 0 {
            events.push(bed.message(0, 0).1);
        }
        for (message, _) in sends(&bed.say_all(&events)) {
            let copy = copies.iter().filter(|sent| **sent == message).count() as u32;
            copies.push(message);
            refused.push(allowance < 1.0);
            let outcome = if allowance < 1.0 {
                Outcome::Rejected { retry_after: None }
            } else {
                Outcome::Delivered
            };
            allowance -= if allowance < 1.0 { 0.0 } else { 1.0 };
            out.push(closed(message, copy, outcome));
        }
    }
    (refused, copies.len())
}

#[test]
fn a_pace_makes_refusals_fade_and_still_uses_the_limit() {
    let (refused, _) = refused_at_a_limit(4.0);
    let late = &refused[refused.len() / 2..];
    let share = late.iter().filter(|refused| **refused).count() as f64 / late.len() as f64;
    assert!(share < 0.35, "{share} of the later sends were refused");
    let served = refused.iter().filter(|refused| !**refused).count();
    assert!(served > 40, "{served} of at most 80 were served");
}

#[test]
fn a_pace_starts_free() {
    let (refused, sent) = refused_at_a_limit(1000.0);
    assert_eq!(sent, 200);
    assert!(refused.iter().all(|refused| !refused));
}

/// One refusal at the day's start, from an endpoint that drained, set a pace far under the destination's traffic;
/// what it held back stayed until the pace was forgotten 10 s later, and a sixth of it was given up.
#[test]
fn a_pace_taken_too_low_grows_while_nothing_is_refused() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (refused, _) = bed.hand(0, 0);
    bed.at(bed.now.ms() + 50.0)
        .say(closed(refused, 0, Outcome::Rejected { retry_after: None }));
    let (start, mut out, mut late) = (bed.now.ms(), Vec::new(), 0);
    for step in 1..=180 {
        bed.at(start + f64::from(step) * 50.0);
        // Four messages a second, answered as delivered by the next step.
        let mut events: Vec<Event> = std::mem::take(&mut out);
        events.extend((step % 5 == 0).then(|| bed.message(0, 0).1));
        for (message, _) in sends(&bed.say_all(&events)) {
            late += usize::from(step > 140);
            out.push(closed(
                message,
                u32::from(message == refused),
                Outcome::Delivered,
            ));
        }
    }
    assert!(late >= 8, "{late} sent in the last 2 s, in which 8 came");
}

/// Kept connections that broke when used again had a destination ejected, and for 10 s it got what a cold one
/// bears, though every call over a new connection was served.
#[test]
fn stale_connections_do_not_put_a_route_out() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (message, _) = bed.hand(0, 0);
    for copy in 0..5 {
        let actions =
            bed.at(bed.now.ms() + 20.0)
                .say(closed(message, copy, Outcome::StaleConnection));
        assert_eq!(sends(&actions).len(), 1, "sent again at once, {copy}");
    }
}

/// A partner shut for 8 s refused every trial, each cut its pace, and when it opened it got one call a second.
#[test]
fn a_destination_that_was_shut_is_served_again_soon() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (start, mut out, mut copies, mut late) = (bed.now.ms(), Vec::new(), BTreeMap::new(), 0);
    for step in 1..=300 {
        bed.at(start + f64::from(step) * 50.0);
        let mut events: Vec<Event> = std::mem::take(&mut out);
        events.extend((step % 2 == 0).then(|| bed.message(0, 0).1));
        let shut = (60..220).contains(&step);
        for (message, _) in sends(&bed.say_all(&events)) {
            late += usize::from(step >= 260);
            let copy = copies
                .entry(message)
                .and_modify(|copy| *copy += 1)
                .or_insert(0u32);
            out.push(closed(
                message,
                *copy,
                if shut {
                    Outcome::Rejected { retry_after: None }
                } else {
                    Outcome::Delivered
                },
            ));
        }
    }
    assert!(
        late >= 10,
        "{late} sent from 2 s to 4 s after it opened, of 10 a second"
    );
}

/// One connection refused by chance held a destination to three calls at once for the rest of the day, with 270
/// messages waiting and two thirds of the slots free.
#[test]
fn a_cap_on_connections_grows_back() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let two: Vec<Event> = (0..2).map(|_| bed.message(0, 0).1).collect();
    assert_eq!(sends(&bed.say_all(&two)).len(), 2);
    assert!(
        sends(&bed.say(closed(MessageId(2), 0, Outcome::ConnectFailed))).is_empty(),
        "one out, and no more"
    );
    bed.at(bed.now.ms() + 2000.0)
        .say(closed(MessageId(3), 0, Outcome::Delivered));
    let more: Vec<Event> = (0..2).map(|_| bed.message(0, 0).1).collect();
    assert_eq!(sends(&bed.say_all(&more)).len(), 1, "two at once again");
}

/// When a destination's limit had fallen for a while and came back, its pace took ten seconds to follow.
#[test]
fn a_limit_that_is_told_bounds_what_a_pace_has_learned() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (refused, _) = bed.hand(0, 0);
    bed.at(bed.now.ms() + 50.0)
        .say(closed(refused, 0, Outcome::Rejected { retry_after: None }));
    let Event::AttemptFinished {
        message,
        attempt: copy,
        outcome,
        duration: took,
        is_final: last,
        ..
    } = closed(refused, 1, Outcome::Delivered)
    else {
        unreachable!()
    };
    let report = RateLimitReport {
        remaining: Some(0.9),
        limit: Some(60.0),
    };
    assert_eq!(sends(&bed.idle(bed.now.ms() + 2000.0)).len(), 1);
    bed.at(bed.now.ms() + 100.0).say(Event::AttemptFinished {
        message,
        attempt: copy,
        outcome,
        duration: took,
        is_final: last,
        rate_limit: report,
    });
    let (start, mut out, mut sent) = (bed.now.ms(), Vec::new(), 0);
    for step in 1..=20 {
        bed.at(start + f64::from(step) * 100.0);
        let mut events: Vec<Event> = std::mem::take(&mut out);
        events.push(bed.message(0, 0).1);
        for (message, _) in sends(&bed.say_all(&events)) {
            sent += 1;
            out.push(closed(message, 0, Outcome::Delivered));
        }
    }
    assert!(
        sent >= 18,
        "{sent} of 20 sent in 2 s, at half of an even part of the limit"
    );
}

/// Endpoints under ever new ids made each decision dearer than the one before.
#[test]
fn an_endpoint_that_is_gone_is_forgotten() {
    let mut bed = Bed::new(settings());
    let apart = |listing| {
        Event::EndpointsReplaced(vec![EndpointUpdate {
            status: listing,
            ..entry(0, 0, 1, 0)
        }])
    };
    bed.say(apart(EndpointStatus::Active));
    bed.meet(0);
    let out: Vec<Event> = (0..6).map(|_| bed.message(0, 0).1).collect();
    assert_eq!(
        sends(&bed.say_all(&out)).len(),
        3,
        "the share of one that is met"
    );
    bed.say(Event::EndpointsReplaced(vec![]));
    for message in 2..=4 {
        bed.say(closed(MessageId(message), 0, Outcome::Delivered));
    }
    assert_eq!(
        sends(&bed.say(apart(EndpointStatus::Active))).len(),
        2,
        "as many as go to one that is not"
    );
}

#[test]
fn a_courier_that_knows_nothing_does_not_send_all_its_calls_to_one_new_destination() {
    let mut bed = Bed::with_destinations(settings(), 2);
    let events: Vec<Event> = (0..6).map(|_| bed.message(0, 0).1).collect();
    assert_eq!(sends(&bed.say_all(&events)).len(), 2);
    assert_eq!(
        sends(&bed.hand(0, 1).1).len(),
        1,
        "a slot is left for the other"
    );
}

/// i01a6be: calls lost at random raised the means, the means the patience, until all slots hung.
#[test]
fn lost_calls_do_not_raise_the_patience_once_answers_come() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (first, actions) = bed.hand(0, 0);
    let before = patience(bed.now, &actions);
    bed.at(bed.now.ms() + before)
        .say(closed(first, 0, Outcome::TimedOut));
    bed.at(bed.now.ms() + 100.0)
        .say(closed(first, 1, Outcome::Delivered));
    assert_eq!(patience(bed.now, &bed.hand(0, 0).1.clone()), before);
}

/// A call that stays out while a later one at its route is answered: a connection that fell silent.
fn lose_one(bed: &mut Bed) {
    let (lost, actions) = bed.hand(0, 0);
    let patience = patience(bed.now, &actions);
    let (other, _) = bed.at(bed.now.ms() + 10.0).hand(0, 0);
    bed.at(bed.now.ms() + 100.0)
        .say(closed(other, 0, Outcome::Delivered));
    bed.at(bed.now.ms() + patience)
        .say(closed(lost, 0, Outcome::TimedOut));
    bed.at(bed.now.ms() + 100.0)
        .say(closed(lost, 1, Outcome::Delivered));
}

/// pieces+silent+leave: calls on connections that had fallen silent held a quarter of the slots until patience ended.
#[test]
fn patience_is_cut_while_single_calls_get_lost_and_is_given_again_after() {
    let mut bed = Bed::with_destinations(settings(), 2);
    bed.meet(0);
    let told = |bed: &mut Bed, destination: u64| {
        let (message, actions) = bed.hand(0, destination);
        let told = patience(bed.now, &actions);
        bed.at(bed.now.ms() + 100.0)
            .say(closed(message, 0, Outcome::Delivered));
        told
    };
    let before = told(&mut bed, 0);
    lose_one(&mut bed);
    assert_eq!(told(&mut bed, 0), before, "one lost call is chance");
    (0..3).for_each(|_| lose_one(&mut bed));
    assert!(told(&mut bed, 0) < 0.5 * before);
    assert!(
        told(&mut bed, 1) < 0.5 * before,
        "connections fall silent everywhere"
    );
    for _ in 0..200 {
        told(&mut bed, 0);
    }
    assert_eq!(told(&mut bed, 0), before);
}

/// A route that hangs says nothing of single connections: no later call overtakes those that are lost there.
#[test]
fn a_route_that_hangs_does_not_cut_the_patience_of_others() {
    let mut bed = Bed::with_destinations(settings(), 2);
    (0..2).for_each(|destination| bed.meet(destination));
    let (hung, actions) = bed.hand(0, 0);
    let before = patience(bed.now, &actions);
    let mut now = bed.now.ms();
    for copy in 0..4 {
        now += 8.0 * before;
        bed.at(now).say(closed(hung, copy, Outcome::TimedOut));
        bed.idle(now + 20.0 * before);
    }
    let (_, actions) = bed.hand(0, 1);
    assert_eq!(patience(bed.now, &actions), before);
}

/// A slow route must get the time that it needs, or every call to it is wasted.
#[test]
fn patience_grows_while_nothing_answers() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    let (first, actions) = bed.hand(0, 0);
    let before = patience(bed.now, &actions);
    let again = bed
        .at(bed.now.ms() + before)
        .say(closed(first, 0, Outcome::TimedOut));
    assert!(patience(bed.now, &again) > before);
}

/// office-main-dc rough-2: the calls of several hung destinations took all slots.
#[test]
fn hung_destinations_leave_slots_to_the_others() {
    let mut set = settings();
    set.limits.max_in_flight = 6;
    let mut bed = Bed::with_destinations(set, 4);
    (0..4).for_each(|destination| bed.meet(destination));
    let mut passed = 0;
    let (mut hung, mut copies) = (Vec::new(), std::collections::BTreeMap::new());
    for step in 0..400 {
        bed.now = bed.now + Span::from_ms(20.0);
        let mut events: Vec<Event> = (0..3).map(|n| bed.message(0, n).1).collect();
        hung.retain(|(message, copy, cut_at)| {
            if *cut_at <= bed.now {
                events.push(closed(*message, *copy, Outcome::TimedOut));
            }
            *cut_at > bed.now
        });
        let (last, event) = bed.message(0, 3);
        let mut actions = bed.say_all(&events);
        let probe = bed.say(event);
        passed += usize::from(step >= 100 && sends(&probe) == [(last, EndpointId(3))]);
        actions.extend(probe);
        let mut todo: std::collections::VecDeque<Action> = actions.into();
        while let Some(action) = todo.pop_front() {
            if let Action::Send {
                message,
                endpoint,
                timeout_at: cut_at,
            } = action
            {
                let copy = copies
                    .entry(message)
                    .and_modify(|copy| *copy += 1)
                    .or_insert(0u32);
                if endpoint == EndpointId(3) {
                    todo.extend(bed.say(closed(message, *copy, Outcome::Delivered)));
                } else {
                    hung.push((message, *copy, cut_at));
                }
            }
        }
    }
    assert!(
        passed > 240,
        "only {passed} of 300 messages to the healthy destination left at once"
    );
}

#[test]
fn over_quota_messages_stand_behind_those_within() {
    let mut set = one_slot();
    set.tenants = vec![Tenant { quota_per_s: 3.0 }, Tenant { quota_per_s: 3.0 }];
    let mut bed = Bed::with_destinations(set, 1);
    let of = |bed: &mut Bed, tenant: usize| {
        let (message, event) = bed.message(0, 0);
        let Event::Accepted(handed) = event else {
            unreachable!()
        };
        (
            message,
            Event::Accepted(NewMessage {
                tenant: Some(TenantId(tenant)),
                ..handed
            }),
        )
    };
    let (first, event) = of(&mut bed, 0);
    bed.say(event);
    for _ in 0..30 {
        bed.now = bed.now + Span::from_ms(20.0);
        let (_, event) = of(&mut bed, 0);
        bed.say(event);
    }
    let (modest, event) = of(&mut bed, 1);
    bed.now = bed.now + Span::from_ms(100.0);
    let (_, last) = of(&mut bed, 0);
    bed.say_all(&[event, last]);
    assert_eq!(
        sends(&bed.say(closed(first, 0, Outcome::Delivered)))[0].0,
        modest
    );
}

#[test]
fn messages_to_one_endpoint_share_a_call_and_a_slot() {
    let mut set = one_slot();
    set.kinds[0].max_batch = 3;
    let mut bed = Bed::with_destinations(set, 1);
    let events: Vec<Event> = (0..5).map(|_| bed.message(0, 0).1).collect();
    assert_eq!(sends(&bed.say_all(&events)).len(), 3);
}

#[test]
fn a_full_house_refuses_the_least_valuable() {
    let mut set = one_slot();
    set.limits.max_pending = 10;
    let mut bed = Bed::new(set);
    let (old, event) = bed.aged(0, 0, 9000.0);
    bed.say(event);
    let events: Vec<Event> = (0..9).map(|_| bed.message(2, 0).1).collect();
    assert_eq!(ends(&bed.say_all(&events)), [old]);
}

#[test]
fn a_full_house_lets_go_what_may_leave_at_once() {
    let mut set = settings();
    set.limits.max_pending = 10;
    let mut bed = Bed::with_destinations(set, 2);
    bed.meet(0);
    bed.meet(1);
    // The house fills with messages of much worth for a partner that is told to wait for.
    let (first, _) = bed.hand(2, 0);
    bed.say(closed(
        first,
        0,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(1500.0)),
        },
    ));
    let waiting: Vec<_> = (0..8).map(|_| bed.message(2, 0).1).collect();
    assert!(sends(&bed.say_all(&waiting)).is_empty());
    let (small, actions) = bed.hand(0, 1);
    assert_eq!(
        sends(&actions),
        [(small, EndpointId(1))],
        "it needs no room"
    );
    assert!(!ends(&actions).contains(&small));
}

#[test]
fn the_same_events_bring_the_same_actions_whatever_other_instances_do() {
    let run = |disturb: bool| {
        let (mut bed, mut other) = (
            Bed::with_destinations(settings(), 3),
            Bed::with_destinations(settings(), 3),
        );
        (0..60u64)
            .map(|step| {
                bed.now = bed.now + Span::from_ms(37.0);
                if disturb {
                    other.hand((step % 3) as usize, 1);
                }
                bed.hand((step % 3) as usize, step % 3).1
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn odd_but_legal_news_is_taken_calmly() {
    let mut bed = Bed::with_destinations(settings(), 1);
    let (message, _) = bed.hand(0, 0);
    bed.say(closed(message, 0, Outcome::Delivered));
    let nobody = MessageId(999);
    let odd = [
        closed(message, 0, Outcome::TimedOut),
        closed(nobody, 3, Outcome::Rejected { retry_after: None }),
        Event::Cancelled(nobody),
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
            ..entry(5, 5, 0, 0)
        }]),
    ];
    let actions = bed.say_all(&odd);
    assert!(
        sends(&actions).is_empty() && ends(&actions).is_empty(),
        "{actions:?}"
    );
}

#[test]
fn empty_settings_still_answer_everything() {
    let mut bed = Bed::with_destinations(Settings::default(), 1);
    let (message, event) = bed.message(3, 0);
    assert_eq!(
        ends(&bed.say(event)),
        [message],
        "a class that does not exist cannot be sent"
    );
}

/// i13356c, i00f5a2: the least paces of eight and nine couriers together filled a small limit.
#[test]
fn many_couriers_share_the_least_pace() {
    let sent = |couriers: usize| {
        let mut set = settings();
        set.instances = couriers;
        let mut bed = Bed::with_destinations(set, 1);
        bed.meet(0);
        let mut copies = std::collections::BTreeMap::new();
        let mut sent = 0;
        for step in 0..600u64 {
            bed.now = bed.now + Span::from_ms(50.0);
            let mut events = Vec::new();
            if step % 4 == 0 {
                events.push(bed.message(0, 0).1);
            }
            for (message, _) in sends(&bed.say_all(&events)) {
                let copy = copies
                    .entry(message)
                    .and_modify(|copy| *copy += 1)
                    .or_insert(0u32);
                sent += usize::from(step > 300);
                bed.say(closed(
                    message,
                    *copy,
                    if step % 5 == 0 {
                        Outcome::Delivered
                    } else {
                        Outcome::Rejected { retry_after: None }
                    },
                ));
            }
        }
        sent
    };
    let (few, many) = (sent(2), sent(12));
    assert!(
        many < few,
        "{many} sends by one of many, {few} by one of few"
    );
}

/// Connections dropped while idle lose the first call after a pause (i3e2b49): they are not kept any more.
#[test]
fn connections_that_lose_calls_after_a_pause_are_closed_before_the_next() {
    let mut set = settings();
    set.instances = 50;
    let mut bed = Bed::with_destinations(set, 2);
    bed.meet(0);
    for _ in 0..4 {
        bed.at(bed.now.ms() + 3000.0);
        let (lost, actions) = bed.hand(0, 0);
        assert_eq!(sends(&actions).len(), 1);
        let again = bed
            .at(bed.now.ms() + 1300.0)
            .say(closed(lost, 0, Outcome::TimedOut));
        assert_eq!(sends(&again).len(), 1);
        bed.at(bed.now.ms() + 100.0)
            .say(closed(lost, 1, Outcome::Delivered));
    }
    // The other destination is of the same kind.
    bed.meet(1);
    let (last, _) = bed.hand(0, 1);
    let done = bed
        .at(bed.now.ms() + 100.0)
        .say(closed(last, 0, Outcome::Delivered));
    assert!(
        done.contains(&Action::CloseIdleConnections(EndpointId(1))),
        "{done:?}"
    );
}

/// Clients with little patience left made attempts end at their deadline; that is no failure of the route
/// (pritchard-caerdydd, give_up).
#[test]
fn attempts_cut_short_by_their_messages_deadline_say_nothing_of_the_route() {
    let mut bed = Bed::with_destinations(settings(), 1);
    bed.meet(0);
    for _ in 0..4 {
        let (message, event) = bed.aged(0, 0, 15600.0);
        assert_eq!(sends(&bed.say(event)).len(), 1, "the route is open");
        bed.at(bed.now.ms() + 400.0)
            .say(closed(message, 0, Outcome::TimedOut));
    }
}

/// Seldom called routes waited for their next trial, a minute off and more, after they were long warm.
#[test]
fn a_route_that_is_back_is_free_at_the_end_of_its_cold_time() {
    let mut set = settings();
    (set.instances, set.rate_hints) = (200, RateHints::Exact);
    let mut bed = Bed::with_destinations(set, 1);
    bed.meet(0);
    let (lost, _) = bed.hand(0, 0);
    let mut said = Vec::new();
    for copy in 0..3 {
        said = bed
            .at(bed.now.ms() + 50.0)
            .say(closed(lost, copy, Outcome::ConnectFailed));
    }
    assert!(
        said.iter()
            .any(|action| matches!(action, Action::Log(text) if text.contains("ejected"))),
        "{said:?}"
    );
    bed.say(Event::Cancelled(lost));
    let mut sent = Vec::new();
    for _ in 0..400 {
        let (message, actions) = bed.at(bed.now.ms() + 1000.0).hand(0, 0);
        sent = sends(&actions);
        if !sent.is_empty() {
            break;
        }
        bed.say(Event::Cancelled(message));
    }
    let (back, _) = *sent.first().expect("a trial goes out at last");
    bed.at(bed.now.ms() + 100.0)
        .say(closed(back, 0, Outcome::Delivered));
    let (_, actions) = bed.at(bed.now.ms() + 9001.0).hand(0, 0);
    assert_eq!(sends(&actions).len(), 1);
}

/// At a start each idle connection held its place in full tables for ten seconds (traun-backhaus big-1): once a
/// kind is found crowded, all its idle connections go.
#[test]
fn all_idle_connections_of_a_crowded_kind_are_closed_at_once() {
    let mut set = settings();
    set.instances = 200;
    let mut bed = Bed::with_destinations(set, 3);
    (0..3).for_each(|destination| bed.meet(destination));
    let (message, _) = bed.hand(0, 0);
    let again = bed
        .at(bed.now.ms() + 50.0)
        .say(closed(message, 0, Outcome::ConnectFailed));
    assert_eq!(sends(&again).len(), 1);
    let done = bed
        .at(bed.now.ms() + 50.0)
        .say(closed(message, 1, Outcome::Delivered));
    for endpoint in 0..3 {
        assert!(
            done.contains(&Action::CloseIdleConnections(EndpointId(endpoint))),
            "{endpoint}: {done:?}"
        );
    }
}

/// Where worth falls in a line to a good part at the deadline, an old worthy message was thought nearly worthless
/// (pritchard-caerdydd: 0.4 is left after nine aims).
#[test]
fn decay_follows_the_late_form_of_the_settings() {
    for (late, first) in [(ValueDecay::Halving, 0), (ValueDecay::Linear, 2)] {
        let mut set = settings();
        (set.value_decay, set.limits.max_in_flight) = (late, 1);
        let mut bed = Bed::with_destinations(set, 1);
        bed.meet(0);
        let (busy, _) = bed.hand(0, 0);
        let (old, old_event) = bed.aged(2, 0, 6000.0);
        let (fresh, fresh_event) = bed.message(0, 0);
        bed.say_all(&[old_event, fresh_event]);
        let next = sends(
            &bed.at(bed.now.ms() + 100.0)
                .say(closed(busy, 0, Outcome::Delivered)),
        );
        assert_eq!(next[0].0, if first == 0 { fresh } else { old }, "{late:?}");
    }
}

/// How many calls the first answer lets go that comes to a partner for which so many messages wait.
fn let_go_by_an_answer(bed: &mut Bed, waiting: usize, resumed: Option<PriorAttempts>) -> usize {
    let events: Vec<_> = (0..waiting)
        .map(|_| match (bed.message(0, 0), &resumed) {
            ((id, Event::Accepted(handed)), Some(past)) => {
                (id, Event::Resumed(handed, past.clone()))
            }
            (fresh, _) => fresh,
        })
        .collect();
    let news: Vec<_> = events.into_iter().map(|(_, event)| event).collect();
    let out = sends(&bed.say_all(&news));
    assert!(out.len() <= 2, "while nothing answers few go: {out:?}");
    let copy = resumed.map_or(0, |past| past.attempts);
    let (first, _) = out[0];
    let later = bed.now.ms() + 50.0;
    sends(&bed.at(later).say(closed(first, copy, Outcome::Delivered))).len()
}

#[test]
fn a_backlog_for_what_was_silent_for_long_does_not_go_out_with_its_first_answer() {
    let mut set = settings();
    set.limits.max_in_flight = 30;
    let silent = |waiting: usize| {
        let mut bed = Bed::with_destinations(set.clone(), 1);
        bed.meet(0);
        // Calls that hang: none of them fails in the time, but nothing is answered.
        for at in [2000.0, 2001.0] {
            bed.at(at).hand(0, 0);
        }
        let (id, news) = bed.at(3500.0).message(0, 0);
        assert!(
            sends(&bed.say(news)).is_empty(),
            "{id:?} waits behind what is overdue"
        );
        let waits: Vec<_> = (1..waiting).map(|_| bed.message(0, 0).1).collect();
        bed.say_all(&waits);
        sends(
            &bed.at(7000.0)
                .say(closed(MessageId(2), 0, Outcome::Delivered)),
        )
        .len()
    };
    assert!(silent(7) >= 7, "few go at once");
    assert!(silent(8) <= 1, "many are eased");
}

#[test]
fn what_an_earlier_life_tried_in_vain_is_eased_once_it_answers() {
    let mut set = settings();
    set.limits.max_in_flight = 30;
    let bed = || Bed::with_destinations(set.clone(), 1);
    let tried = PriorAttempts {
        attempts: 1,
        first_executed: None,
        in_flight: None,
    };
    assert!(let_go_by_an_answer(&mut bed(), 12, Some(tried)) <= 1);
    let untried = PriorAttempts {
        attempts: 0,
        first_executed: None,
        in_flight: None,
    };
    assert!(let_go_by_an_answer(&mut bed(), 12, Some(untried)) > 5);
    assert!(let_go_by_an_answer(&mut bed(), 12, None) > 5);
}

#[test]
fn a_message_handed_in_twice_with_another_deadline_is_one_and_ends_once() {
    let mut bed = Bed::with_destinations(
        Settings {
            instances: 1,
            ..settings()
        },
        1,
    );
    // Nothing leaves for a destination that is not listed.
    let (id, first) = bed.aged(0, 5, 0.0);
    let Event::Accepted(handed) = first.clone() else {
        unreachable!("a hand-in")
    };
    let again = Event::Accepted(NewMessage {
        deadline: handed.deadline - Span::from_ms(9000.0),
        ..handed
    });
    bed.say_all(&[first, again]);
    let mut ended = Vec::new();
    for ms in (2000..20_000).step_by(500) {
        ended.extend(ends(&bed.idle(f64::from(ms))));
    }
    assert_eq!(ended, [id]);
}

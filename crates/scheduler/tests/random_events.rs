//! Legal random events with fixed seeds; the rules are asserted on every action. No model of servers: any
//! outcome may follow any send.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::{BTreeMap, BTreeSet};

struct Known {
    class: usize,
    destination: u64,
    key: Option<OrderingKey>,
    deadline: Time,
    order: usize,
    sends: u32,
    out: Option<(u32, u32, Time)>,
    ran: Option<(Time, usize)>,
    ended: bool,
}

#[derive(Default)]
struct Watch {
    known: BTreeMap<MessageId, Known>,
    listed: BTreeSet<u32>,
    waits: BTreeMap<(bool, u64), Time>,
    rests: BTreeMap<OrderingKey, Time>,
    slots: usize,
}

/// Endpoint n: destination n / 2, zone n % 2; destinations from 3 on have routes apart.
fn route(endpoint: u32) -> (bool, u64) {
    let destination = u64::from(endpoint / 2);
    if destination >= 3 {
        (true, u64::from(endpoint))
    } else {
        (false, destination)
    }
}

impl Watch {
    fn check(&mut self, now: Time, action: &Action, set: &Settings) {
        match action {
            Action::Send {
                message,
                endpoint,
                timeout_at,
            } => {
                let known = &self.known[message];
                assert!(!known.ended, "sent after its end");
                assert!(known.out.is_none(), "two attempts out");
                assert_eq!(u64::from(endpoint.0 / 2), known.destination);
                assert!(
                    self.listed.contains(&endpoint.0),
                    "sent to a draining endpoint"
                );
                assert!(*timeout_at <= known.deadline && *timeout_at > now);
                assert!(
                    self.waits
                        .get(&route(endpoint.0))
                        .is_none_or(|until| *until <= now),
                    "wait broken"
                );
                match (set.classes[known.class].idempotency, known.ran) {
                    (Idempotency::NonIdempotent, Some(_)) => panic!("unsafe message repeated"),
                    (Idempotency::IdempotencyKey { window, .. }, Some((first, zone))) => {
                        assert!(
                            now - first < window && zone == endpoint.0 as usize % 2,
                            "key scope"
                        );
                    }
                    _ => {}
                }
                if let Some(key) = known.key {
                    let waits_for = |other: &Known| {
                        other.key == Some(key)
                            && other.order < known.order
                            && (!other.ended || other.out.is_some())
                    };
                    assert!(!self.known.values().any(waits_for), "out of order");
                    let rested = self.rests.get(&key).is_none_or(|until| *until <= now);
                    assert!(rested || known.ran.is_some(), "no rest");
                }
                let known = self.known.get_mut(message).expect("indexed above");
                known.out = Some((known.sends, endpoint.0, now));
                known.sends += 1;
                assert!(known.sends <= set.limits.max_attempts);
                self.slots += 1;
                assert!(
                    self.slots <= set.limits.max_in_flight,
                    "more calls than slots"
                );
            }
            Action::Reject { message, .. } | Action::Fail(message) => {
                let refused = matches!(action, Action::Reject { .. });
                let known = self
                    .known
                    .get_mut(message)
                    .expect("only known messages end");
                assert!(!known.ended, "ended twice");
                assert!(
                    now <= known.deadline + Span::from_ms(20.0),
                    "ended too late"
                );
                let pure = set.classes[known.class].idempotency == Idempotency::Idempotent;
                assert!(
                    !refused || pure || known.ran.is_none(),
                    "refused what may have run"
                );
                known.ended = true;
            }
            Action::SetTimer { at, .. } => assert!(*at > now),
            _ => {}
        }
    }

    fn close(
        &mut self,
        id: MessageId,
        now: Time,
        random: &mut SeededRandom,
        set: &Settings,
    ) -> Event {
        let known = self.known.get_mut(&id).expect("out");
        let (attempt, endpoint, sent) = known.out.take().expect("out");
        self.slots -= 1;
        let over = now >= known.deadline;
        let outcome = match random.below(24) {
            _ if over => Outcome::TimedOut,
            0 => Outcome::Error,
            1 => Outcome::TimedOut,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::Rejected { retry_after: None },
            5 => Outcome::Rejected {
                retry_after: Some(Span::from_ms(random.below(900) as f64 + 1.0)),
            },
            6 => Outcome::NotSent,
            _ => Outcome::Delivered,
        };
        if !matches!(
            outcome,
            Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        ) && known.ran.is_none()
        {
            known.ran = Some((sent, endpoint as usize % 2));
        }
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            let until = self.waits.entry(route(endpoint)).or_insert(now);
            *until = (*until).max(now + wait);
        }
        if let (Some(key), Outcome::TimedOut | Outcome::Reset) = (known.key, outcome) {
            self.rests.insert(key, now + set.rules.ordering_pause);
        }
        known.ended |= outcome == Outcome::Delivered;
        let (took, last, report) = (now - sent, known.ended, RateLimitReport::default());
        Event::AttemptFinished {
            message: id,
            attempt: AttemptNumber(attempt),
            outcome,
            duration: took,
            is_final: last,
            rate_limit: report,
        }
    }
}

fn row(endpoint: u32, listing: EndpointStatus) -> EndpointUpdate {
    let destination = u64::from(endpoint / 2);
    EndpointUpdate {
        status: listing,
        ..listed_endpoint(
            endpoint,
            destination,
            usize::from(destination >= 3),
            endpoint as usize % 2,
        )
    }
}

fn play(seed: u64) -> usize {
    let mut set = settings();
    set.limits.health_checks_allowed = seed.is_multiple_of(2);
    let (mut random, mut watch) = (
        SeededRandom(seed * 7919 + 1),
        Watch {
            listed: (0..10).collect(),
            ..Watch::default()
        },
    );
    let mut scheduler = TestScheduler::new(set.clone());
    scheduler.handle(Event::EndpointsReplaced(
        (0..10).map(|n| row(n, EndpointStatus::Active)).collect(),
    ));
    let mut order = 0;
    for step in 0..6000u64 {
        scheduler.now = scheduler.now + Span(5000 + random.below(28) as i64 * 500);
        let now = scheduler.now;
        let mut events = Vec::new();
        let out: Vec<(MessageId, Time)> = watch
            .known
            .iter()
            .filter(|(_, k)| k.out.is_some())
            .map(|(id, k)| (*id, k.deadline))
            .collect();
        for (id, deadline) in out {
            if now >= deadline || random.below(25) == 0 {
                events.push(watch.close(id, now, &mut random, &set));
            }
        }
        if step < 4000 && random.below(3) == 0 {
            let (class, destination) = (random.below(4) as usize, random.below(5));
            let (message, event) =
                scheduler.submitted_earlier(class, destination, random.below(15000) as f64);
            let Event::Accepted(new_message) = event else {
                unreachable!()
            };
            let key = (class == 3).then(|| OrderingKey(random.below(3)));
            order += 1;
            let (deadline, out, ran, ended) = (new_message.deadline, None, None, false);
            watch.known.insert(
                message,
                Known {
                    class,
                    destination,
                    key,
                    deadline,
                    order,
                    sends: 0,
                    out,
                    ran,
                    ended,
                },
            );
            events.push(Event::Accepted(NewMessage {
                ordering_key: key,
                ..new_message
            }));
        }
        if random.below(60) == 0 {
            let endpoint = random.below(10) as u32;
            let listing = [
                EndpointStatus::Active,
                EndpointStatus::Draining,
                EndpointStatus::Removed,
            ][random.below(3) as usize];
            match listing {
                EndpointStatus::Active => watch.listed.insert(endpoint),
                _ => watch.listed.remove(&endpoint),
            };
            events.push(Event::EndpointsUpdated(vec![row(endpoint, listing)]));
        }
        if random.below(80) == 0 {
            let open: Vec<MessageId> = watch
                .known
                .iter()
                .filter(|(_, k)| !k.ended)
                .map(|(id, _)| *id)
                .collect();
            if let Some(id) = open.get(random.below(open.len().max(1) as u64) as usize) {
                watch.known.get_mut(id).expect("listed above").ended = true;
                events.push(Event::Cancelled(*id));
            }
        }
        for action in scheduler.handle_all(&events) {
            watch.check(now, &action, &set);
        }
        let owed = watch
            .known
            .values()
            .find(|k| !k.ended && k.out.is_none() && now > k.deadline);
        assert!(
            owed.is_none(),
            "seed {seed}: a message was left without an answer"
        );
    }
    assert!(
        watch.known.values().all(|known| known.ended),
        "seed {seed}: not all were answered"
    );
    watch.known.values().map(|known| known.sends as usize).sum()
}

#[test]
fn random_legal_events_break_no_rule() {
    for seed in 1..=24 {
        assert!(
            play(seed) > 250,
            "seed {seed}: too little was sent to test anything"
        );
    }
}

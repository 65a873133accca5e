//! Limits on concurrent calls: for a new route, under a connection cap, and for hanging routes.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::{BTreeMap, VecDeque};

#[test]
fn new_destination_gets_few_first_calls() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 2);
    let events = scheduler.messages(6, 0);
    assert_eq!(sends(&scheduler.handle_all(&events)).len(), 2);
    assert_eq!(
        sends(&scheduler.submit(0, 1).1).len(),
        1,
        "the other destination is sent a call"
    );
}

#[test]
fn connection_cap_grows_back() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.warm_up(0);
    let two = scheduler.messages(2, 0);
    assert_eq!(sends(&scheduler.handle_all(&two)).len(), 2);
    let refused = scheduler.handle(attempt_finished(MessageId(2), 0, Outcome::ConnectFailed));
    assert!(
        sends(&refused).is_empty(),
        "no call beyond the one in flight"
    );
    scheduler
        .after(2000.0)
        .handle(attempt_finished(MessageId(3), 0, Outcome::Delivered));
    let two = scheduler.messages(2, 0);
    assert_eq!(
        sends(&scheduler.handle_all(&two)).len(),
        1,
        "two concurrent calls are permitted again"
    );
}

/// Three destinations that hang, and a fourth that answers at once.
struct HangingDestinations {
    scheduler: TestScheduler,
    attempts: BTreeMap<MessageId, u32>,
    hanging: Vec<HangingAttempt>,
}

struct HangingAttempt {
    message: MessageId,
    attempt: u32,
    timeout_at: Time,
}

const HEALTHY: EndpointId = EndpointId(3);

impl HangingDestinations {
    fn new(max_in_flight: usize) -> HangingDestinations {
        let mut settings = settings();
        settings.limits.max_in_flight = max_in_flight;
        let mut scheduler = TestScheduler::with_destinations(settings, 4);
        (0..4).for_each(|destination| scheduler.warm_up(destination));
        HangingDestinations {
            scheduler,
            attempts: BTreeMap::new(),
            hanging: Vec::new(),
        }
    }

    /// Submits a message to each destination. Returns whether the message to the healthy destination was sent at once.
    fn step(&mut self) -> bool {
        let scheduler = &mut self.scheduler;
        scheduler.now = scheduler.now + Span::from_ms(20.0);
        let now = scheduler.now;
        let mut events: Vec<Event> = (0..3).map(|n| scheduler.message(0, n).1).collect();
        let timed_out = self.hanging.extract_if(.., |call| call.timeout_at <= now);
        events.extend(
            timed_out.map(|call| attempt_finished(call.message, call.attempt, Outcome::TimedOut)),
        );
        let (healthy, event) = scheduler.message(0, 3);
        let mut actions = scheduler.handle_all(&events);
        let for_healthy = scheduler.handle(event);
        let sent_at_once = sends(&for_healthy) == [(healthy, HEALTHY)];
        actions.extend(for_healthy);
        self.execute(actions.into());
        sent_at_once
    }

    fn execute(&mut self, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            let Action::Send {
                message,
                endpoint,
                timeout_at,
            } = action
            else {
                continue;
            };
            let next = self.attempts.entry(message).or_default();
            let attempt = *next;
            *next += 1;
            if endpoint == HEALTHY {
                let delivered = attempt_finished(message, attempt, Outcome::Delivered);
                actions.extend(self.scheduler.handle(delivered));
            } else {
                self.hanging.push(HangingAttempt {
                    message,
                    attempt,
                    timeout_at,
                });
            }
        }
    }
}

#[test]
fn hanging_destinations_leave_calls_to_others() {
    let mut destinations = HangingDestinations::new(6);
    let mut sent_at_once = 0;
    for step in 0..400 {
        let sent = destinations.step();
        sent_at_once += usize::from(step >= 100 && sent);
    }
    assert!(
        sent_at_once > 240,
        "{sent_at_once} of 300 messages to the healthy destination sent at once"
    );
}

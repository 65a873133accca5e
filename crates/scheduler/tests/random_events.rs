//! Random legal events with fixed seeds. The delivery rules are checked on every action. Destinations are not modelled:
//! any outcome may follow any send.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;
const STEPS: u64 = 6000;
/// Step at which the submissions end.
const LAST_SUBMISSION: u64 = 4000;
/// Number of endpoints. Endpoint n belongs to destination n / 2 and zone n % 2.
const ENDPOINTS: u32 = 10;
/// First destination whose endpoints are separate routes.
const FIRST_SEPARATE: u64 = 3;

fn destination_of(endpoint: u32) -> u64 {
    u64::from(endpoint / 2)
}

fn zone_of(endpoint: u32) -> usize {
    endpoint as usize % 2
}

/// Identity of a route in the rule checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Route {
    Shared { destination: u64 },
    Separate { endpoint: u32 },
}

fn route_of(endpoint: u32) -> Route {
    let destination = destination_of(endpoint);
    if destination >= FIRST_SEPARATE {
        Route::Separate { endpoint }
    } else {
        Route::Shared { destination }
    }
}

fn list_entry(endpoint: u32, status: EndpointStatus) -> EndpointUpdate {
    let destination = destination_of(endpoint);
    let kind = usize::from(destination >= FIRST_SEPARATE);
    EndpointUpdate {
        status,
        ..listed_endpoint(endpoint, destination, kind, zone_of(endpoint))
    }
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlight {
    attempt: u32,
    endpoint: u32,
    sent: Time,
}

/// The first attempt that may have been executed.
#[derive(Clone, Copy)]
struct Execution {
    sent: Time,
    zone: usize,
}

/// A submitted message.
struct Submitted {
    class: usize,
    destination: u64,
    ordering_key: Option<OrderingKey>,
    deadline: Time,
    /// Sequence number of the submission.
    number: usize,
    attempts: u32,
    in_flight: Option<InFlight>,
    first_possible_execution: Option<Execution>,
    has_outcome: bool,
}

/// Checks the delivery rules on every action.
struct RuleChecker {
    settings: Settings,
    messages: BTreeMap<MessageId, Submitted>,
    active_endpoints: BTreeSet<u32>,
    backoffs: BTreeMap<Route, Time>,
    ordering_pauses: BTreeMap<OrderingKey, Time>,
    in_flight: usize,
}

impl RuleChecker {
    fn new(settings: Settings) -> RuleChecker {
        RuleChecker {
            settings,
            messages: BTreeMap::new(),
            active_endpoints: (0..ENDPOINTS).collect(),
            backoffs: BTreeMap::new(),
            ordering_pauses: BTreeMap::new(),
            in_flight: 0,
        }
    }

    fn check(&mut self, now: Time, action: &Action) {
        match *action {
            Action::Send {
                message,
                endpoint,
                timeout_at,
            } => {
                self.check_send(now, &self.messages[&message], endpoint.0);
                let deadline = self.messages[&message].deadline;
                assert!(timeout_at <= deadline && timeout_at > now);
                self.sent(now, message, endpoint.0);
            }
            Action::Reject { message, .. } => {
                self.check_resubmission(&self.messages[&message]);
                self.given_up(now, message);
            }
            Action::Fail(message) => self.given_up(now, message),
            Action::SetTimer { at, .. } => assert!(at > now),
            _ => {}
        }
    }

    fn check_send(&self, now: Time, message: &Submitted, endpoint: u32) {
        assert!(!message.has_outcome, "sent after the final outcome");
        assert!(
            message.in_flight.is_none(),
            "two attempts of one message in flight"
        );
        assert_eq!(destination_of(endpoint), message.destination);
        assert!(
            self.active_endpoints.contains(&endpoint),
            "sent to a draining endpoint"
        );
        let backoff = self.backoffs.get(&route_of(endpoint));
        assert!(
            backoff.is_none_or(|until| *until <= now),
            "sent within a backoff"
        );
        let idempotency = self.settings.classes[message.class].idempotency;
        match (idempotency, message.first_possible_execution) {
            (Idempotency::NonIdempotent, Some(_)) => panic!("non-idempotent message retried"),
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => assert!(
                now - first.sent < window && first.zone == zone_of(endpoint),
                "retried outside the scope or window of the idempotency key"
            ),
            _ => {}
        }
        self.check_order(now, message);
    }

    fn check_order(&self, now: Time, message: &Submitted) {
        let Some(key) = message.ordering_key else {
            return;
        };
        let precedes = |other: &Submitted| {
            other.ordering_key == Some(key)
                && other.number < message.number
                && (!other.has_outcome || other.in_flight.is_some())
        };
        assert!(
            !self.messages.values().any(precedes),
            "sent before an earlier message with the same ordering key"
        );
        let pause = self.ordering_pauses.get(&key);
        let is_over = pause.is_none_or(|until| *until <= now);
        assert!(
            is_over || message.first_possible_execution.is_some(),
            "sent within an ordering pause"
        );
    }

    fn check_resubmission(&self, message: &Submitted) {
        let idempotency = self.settings.classes[message.class].idempotency;
        assert!(
            idempotency == Idempotency::Idempotent || message.first_possible_execution.is_none(),
            "rejected although it may have been executed"
        );
    }

    fn sent(&mut self, now: Time, id: MessageId, endpoint: u32) {
        let message = self
            .messages
            .get_mut(&id)
            .expect("only submitted messages are sent");
        message.in_flight = Some(InFlight {
            attempt: message.attempts,
            endpoint,
            sent: now,
        });
        message.attempts += 1;
        assert!(message.attempts <= self.settings.limits.max_attempts);
        self.in_flight += 1;
        assert!(
            self.in_flight <= self.settings.limits.max_in_flight,
            "too many calls in flight"
        );
    }

    fn given_up(&mut self, now: Time, id: MessageId) {
        let message = self.messages.get_mut(&id);
        let message = message.expect("only submitted messages are given up");
        assert!(!message.has_outcome, "a message has two final outcomes");
        assert!(
            now <= message.deadline + Span::from_ms(20.0),
            "given up too late"
        );
        message.has_outcome = true;
    }

    /// Ends the attempt of a message with a random outcome.
    fn finish_attempt(&mut self, id: MessageId, now: Time, random: &mut SeededRandom) -> Event {
        let message = self
            .messages
            .get_mut(&id)
            .expect("the message was submitted");
        let attempt = message
            .in_flight
            .take()
            .expect("the message has an attempt in flight");
        self.in_flight -= 1;
        let outcome = random_outcome(random, now >= message.deadline);
        // This list is kept independent of the implementation on purpose.
        let is_not_executed = matches!(
            outcome,
            Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        );
        if !is_not_executed && message.first_possible_execution.is_none() {
            message.first_possible_execution = Some(Execution {
                sent: attempt.sent,
                zone: zone_of(attempt.endpoint),
            });
        }
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            let until = self
                .backoffs
                .entry(route_of(attempt.endpoint))
                .or_insert(now);
            *until = (*until).max(now + wait);
        }
        let may_be_running = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        if let (Some(key), true) = (message.ordering_key, may_be_running) {
            let until = now + self.settings.rules.ordering_pause;
            self.ordering_pauses.insert(key, until);
        }
        message.has_outcome |= outcome == Outcome::Delivered;
        Event::AttemptFinished {
            message: id,
            attempt: AttemptNumber(attempt.attempt),
            outcome,
            duration: now - attempt.sent,
            is_final: message.has_outcome,
            rate_limit: RateLimitReport::default(),
        }
    }

    fn is_any_overdue(&self, now: Time) -> bool {
        self.messages.values().any(|message| {
            !message.has_outcome && message.in_flight.is_none() && now > message.deadline
        })
    }
}

/// Returns a random outcome, most often a delivery, or a time-out if the deadline has passed.
fn random_outcome(random: &mut SeededRandom, deadline_is_over: bool) -> Outcome {
    let draw = random.below(24);
    if deadline_is_over {
        return Outcome::TimedOut;
    }
    match draw {
        0 => Outcome::Error,
        1 => Outcome::TimedOut,
        2 => Outcome::ConnectFailed,
        3 => Outcome::Reset,
        4 => REJECTED,
        5 => rejected_for(random.below(900) as f64 + 1.0),
        6 => Outcome::NotSent,
        _ => Outcome::Delivered,
    }
}

/// A run of the scheduler with random events.
struct RandomRun {
    scheduler: TestScheduler,
    random: SeededRandom,
    rules: RuleChecker,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let mut settings = settings();
        settings.limits.health_checks_allowed = seed.is_multiple_of(2);
        let mut scheduler = TestScheduler::new(settings.clone());
        let list = (0..ENDPOINTS).map(|n| list_entry(n, EndpointStatus::Active));
        scheduler.handle(Event::EndpointsReplaced(list.collect()));
        RandomRun {
            scheduler,
            random: SeededRandom(seed * 7919 + 1),
            rules: RuleChecker::new(settings),
        }
    }

    /// Handles one batch of random events and checks the resulting actions.
    fn step(&mut self, step: u64) {
        let interval = Span(5000 + self.random.below(28) as i64 * 500);
        self.scheduler.now = self.scheduler.now + interval;
        let mut events = self.finished_attempts();
        if step < LAST_SUBMISSION && self.random.below(3) == 0 {
            events.push(self.submission());
        }
        if self.random.below(60) == 0 {
            events.push(self.list_change());
        }
        if self.random.below(80) == 0 {
            events.extend(self.cancellation());
        }
        for action in self.scheduler.handle_all(&events) {
            self.rules.check(self.scheduler.now, &action);
        }
    }

    fn finished_attempts(&mut self) -> Vec<Event> {
        let now = self.scheduler.now;
        let in_flight = self.rules.messages.iter();
        let in_flight = in_flight.filter(|(_, message)| message.in_flight.is_some());
        let in_flight: Vec<(MessageId, Time)> = in_flight
            .map(|(id, message)| (*id, message.deadline))
            .collect();
        let mut events = Vec::new();
        for (id, deadline) in in_flight {
            if now >= deadline || self.random.below(25) == 0 {
                events.push(self.rules.finish_attempt(id, now, &mut self.random));
            }
        }
        events
    }

    fn submission(&mut self) -> Event {
        let class = self.random.below(4) as usize;
        let destination = self.random.below(5);
        let age_ms = self.random.below(15000) as f64;
        let ordering_key = (class == 3).then(|| OrderingKey(self.random.below(3)));
        let new_message = NewMessage {
            ordering_key,
            ..self.scheduler.new_message(class, destination, age_ms)
        };
        let submitted = Submitted {
            class,
            destination,
            ordering_key,
            deadline: new_message.deadline,
            number: self.rules.messages.len(),
            attempts: 0,
            in_flight: None,
            first_possible_execution: None,
            has_outcome: false,
        };
        self.rules.messages.insert(new_message.message, submitted);
        Event::Accepted(new_message)
    }

    fn list_change(&mut self) -> Event {
        let endpoint = self.random.below(u64::from(ENDPOINTS)) as u32;
        let status = [
            EndpointStatus::Active,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ][self.random.below(3) as usize];
        match status {
            EndpointStatus::Active => self.rules.active_endpoints.insert(endpoint),
            _ => self.rules.active_endpoints.remove(&endpoint),
        };
        Event::EndpointsUpdated(vec![list_entry(endpoint, status)])
    }

    fn cancellation(&mut self) -> Option<Event> {
        let open = self.rules.messages.iter();
        let open = open.filter(|(_, message)| !message.has_outcome);
        let open: Vec<MessageId> = open.map(|(id, _)| *id).collect();
        let index = self.random.below(open.len().max(1) as u64) as usize;
        let id = *open.get(index)?;
        let message = self.rules.messages.get_mut(&id);
        let message = message.expect("the message was submitted");
        message.has_outcome = true;
        Some(Event::Cancelled(id))
    }
}

#[test]
fn random_legal_events_break_no_rule() {
    for seed in SEEDS {
        let mut run = RandomRun::new(seed);
        for step in 0..STEPS {
            run.step(step);
            assert!(
                !run.rules.is_any_overdue(run.scheduler.now),
                "seed {seed}: a message has no outcome after its deadline"
            );
        }
        let mut messages = run.rules.messages.values();
        assert!(
            messages.all(|message| message.has_outcome),
            "seed {seed}: not all messages have an outcome"
        );
        let attempts = run.rules.messages.values().map(|message| message.attempts);
        let attempts: u32 = attempts.sum();
        assert!(
            attempts > 250,
            "seed {seed}: {attempts} attempts are too few to test anything"
        );
    }
}

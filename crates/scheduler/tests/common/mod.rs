//! Test support: settings, a scheduler with a clock, and functions that extract data from its actions.
#![allow(dead_code, reason = "each test program uses a part of this module")]

pub mod fleet;
pub mod scenario;

use marblefall_scheduler::*;

/// Seed of the scheduler under test.
const SEED: u64 = 7;
/// Time to live of a new message, in ms.
pub const DEADLINE_MS: f64 = 16_000.0;

pub fn class(priority_weight: f64, idempotency: Idempotency) -> MessageClass {
    MessageClass {
        priority_weight,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(DEADLINE_MS),
        late_value: 0.3,
        idempotency,
        ordered: false,
    }
}

/// A xorshift generator, which draws the same numbers in every test run. The seed must not be 0.
pub struct SeededRandom(pub u64);

impl SeededRandom {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    /// Returns a number in `0..bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a number in 0..1.
    pub fn fraction(&mut self) -> f64 {
        self.next() as f64 / (1u64 << 53) as f64
    }
}

/// Returns the default test settings. Class 0 is idempotent. Class 1 has idempotency keys with the scope of a zone and a
/// window of 4 s. Class 2 is non-idempotent with priority weight 4. Class 3 is ordered.
pub fn settings() -> Settings {
    let zone_key = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Zone,
        window: Span::from_ms(4000.0),
    };
    let mut ordered = class(1.0, Idempotency::Idempotent);
    ordered.ordered = true;
    Settings {
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(1.0, zone_key),
            class(4.0, Idempotency::NonIdempotent),
            ordered,
        ],
        tenants: vec![],
        over_quota_weight: 0.05,
        kinds: vec![
            DestinationKind {
                separate_routes: false,
                max_batch: 1,
            },
            DestinationKind {
                separate_routes: true,
                max_batch: 1,
            },
        ],
        zone_fees: vec![0.0, 0.0],
        value_decay: ValueDecay::Halving,
        limits: Limits {
            max_in_flight: 4,
            max_open_messages: 100,
            max_attempts: 6,
            streams_per_connection: 1,
            idle_timeout: Span::from_ms(15000.0),
            max_retry_after: Span::from_ms(3000.0),
            cancellation_allowed: true,
            health_checks_allowed: false,
        },
        rules: Rules {
            ramp_start: 0.2,
            ramp_duration: Span::from_ms(9000.0),
            overload_factor: 2.0,
            overload_window: Span::from_ms(2000.0),
            ordering_pause: Span::from_ms(700.0),
            max_poll_interval: Span::from_ms(10000.0),
        },
        discovery: DiscoveryMode::Push,
        rate_hints: RateHints::Absent,
        instances: 3,
        min_batch_interval: Span::from_ms(5.0),
    }
}

/// Returns the default test settings with at most one call in flight.
pub fn one_call_at_a_time() -> Settings {
    let mut settings = settings();
    settings.limits.max_in_flight = 1;
    settings
}

/// A scheduler with a clock and a counter of messages.
pub struct TestScheduler {
    pub scheduler: Scheduler,
    pub now: Time,
    last_message: u64,
}

impl TestScheduler {
    pub fn new(settings: Settings) -> TestScheduler {
        TestScheduler {
            scheduler: Scheduler::new(settings, SEED),
            now: Time::from_ms(1000.0),
            last_message: 0,
        }
    }

    /// Creates a scheduler with `count` destinations. Destination n has one endpoint, with the number n, of kind 0 in
    /// zone 0.
    pub fn with_destinations(settings: Settings, count: u64) -> TestScheduler {
        let mut scheduler = TestScheduler::new(settings);
        let endpoints = (0..count)
            .map(|n| listed_endpoint(n as u32, n, 0, 0))
            .collect();
        scheduler.handle(Event::EndpointsReplaced(endpoints));
        scheduler
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.handle_all(&[event])
    }

    pub fn handle_all(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        actions
    }

    /// Sets the clock.
    pub fn at(&mut self, ms: f64) -> &mut TestScheduler {
        self.now = Time::from_ms(ms);
        self
    }

    /// Advances the clock.
    pub fn after(&mut self, ms: f64) -> &mut TestScheduler {
        self.at(self.now.ms() + ms)
    }

    /// Handles an empty batch at this time.
    pub fn idle(&mut self, ms: f64) -> Vec<Action> {
        self.at(ms).handle_all(&[])
    }

    /// Returns a new message and its event.
    pub fn message(&mut self, class: usize, destination: u64) -> (MessageId, Event) {
        self.submitted_earlier(class, destination, 0.0)
    }

    /// Returns a message that was first submitted `age` ms ago, and its event.
    pub fn submitted_earlier(
        &mut self,
        class: usize,
        destination: u64,
        age: f64,
    ) -> (MessageId, Event) {
        let new_message = self.new_message(class, destination, age);
        (new_message.message, Event::Accepted(new_message))
    }

    /// Returns a message that was first submitted `age` ms ago.
    pub fn new_message(&mut self, class: usize, destination: u64, age: f64) -> NewMessage {
        self.last_message += 1;
        NewMessage {
            message: MessageId(self.last_message),
            class: ClassId(class),
            tenant: None,
            ordering_key: None,
            deadline: self.now + Span::from_ms(DEADLINE_MS - age),
            destination: DestinationId(destination),
        }
    }

    /// Returns the events of `count` new messages of class 0.
    pub fn messages(&mut self, count: usize, destination: u64) -> Vec<Event> {
        (0..count).map(|_| self.message(0, destination).1).collect()
    }

    /// Submits a message. Returns the message and the scheduler's actions.
    pub fn submit(&mut self, class: usize, destination: u64) -> (MessageId, Vec<Action>) {
        let (message, event) = self.message(class, destination);
        (message, self.handle(event))
    }

    /// Delivers a message after 100 ms, so that the destination's latency is known.
    pub fn warm_up(&mut self, destination: u64) {
        let (message, actions) = self.submit(0, destination);
        assert_eq!(sends(&actions).len(), 1);
        self.after(100.0)
            .handle(attempt_finished(message, 0, Outcome::Delivered));
    }
}

pub fn listed_endpoint(
    endpoint: u32,
    destination: u64,
    kind: usize,
    zone: usize,
) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination),
        kind: KindId(kind),
        zone: ZoneId(zone),
        status: EndpointStatus::Active,
        advertised_rate: 1.0,
        weight: None,
    }
}

/// Returns the event of an attempt that ended after 100 ms. A delivery is the message's final outcome.
pub fn attempt_finished(message: MessageId, attempt: u32, outcome: Outcome) -> Event {
    attempt_reported(message, attempt, outcome, RateLimitReport::default())
}

/// Like [`attempt_finished`], with the rate limit that the response reports.
pub fn attempt_reported(
    message: MessageId,
    attempt: u32,
    outcome: Outcome,
    report: RateLimitReport,
) -> Event {
    Event::AttemptFinished {
        message,
        attempt: AttemptNumber(attempt),
        outcome,
        duration: Span::from_ms(100.0),
        is_final: outcome == Outcome::Delivered,
        rate_limit: report,
    }
}

/// A rejection without a `Retry-After`.
pub const REJECTED: Outcome = Outcome::Rejected { retry_after: None };

/// Returns a rejection with a `Retry-After` in ms.
pub fn rejected_for(ms: f64) -> Outcome {
    Outcome::Rejected {
        retry_after: Some(Span::from_ms(ms)),
    }
}

/// Returns the messages sent, each with its endpoint.
pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    let send = |action: &Action| match action {
        Action::Send {
            message, endpoint, ..
        } => Some((*message, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the messages that were rejected or failed.
pub fn given_up(actions: &[Action]) -> Vec<MessageId> {
    let end = |action: &Action| match action {
        Action::Reject { message, .. } | Action::Fail(message) => Some(*message),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

/// Returns the time-out of the first attempt in `actions`, in ms.
pub fn timeout_ms(now: Time, actions: &[Action]) -> f64 {
    let timeout_at = actions.iter().find_map(|action| match action {
        Action::Send { timeout_at, .. } => Some(*timeout_at),
        _ => None,
    });
    (timeout_at.expect("a message was sent") - now).ms()
}

//! A small bed for tests: settings, a instance with a clock, and what it said.
#![allow(dead_code)]

use marblefall_scheduler::*;

pub fn class(priority_weight: f64, idempotency: Idempotency) -> MessageClass {
    MessageClass {
        priority_weight,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(16000.0),
        late_value: 0.3,
        idempotency,
        ordered: false,
    }
}

/// Draws that are the same in each run; begun with anything but 0.
pub struct SeededRandom(pub u64);

impl SeededRandom {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    /// A number in `0..sides`.
    pub fn below(&mut self, sides: u64) -> u64 {
        self.next() % sides
    }

    /// A number in 0..1.
    pub fn fraction(&mut self) -> f64 {
        self.next() as f64 / (1u64 << 53) as f64
    }
}

/// Class 0 pure, 1 keyed within a zone for 4 s, 2 unsafe and weight 4, 3 pure in order.
pub fn settings() -> Settings {
    let token = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Zone,
        window: Span::from_ms(4000.0),
    };
    let mut ordered = class(1.0, Idempotency::Idempotent);
    ordered.ordered = true;
    Settings {
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(1.0, token),
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

pub struct TestScheduler {
    pub instance: Scheduler,
    pub now: Time,
    next: u64,
}

impl TestScheduler {
    pub fn new(settings: Settings) -> TestScheduler {
        TestScheduler {
            instance: Scheduler::new(settings, 7),
            now: Time::from_ms(1000.0),
            next: 0,
        }
    }

    /// One endpoint of each of these destinations, of kind 0 in zone 0; endpoint n is destination n's.
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
        self.instance.handle(self.now, events, &mut actions);
        actions
    }

    pub fn at(&mut self, ms: f64) -> &mut TestScheduler {
        self.now = Time::from_ms(ms);
        self
    }

    /// Lets time pass without news.
    pub fn idle(&mut self, ms: f64) -> Vec<Action> {
        self.at(ms).handle_all(&[])
    }

    pub fn message(&mut self, class: usize, destination: u64) -> (MessageId, Event) {
        self.submitted_earlier(class, destination, 0.0)
    }

    /// A message that was first submitted `age` ms ago.
    pub fn submitted_earlier(
        &mut self,
        class: usize,
        destination: u64,
        age: f64,
    ) -> (MessageId, Event) {
        self.next += 1;
        let message = MessageId(self.next);
        let deadline = self.now + Span::from_ms(16000.0 - age);
        let destination = DestinationId(destination);
        let new_message = NewMessage {
            message,
            class: ClassId(class),
            tenant: None,
            ordering_key: None,
            deadline,
            destination,
        };
        (message, Event::Accepted(new_message))
    }

    /// Submits a message in and returns what the instance did.
    pub fn submit(&mut self, class: usize, destination: u64) -> (MessageId, Vec<Action>) {
        let (message, event) = self.message(class, destination);
        (message, self.handle(event))
    }

    /// Delivers one message after 100 ms, so that the destination is met.
    pub fn warm_up(&mut self, destination: u64) {
        let (message, actions) = self.submit(0, destination);
        assert_eq!(sends(&actions).len(), 1);
        self.at(self.now.ms() + 100.0)
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

pub fn attempt_finished(message: MessageId, attempt: u32, outcome: Outcome) -> Event {
    attempt_reported(message, attempt, outcome, RateLimitReport::default())
}

/// The same with what the answer told of the limit.
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

pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    let send = |action: &Action| match action {
        Action::Send {
            message, endpoint, ..
        } => Some((*message, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn ends(actions: &[Action]) -> Vec<MessageId> {
    let end = |action: &Action| match action {
        Action::Reject { message, .. } | Action::Fail(message) => Some(*message),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

/// The time-out that a send was given, in ms.
pub fn timeout_ms(now: Time, actions: &[Action]) -> f64 {
    let cut = actions.iter().find_map(|action| match action {
        Action::Send { timeout_at, .. } => Some(*timeout_at),
        _ => None,
    });
    (cut.expect("something was sent") - now).ms()
}

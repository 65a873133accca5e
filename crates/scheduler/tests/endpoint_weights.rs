//! The weights of endpoints determine their shares of a destination's calls.

mod common;

use common::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

/// An attempt in flight.
struct InFlight {
    ends_at_ms: f64,
    message: MessageId,
    attempt: u32,
    endpoint: usize,
}

/// A destination with weighted endpoints under an even stream of messages.
struct Stream {
    scheduler: TestScheduler,
    /// Latency of each endpoint, in ms.
    latencies_ms: Vec<f64>,
    /// Whether each endpoint resets its connections.
    failing: Vec<bool>,
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<MessageId, u32>,
    /// Endpoints of the calls in the latest run, in the order of the calls.
    calls: Vec<usize>,
}

fn weighted_list(weights: &[f64]) -> Vec<EndpointUpdate> {
    let weighted = |(id, weight): (usize, &f64)| EndpointUpdate {
        weight: Some(*weight),
        ..listed_endpoint(id as u32, 0, 0, 0)
    };
    weights.iter().enumerate().map(weighted).collect()
}

impl Stream {
    fn new(weights: &[f64], latencies_ms: &[f64]) -> Stream {
        let mut settings = settings();
        settings.limits.max_in_flight = 64;
        let mut scheduler = TestScheduler::new(settings);
        scheduler.handle(Event::EndpointsReplaced(weighted_list(weights)));
        Stream {
            scheduler,
            latencies_ms: latencies_ms.to_vec(),
            failing: vec![false; latencies_ms.len()],
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// Submits one message every 10 ms. Returns each endpoint's share of the calls.
    fn run(&mut self, messages: usize) -> Vec<f64> {
        self.calls.clear();
        for _ in 0..messages {
            self.step();
        }
        let share = |endpoint: usize| {
            let calls = self.calls.iter().filter(|call| **call == endpoint).count();
            calls as f64 / self.calls.len() as f64
        };
        (0..self.latencies_ms.len()).map(share).collect()
    }

    fn step(&mut self) {
        let now = self.scheduler.now.ms() + 10.0;
        self.scheduler.at(now);
        let mut events = vec![self.scheduler.message(0, 0).1];
        let ended = self.in_flight.extract_if(.., |call| call.ends_at_ms <= now);
        for call in ended {
            let is_failing = self.failing[call.endpoint];
            events.push(Event::AttemptFinished {
                message: call.message,
                attempt: AttemptNumber(call.attempt),
                outcome: if is_failing {
                    Outcome::Reset
                } else {
                    Outcome::Delivered
                },
                duration: Span::from_ms(self.latencies_ms[call.endpoint]),
                is_final: !is_failing,
                rate_limit: RateLimitReport::default(),
            });
        }
        for (message, endpoint) in sends(&self.scheduler.handle_all(&events)) {
            let attempt = self.attempts.entry(message).or_default();
            let endpoint = endpoint.0 as usize;
            self.in_flight.push(InFlight {
                ends_at_ms: now + self.latencies_ms[endpoint],
                message,
                attempt: *attempt,
                endpoint,
            });
            *attempt += 1;
            self.calls.push(endpoint);
        }
    }

    fn set_weights(&mut self, weights: &[f64]) {
        self.scheduler
            .handle(Event::EndpointsUpdated(weighted_list(weights)));
    }
}

fn assert_shares(shares: &[f64], weights: &[f64], tolerance: f64) {
    let total: f64 = weights.iter().sum();
    for (share, weight) in shares.iter().zip(weights) {
        assert!(
            (share - weight / total).abs() <= tolerance,
            "{shares:?} for {weights:?}"
        );
    }
}

#[test]
fn shares_follow_weights_at_any_latency() {
    for weights in [
        [1.0, 1.0, 1.0],
        [5.0, 3.0, 2.0],
        [1.0, 99.0, 1000.0],
        [0.5, 0.25, 0.01],
    ] {
        // The endpoint with the highest weight is the slowest in one run and the fastest in the other.
        for latencies_ms in [[30.0, 90.0, 160.0], [160.0, 90.0, 30.0]] {
            let shares = Stream::new(&weights, &latencies_ms).run(10_000);
            assert_shares(&shares, &weights, 0.02);
        }
    }
}

#[test]
fn changed_weights_apply_at_once_without_a_burst() {
    let mut stream = Stream::new(&[3.0, 1.0], &[50.0, 50.0]);
    stream.run(1000);
    stream.set_weights(&[1.0, 3.0]);
    // 25 messages are submitted in the next 250 ms.
    assert_shares(&stream.run(25), &[1.0, 3.0], 0.1);
    assert!(
        stream.calls.iter().take(8).any(|endpoint| *endpoint == 0),
        "{:?}",
        stream.calls
    );
    // The weight rises from almost nothing to half. The endpoint neither waits for the turn that its old weight gave, nor
    // does it catch up on missed calls.
    let mut stream = Stream::new(&[100.0, 0.001], &[50.0, 50.0]);
    stream.run(1000);
    stream.set_weights(&[100.0, 100.0]);
    assert_shares(&stream.run(24), &[1.0, 1.0], 0.1);
    // A new endpoint receives its share of the calls, not all of them.
    stream.set_weights(&[100.0, 100.0, 100.0]);
    (stream.latencies_ms, stream.failing) = (vec![50.0; 3], vec![false; 3]);
    assert_shares(&stream.run(30), &[1.0, 1.0, 1.0], 0.1);
}

#[test]
fn share_of_failed_endpoint_moves_and_returns_gradually() {
    let mut stream = Stream::new(&[2.0, 1.0, 1.0], &[40.0; 3]);
    stream.run(500);
    stream.failing[0] = true;
    stream.run(100);
    // The failed endpoint receives almost no calls, and the others keep their proportion.
    let shares = stream.run(300);
    assert!(shares[0] < 0.05, "{shares:?}");
    assert!((shares[1] - shares[2]).abs() < 0.05, "{shares:?}");
    stream.failing[0] = false;
    let shares: Vec<f64> = (0..9).map(|_| stream.run(200)[0]).collect();
    let recovered = shares.iter().position(|share| *share > 0.05);
    let recovered = recovered.expect("the endpoint recovers");
    // The ramp gives the endpoint 0.2 of its capacity at the start of the recovery, and all of it 9 s later.
    assert!(
        shares[recovered] < 0.3 && shares[recovered] < shares[recovered + 2],
        "{shares:?}"
    );
    assert_shares(&stream.run(1000), &[2.0, 1.0, 1.0], 0.03);
}

#[test]
fn first_calls_of_many_instances_follow_weights() {
    let mut counts = [0; 3];
    for seed in 0..600 {
        let mut instance = Scheduler::new(settings(), seed);
        let mut messages = TestScheduler::new(settings());
        let events = [
            Event::EndpointsReplaced(weighted_list(&[5.0, 3.0, 2.0])),
            messages.message(0, 0).1,
        ];
        let mut actions = Vec::new();
        instance.handle(messages.now, &events, &mut actions);
        counts[sends(&actions)[0].1 .0 as usize] += 1;
    }
    // Of the first calls of the instances, the endpoint with the highest weight receives most, but far from all.
    assert!(
        counts[0] > counts[1] && counts[1] > counts[2] && counts[2] > 30,
        "{counts:?}"
    );
    assert!(counts[0] < 480, "{counts:?}");
}

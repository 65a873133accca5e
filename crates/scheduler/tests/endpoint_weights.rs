//! Given weights steer where a destination's calls go.

mod common;

use common::*;
use marblefall_scheduler::*;

/// One destination behind weighted endpoints, each with its call time in ms, under an even stream of messages.
struct Stream {
    scheduler: TestScheduler,
    took: Vec<f64>,
    sick: Vec<bool>,
    out: Vec<(f64, MessageId, u32, usize)>,
    attempts: std::collections::BTreeMap<MessageId, u32>,
    counts: Vec<usize>,
    order: Vec<usize>,
}

fn list(weights: &[f64]) -> Vec<EndpointUpdate> {
    let weighted = |(id, weight): (usize, &f64)| EndpointUpdate {
        weight: Some(*weight),
        ..listed_endpoint(id as u32, 0, 0, 0)
    };
    weights.iter().enumerate().map(weighted).collect()
}

impl Stream {
    fn new(weights: &[f64], took: &[f64]) -> Stream {
        let mut set = settings();
        set.limits.max_in_flight = 64;
        let mut scheduler = TestScheduler::new(set);
        scheduler.handle(Event::EndpointsReplaced(list(weights)));
        Stream {
            scheduler,
            took: took.to_vec(),
            sick: vec![false; took.len()],
            out: Vec::new(),
            attempts: Default::default(),
            counts: vec![0; took.len()],
            order: Vec::new(),
        }
    }

    /// So many messages, one each 10 ms; returns the shares of the calls that this led to.
    fn play(&mut self, messages: usize) -> Vec<f64> {
        (self.counts, self.order) = (vec![0; self.took.len()], Vec::new());
        for _ in 0..messages {
            let now = self.scheduler.now.ms() + 10.0;
            self.scheduler.at(now);
            let mut events = vec![self.scheduler.message(0, 0).1];
            let done = |leg: &(f64, MessageId, u32, usize)| leg.0 <= now;
            for (_, message, attempt, endpoint) in self.out.extract_if(.., |leg| done(leg)) {
                let outcome = if self.sick[endpoint] {
                    Outcome::Reset
                } else {
                    Outcome::Delivered
                };
                let took = Span::from_ms(self.took[endpoint]);
                let (last, attempt, report) = (
                    !self.sick[endpoint],
                    AttemptNumber(attempt),
                    RateLimitReport::default(),
                );
                events.push(Event::AttemptFinished {
                    message,
                    attempt,
                    outcome,
                    duration: took,
                    is_final: last,
                    rate_limit: report,
                });
            }
            for (message, endpoint) in sends(&self.scheduler.handle_all(&events)) {
                let attempt = self.attempts.entry(message).or_default();
                let endpoint = endpoint.0 as usize;
                self.out
                    .push((now + self.took[endpoint], message, *attempt, endpoint));
                *attempt += 1;
                self.counts[endpoint] += 1;
                self.order.push(endpoint);
            }
        }
        let all: usize = self.counts.iter().sum();
        self.counts
            .iter()
            .map(|count| *count as f64 / all as f64)
            .collect()
    }

    fn reweigh(&mut self, weights: &[f64]) {
        self.scheduler
            .handle(Event::EndpointsUpdated(list(weights)));
    }
}

fn near(shares: &[f64], weights: &[f64], within: f64) {
    let all: f64 = weights.iter().sum();
    for (share, weight) in shares.iter().zip(weights) {
        assert!(
            (share - weight / all).abs() <= within,
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
        // The heaviest is the slowest and the quickest in turn.
        for took in [[30.0, 90.0, 160.0], [160.0, 90.0, 30.0]] {
            let shares = Stream::new(&weights, &took).play(10_000);
            near(&shares, &weights, 0.02);
        }
    }
}

#[test]
fn changed_weights_apply_at_once_without_a_burst() {
    let mut stream = Stream::new(&[3.0, 1.0], &[50.0, 50.0]);
    stream.play(1000);
    stream.reweigh(&[1.0, 3.0]);
    // The calls of the next 250 ms.
    near(&stream.play(25), &[1.0, 3.0], 0.1);
    assert!(
        stream.order.iter().take(8).any(|endpoint| *endpoint == 0),
        "{:?}",
        stream.order
    );
    // From next to nothing to half: neither waits for its old turn, nor makes up for what it never got.
    let mut stream = Stream::new(&[100.0, 0.001], &[50.0, 50.0]);
    stream.play(1000);
    stream.reweigh(&[100.0, 100.0]);
    near(&stream.play(24), &[1.0, 1.0], 0.1);
    // A new endpoint gets its part, not all.
    stream.reweigh(&[100.0, 100.0, 100.0]);
    (stream.took, stream.sick) = (vec![50.0; 3], vec![false; 3]);
    near(&stream.play(30), &[1.0, 1.0, 1.0], 0.1);
}

#[test]
fn share_of_failed_endpoint_moves_and_returns_gradually() {
    let mut stream = Stream::new(&[2.0, 1.0, 1.0], &[40.0; 3]);
    stream.play(500);
    stream.sick[0] = true;
    stream.play(100);
    // Found out: hardly a call goes there, and the others keep their proportion.
    let shares = stream.play(300);
    assert!(shares[0] < 0.05, "{shares:?}");
    assert!((shares[1] - shares[2]).abs() < 0.05, "{shares:?}");
    stream.sick[0] = false;
    let parts: Vec<f64> = (0..9).map(|_| stream.play(200)[0]).collect();
    let first = parts
        .iter()
        .position(|fraction| *fraction > 0.05)
        .expect("it comes back");
    // The settings let it have 0.2 of its capacity when it is back, and all of it 9 s later.
    assert!(
        parts[first] < 0.3 && parts[first] < parts[first + 2],
        "{parts:?}"
    );
    near(&stream.play(1000), &[2.0, 1.0, 1.0], 0.03);
}

#[test]
fn rarely_calling_instances_follow_weights_together() {
    let mut counts = [0; 3];
    for seed in 0..600 {
        let mut instance = Scheduler::new(settings(), seed);
        let mut scheduler = TestScheduler::new(settings());
        let mut actions = Vec::new();
        instance.handle(
            scheduler.now,
            &[
                Event::EndpointsReplaced(list(&[5.0, 3.0, 2.0])),
                scheduler.message(0, 0).1,
            ],
            &mut actions,
        );
        counts[sends(&actions)[0].1 .0 as usize] += 1;
    }
    // Their first calls, one each: the heaviest gets most of them, but far from all.
    assert!(
        counts[0] > counts[1] && counts[1] > counts[2] && counts[2] > 30,
        "{counts:?}"
    );
    assert!(counts[0] < 480, "{counts:?}");
}

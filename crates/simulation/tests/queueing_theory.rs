//! Simulated destinations match the formulas of queueing theory, and enforce their rate limits.

use marblefall_scheduler::{Outcome, Span, Time};
use marblefall_simulation::destination::{CallResult, Destination, DestinationState, RateLimit};
use marblefall_simulation::distribution::{ServiceTime, Shape};
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use rand_pcg::Pcg64;

const SHORT_SERVICE_TIME: ServiceTime = ServiceTime {
    mean_ms: 1.0,
    shape: Shape::Constant,
};

fn destination(service_time: ServiceTime, limit: Option<RateLimit>) -> DestinationState {
    DestinationState::new(&Destination {
        name: "destination".to_owned(),
        endpoints: 1,
        service_time,
        servers: 1,
        queue: usize::MAX,
        limit,
        sends_retry_after: true,
        counts_rejected: false,
        rejection_rate: 0.0,
        outages: vec![],
        warm_up: None,
        advertised_rate: None,
        connection_policy: None,
    })
}

/// Calls the only endpoint. Returns the time of the answer and the outcome.
fn call(destination: &mut DestinationState, rng: &mut Pcg64, at: Time) -> (Time, Outcome) {
    let result: CallResult = destination.receive(at, 0, rng);
    result.answer().expect("every call is answered")
}

/// Returns the mean time in ms from the arrival of a call to its answer, at a utilisation of a single server.
fn mean_response_ms(shape: Shape, utilisation: f64) -> f64 {
    const CALLS: usize = 2_000_000;
    let service_time = ServiceTime {
        mean_ms: 10.0,
        shape,
    };
    let mut rng = Pcg64::seed_from_u64(11);
    let mut destination = destination(service_time, None);
    let (mut at_ms, mut sum_ms) = (0.0f64, 0.0);
    for _ in 0..CALLS {
        at_ms += rng.sample::<f64, _>(Exp1) * service_time.mean_ms / utilisation;
        let now = Time::from_ms(at_ms);
        let (done, outcome) = call(&mut destination, &mut rng, now);
        assert_eq!(outcome, Outcome::Delivered);
        sum_ms += (done - now).ms();
    }
    sum_ms / CALLS as f64
}

fn assert_within_3_percent(measured_ms: f64, expected_ms: f64) {
    assert!(
        (measured_ms / expected_ms - 1.0).abs() < 0.03,
        "measured {measured_ms:.3} ms, expected {expected_ms:.3} ms by the formula"
    );
}

#[test]
fn exponential_service_matches_mm1_formula() {
    for utilisation in [0.3, 0.7] {
        let response_ms = mean_response_ms(Shape::Exponential, utilisation);
        assert_within_3_percent(response_ms, 10.0 / (1.0 - utilisation));
    }
}

#[test]
fn general_service_matches_pollaczek_khinchine_formula() {
    let expected_ms =
        |load: f64, second_moment: f64| 10.0 + load / 10.0 * second_moment / (2.0 * (1.0 - load));
    let constant = mean_response_ms(Shape::Constant, 0.7);
    assert_within_3_percent(constant, expected_ms(0.7, 100.0));
    let sigma = 0.7f64;
    let log_normal = mean_response_ms(Shape::LogNormal(sigma), 0.7);
    let second_moment = 100.0 * (sigma * sigma).exp();
    assert_within_3_percent(log_normal, expected_ms(0.7, second_moment));
}

/// Returns the number of deliveries when a call arrives every 10 ms for 100 s.
fn delivered(limit: RateLimit) -> usize {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut destination = destination(SHORT_SERVICE_TIME, Some(limit));
    (0..10_000)
        .filter(|n| {
            let at = Time::from_ms(f64::from(*n) * 10.0);
            call(&mut destination, &mut rng, at).1 == Outcome::Delivered
        })
        .count()
}

#[test]
fn rate_limits_admit_exactly_their_quota() {
    // The burst at the start, and the tokens that are refilled until the last call, at 99.99 s.
    assert_eq!(
        delivered(RateLimit::TokenBucket {
            rate: 10.0,
            burst: 5.0
        }),
        5 + 999
    );
    assert_eq!(
        delivered(RateLimit::FixedWindow {
            calls: 20,
            length: Span::from_ms(1000.0)
        }),
        100 * 20
    );
}

#[test]
fn call_that_observes_retry_after_is_delivered() {
    for limit in [
        RateLimit::TokenBucket {
            rate: 7.0,
            burst: 3.0,
        },
        RateLimit::FixedWindow {
            calls: 3,
            length: Span::from_ms(900.0),
        },
    ] {
        let mut rng = Pcg64::seed_from_u64(1);
        let mut destination = destination(SHORT_SERVICE_TIME, Some(limit));
        let (mut now, mut rejected) = (Time(0), 0);
        for _ in 0..1000 {
            match call(&mut destination, &mut rng, now).1 {
                Outcome::Rejected {
                    retry_after: Some(wait),
                } => {
                    rejected += 1;
                    now = now + wait;
                    let (_, outcome) = call(&mut destination, &mut rng, now);
                    assert_eq!(outcome, Outcome::Delivered, "{limit:?}");
                }
                outcome => assert_eq!(outcome, Outcome::Delivered),
            }
        }
        assert!(rejected > 100);
    }
}

//! The model against what is known of queues and limits.

use marblefall_scheduler::{Outcome, Span, Time};
use marblefall_simulation::destination::{Limit, Partner, Running};
use marblefall_simulation::distribution::{Service, Shape};
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use rand_pcg::Pcg64;

fn partner(service: Service, limit: Option<Limit>) -> Partner {
    Partner {
        name: "one".to_owned(),
        endpoints: 1,
        service,
        servers: 1,
        queue: usize::MAX,
        limit,
        tells_wait: true,
        counts_refused: false,
        refuses: 0.0,
        outages: vec![],
        cold: None,
        listed: None,
        wire: None,
    }
}

/// Mean time in ms from a call's coming to its answer, at so much load of one server.
fn mean_stay(service: Service, load: f64) -> f64 {
    let (mut rng, mut one) = (
        Pcg64::seed_from_u64(11),
        Running::new(&partner(service, None)),
    );
    let (mut at, mut sum) = (0.0f64, 0.0);
    const CALLS: usize = 2_000_000;
    for _ in 0..CALLS {
        at += rng.sample::<f64, _>(Exp1) * service.mean_ms / load;
        let now = Time::from_ms(at);
        let (done, outcome) = one.take(now, 0, &mut rng).answer.expect("it answers");
        assert_eq!(outcome, Outcome::Delivered);
        sum += (done - now).ms();
    }
    sum / CALLS as f64
}

fn within_3_percent(is: f64, should: f64) {
    assert!(
        (is / should - 1.0).abs() < 0.03,
        "{is:.3} ms, by the formula {should:.3} ms"
    );
}

#[test]
fn a_queue_without_memory_is_as_long_as_the_formula_says() {
    for load in [0.3, 0.7] {
        let stay = mean_stay(
            Service {
                mean_ms: 10.0,
                shape: Shape::Exponential,
            },
            load,
        );
        within_3_percent(stay, 10.0 / (1.0 - load));
    }
}

#[test]
fn a_queue_of_any_service_is_as_long_as_pollaczek_and_khinchine_say() {
    let by_formula =
        |load: f64, second_moment: f64| 10.0 + load / 10.0 * second_moment / (2.0 * (1.0 - load));
    let constant = mean_stay(
        Service {
            mean_ms: 10.0,
            shape: Shape::Constant,
        },
        0.7,
    );
    within_3_percent(constant, by_formula(0.7, 100.0));
    let sigma = 0.7f64;
    let lognormal = mean_stay(
        Service {
            mean_ms: 10.0,
            shape: Shape::LogNormal(sigma),
        },
        0.7,
    );
    within_3_percent(lognormal, by_formula(0.7, 100.0 * (sigma * sigma).exp()));
}

/// Calls every 10 ms for 100 s; how many were served, and how many of those that kept to the wait they were told.
fn served(limit: Limit) -> usize {
    let service = Service {
        mean_ms: 1.0,
        shape: Shape::Constant,
    };
    let (mut rng, mut one) = (
        Pcg64::seed_from_u64(1),
        Running::new(&partner(service, Some(limit))),
    );
    let call = |one: &mut Running, rng: &mut Pcg64, at: Time| {
        one.take(at, 0, rng).answer.expect("it answers").1
    };
    (0..10_000)
        .filter(|n| call(&mut one, &mut rng, Time::from_ms(*n as f64 * 10.0)) == Outcome::Delivered)
        .count()
}

#[test]
fn limits_let_through_exactly_what_they_say() {
    // The burst at the start, and what comes in 99.99 s.
    assert_eq!(
        served(Limit::Rate {
            rate: 10.0,
            burst: 5.0
        }),
        5 + 999
    );
    assert_eq!(
        served(Limit::Window {
            calls: 20,
            length: Span::from_ms(1000.0)
        }),
        100 * 20
    );
}

#[test]
fn whoever_keeps_to_a_told_wait_is_served_then() {
    for limit in [
        Limit::Rate {
            rate: 7.0,
            burst: 3.0,
        },
        Limit::Window {
            calls: 3,
            length: Span::from_ms(900.0),
        },
    ] {
        let service = Service {
            mean_ms: 1.0,
            shape: Shape::Constant,
        };
        let (mut rng, mut one) = (
            Pcg64::seed_from_u64(1),
            Running::new(&partner(service, Some(limit))),
        );
        let (mut now, mut told) = (Time(0), 0);
        for _ in 0..1000 {
            match one.take(now, 0, &mut rng).answer.expect("it answers").1 {
                Outcome::Rejected {
                    retry_after: Some(wait),
                } => {
                    told += 1;
                    now = now + wait;
                    let then = one.take(now, 0, &mut rng).answer.expect("it answers").1;
                    assert_eq!(then, Outcome::Delivered, "{limit:?}");
                }
                outcome => assert_eq!(outcome, Outcome::Delivered),
            }
        }
        assert!(told > 100);
    }
}

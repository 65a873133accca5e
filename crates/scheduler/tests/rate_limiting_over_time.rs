//! Rate limiters over time, for destinations that reject calls at random and for destinations with a rate limit.

mod common;

use common::scenario::*;
use common::*;
use marblefall_scheduler::*;

/// Returns the number of messages given up in 8 runs with 40 s of submissions, for a destination that rejects a quarter of
/// the calls at random.
fn given_up_under_random_rejections(instances: usize, offered_rate: f64) -> usize {
    let runs = (0..8).map(|seed| {
        let scenario = Scenario {
            settings: Settings {
                instances,
                ..three_instances()
            },
            destinations: 1,
            advertised_rate: 20.0,
            duration_s: 60.0,
            offered_rate,
            offered_until_s: 40.0,
        };
        let mut random = SeededRandom(0x2545_F491_4F6C_DD1D ^ seed << 17);
        let respond = |_, _| {
            if random.fraction() < 0.25 {
                failed_after(10.0, REJECTED)
            } else {
                delivered_after(40.0)
            }
        };
        scenario.run(respond).given_up
    });
    runs.sum()
}

/// The destination has capacity for all calls, so that a lower rate would only lose messages.
#[test]
fn random_rejections_do_not_lower_the_rate() {
    // The bounds apply to 8 runs with 600 or 240 messages each.
    for (instances, offered_rate, most) in
        [(1, 15.0, 48), (3, 15.0, 480), (1, 6.0, 5), (3, 6.0, 10)]
    {
        let given_up = given_up_under_random_rejections(instances, offered_rate);
        assert!(
            given_up <= most,
            "{instances} instances at {offered_rate} per second: {given_up} given up"
        );
    }
}

/// The limiters must stay near a limit of ten calls in any second, even if the listed rate is half too high.
#[test]
fn calls_stay_near_a_real_limit() {
    const LIMIT: usize = 10;
    for (instances, advertised_rate, most) in [
        (2, 10.0, 0.20),
        (3, 10.0, 0.30),
        (2, 15.0, 0.30),
        (3, 15.0, 0.35),
    ] {
        let scenario = Scenario {
            settings: Settings {
                instances,
                ..three_instances()
            },
            destinations: 1,
            advertised_rate,
            duration_s: 60.0,
            offered_rate: 14.0,
            offered_until_s: 60.0,
        };
        let mut accepted_at: Vec<f64> = vec![];
        let observed = scenario.run(|at, _| {
            let recent = accepted_at.iter().filter(|accepted| at - **accepted < 1.0);
            if recent.count() >= LIMIT {
                return failed_after(10.0, REJECTED);
            }
            accepted_at.push(at);
            delivered_after(40.0)
        });
        let calls = &observed.calls;
        let rejected = calls
            .iter()
            .filter(|call| call.outcome != Outcome::Delivered);
        let rejected = rejected.count() as f64 / calls.len() as f64;
        assert!(
            rejected <= most,
            "{instances} instances, listed at {advertised_rate}: {rejected:.2} of the calls rejected"
        );
        assert!(
            observed.deliveries.len() >= 540,
            "{} of at most 600 accepted messages delivered",
            observed.deliveries.len()
        );
    }
}

//! Recovery of destinations over time: a long outage, flapping, and many destinations that recover at the same time.

mod common;

use common::scenario::*;
use marblefall_scheduler::*;
use std::collections::BTreeMap;

#[test]
fn backlog_of_an_outage_is_spread_beyond_the_ramp() {
    let (full_rate, down_s, up_s) = (20.0, 20.0, 27.0);
    let scenario = Scenario {
        settings: three_instances(),
        destinations: 1,
        advertised_rate: full_rate,
        duration_s: 60.0,
        offered_rate: 18.0,
        offered_until_s: 60.0,
    };
    let observed = scenario.run(|at, _| {
        if at < down_s || at >= up_s {
            delivered_after(40.0)
        } else {
            failed_after(5.0, Outcome::Reset)
        }
    });
    let mut calls = observed.calls.iter();
    let first = calls
        .find(|call| call.sent_at_s >= up_s)
        .expect("a call is sent after the outage");
    let capacity = |at: f64| full_rate * ramp_capacity(at - first.sent_at_s);
    let loads: Vec<Load> = observed
        .loads(2.0)
        .filter(|load| load.end_s >= up_s + 2.0)
        .collect();
    let worst = loads
        .iter()
        .map(|load| load.calls_per_s / capacity(load.end_s))
        .fold(0.0, f64::max);
    assert!(worst < 1.5, "{worst:.2} times the capacity");
    let full_load = loads
        .iter()
        .find(|load| load.calls_per_s >= 0.9 * full_rate)
        .expect("the full load is reached");
    let recovery_s = full_load.end_s - up_s;
    assert!(recovery_s < 15.0, "full load after {recovery_s:.1} s");
}

#[test]
fn flapping_destination_is_not_overloaded_and_all_messages_end() {
    let is_down = |at: f64| (20.0..60.0).contains(&at) && (at - 20.0) % 4.0 >= 1.0;
    let scenario = Scenario {
        settings: three_instances(),
        destinations: 1,
        advertised_rate: 20.0,
        duration_s: 90.0,
        offered_rate: 0.8,
        offered_until_s: 60.0,
    };
    let observed = scenario.run(|at, _| {
        if is_down(at) {
            failed_after(5.0, Outcome::Reset)
        } else {
            delivered_after(40.0)
        }
    });
    assert_eq!(
        observed.deliveries.len() + observed.given_up,
        48,
        "each message has a final outcome"
    );
    // A message is given up if all of its six attempts are made while the destination is down.
    assert!(observed.given_up <= 1, "{} given up", observed.given_up);
    // The bound allows two half-open trial calls of each instance, and the calls before the ejection.
    let worst = observed
        .loads(1.0)
        .filter(|load| is_down(load.end_s))
        .map(|load| load.calls_per_s)
        .fold(0.0, f64::max);
    assert!(
        worst <= 8.0,
        "{worst} calls within one second of the outage"
    );
}

#[test]
fn destinations_that_recover_together_are_all_served_soon() {
    let up_s = 25.0;
    let scenario = Scenario {
        settings: three_instances(),
        destinations: 1000,
        advertised_rate: 2.0,
        duration_s: 60.0,
        offered_rate: 0.05,
        offered_until_s: 60.0,
    };
    let observed = scenario.run(|at, _| {
        if at < up_s {
            failed_after(5.0, Outcome::Reset)
        } else {
            delivered_after(40.0)
        }
    });
    let mut first_deliveries: BTreeMap<u64, f64> = BTreeMap::new();
    for delivery in &observed.deliveries {
        first_deliveries
            .entry(delivery.destination)
            .or_insert(delivery.delivered_at_s);
    }
    assert_eq!(first_deliveries.len(), 1000, "all destinations are served");
    let last = first_deliveries.values().copied().fold(0.0, f64::max) - up_s;
    // Each destination receives a message every 20 s.
    assert!(
        last < 20.0,
        "the last destination was served {last:.1} s after the outage"
    );
}

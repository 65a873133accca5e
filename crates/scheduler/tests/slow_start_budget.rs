//! Budget of a recovering destination, within which all instances together must stay for any number of instances.

mod common;

use common::scenario::*;
use common::*;
use marblefall_scheduler::*;

/// Start of the outage, in seconds.
const DOWN_S: f64 = 20.0;

/// Returns the number of calls that a recovering destination may receive within the overload window: the number that the
/// settings permit, plus a margin for random variation.
fn slow_start_budget(permitted: f64) -> f64 {
    if permitted < 30.0 {
        permitted + 3.0 * permitted.sqrt() + 3.0
    } else {
        permitted + 2.0 * permitted.sqrt() + 2.0
    }
}

/// Behaviour of a destination while it is out of service.
#[derive(Clone, Copy, Debug)]
enum Outage {
    RefusesConnections,
    Hangs,
    RejectsAll,
    Errors,
}

impl Outage {
    fn response(self) -> Response {
        match self {
            Outage::RefusesConnections => failed_after(5.0, Outcome::ConnectFailed),
            Outage::Hangs => failed_after(1500.0, Outcome::TimedOut),
            Outage::RejectsAll => failed_after(5.0, REJECTED),
            Outage::Errors => failed_after(20.0, Outcome::Error),
        }
    }
}

/// A destination that is out of service for a while.
#[derive(Clone, Copy, Debug)]
struct OutageCase {
    instances: usize,
    /// Full rate of the destination, in calls per second.
    full_rate: f64,
    /// Listed rate as a multiple of the full rate, or 0 if no rate is listed.
    listed_factor: f64,
    outage: Outage,
    /// Length of the outage, in seconds.
    lasts_s: f64,
}

impl OutageCase {
    fn scenario(&self) -> Scenario {
        let mut settings = three_instances();
        settings.instances = self.instances;
        if self.listed_factor == 0.0 {
            settings.rate_hints = RateHints::Absent;
        }
        (
            settings.limits.max_in_flight,
            settings.limits.max_open_messages,
        ) = (9, 60);
        let end_s = DOWN_S + self.lasts_s + 15.0;
        Scenario {
            settings,
            destinations: 1,
            advertised_rate: self.listed_factor * self.full_rate,
            duration_s: end_s,
            offered_rate: 0.9 * self.full_rate,
            offered_until_s: end_s,
        }
    }

    /// Runs the case. Returns the largest fraction of its budget that the destination receives within an overload window
    /// of the ramp.
    fn largest_budget_use(&self) -> f64 {
        let up_s = DOWN_S + self.lasts_s;
        let observed = self.scenario().run(|at, _| {
            if at < DOWN_S || at >= up_s {
                delivered_after(60.0)
            } else {
                self.outage.response()
            }
        });
        let times: Vec<f64> = observed.calls.iter().map(|call| call.sent_at_s).collect();
        let in_ramp = times.iter().filter(|at| (up_s..up_s + 10.0).contains(*at));
        let uses = in_ramp.map(|start| {
            let window = *start..*start + 2.0;
            let sent = times.iter().filter(|at| window.contains(*at)).count();
            let capacity = self.full_rate * ramp_capacity(start - up_s);
            sent as f64 / slow_start_budget(1.5 * 2.0 * capacity)
        });
        uses.fold(0.0, f64::max)
    }
}

/// Checks that the budget is kept after outages of these lengths, for all combinations of instances, rates and kinds of
/// outage.
fn check_budget_after_outages(lengths_s: &[f64]) {
    let mut broken = Vec::new();
    let mut cases = 0;
    for instances in [1, 2, 4, 6, 10] {
        for (full_rate, listed_factor) in [(2.0, 1.3), (4.0, 1.3), (4.0, 0.0), (16.0, 0.6)] {
            for outage in [
                Outage::RefusesConnections,
                Outage::Hangs,
                Outage::RejectsAll,
                Outage::Errors,
            ] {
                for &lasts_s in lengths_s {
                    let case = OutageCase {
                        instances,
                        full_rate,
                        listed_factor,
                        outage,
                        lasts_s,
                    };
                    let budget_use = case.largest_budget_use();
                    cases += 1;
                    if budget_use > 1.0 {
                        broken.push(format!("{budget_use:.2} of the budget: {case:?}"));
                    }
                }
            }
        }
    }
    let count = broken.len();
    assert!(broken.is_empty(), "{count} of {cases}: {broken:#?}");
}

/// Guards against an unlimited backlog after an outage in which each of a few instances receives too few rejections to
/// eject a destination that rejects all calls.
#[test]
fn slow_start_budget_is_kept_by_any_number_of_instances() {
    check_budget_after_outages(&[5.0, 12.0]);
}

/// Guards against a missing ramp after an outage that ends before it can be distinguished from the window of a rate limit.
#[test]
fn slow_start_budget_is_kept_after_short_outages() {
    check_budget_after_outages(&[0.8, 2.0]);
}

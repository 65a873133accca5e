//! Model checks of the recovery: every order of events up to a bound, for the recovery ramp alone and for the complete
//! scheduler. The expected rules are implemented here a second time, independently of the scheduler.

#[path = "../common/mod.rs"]
mod common;
mod ramp;
mod scheduler;

use marblefall_scheduler::{Rules, Span};

/// Returns the number of calls that may be sent in an overload window to a route that has been recovering for
/// `recovering_for`. `own_rate` is the instance's share of the route's capacity, and `max_rate` the upper bound after the
/// ramp.
fn max_calls(rules: &Rules, recovering_for: Span, own_rate: f64, max_rate: f64) -> usize {
    let progress = recovering_for.ms() / rules.ramp_duration.ms();
    let ramp = rules.ramp_start + (1.0 - rules.ramp_start) * progress;
    let rate = rules.overload_factor * ramp * own_rate;
    let rate = if recovering_for < rules.ramp_duration {
        rate
    } else {
        rate.min(max_rate)
    };
    (rate * rules.overload_window.secs()).max(1.0) as usize
}

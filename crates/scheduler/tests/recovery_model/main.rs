//! Model checks of the recovery: every order of events up to a bound, for the recovery ramp alone and for the whole
//! scheduler. The expected rules are stated here independently of the implementation.

#[path = "../common/mod.rs"]
mod common;
mod ramp;
mod scheduler;

use marblefall_scheduler::{Rules, Span};

/// Calls that may be sent in an overload window to a route that has been recovering for this long. `own_rate` is the
/// instance's share of its capacity, `max_rate` the upper bound after the ramp.
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

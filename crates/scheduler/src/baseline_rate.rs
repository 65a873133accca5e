//! Baseline rate of a route: the calls per second that succeed while the route is healthy.

use crate::interface::{Span, Time};

/// Time constant of the moving average, in seconds: much longer than a burst, much shorter than the daily cycle.
pub(crate) const BASELINE_TIME_S: f64 = 10.0;
/// Maximum number of calls that the present rate may imply for the time since the last success.
const CALLS_SINCE_LAST_SUCCESS: f64 = 2.0;
/// Minimum time since the last success in the bound of the present rate, in seconds.
const MIN_GAP_S: f64 = 1e-3;

/// Moving average of the successful calls per second. The average does not change while the route is out of service or
/// below its full capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineRate {
    per_s: f64,
    /// Time of the last success, or of the start of an outage.
    updated_at: Option<Time>,
}

impl BaselineRate {
    /// Creates a rate from a value that was measured before `now`.
    pub fn restored(now: Time, per_s: f64) -> BaselineRate {
        BaselineRate {
            per_s,
            updated_at: Some(now),
        }
    }

    /// Returns the calls per second as of the last update.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns the calls per second as of now, which is lower than [`BaselineRate::per_s`] if no call has succeeded for a
    /// while.
    pub fn current_per_s(&self, now: Time) -> f64 {
        let gap = self.seconds_since_update(now);
        self.per_s
            .min(CALLS_SINCE_LAST_SUCCESS / gap.max(MIN_GAP_S))
    }

    /// Returns the seconds since the last update, or 0 if there was none.
    pub fn seconds_since_update(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |at| (now - at).secs())
    }

    /// Whether the last update was at least `silence` ago; false if there was none.
    pub fn is_silent_for(&self, now: Time, silence: Span) -> bool {
        self.updated_at.is_some_and(|at| now - at >= silence)
    }

    /// Records a success. The rate changes only if the route is at full capacity.
    pub fn succeeded(&mut self, now: Time, is_at_full_capacity: bool) {
        if is_at_full_capacity {
            let gap = self.seconds_since_update(now);
            self.per_s = self.per_s * (-gap / BASELINE_TIME_S).exp() + 1.0 / BASELINE_TIME_S;
        }
        self.updated_at = Some(now);
    }

    /// Fixes the present rate for the duration of an outage that begins now.
    pub fn freeze(&mut self, now: Time) {
        self.per_s = self.current_per_s(now);
        self.updated_at = Some(now);
    }

    /// Sets the time of the last update if there was none.
    pub fn assume_updated_at(&mut self, at: Time) {
        self.updated_at.get_or_insert(at);
    }
}

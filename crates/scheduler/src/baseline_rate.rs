//! Baseline rate: the calls per second that a route delivers while it is healthy.

use crate::interface::{Span, Time};

/// Time constant of the moving average, in seconds: long against a burst, short against a day.
pub(crate) const BASELINE_TIME_S: f64 = 10.0;
/// Calls in the time since the last success that the present rate may assume.
const CALLS_SINCE_LAST_SUCCESS: f64 = 2.0;
/// The least time since the last success that bounds the present rate, in seconds.
const MIN_GAP_S: f64 = 1e-3;

/// Moving average of the successful calls per second. It rests while the route is not healthy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineRate {
    per_s: f64,
    /// Time of the last success, or of the start of an outage.
    updated_at: Option<Time>,
}

impl BaselineRate {
    /// A rate that was measured before `now`.
    pub fn restored(now: Time, per_s: f64) -> BaselineRate {
        BaselineRate {
            per_s,
            updated_at: Some(now),
        }
    }

    /// Calls per second as of the last update.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Calls per second as of now: lower than [`BaselineRate::per_s`] if no call has succeeded for long.
    pub fn current_per_s(&self, now: Time) -> f64 {
        let gap = self.seconds_since_update(now);
        self.per_s
            .min(CALLS_SINCE_LAST_SUCCESS / gap.max(MIN_GAP_S))
    }

    /// Seconds since the last update, 0 if there was none.
    pub fn seconds_since_update(&self, now: Time) -> f64 {
        self.updated_at.map_or(0.0, |at| (now - at).secs())
    }

    /// Whether the last update is `silence` or longer ago; false if there was none.
    pub fn is_silent_for(&self, now: Time, silence: Span) -> bool {
        self.updated_at.is_some_and(|at| now - at >= silence)
    }

    /// Records a success; only one of a settled route changes the rate.
    pub fn succeeded(&mut self, now: Time, is_settled: bool) {
        if is_settled {
            let gap = self.seconds_since_update(now);
            self.per_s = self.per_s * (-gap / BASELINE_TIME_S).exp() + 1.0 / BASELINE_TIME_S;
        }
        self.updated_at = Some(now);
    }

    /// Keeps the present rate through an outage that begins now.
    pub fn freeze(&mut self, now: Time) {
        self.per_s = self.current_per_s(now);
        self.updated_at = Some(now);
    }

    /// Sets the time of the last update if there was none.
    pub fn assume_updated_at(&mut self, at: Time) {
        self.updated_at.get_or_insert(at);
    }
}

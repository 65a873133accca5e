//! Rate share: the even share of a known limit that one instance of many may use, as a token bucket.
//!
//! An instance of a hundred sends a destination a call every few seconds. It learns of a limit from rejections too
//! late: once each instance has seen one, the rejected calls have used the limit up. A listed or reported limit is
//! known to all instances at once. If each keeps to its share, they keep the limit together.

use crate::interface::{Span, Time};

/// Calls that an instance may save up. Where hundreds share a limit, the time between two calls of one instance is
/// longer than a message may wait, so a message after a lull must not wait for the next token.
const BUCKET_DEPTH: f64 = 6.0;
/// Tolerance for rounding errors, in calls.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The tokens that are in use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateShare {
    used: f64,
    updated_at: Time,
}

/// An instance's share of a limit, in calls per second; `None` where it is not held to one. `unseen_load` is the
/// fraction of the load that the instance does not see, from 0 to 1. The fewer instances there are, the more of what
/// others leave may be used, as each sees the rejections itself.
pub(crate) fn share_of(limit: f64, instances: usize, unseen_load: f64) -> Option<f64> {
    (unseen_load > 0.0 && limit > 0.0).then(|| limit / instances.max(1) as f64 / unseen_load)
}

impl RateShare {
    /// Records a call, with the share in calls per second.
    pub fn sent(&mut self, now: Time, rate: f64) {
        self.used = self.used(now, rate) + 1.0;
        self.updated_at = now;
    }

    /// Earliest time of the next call, with the share in calls per second.
    pub fn next_call_at(&self, now: Time, rate: f64) -> Time {
        let missing = self.used(now, rate) + 1.0 - BUCKET_DEPTH;
        now + Span::from_secs((missing - ROUNDING_TOLERANCE).max(0.0) / rate)
    }

    fn used(&self, now: Time, rate: f64) -> f64 {
        (self.used - (now - self.updated_at).secs() * rate).max(0.0)
    }
}

#[cfg(test)]
mod tests;

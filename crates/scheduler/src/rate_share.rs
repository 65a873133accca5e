//! Rate share: token bucket for one instance's share of a known limit that many instances share.
//!
//! One of a hundred instances sends a destination a call only every few seconds. Rejections reveal a limit too late: by
//! the time each instance has received one, the rejected calls have used up the limit. A listed or reported limit is
//! known to all instances from the start. If each stays within its share, all together stay within the limit.

use crate::interface::{Span, Time};

/// Capacity of the token bucket, in calls. If hundreds of instances share a limit, the time between two calls of one
/// instance is longer than a message may wait, so a message after an idle period must not wait for the next token.
const BUCKET_DEPTH: f64 = 6.0;
/// Tolerance for rounding errors, in calls.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Token bucket of one instance, stored as the number of tokens used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateShare {
    used: f64,
    updated_at: Time,
}

/// Returns an instance's share of a limit, in calls per second, or `None` if the instance is not restricted to a share.
/// `unobserved_load` is the fraction of the load that the instance does not observe, from 0 to 1. With fewer instances,
/// each may use more of what the others leave, because each receives enough rejections itself.
pub(crate) fn instance_share(limit: f64, instances: usize, unobserved_load: f64) -> Option<f64> {
    (unobserved_load > 0.0 && limit > 0.0)
        .then(|| limit / instances.max(1) as f64 / unobserved_load)
}

impl RateShare {
    /// Records a call. `rate` is the instance's share in calls per second.
    pub fn sent(&mut self, now: Time, rate: f64) {
        self.used = self.used(now, rate) + 1.0;
        self.updated_at = now;
    }

    /// Returns the earliest time of the next call. `rate` is the instance's share in calls per second.
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

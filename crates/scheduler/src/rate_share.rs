//! What one instance of many may send to a destination whose limit is known: its even share of it, as a token bucket.
//!
//! One instance of a hundred sees a call every few seconds at a destination, so rejections tell it of a limit too late:
//! by the time that each has met one, a hundred rejected calls have used the limit up. What the list or a response tells
//! of the limit holds for all at once; kept to by each, the shares add up to the limit whoever has how much to send.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Span, Time};

/// Calls that an instance may save up. Messages do not come evenly, and where hundreds share a limit, the time between
/// two calls of one of them is longer than a message may wait: what comes after a lull must not wait for the next. All
/// together exceed the limit by what they have saved up at most, once; recovery from an outage is ramped apart from this.
const BUCKET_DEPTH: f64 = 6.0;

/// The calls sent lately, as far as the rate has not worked them off.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateShare {
    used: f64,
    at: Time,
}

/// An instance's share of a limit, in calls per second. `unseen_load` is the part of the load that it does not see (0 to
/// 1): the fewer the instances are, the more of what others leave may be taken, as each sees for itself what is rejected;
/// at 0 nothing holds an instance to a share.
pub(crate) fn share_of(limit: f64, instances: usize, unseen_load: f64) -> Option<f64> {
    (unseen_load > 0.0 && limit > 0.0).then(|| limit / instances.max(1) as f64 / unseen_load)
}

impl RateShare {
    fn used(&self, now: Time, rate: f64) -> f64 {
        (self.used - (now - self.at).secs() * rate).max(0.0)
    }

    /// Notes a call.
    pub fn sent(&mut self, now: Time, rate: f64) {
        self.used = self.used(now, rate) + 1.0;
        self.at = now;
    }

    /// From when on it lets the next call go.
    pub fn next_call_at(&self, now: Time, rate: f64) -> Time {
        let over = self.used(now, rate) + 1.0 - BUCKET_DEPTH;
        now + Span::from_ms((over - 1e-6).max(0.0) / rate * 1000.0)
    }
}

#[cfg(test)]
mod tests;

//! Rejection hold: pause of the calls to a destination after rejections.
//!
//! Many instances that share a rate limit would use up the limit with rejected calls if each retried at once. Therefore
//! each instance pauses for about the time between two calls at its own share of the limit. The pause doubles with every
//! consecutive rejection over all routes of the destination. An instance that observes all of the load needs no hold, as
//! its rate limiter suffices.

use crate::interface::{Span, Time};

/// Length of a hold if this instance's share of the limit is known, in intervals between two calls at that share.
const KNOWN_SHARE_INTERVALS: f64 = 1.0;
/// Length of a hold if the share is an estimate, in the same intervals.
const ESTIMATED_SHARE_INTERVALS: f64 = 0.25;
/// Maximum number of consecutive rejections that double the hold.
const MAX_DOUBLINGS: u32 = 2;
/// Minimum random factor of a hold; the maximum is 1 more.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Milliseconds per second.
pub(crate) const MS_PER_S: f64 = 1000.0;

/// A rejected call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedCall {
    /// The `Retry-After` of the response, if it had one.
    pub retry_after: Option<Span>,
    /// Time between two calls of this instance to the destination at its share of the limit, in ms.
    pub call_interval_ms: f64,
    /// Whether the limit is reported or listed. Otherwise the share is an estimate.
    pub share_is_known: bool,
    /// Random number in 0..1.
    pub jitter: f64,
    /// Fraction of the load that this instance does not observe.
    pub unobserved_load: f64,
}

/// The hold of a destination, for all its routes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RejectionHold {
    consecutive_rejections: u32,
    until: Time,
}

impl RejectionHold {
    /// Creates a hold after a response that reports a low remaining quota. `rate` is this instance's share of the limit,
    /// in calls per second.
    pub fn for_low_quota(now: Time, rate: f64, jitter: f64) -> RejectionHold {
        let hold_ms = MS_PER_S / rate * KNOWN_SHARE_INTERVALS * (MIN_JITTER_FACTOR + jitter);
        RejectionHold {
            consecutive_rejections: 0,
            until: now + Span::from_ms(hold_ms),
        }
    }

    /// Returns the end of the hold.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Restarts the hold after a rejected call.
    pub fn rejected(&mut self, now: Time, call: &RejectedCall) {
        let intervals = if call.share_is_known {
            KNOWN_SHARE_INTERVALS
        } else {
            ESTIMATED_SHARE_INTERVALS
        };
        let doubled = f64::from(1u32 << self.consecutive_rejections.min(MAX_DOUBLINGS));
        self.consecutive_rejections += 1;
        let retry_after_ms = call.retry_after.map_or(0.0, Span::ms);
        let hold_ms = call.unobserved_load
            * (retry_after_ms
                + call.call_interval_ms * intervals * doubled * (MIN_JITTER_FACTOR + call.jitter));
        self.until = now + Span::from_ms(hold_ms);
    }
}

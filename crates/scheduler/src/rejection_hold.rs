//! Rejection hold: how long a destination is left alone after it rejected calls.
//!
//! Many instances that share a rate limit would use it up with rejected calls if each retried at once. So each holds
//! back for about the time between two calls of its own share of the limit, doubled with every consecutive rejection
//! over all routes of the destination. An instance that sees the whole load needs no hold: its rate limiter suffices.

use crate::interface::{Span, Time};

/// Length of a hold where this instance's share of the limit is known, in intervals between two calls at that share.
const KNOWN_SHARE_INTERVALS: f64 = 1.0;
/// Length of a hold where the share is a guess, in the same intervals.
const GUESSED_SHARE_INTERVALS: f64 = 0.25;
/// How many consecutive rejections double the hold.
const MAX_DOUBLINGS: u32 = 2;
/// The least random factor of a hold; the largest is 1 more.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Milliseconds in a second, as a float.
pub(crate) const MS_PER_S: f64 = 1000.0;

/// One rejected call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedCall {
    /// The `Retry-After` of the response.
    pub retry_after: Option<Span>,
    /// Time between two calls of this instance to the destination at its share of the limit, in ms.
    pub call_interval_ms: f64,
    /// Whether the limit is reported or listed, so that the share is no guess.
    pub share_is_known: bool,
    /// Random number in 0..1.
    pub jitter: f64,
    /// Fraction of the load that this instance does not see.
    pub unseen_load: f64,
}

/// The hold of one destination, over all its routes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RejectionHold {
    consecutive_rejections: u32,
    until: Time,
}

impl RejectionHold {
    /// A hold after a response that reports little remaining quota, where this instance's share of the limit is
    /// `rate` calls per second.
    pub fn for_low_quota(now: Time, rate: f64, jitter: f64) -> RejectionHold {
        let hold_ms = MS_PER_S / rate * KNOWN_SHARE_INTERVALS * (MIN_JITTER_FACTOR + jitter);
        RejectionHold {
            consecutive_rejections: 0,
            until: now + Span::from_ms(hold_ms),
        }
    }

    /// When the hold ends.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Sets the hold anew after a rejected call.
    pub fn rejected(&mut self, now: Time, call: &RejectedCall) {
        let intervals = if call.share_is_known {
            KNOWN_SHARE_INTERVALS
        } else {
            GUESSED_SHARE_INTERVALS
        };
        let doubled = f64::from(1u32 << self.consecutive_rejections.min(MAX_DOUBLINGS));
        self.consecutive_rejections += 1;
        let retry_after_ms = call.retry_after.map_or(0.0, Span::ms);
        let hold_ms = call.unseen_load
            * (retry_after_ms
                + call.call_interval_ms * intervals * doubled * (MIN_JITTER_FACTOR + call.jitter));
        self.until = now + Span::from_ms(hold_ms);
    }
}

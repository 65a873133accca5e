//! What one courier of many may send a destination whose limit is known: its even part of it, with a little saved up.
//!
//! A courier of a hundred sees one call in seconds at a destination, so refusals tell it of a limit too late: by the
//! time that each has met one, a hundred refused calls have used the limit up. What is told of it, by the list or by an
//! answer, holds for all at once; kept to by each, the parts add up to the limit whoever has how much to send.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Span, Time};

/// Calls that a courier may save up. Messages do not come evenly, and where hundreds share a limit, the time between two
/// calls of one of them is longer than a message may wait: what comes after a lull must not wait for the next. All together
/// pass the limit by what they have saved up at most, once, and what comes back from an outage is eased apart from this.
const DEPTH: f64 = 6.0;

/// Calls that were sent of late, as far as the rate has not worked them off.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    spent: f64,
    at: Time,
}

/// A courier's part of a limit, in calls a second, where so many share it. `vary` says how little each sees (0 to 1):
/// the fewer they are, the more of what others leave may be taken, as each sees for itself what is refused; 0 says
/// that nothing holds a courier to a part.
pub(crate) fn part(limit: f64, couriers: usize, vary: f64) -> Option<f64> {
    (vary > 0.0 && limit > 0.0).then(|| limit / couriers.max(1) as f64 / vary)
}

impl Allowance {
    fn spent(&self, now: Time, rate: f64) -> f64 {
        (self.spent - (now - self.at).secs() * rate).max(0.0)
    }

    /// Notes a call.
    pub fn sent(&mut self, now: Time, rate: f64) {
        (self.spent, self.at) = (self.spent(now, rate) + 1.0, now);
    }

    /// From when on it lets the next call go.
    pub fn next(&self, now: Time, rate: f64) -> Time {
        let over = self.spent(now, rate) + 1.0 - DEPTH;
        now + Span::from_ms((over - 1e-6).max(0.0) / rate * 1000.0)
    }
}

#[cfg(test)]
mod tests;

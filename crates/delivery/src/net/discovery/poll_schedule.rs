//! When an instance requests the endpoint list.
//!
//! Discovery that serves a hundred instances may be overloaded: if all request at once, most wait in its queue until
//! they are rejected, and if they then retry at once, nobody is ever served. So the more instances there are, the longer
//! the time over which each draws its moment; a few request at once.

use super::{next_backoff, MIN_BACKOFF};
use std::time::Duration;

/// So many instances may request the list at the same moment ...
const UNSPREAD_INSTANCES: usize = 4;
/// ... and each further one adds so much to the time over which all of them request once ...
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(80);
/// ... but never longer than this: what discovery has counts as known to an instance 6 s after it changed, and 4 s
/// after discovery moved, whether the instance requested it or not. A watch that ended waits up to one and a half times
/// so long and a backoff, which leaves room for the connection and the response within the shorter limit.
pub(super) const MAX_SPREAD: Duration = Duration::from_millis(2500);
/// Once a watch has fallen silent, what it misses counts as known soon: the spread is no longer than this.
const MAX_REOPEN_SPREAD: Duration = Duration::from_millis(1200);

/// What a watch that has ended had received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// At least one list.
    ReceivedList,
    /// No list.
    NoList,
}

/// When an instance requests the endpoint list.
#[derive(Debug)]
pub struct PollSchedule {
    /// The time over which all instances request once.
    spread: Duration,
    random: fastrand::Rng,
    backoff: Duration,
}

impl PollSchedule {
    /// For one instance of so many, by its seed. The list must be requested within `max_delay`, if that is not zero.
    pub fn new(instances: usize, seed: u64, max_delay: Duration) -> PollSchedule {
        let spread_instances = instances.saturating_sub(UNSPREAD_INSTANCES);
        let spread_instances = spread_instances.min(u32::MAX as usize) as u32;
        let max_delay = if max_delay.is_zero() {
            Duration::MAX
        } else {
            max_delay
        };
        PollSchedule {
            spread: SPREAD_PER_INSTANCE
                .saturating_mul(spread_instances)
                .min(max_delay)
                .min(MAX_SPREAD),
            random: fastrand::Rng::with_seed(seed),
            backoff: MIN_BACKOFF,
        }
    }

    /// The delay before the first request at a new address; until then, what is known serves.
    pub fn first_delay(&mut self) -> Duration {
        self.backoff = MIN_BACKOFF;
        self.spread.mul_f64(self.random.f64())
    }

    /// The delay once a watch has fallen silent.
    pub fn reopen_delay(&mut self) -> Duration {
        self.spread
            .min(MAX_REOPEN_SPREAD)
            .mul_f64(self.random.f64())
    }

    /// The delay after a watch that has ended.
    pub fn retry_delay(&mut self, result: WatchResult) -> Duration {
        self.backoff = match result {
            WatchResult::ReceivedList => MIN_BACKOFF,
            WatchResult::NoList => next_backoff(self.backoff),
        };
        self.backoff + self.spread.mul_f64(0.5 + self.random.f64())
    }
}

#[cfg(test)]
mod tests;

//! When an instance requests the endpoint list.
//!
//! Discovery may be overloaded when many instances request the list at once: most requests then wait until they are
//! rejected, and immediate retries keep the queue full. Instances therefore spread their requests at random over a time
//! that grows with their number. A few instances request without delay.

use super::{next_backoff, MIN_BACKOFF};
use std::time::Duration;

/// This many instances may request the list at the same moment.
const UNSPREAD_INSTANCES: usize = 4;
/// How much each further instance adds to the time over which the requests are spread.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(80);
/// The limit of the spread. An instance must act on a change 6 s after discovery has it, and 4 s after discovery has
/// moved, even if it has not requested the list. After a watch has ended the delay is up to one and a half times this
/// plus a backoff, which leaves time for the connection and the response within the 4 s.
pub(super) const MAX_SPREAD: Duration = Duration::from_millis(2500);
/// The limit of the spread after a watch has stalled, when a part of the 6 s has passed already.
const MAX_REOPEN_SPREAD: Duration = Duration::from_millis(1200);
/// The least delay after a watch has ended, as a fraction of the spread.
const MIN_RETRY_FRACTION: f64 = 0.5;

/// What a watch had received when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// At least one list.
    ReceivedList,
    /// No list.
    NoList,
}

/// Draws the delays before requests for the endpoint list.
#[derive(Debug)]
pub struct PollSchedule {
    /// The time over which the requests of all instances are spread.
    spread: Duration,
    random: fastrand::Rng,
    backoff: Duration,
}

impl PollSchedule {
    /// The schedule of one of `instances`, with a seed of its own. The first request is made within `max_delay`, unless
    /// that is zero.
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

    /// The delay before the first request to a new address of discovery.
    pub fn first_delay(&mut self) -> Duration {
        self.backoff = MIN_BACKOFF;
        self.spread.mul_f64(self.random.f64())
    }

    /// The delay before another watch is opened beside one that has stalled.
    pub fn reopen_delay(&mut self) -> Duration {
        self.spread
            .min(MAX_REOPEN_SPREAD)
            .mul_f64(self.random.f64())
    }

    /// The delay before the next watch after one that has ended.
    pub fn retry_delay(&mut self, result: WatchResult) -> Duration {
        self.backoff = match result {
            WatchResult::ReceivedList => MIN_BACKOFF,
            WatchResult::NoList => next_backoff(self.backoff),
        };
        self.backoff + self.spread.mul_f64(MIN_RETRY_FRACTION + self.random.f64())
    }
}

#[cfg(test)]
mod tests;

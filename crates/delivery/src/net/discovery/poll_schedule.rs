//! The schedule by which an instance requests the endpoint list.
//!
//! Discovery may be overloaded if many instances request the list at once. Most requests then wait until they are
//! rejected, and immediate retries keep the queue full. Instances therefore spread their requests at random over a time
//! that grows with the number of instances. If there are only a few instances, they request the list without delay.

use super::{next_backoff, MIN_BACKOFF};
use std::time::Duration;

/// Number of instances that may request the list at the same time.
const UNSPREAD_INSTANCES: usize = 4;
/// Time that each further instance adds to the spread.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(80);
/// Maximum spread. An instance must act on a change within 6 s after discovery has it, and within 4 s after discovery
/// has moved, even if the instance has not requested the list in between. After a watch has ended, the delay is up to
/// one and a half times this value plus a backoff. Within the 4 s, this leaves time for the connection and the
/// response.
pub(super) const MAX_SPREAD: Duration = Duration::from_millis(2500);
/// Maximum spread after a watch has stalled, when a part of the 6 s has already passed.
const MAX_REOPEN_SPREAD: Duration = Duration::from_millis(1200);
/// Minimum delay after a watch has ended, as a fraction of the spread.
const MIN_RETRY_FRACTION: f64 = 0.5;

/// Whether a watch received a list before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The watch received at least one list.
    ReceivedList,
    /// The watch received no list.
    NoList,
}

/// Computes the randomized delays before requests for the endpoint list.
#[derive(Debug)]
pub struct PollSchedule {
    /// The time over which the requests of all instances are spread.
    spread: Duration,
    random: fastrand::Rng,
    /// The backoff after the last watch that ended.
    backoff: Duration,
}

impl PollSchedule {
    /// Creates the schedule of one of `instances` instances, each of which has its own seed. Limits the spread to
    /// `max_delay`, unless that is zero.
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

    /// Returns the delay before the first request to a new address of discovery.
    pub fn first_delay(&mut self) -> Duration {
        self.backoff = MIN_BACKOFF;
        self.spread.mul_f64(self.random.f64())
    }

    /// Returns the delay before another watch is opened beside a watch that has stalled.
    pub fn reopen_delay(&mut self) -> Duration {
        self.spread
            .min(MAX_REOPEN_SPREAD)
            .mul_f64(self.random.f64())
    }

    /// Returns the delay before the next watch is opened after a watch has ended.
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

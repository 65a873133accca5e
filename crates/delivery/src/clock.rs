//! The instance's clock: monotonic time as the core counts it, and Unix time.

use crate::core::Timestamp;
use marblefall_scheduler::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock as the core counts it.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(self) -> Timestamp {
        Timestamp {
            monotonic: Time(self.started_at.elapsed().as_micros() as i64),
            unix_ms: unix_ms(),
        }
    }

    /// The instant of a time on this clock; the clock's start for a time before it.
    pub fn instant(self, at: Time) -> Instant {
        self.started_at + Duration::from_micros(at.0.max(0) as u64)
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as i64)
}

//! The machine's monotonic clock, which all its processes share.

use rustix::time::{clock_gettime, ClockId};

/// A time or a duration in microseconds of the machine's monotonic clock.
pub type Micros = i64;

/// One millisecond in [`Micros`].
pub const MILLISECOND: Micros = 1000;

/// Returns the current time in microseconds. All processes of the machine read the same clock.
pub fn monotonic_micros() -> Micros {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// Returns the current time in milliseconds.
pub fn monotonic_ms() -> i64 {
    monotonic_micros() / MILLISECOND
}

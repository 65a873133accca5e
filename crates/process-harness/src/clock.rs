//! The machine's monotonic clock, which all its processes share.

use rustix::time::{clock_gettime, ClockId};

/// Microseconds of the machine's monotonic clock.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1000;

/// The time now in microseconds. It is the same in all processes of the machine.
pub fn monotonic_micros() -> Micros {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

/// The time now in milliseconds.
pub fn monotonic_ms() -> i64 {
    monotonic_micros() / MILLISECOND
}

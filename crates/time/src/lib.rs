//! Points in time and spans on the monotonic clock of the embedding program.
//!
//! State machines receive the time with their events. This package contains the types for it, but no clock.

#![forbid(unsafe_code)]

use std::ops::{Add, Sub};

const MICROS_PER_MS: f64 = 1000.0;
const MICROS_PER_S: f64 = 1e6;
const MS_PER_S: f64 = 1000.0;

/// A point in time on a monotonic clock, in microseconds. The clock's zero is arbitrary, so only differences are meaningful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Time(pub i64);

/// A duration in microseconds. Negative if a later point in time was subtracted from an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Span(pub i64);

impl Time {
    /// The earliest representable point in time, before any reading of a clock.
    pub const MIN: Time = Time(i64::MIN);

    /// Returns the point in time `ms` milliseconds after the clock's zero, rounded to a microsecond.
    pub const fn from_ms(ms: f64) -> Time {
        Time((ms * MICROS_PER_MS).round() as i64)
    }

    /// Returns the milliseconds since the clock's zero.
    pub const fn ms(self) -> f64 {
        self.0 as f64 / MICROS_PER_MS
    }
}

impl Span {
    /// The span of length zero.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds, rounded to a microsecond.
    pub const fn from_ms(ms: f64) -> Span {
        Span((ms * MICROS_PER_MS).round() as i64)
    }

    /// Returns a span of `secs` seconds, rounded to a microsecond.
    pub const fn from_secs(secs: f64) -> Span {
        Span::from_ms(secs * MS_PER_S)
    }

    /// Returns the length in milliseconds.
    pub const fn ms(self) -> f64 {
        self.0 as f64 / MICROS_PER_MS
    }

    /// Returns the length in seconds.
    pub const fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_S
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

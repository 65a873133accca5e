//! Moments and lengths of time on the embedding program's clock.

use std::ops::{Add, Sub};

/// A moment on the embedding program's monotonic clock, in microseconds. Only differences mean anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Time(pub i64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Span(pub i64);

impl Time {
    /// The moment that lies `ms` milliseconds after the clock's zero.
    pub fn from_ms(ms: f64) -> Time {
        Time((ms * 1000.0).round() as i64)
    }

    /// This moment in milliseconds after the clock's zero.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of `ms` milliseconds.
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1000.0).round() as i64)
    }

    /// This span in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// This span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
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

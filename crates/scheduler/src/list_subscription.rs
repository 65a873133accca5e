//! Subscription to the endpoint list: retries of failed requests.

use crate::interface::{Span, Time};

/// Backoff after the first failure, in ms; it doubles with each consecutive failure.
const INITIAL_BACKOFF_MS: f64 = 1000.0;
/// Maximum number of consecutive failures that double the backoff.
const MAX_DOUBLINGS: i32 = 3;
/// Minimum random factor of a backoff; the maximum is 1 more.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Maximum backoff, as a fraction of the interval within which the list must be requested.
const MAX_BACKOFF_FRACTION: f64 = 0.5;

/// Retries of the subscription to the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListSubscription {
    retry_at: Option<Time>,
    consecutive_failures: i32,
}

impl ListSubscription {
    /// Returns the time of the next request for the list, or `None` if the last one has not failed.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }

    /// Returns the number of consecutive requests that failed.
    pub fn consecutive_failures(&self) -> i32 {
        self.consecutive_failures
    }

    /// Whether a retry is due.
    pub fn is_retry_due(&self, now: Time) -> bool {
        self.retry_at.is_some_and(|at| at <= now)
    }

    /// Records a request for the list.
    pub fn requested(&mut self) {
        self.retry_at = None;
    }

    /// Records the arrival of a list or of changes to it.
    pub fn updated(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed request and schedules its retry. `jitter` is a random number in 0..1. `max_poll_interval` is the
    /// interval within which the list must be requested, or 0 if there is none.
    pub fn failed(&mut self, now: Time, jitter: f64, max_poll_interval: Span) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff_ms = INITIAL_BACKOFF_MS * 2f64.powi(doublings) * (MIN_JITTER_FACTOR + jitter);
        let max_backoff_ms = max_poll_interval.ms() * MAX_BACKOFF_FRACTION;
        let backoff_ms = if max_backoff_ms > 0.0 {
            backoff_ms.min(max_backoff_ms)
        } else {
            backoff_ms
        };
        self.consecutive_failures += 1;
        self.retry_at = Some(now + Span::from_ms(backoff_ms));
    }
}

//! Failure detector of a route: counts failures and rejections since the last success.
//!
//! A failure counts only if no call that was sent later has succeeded. A rejection counts as a fraction of a failure, as
//! it is usually caused by a rate limit. A long run of rejections shows that the route is out of service, because no rate
//! limit rejects every call for longer than its own window.

use crate::interface::{Span, Time};

/// Number of consecutive failures that eject a busy route. Fewer are likely to be random losses.
pub(crate) const FAILURES_TO_EJECT: f64 = 3.0;
/// Weight of a failed call.
const FAILURE_WEIGHT: f64 = 1.0;
/// Weight of a rejected call.
const REJECTION_WEIGHT: f64 = 0.1;
/// Number of consecutive rejections that eject a route if they last for at least [`MIN_REJECTION_RUN`].
const REJECTIONS_TO_EJECT: u32 = 6;
/// Minimum duration of a run of rejections that shows that the route is out of service.
const MIN_REJECTION_RUN: Span = Span::from_secs(2.5);

/// Rejections since the last success.
#[derive(Clone, Copy, Debug)]
struct RejectionRun {
    since: Time,
    count: u32,
}

/// Consecutive failures and rejections of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    consecutive_failures: f64,
    rejections: Option<RejectionRun>,
    /// Send time of the latest call that succeeded.
    last_success_sent: Option<Time>,
}

impl FailureDetector {
    /// Returns the weighted number of failures and rejections since the last success.
    pub fn consecutive_failures(&self) -> f64 {
        self.consecutive_failures
    }

    /// Returns the send time of the latest call that succeeded.
    pub fn last_success_sent(&self) -> Option<Time> {
        self.last_success_sent
    }

    /// Whether a call that was sent later than `sent` has succeeded.
    pub fn has_later_success(&self, sent: Time) -> bool {
        Some(sent) < self.last_success_sent
    }

    /// Whether the route has rejected every call for longer than a rate limit does. In that case it was out of service,
    /// even if this instance sent too few calls to eject it.
    pub fn was_rejecting_all(&self, now: Time) -> bool {
        self.rejections
            .is_some_and(|run| now - run.since >= MIN_REJECTION_RUN)
    }

    /// Records the failure of a call sent at `sent`.
    pub fn failed(&mut self, sent: Time) {
        self.count(sent, FAILURE_WEIGHT);
    }

    /// Records the rejection of a call sent at `sent`.
    pub fn rejected(&mut self, now: Time, sent: Time) {
        self.count(sent, REJECTION_WEIGHT);
        let run = self.rejections.get_or_insert(RejectionRun {
            since: now,
            count: 0,
        });
        run.count += 1;
        if run.count >= REJECTIONS_TO_EJECT && now - run.since >= MIN_REJECTION_RUN {
            self.reach_ejection_threshold();
        }
    }

    /// Records the success of a call sent at `sent`.
    pub fn succeeded(&mut self, sent: Time) {
        self.rejections = None;
        self.last_success_sent = self.last_success_sent.max(Some(sent));
        self.consecutive_failures = 0.0;
    }

    /// Raises the count of failures to the number that ejects every route.
    pub fn reach_ejection_threshold(&mut self) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURES_TO_EJECT);
    }

    fn count(&mut self, sent: Time, weight: f64) {
        if !self.has_later_success(sent) {
            self.consecutive_failures += weight;
        }
    }
}

//! What is observed of one route: its calls, rejections, failures and baseline rate.

use crate::interface::{DestinationId, EndpointId, Span, Time};
use crate::rate_limiter::{LimitView, RateLimiter};
use crate::rate_share::RateShare;
use crate::recovery_ramp::RecoveryRamp;
use std::fmt;

/// Window over which the recent send rate of a route is taken ...
pub(crate) const RECENT: Span = Span(3_000_000);
/// ... or over this at least, where the first of the sends is younger.
const MIN_RECENT: Span = Span(1_000_000);
/// Time constant of a baseline rate, in s: long against a burst, short against a day.
pub(crate) const BASELINE_TIME_S: f64 = 10.0;
/// Failed calls in a row, with no success sent since, after which a route is ejected: fewer get lost at random.
pub(crate) const FAILURES_TO_EJECT: f64 = 3.0;
/// A rejection counts for less: only a long run of them says that a route is out of service.
const REJECTION_WEIGHT: f64 = 0.1;
/// ... unless so many come for so long: no limit rejects all for more than one window of its own.
const REJECTIONS_TO_EJECT: u32 = 6;
const REJECTED_FOR: Span = Span(2_500_000);

/// What limits, backoffs, rate limiters, health and recovery apply to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteId {
    pub destination: DestinationId,
    /// The endpoint, where it is a separate route.
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// The route that all endpoints of a destination share.
    pub fn shared(destination: DestinationId) -> RouteId {
        RouteId {
            destination,
            endpoint: None,
        }
    }
}

impl fmt::Display for RouteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "destination {}", self.destination.0)?;
        self.endpoint
            .map_or(Ok(()), |endpoint| write!(f, ", endpoint {}", endpoint.0))
    }
}

/// A call that got no connection, or was lost on one that had been idle.
#[derive(Clone, Copy)]
pub(crate) struct LostConnection {
    pub at: Time,
    /// What it counts for.
    pub weight: f64,
}

/// Rejections since the last success.
pub(crate) struct RejectionRun {
    pub since: Time,
    pub count: u32,
}

/// One route.
#[derive(Default)]
pub(crate) struct Route {
    pub mean_latency_ms: Option<f64>,
    /// Attempts that timed out since the last answer.
    pub consecutive_timeouts: i32,
    pub rejections: Option<RejectionRun>,
    pub rate_limiter: Option<RateLimiter>,
    pub backoff_until: Option<Time>,
    /// Calls per second that were delivered, as a moving mean over the times when it was healthy.
    pub baseline_rate: f64,
    pub baseline_at: Option<Time>,
    pub consecutive_failures: f64,
    pub ramp: RecoveryRamp,
    /// Send times of the calls in flight.
    pub in_flight: Vec<Time>,
    pub health_check_in_flight: bool,
    pub lost_connection: Option<LostConnection>,
    /// When the latest call was sent that succeeded.
    pub last_success_sent: Option<Time>,
    pub advertised_rate: f64,
    /// This instance's own draw for the route, in 0..1.
    pub jitter: f64,
    pub destination: Option<DestinationId>,
    /// Calls per second that responses reported.
    pub reported_limit: Option<f64>,
    pub rate_share: RateShare,
}

impl Route {
    /// Notes a call or health check; those sent `retention` or longer ago are forgotten.
    pub fn sent(&mut self, now: Time, retention: Span) {
        self.ramp.sent(now, retention);
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.sent(now);
        }
    }

    /// Notes a call that is sent, against this instance's share of the route's limit if it has one.
    pub fn call_sent(&mut self, now: Time, retention: Span, rate_share: Option<f64>) {
        self.in_flight.push(now);
        if let Some(rate) = rate_share {
            self.rate_share.sent(now, rate);
        }
        self.sent(now, retention);
    }

    /// Notes the end of a call.
    pub fn call_ended(&mut self, sent: Time) {
        if let Some(index) = self.in_flight.iter().position(|other| *other == sent) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Notes a failed call, unless one sent later has succeeded.
    pub fn failed(&mut self, sent: Time, weight: f64) {
        self.consecutive_failures += if Some(sent) >= self.last_success_sent {
            weight
        } else {
            0.0
        };
    }

    /// The failures in a row are enough to eject the route.
    pub fn fail_for_good(&mut self) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURES_TO_EJECT);
    }

    /// The baseline rate as it is now; it rests while the route is not healthy.
    pub fn baseline_rate(&self, now: Time) -> f64 {
        let gap = self.baseline_at.map_or(0.0, |at| (now - at).secs());
        self.baseline_rate.min(2.0 / gap.max(1e-3))
    }

    /// Notes the limit that a response reported, if it did.
    pub fn limit_reported(&mut self, reported: Option<f64>, even_share: f64) {
        self.reported_limit = reported.or(self.reported_limit);
        if let (Some(limit), Some(limiter)) = (reported, &mut self.rate_limiter) {
            limiter.limit_reported(limit, even_share);
        }
    }

    /// Notes that the route asked to back off.
    pub fn back_off(&mut self, until: Time) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Whether it has rejected all for longer than a limit does: it was out of service, though too few calls of this
    /// instance met that to eject it.
    pub fn was_rejecting(&self, now: Time) -> bool {
        self.rejections
            .as_ref()
            .is_some_and(|run| now - run.since >= REJECTED_FOR)
    }

    /// Notes a success.
    pub fn succeeded(
        &mut self,
        now: Time,
        sent: Time,
        ramp_duration: Span,
        view: Option<LimitView>,
    ) {
        self.consecutive_timeouts = 0;
        self.rejections = None;
        self.last_success_sent = self.last_success_sent.max(Some(sent));
        self.consecutive_failures = 0.0;
        let gap = self.baseline_at.map_or(0.0, |at| (now - at).secs());
        if self.ramp.is_settled(now, ramp_duration) {
            self.baseline_rate =
                self.baseline_rate * (-gap / BASELINE_TIME_S).exp() + 1.0 / BASELINE_TIME_S;
        }
        self.baseline_at = Some(now);
        let ejected = self.ramp.is_ejected();
        self.rate_limiter
            .take_if(|limiter| !limiter.accepted(now, sent, gap, ejected, view));
    }

    /// Notes a rejection; the rate that follows never sinks below `min_rate`.
    pub fn rejected(&mut self, now: Time, sent: Time, min_rate: f64, view: Option<LimitView>) {
        self.failed(sent, REJECTION_WEIGHT);
        let run = self.rejections.get_or_insert(RejectionRun {
            since: now,
            count: 0,
        });
        run.count += 1;
        if run.count >= REJECTIONS_TO_EJECT && now - run.since >= REJECTED_FOR {
            self.fail_for_good();
        }
        let last_accepted = self.last_success_sent;
        match &mut self.rate_limiter {
            None => {
                // Right after a start the sends of an instant stand for less than the whole window.
                let (count, age_of_first) = self.ramp.recent(now, RECENT);
                let rate = (count as f64 / age_of_first.max(MIN_RECENT).secs()).max(min_rate);
                self.rate_limiter = Some(RateLimiter::new(now, rate, view));
            }
            Some(limiter) => limiter.rejected(now, sent, last_accepted, min_rate, view),
        }
    }
}

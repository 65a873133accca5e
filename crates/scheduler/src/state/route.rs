//! State of one route: its calls, limits, health and rates.

use crate::baseline_rate::BaselineRate;
use crate::connection_pressure::LostConnection;
use crate::failure_detector::FailureDetector;
use crate::interface::{DestinationId, EndpointId, Span, Time};
use crate::mean_latency::MeanLatency;
use crate::rate_limiter::{AcceptedCall, LimitView, RateLimiter, RejectedCall};
use crate::rate_share::RateShare;
use crate::recovery_ramp::RecoveryRamp;
use std::fmt;

/// Window over which the recent send rate of a route is measured.
pub(crate) const RECENT_WINDOW: Span = Span::from_secs(3.0);
/// The least time over which it is measured, where the first send in the window is younger.
const MIN_RECENT_WINDOW: Span = Span::from_secs(1.0);

/// Identity of a route: limits, backoffs, health and recovery apply to each route apart.
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

/// State of one route.
#[derive(Default)]
pub(crate) struct Route {
    pub destination: DestinationId,
    pub advertised_rate: f64,
    /// Random number of this instance for the route, in 0..1.
    pub jitter: f64,
    pub mean_latency: MeanLatency,
    /// Attempts that timed out since the last success.
    pub consecutive_timeouts: i32,
    pub failures: FailureDetector,
    pub ramp: RecoveryRamp,
    pub health_check_in_flight: bool,
    /// Send times of the calls in flight.
    pub in_flight: Vec<Time>,
    pub lost_connection: Option<LostConnection>,
    pub backoff_until: Option<Time>,
    pub baseline_rate: BaselineRate,
    pub rate_limiter: Option<RateLimiter>,
    /// Calls per second that the latest response with a limit reported.
    pub reported_limit: Option<f64>,
    pub rate_share: RateShare,
}

impl Route {
    /// Records a call or health check that is sent. Sends older than `retention` are forgotten.
    pub fn sent(&mut self, now: Time, retention: Span) {
        self.ramp.sent(now, retention);
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.sent(now);
        }
    }

    /// Records a call that is sent, against this instance's share of the route's limit if it has one.
    pub fn call_sent(&mut self, now: Time, retention: Span, rate_share: Option<f64>) {
        self.in_flight.push(now);
        if let Some(rate) = rate_share {
            self.rate_share.sent(now, rate);
        }
        self.sent(now, retention);
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self, sent: Time) {
        if let Some(index) = self.in_flight.iter().position(|other| *other == sent) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Records the limit that a response reported, if it did.
    pub fn limit_reported(&mut self, reported: Option<f64>, even_share: f64) {
        self.reported_limit = reported.or(self.reported_limit);
        if let (Some(limit), Some(limiter)) = (reported, &mut self.rate_limiter) {
            limiter.limit_reported(limit, even_share);
        }
    }

    /// Records that the route requested a backoff.
    pub fn back_off(&mut self, until: Time) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Records a success.
    pub fn succeeded(
        &mut self,
        now: Time,
        sent: Time,
        ramp_duration: Span,
        view: Option<LimitView>,
    ) {
        self.consecutive_timeouts = 0;
        self.failures.succeeded(sent);
        let call = AcceptedCall {
            sent,
            since_last_s: self.baseline_rate.seconds_since_update(now),
            route_is_ejected: self.ramp.is_ejected(),
        };
        self.baseline_rate
            .succeeded(now, self.ramp.is_settled(now, ramp_duration));
        self.rate_limiter
            .take_if(|limiter| !limiter.accepted(now, call, view));
    }

    /// Records a rejection. The rate limiter's rate stays at or above `min_rate`, in calls per second.
    pub fn rejected(&mut self, now: Time, sent: Time, min_rate: f64, view: Option<LimitView>) {
        self.failures.rejected(now, sent);
        let call = RejectedCall {
            sent,
            last_accepted_sent: self.failures.last_success_sent(),
            min_rate,
        };
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.rejected(now, call, view);
        } else {
            let rate = self.recent_send_rate(now).max(min_rate);
            self.rate_limiter = Some(RateLimiter::new(now, rate, view));
        }
    }

    /// Calls per second in the recent window.
    fn recent_send_rate(&self, now: Time) -> f64 {
        let recent = self.ramp.recent_sends(now, RECENT_WINDOW);
        recent.count as f64 / recent.age_of_first.max(MIN_RECENT_WINDOW).secs()
    }
}

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

/// Length of the window over which the recent send rate of a route is measured.
pub(crate) const RECENT_WINDOW: Span = Span::from_secs(3.0);
/// Minimum time over which the recent send rate is measured, even if the first send in the window is younger.
const MIN_RECENT_WINDOW: Span = Span::from_secs(1.0);

/// Identity of a route. Each route has its own limits, backoff, health and recovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteId {
    pub destination: DestinationId,
    /// The endpoint of a separate route; `None` for the shared route of a destination.
    pub endpoint: Option<EndpointId>,
}

impl RouteId {
    /// Returns the route that the endpoints of a destination share.
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
    /// This instance's random number for the route, in 0..1.
    pub jitter: f64,
    pub mean_latency: MeanLatency,
    /// Number of calls that timed out since the last success, without those that count as lost.
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
    /// Limit in the latest response that reported one, in calls per second.
    pub reported_limit: Option<f64>,
    pub rate_share: RateShare,
}

impl Route {
    /// Records a sent call or health check, and drops the records of sends older than `retention`.
    pub fn sent(&mut self, now: Time, retention: Span) {
        self.ramp.sent(now, retention);
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.sent(now);
        }
    }

    /// Records a sent call. It counts against `rate_share`, this instance's share of the route's limit in calls per
    /// second, if there is one.
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

    /// Records the limit that a response reported, if any. `even_share` is the even share of one instance, as a fraction
    /// of the limit.
    pub fn limit_reported(&mut self, reported: Option<f64>, even_share: f64) {
        self.reported_limit = reported.or(self.reported_limit);
        if let (Some(limit), Some(limiter)) = (reported, &mut self.rate_limiter) {
            limiter.limit_reported(limit, even_share);
        }
    }

    /// Records a backoff that the route requested.
    pub fn back_off(&mut self, until: Time) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Records the success of a call sent at `sent`.
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
            .succeeded(now, self.ramp.is_at_full_capacity(now, ramp_duration));
        self.rate_limiter
            .take_if(|limiter| !limiter.accepted(now, call, view));
    }

    /// Records the rejection of a call sent at `sent`. The rate limiter's rate stays at or above `min_rate`, in calls per
    /// second.
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

    /// Returns the number of calls and health checks sent per second within [`RECENT_WINDOW`].
    fn recent_send_rate(&self, now: Time) -> f64 {
        let recent = self.ramp.recent_sends(now, RECENT_WINDOW);
        recent.count as f64 / recent.age_of_first.max(MIN_RECENT_WINDOW).secs()
    }
}

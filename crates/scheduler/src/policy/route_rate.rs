//! Rates of a route: its listed or reported limit, and the share of it that this instance may use.

use crate::baseline_rate::BASELINE_TIME_S;
use crate::interface::{RateHints, Time};
use crate::rate_limiter::LimitView;
use crate::rate_share;
use crate::scheduler::Scheduler;
use crate::state::Route;

/// Fraction of an approximate advertised rate that is assumed to be available: the rate may be half too high.
const APPROXIMATE_RATE_FACTOR: f64 = 0.67;
/// Assumed limit of a route without a known rate, in calls per second of all instances.
const MIN_RATE: f64 = 1.0;
/// Minimum even share towards which a rate is adjusted, in calls per second.
const MIN_EVEN_SHARE: f64 = 1e-6;

impl Scheduler {
    /// Returns this instance's share of a reported or listed limit, in calls per second, or `None` if no
    /// limit is known or few instances share it.
    pub(crate) fn rate_share(&self, route: &Route) -> Option<f64> {
        let limit = route.reported_limit.or(self.listed_rate(route))?;
        rate_share::instance_share(limit, self.settings.instances, self.unobserved_load())
    }

    /// Returns the calls per second that a route accepts from all instances together, according to the
    /// endpoint list.
    pub(super) fn listed_rate(&self, route: &Route) -> Option<f64> {
        let has_hints = self.settings.rate_hints != RateHints::Absent;
        Some(route.advertised_rate).filter(|rate| has_hints && *rate > MIN_RATE)
    }

    /// Returns this instance's part of a route's full rate, in calls per second: its baseline rate on the
    /// route, adjusted towards an even share of the known rate, or of its own traffic over all destinations.
    /// The parts of all instances add up to no more than the route accepts.
    pub(crate) fn own_rate(&self, now: Time, route: &Route) -> f64 {
        let (instances, unobserved) = (self.instances(), self.unobserved_load());
        let has_hints = self.settings.rate_hints != RateHints::Absent;
        let listed = Some(route.advertised_rate.max(MIN_RATE)).filter(|_| has_hints);
        let baseline = self.baseline_rate(now, route);
        let min_rate = baseline
            .max(self.even_share(now, listed))
            .max(MIN_RATE / instances);
        let even = self
            .even_share(now, route.reported_limit.or(listed))
            .max(MIN_EVEN_SHARE);
        let adjusted = (1.0 + baseline * BASELINE_TIME_S) / (1.0 / even + BASELINE_TIME_S);
        let own = ((1.0 - unobserved) * min_rate).max(adjusted);
        // With many instances, each uses its even share of a reported limit, regardless of its baseline rate.
        route
            .reported_limit
            .map_or(own, |limit| own + unobserved * (limit / instances - own))
    }

    /// Returns the calls per second that this instance delivers on a healthy route. On a route at full
    /// capacity the rate falls while no call succeeds.
    fn baseline_rate(&self, now: Time, route: &Route) -> f64 {
        let ramp_duration = self.settings.rules.ramp_duration;
        if route.ramp.is_at_full_capacity(now, ramp_duration) {
            route.baseline_rate.current_per_s(now)
        } else {
            route.baseline_rate.per_s()
        }
    }

    /// Returns this instance's even share of a known rate, or its traffic per destination if none is known.
    fn even_share(&self, now: Time, rate: Option<f64>) -> f64 {
        let reliable_fraction = if self.settings.rate_hints == RateHints::Exact {
            1.0
        } else {
            APPROXIMATE_RATE_FACTOR
        };
        rate.map_or_else(
            || self.traffic_per_destination(now),
            |rate| rate * reliable_fraction / self.instances(),
        )
    }

    /// Returns the mean number of messages per second that this instance has accepted for each destination.
    fn traffic_per_destination(&self, now: Time) -> f64 {
        let age_s = self
            .started_at
            .map_or(0.0, |at| (now - at).secs())
            .max(BASELINE_TIME_S);
        self.accepted_count.max(1.0) / age_s / self.destinations.len().max(1) as f64
    }

    /// Returns this instance's view of a route's limit, for the rate limiter. `None` if the instance can't
    /// distinguish a limit from random rejections: it receives only a part of the load, or shares a route
    /// without a listed rate.
    pub(super) fn limit_view(&self, route: &Route) -> Option<LimitView> {
        if self.unobserved_load() != 0.0 {
            return None;
        }
        let instances = self.instances();
        let headroom = match self.listed_rate(route) {
            Some(rate) => rate / instances,
            None if instances == 1.0 => f64::INFINITY,
            None => return None,
        };
        Some(LimitView {
            instances,
            headroom,
        })
    }
}

//! What a route may be sent, and from when on.

use crate::interface::{RateHints, Span, Time};
use crate::rate_limiter::LimitView;
use crate::rate_share;
use crate::recovery_ramp::{RampSettings, RouteCapacity};
use crate::scheduler::Scheduler;
use crate::state::{Route, BASELINE_TIME_S};

/// Latency taken for granted before any call has come back, in ms.
const DEFAULT_LATENCY_MS: f64 = 400.0;
/// A route is silent if a call is in flight for so many mean latencies and none sent since has come back ...
const SILENCE_FACTOR: f64 = 3.0;
/// ... with this added, so that quick routes are not called silent over a network hiccup.
const SILENCE_MARGIN_MS: f64 = 300.0;
/// Calls that must be overdue: one alone may be lost, or be one of the long tail.
const SILENT_CALLS: usize = 2;
/// Part of the slots that one route may hold: one that hangs must leave some.
const MAX_ROUTE_PART: f64 = 0.6;
/// Part of the slots that all failing routes may hold together: hangs strike several at once.
const MAX_FAILING_PART: f64 = 0.34;
/// Calls at once to a route that has not answered yet.
const MAX_FIRST_CALLS: f64 = 2.0;
/// Trials of an ejected route at once: one that hangs must not hide the recovery.
const MAX_TRIALS: usize = 2;
/// An advertised rate may be half too high, unless the list says that it is exact.
const APPROXIMATE_PART: f64 = 0.67;
/// Part of its rate that a recovering route bears while messages wait for it.
const CATCH_UP_FACTOR: f64 = 1.2;
/// Calls per second that a route bears, from all instances, if nothing else tells.
const MIN_RATE: f64 = 1.0;

impl Scheduler {
    /// The latency to expect of a route, in ms.
    pub(crate) fn expected_latency_ms(&self, route: &Route) -> f64 {
        route
            .mean_latency_ms
            .or(self.mean_latency_ms)
            .unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// From when on one more call may be sent to a route; `None` while only an outcome can open it.
    pub(crate) fn next_call_at(&self, now: Time, route: &Route) -> Option<Time> {
        if !self.has_free_slot(now, route) {
            return None;
        }
        let mut at = route.backoff_until.map_or(now, |until| until.max(now));
        let hold = route
            .destination
            .and_then(|id| self.rejection_holds.get(&id));
        at = hold.map_or(at, |hold| at.max(hold.until));
        at = at.max(self.ramp_opens_at(now, route));
        at = self
            .rate_share(route)
            .map_or(at, |rate| at.max(route.rate_share.next_call_at(now, rate)));
        let limiter = route.rate_limiter.as_ref();
        Some(limiter.map_or(at, |limiter| at.max(limiter.next_call_at(now))))
    }

    /// Whether a route may hold one more slot.
    fn has_free_slot(&self, now: Time, route: &Route) -> bool {
        let slots = self.settings.limits.max_in_flight as f64;
        let max_failing = ((slots * MAX_FAILING_PART) as usize).max(1);
        if self.is_failing(now, route) && self.failing_calls(now) >= max_failing {
            return false;
        }
        if route.ramp.is_ejected() {
            return route.in_flight.len() < MAX_TRIALS && !route.health_check_in_flight;
        }
        let met = route.mean_latency_ms.is_some();
        let max_calls = if met {
            (slots * MAX_ROUTE_PART).ceil()
        } else {
            MAX_FIRST_CALLS
        };
        // Each failed call since the last good one leaves a route fewer slots, long before it is ejected.
        let max_calls = (max_calls / (1.0 + route.consecutive_failures))
            .ceil()
            .max(1.0) as usize;
        let silent = self.overdue_calls(now, route) >= SILENT_CALLS;
        route.in_flight.len() < max_calls && !silent
    }

    /// Whether a route is in trouble.
    fn is_failing(&self, now: Time, route: &Route) -> bool {
        let failed = route.ramp.is_ejected() || route.consecutive_failures >= 1.0;
        failed || self.overdue_calls(now, route) > 0
    }

    /// Slots held by failing routes.
    fn failing_calls(&self, now: Time) -> usize {
        let calls = self.calls.values();
        calls
            .filter(|call| self.is_failing(now, &self.routes[&call.route]))
            .count()
    }

    /// Calls of a route that are in flight for long, with none sent since that has come back.
    fn overdue_calls(&self, now: Time, route: &Route) -> usize {
        let allowed_ms = SILENCE_FACTOR * self.expected_latency_ms(route) + SILENCE_MARGIN_MS;
        let limit = now - Span::from_ms(allowed_ms);
        let sent = route.in_flight.iter();
        sent.filter(|sent| **sent < limit && Some(**sent) > route.last_success_sent)
            .count()
    }

    /// Calls per second that are this instance's among many, where a limit is reported or listed.
    pub(crate) fn rate_share(&self, route: &Route) -> Option<f64> {
        let limit = route.reported_limit.or(self.listed_rate(route))?;
        rate_share::share_of(limit, self.settings.instances, self.unseen_load())
    }

    /// Calls per second that a route is listed to bear from all instances together, if the list says so.
    fn listed_rate(&self, route: &Route) -> Option<f64> {
        let hints = self.settings.rate_hints;
        Some(route.advertised_rate).filter(|rate| hints != RateHints::Absent && *rate > MIN_RATE)
    }

    /// Calls per second that this instance may count on of a route's full rate: what it is used to delivering
    /// there, drawn towards an even part of the known rate, or of its own traffic over all destinations. So
    /// the parts of all instances add up to no more than the route bears.
    pub(crate) fn own_rate(&self, now: Time, route: &Route) -> f64 {
        let (instances, unseen) = (self.instances(), self.unseen_load());
        let hints = self.settings.rate_hints;
        let listed =
            Some(route.advertised_rate.max(MIN_RATE)).filter(|_| hints != RateHints::Absent);
        let age_s = self
            .started_at
            .map_or(0.0, |at| (now - at).secs())
            .max(BASELINE_TIME_S);
        let own_traffic =
            self.accepted_count.max(1.0) / age_s / self.destinations.len().max(1) as f64;
        let reliable = if hints == RateHints::Exact {
            1.0
        } else {
            APPROXIMATE_PART
        };
        let even_part =
            |rate: Option<f64>| rate.map_or(own_traffic, |rate| rate * reliable / instances);
        let settled = route
            .ramp
            .is_settled(now, self.settings.rules.ramp_duration);
        let baseline = if settled {
            route.baseline_rate(now)
        } else {
            route.baseline_rate
        };
        let least = baseline.max(even_part(listed)).max(MIN_RATE / instances);
        let even = even_part(route.reported_limit.or(listed)).max(1e-6);
        let drawn = (1.0 + baseline * BASELINE_TIME_S) / (1.0 / even + BASELINE_TIME_S);
        let own = ((1.0 - unseen) * least).max(drawn);
        // Where a limit is reported, one among many may count on its even part, whatever it sent there
        // before.
        route
            .reported_limit
            .map_or(own, |limit| own + unseen * (limit / instances - own))
    }

    /// How far this instance can tell rejections by chance from a route's limit: not at all among others that
    /// share a route nobody has listed.
    pub(crate) fn limit_view(&self, route: &Route) -> Option<LimitView> {
        let instances = self.instances();
        let alone = Some(f64::INFINITY).filter(|_| instances == 1.0);
        let headroom = self
            .listed_rate(route)
            .map(|rate| rate / instances)
            .or(alone)?;
        Some(LimitView {
            instances,
            headroom,
        })
    }

    /// From when on the recovery ramp leaves a route another call.
    fn ramp_opens_at(&self, now: Time, route: &Route) -> Time {
        let settings = RampSettings {
            rules: &self.settings.rules,
            instances: self.instances(),
            unseen_load: self.unseen_load(),
        };
        // What it is listed to bear, or was seen to bear where that is more, and a little to catch up with.
        let listed = self.listed_rate(route).map(|rate| rate / self.instances());
        let capacity = RouteCapacity {
            own_rate: self.own_rate(now, route),
            max_rate: listed.map(|rate| CATCH_UP_FACTOR * route.baseline_rate.max(rate)),
            jitter: route.jitter,
            backoff_until: route.backoff_until,
        };
        route.ramp.next_call_at(now, &settings, &capacity)
    }
}

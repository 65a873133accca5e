//! Concurrency limits: the number of calls that one route and all failing routes may have in flight.

use crate::interface::{Span, Time};
use crate::scheduler::Scheduler;
use crate::state::Route;

/// Fraction of all concurrent calls that one route may have, so that a hanging route does not block
/// the others.
const MAX_ROUTE_FRACTION: f64 = 0.6;
/// Fraction of all concurrent calls that the failing routes may have together: several often hang at once.
const MAX_FAILING_FRACTION: f64 = 0.34;
/// Maximum number of concurrent calls to a route that has not answered yet.
const MAX_FIRST_CALLS: f64 = 2.0;
/// Maximum number of concurrent half-open trial calls to an ejected route. With one, a call that hangs would
/// delay the detection of the recovery.
const MAX_HALF_OPEN_CALLS: usize = 2;
/// A call is overdue once it is in flight for this multiple of the expected latency, plus
/// [`OVERDUE_MARGIN_MS`].
const OVERDUE_FACTOR: f64 = 3.0;
/// Allowance for network delays on routes with a low latency, in ms.
const OVERDUE_MARGIN_MS: f64 = 300.0;
/// Number of overdue calls that blocks further calls to a route. A single one may be lost, or belong to the
/// tail of the latency distribution.
const MAX_OVERDUE_CALLS: usize = 2;
/// Number of consecutive failures at which a route counts as failing.
const FAILING_THRESHOLD: f64 = 1.0;

impl Scheduler {
    /// Whether a route may have one more call in flight.
    pub(super) fn admits_concurrent_call(&self, now: Time, route: &Route) -> bool {
        let max_in_flight = self.settings.limits.max_in_flight as f64;
        let max_failing = ((max_in_flight * MAX_FAILING_FRACTION) as usize).max(1);
        if self.is_failing(now, route) && self.failing_calls(now) >= max_failing {
            return false;
        }
        if route.ramp.is_ejected() {
            return route.in_flight.len() < MAX_HALF_OPEN_CALLS && !route.health_check_in_flight;
        }
        let has_answered = route.mean_latency.ms().is_some();
        let max_calls = if has_answered {
            (max_in_flight * MAX_ROUTE_FRACTION).ceil()
        } else {
            MAX_FIRST_CALLS
        };
        // Each consecutive failure lowers the limit, well before the route is ejected.
        let max_calls = (max_calls / (1.0 + route.failures.consecutive_failures()))
            .ceil()
            .max(1.0) as usize;
        let is_hanging = self.overdue_calls(now, route) >= MAX_OVERDUE_CALLS;
        route.in_flight.len() < max_calls && !is_hanging
    }

    /// Whether a route is ejected, fails calls, or has overdue calls.
    fn is_failing(&self, now: Time, route: &Route) -> bool {
        let has_failed = route.failures.consecutive_failures() >= FAILING_THRESHOLD;
        route.ramp.is_ejected() || has_failed || self.overdue_calls(now, route) > 0
    }

    /// Returns the number of calls in flight of all failing routes.
    fn failing_calls(&self, now: Time) -> usize {
        let calls = self.calls.values();
        calls
            .filter(|call| self.is_failing(now, &self.routes[&call.route]))
            .count()
    }

    /// Returns the number of overdue calls of a route. Calls sent before the latest answered call are not
    /// counted.
    fn overdue_calls(&self, now: Time, route: &Route) -> usize {
        let allowed_ms = OVERDUE_FACTOR * self.expected_latency_ms(route) + OVERDUE_MARGIN_MS;
        let overdue_since = now - Span::from_ms(allowed_ms);
        let last_success_sent = route.failures.last_success_sent();
        let is_overdue = |sent: &&Time| **sent < overdue_since && Some(**sent) > last_success_sent;
        route.in_flight.iter().filter(is_overdue).count()
    }
}

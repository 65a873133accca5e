//! Latency: mean latencies of successful calls, and the expected latency of a route.

use crate::interface::{DestinationId, EndpointId, Span};
use crate::scheduler::Scheduler;
use crate::state::Route;

/// Latency assumed before the first response, in ms.
const DEFAULT_LATENCY_MS: f64 = 400.0;

impl Scheduler {
    /// Adds the latency of a successful call to the means of its endpoint, its route and all routes.
    pub(super) fn observe_latency(&mut self, id: EndpointId, latency: Span) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.mean_latency.observe(latency);
        let route = endpoint.route;
        self.route_mut(route).mean_latency.observe(latency);
        self.mean_latency.observe(latency);
    }

    /// Returns the expected latency of a call on a route, in ms.
    pub(crate) fn expected_latency_ms(&self, route: &Route) -> f64 {
        route
            .mean_latency
            .ms()
            .or(self.mean_latency.ms())
            .unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// Returns the expected latency of a destination's fastest active route, or zero if it has none.
    pub(crate) fn fastest_latency(&self, id: DestinationId) -> Span {
        let latencies = self
            .active_routes(id)
            .map(|route| self.expected_latency_ms(route));
        let lowest = latencies.fold(f64::INFINITY, f64::min);
        Span::from_ms(if lowest.is_finite() { lowest } else { 0.0 })
    }
}

//! Health checks: an ejected route is sent a health check before any message, if the settings allow it.

use crate::interface::{Action, EndpointId, EndpointStatus, Time};
use crate::scheduler::Scheduler;
use crate::state::RouteId;

impl Scheduler {
    /// Sends a health check to each ejected route that may be sent a call.
    pub(crate) fn send_health_checks(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.settings.limits.health_checks_allowed {
            return;
        }
        let retention = self.send_retention();
        for id in self.ejected_routes.clone() {
            let next_call_at = self.next_call_at(now, &self.routes[&id]);
            if next_call_at.is_none_or(|at| at > now) {
                continue;
            }
            let Some(endpoint) = self.health_check_endpoint(id) else {
                continue;
            };
            let route = self.route_mut(id);
            route.health_check_in_flight = true;
            route.sent(now, retention);
            actions.push(Action::HealthCheck(endpoint));
        }
    }

    /// Returns the endpoint that receives the health checks of a route.
    pub(crate) fn health_check_endpoint(&self, route: RouteId) -> Option<EndpointId> {
        let endpoints = self.destinations[&route.destination].iter().copied();
        let active = endpoints.filter(|id| {
            let endpoint = &self.endpoints[id];
            endpoint.status == EndpointStatus::Active && endpoint.route == route
        });
        active.min()
    }
}

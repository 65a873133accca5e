//! Connection pressure: closes the idle connections to the endpoints of a kind while the pressure is high.

use crate::connection_pressure::LostConnection;
use crate::interface::{Action, EndpointId, KindId, Outcome, Time};
use crate::recovery_ramp::RouteHealth;
use crate::scheduler::Scheduler;
use crate::state::Attempt;

impl Scheduler {
    /// Whether the connection pressure of a kind is high, so that its idle connections are closed.
    pub(crate) fn has_connection_pressure(&self, kind: KindId) -> bool {
        let pressure = self.connection_pressure.get(&kind);
        pressure.is_some_and(|pressure| pressure.is_high())
    }

    /// Updates the connection pressure after an attempt. While the pressure is high, closes the idle
    /// connections to the attempt's endpoint. When it has just become high, closes those to all endpoints of
    /// the kind.
    pub(crate) fn relieve_connection_pressure(
        &mut self,
        now: Time,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else {
            return;
        };
        let kind = endpoint.kind;
        let was_high = self.has_connection_pressure(kind);
        self.observe_connection(now, attempt, outcome);
        if !self.has_connection_pressure(kind) {
            return;
        }
        if was_high {
            self.close_idle_connections(attempt.endpoint, actions);
            return;
        }
        let of_kind = self
            .endpoints
            .iter()
            .filter(|(_, other)| other.kind == kind);
        let ids: Vec<EndpointId> = of_kind.map(|(id, _)| *id).collect();
        for id in ids {
            self.close_idle_connections(id, actions);
        }
    }

    fn observe_connection(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let unobserved_load = self.unobserved_load();
        let endpoint = &self.endpoints[&attempt.endpoint];
        let route = self.routes.get_mut(&endpoint.route);
        let route = route.expect("an endpoint has a route");
        let pressure = self.connection_pressure.entry(endpoint.kind).or_default();
        if let Some(lost) = LostConnection::from_outcome(now, outcome, attempt.reused_idle) {
            route.lost_connection = Some(lost);
        } else if outcome == Outcome::Delivered {
            let is_healthy = route.ramp.health() == RouteHealth::Healthy;
            let lost = route.lost_connection.take().filter(|_| is_healthy);
            let weight = lost.and_then(|lost| lost.recent_weight(now)).unwrap_or(0.0);
            pressure.call_served(weight * unobserved_load);
        }
    }

    fn close_idle_connections(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.in_flight == 0 && endpoint.last_used.take().is_some() {
            actions.push(Action::CloseIdleConnections(id));
        }
    }
}

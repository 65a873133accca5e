//! What one incarnation of an instance takes over from another that runs beside it: the state of routes, backoffs and
//! calls in flight.

use super::Scheduler;
use crate::interface::{AttemptStart, DestinationId, EndpointId, KnownRoute, Time};
use crate::state::{Attempt, RouteId};

impl Scheduler {
    /// State of each listed route that differs from a new one, for an incarnation that takes over.
    pub fn route_records(&self, now: Time) -> Vec<KnownRoute> {
        let routes = self.routes.iter().map(|(id, route)| {
            let has_pending = self.pending.has(id.destination);
            KnownRoute {
                destination: id.destination,
                endpoint: id.endpoint,
                record: self.idle_record(now, route, has_pending),
            }
        });
        routes
            .filter(|route| route.record.is_significant())
            .collect()
    }

    /// Applies a backoff that another incarnation received. If the endpoint has been removed, it binds the
    /// destination's shared route.
    pub(super) fn note_backoff(
        &mut self,
        destination: DestinationId,
        endpoint: EndpointId,
        until: Time,
    ) {
        let listed = self.endpoints.get(&endpoint);
        let route = listed.map_or(RouteId::shared(destination), |listed| listed.route);
        if let Some(route) = self.routes.get_mut(&route) {
            route.back_off(until);
        }
    }

    /// Counts an attempt of another incarnation as in flight, like one of this incarnation. `None` if its endpoint is
    /// not listed.
    pub(super) fn adopt_attempt(&mut self, start: AttemptStart) -> Option<Attempt> {
        let endpoint = self.endpoints.get_mut(&start.endpoint)?;
        endpoint.in_flight += 1;
        let route = endpoint.route;
        self.route_mut(route).in_flight.push(start.sent);
        Some(Attempt {
            call: self.start_call(route, 1),
            endpoint: start.endpoint,
            sent: start.sent,
            reused_idle: false,
            cut_by_deadline: false,
        })
    }
}

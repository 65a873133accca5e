//! Hot restart: exchange of the state of routes, backoffs and calls in flight between two incarnations of an instance
//! that run at the same time.

use super::Scheduler;
use crate::interface::{AttemptStart, DestinationId, EndpointId, KnownRoute, Time};
use crate::state::{Attempt, RouteId};

impl Scheduler {
    /// Returns the record of each listed route whose state differs from that of a new one, for the incarnation that takes
    /// over.
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

    /// Applies a backoff that another incarnation received. If the endpoint has been removed, the backoff applies to the
    /// destination's shared route.
    pub(super) fn backoff_notified(
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

    /// Counts an attempt of another incarnation as an attempt in flight of this one. Returns `None` if its endpoint is
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

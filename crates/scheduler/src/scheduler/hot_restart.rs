//! What one incarnation of an instance takes over from another that runs beside it: what it knows of routes, the backoffs
//! it was asked for, and its calls in flight.

use super::Scheduler;
use crate::interface::{DestinationId, EndpointId, IdleRecord, Time};
use crate::state::{Attempt, Call, RouteId};

impl Scheduler {
    /// What is known of each listed route, for an incarnation that takes over: its destination, its endpoint where that is
    /// a separate route, and what was learned.
    pub fn route_records(&self, now: Time) -> Vec<(DestinationId, Option<EndpointId>, IdleRecord)> {
        let records = self.routes.iter().map(|(id, route)| {
            let has_pending = self.pending.has(id.destination);
            (
                id.destination,
                id.endpoint,
                self.idle_record(now, route, has_pending),
            )
        });
        records
            .filter(|(.., record)| record.is_significant())
            .collect()
    }

    /// Keeps to a backoff that another incarnation was asked for. The endpoint may have been removed meanwhile; what it
    /// said binds for the route that it shared.
    pub(super) fn note_backoff(&mut self, to: DestinationId, endpoint: EndpointId, until: Time) {
        let known = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route);
        if let Some(route) = self.routes.get_mut(&known.unwrap_or(RouteId::shared(to))) {
            route.back_off(until);
        }
    }

    /// Counts a call of another incarnation as in flight, like one of this incarnation's own. `None` where its endpoint is
    /// not known.
    pub(super) fn still_in_flight(&mut self, (sent, id): (Time, EndpointId)) -> Option<Attempt> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let call = self.next_call;
        self.next_call += 1;
        endpoint.in_flight += 1;
        self.calls.insert(
            call,
            Call {
                route: endpoint.route,
                open_attempts: 1,
            },
        );
        let route = self
            .routes
            .get_mut(&endpoint.route)
            .expect("an endpoint has a route");
        route.in_flight.push(sent);
        Some(Attempt {
            call,
            endpoint: id,
            sent,
            reused_idle: false,
            cut_by_deadline: false,
        })
    }
}

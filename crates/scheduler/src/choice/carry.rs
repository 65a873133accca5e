//! What one life of a courier takes from another that runs beside it: what it knows of routes, the waits it was told, and
//! the calls of its that are out. Nothing is decided here.

use super::{Attempt, RouteId, Scheduler};
use crate::interface::*;

impl Scheduler {
    /// What is known of each route that is listed, for a life that takes over: its destination, its endpoint where that
    /// is a route of its own, and how it stands.
    pub fn route_records(&self, now: Time) -> Vec<(DestinationId, Option<EndpointId>, IdleRecord)> {
        let known = self.routes.iter().map(|(id, route)| {
            let held = self.held.line(id.0).is_some();
            (id.0, id.1, self.cold(now, route, held))
        });
        known.filter(|(.., cold)| cold.is_significant()).collect()
    }

    /// Keeps to a wait that another life was told. The endpoint may have gone from the list meanwhile; what it said binds
    /// for what it shared a route with.
    pub(super) fn waits(&mut self, to: DestinationId, endpoint: EndpointId, until: Time) {
        let known = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route);
        if let Some(route) = self.routes.get_mut(&known.unwrap_or(RouteId(to, None))) {
            route.told(until);
        }
    }

    /// Counts a call of another life as out: it holds a slot and a place at its route like one of this life's own. None
    /// where its endpoint is not known.
    pub(super) fn still_out(&mut self, (sent, id): (Time, EndpointId)) -> Option<Attempt> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let call = self.next_call;
        self.next_call += 1;
        endpoint.out += 1;
        self.calls.insert(call, (endpoint.route, 1));
        self.routes.get_mut(&endpoint.route).expect("an endpoint has a route").out.push(sent);
        Some(Attempt { call, endpoint: id, sent, idled: false, hurried: false })
    }
}

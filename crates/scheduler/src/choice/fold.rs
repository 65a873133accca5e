//! What a courier keeps of destinations that are idle: all that it learned of one folds into a small record, and
//! unfolds when the next message for it comes. Nothing is decided here.

use super::{Route, RouteId, Scheduler};
use crate::interface::*;
use crate::recovery::{Comeback, Stage};

impl Scheduler {
    /// Forgets a destination with nothing held and nothing out, but for what is given back; with it its endpoints.
    /// `None` if it is in use, unknown, or has endpoints that are routes of their own. The embedding courier lists
    /// its endpoints again, then says [`Event::Recalled`], before it hands in the next message for it.
    pub fn compact(&mut self, now: Time, id: DestinationId) -> Option<(Vec<EndpointId>, IdleRecord)> {
        let all = self.destinations.get(&id)?;
        let route = RouteId(id, None);
        let shared = |id: &EndpointId| self.endpoints[id].route == route && self.endpoints[id].out == 0;
        if !all.iter().all(shared) || self.messages.values().any(|message| message.destination == id) {
            return None;
        }
        let all = self.destinations.remove(&id)?;
        for endpoint in &all {
            self.endpoints.remove(endpoint);
        }
        self.crowds.remove(&id);
        self.outs.remove(&route);
        let learned = self.routes.remove(&route)?;
        Some((all, self.cold(now, &learned, false)))
    }

    /// What is worth keeping of a route, for which messages may be held.
    pub(super) fn cold(&self, now: Time, route: &Route, held: bool) -> IdleRecord {
        let (out_since, back_since) = self.since(now, &route.health, held);
        let wait_until = route.wait_until.filter(|until| *until > now);
        IdleRecord {
            backoff_until: wait_until,
            ejected_since: out_since,
            recovering_since: back_since,
            mean_latency_ms: route.mean,
            baseline_rate: route.usual(now),
        }
    }

    /// Since when a route is out, or being eased: for its cold time, and on while messages are held for it.
    fn since(&self, now: Time, health: &Comeback, held: bool) -> (Option<Time>, Option<Time>) {
        match health.stage() {
            Stage::Down(since) => (Some(since), None),
            Stage::Easing(since) if held || now - since < self.set.rules.ramp_duration => (None, Some(since)),
            Stage::Easing(_) | Stage::Warm => (None, None),
        }
    }

    /// Takes up again what was known of a route; its endpoints are listed already. A wait that was told meanwhile stays.
    pub(super) fn recall(&mut self, now: Time, id: RouteId, cold: &IdleRecord) {
        let Some(route) = self.routes.get_mut(&id) else { return };
        (route.wait_until, route.mean) = (route.wait_until.max(cold.backoff_until), cold.mean_latency_ms);
        (route.usual, route.usual_at) = (cold.baseline_rate, Some(now));
        route.health = Comeback::at(match (cold.ejected_since, cold.recovering_since) {
            (Some(since), _) => Stage::Down(since),
            (None, Some(since)) => Stage::Easing(since),
            (None, None) => Stage::Warm,
        });
        if cold.ejected_since.is_some() {
            self.outs.insert(id);
        }
    }

    /// How a destination that is listed stands, for people and for a record that outlasts the process.
    pub fn destination_state(&self, now: Time, id: DestinationId) -> Option<DestinationState> {
        let route = self.routes.get(&RouteId(id, None))?;
        let held = self.messages.values().filter(|message| message.destination == id).count();
        let IdleRecord {
            backoff_until: wait_until,
            ejected_since: out_since,
            recovering_since: back_since,
            mean_latency_ms: mean_ms,
            baseline_rate: usual,
        } = self.cold(now, route, held > 0);
        Some(DestinationState {
            ejected_since: out_since,
            recovering_since: back_since,
            backoff_until: wait_until,
            mean_latency_ms: mean_ms,
            baseline_rate: usual,
            pending: held,
            in_flight: route.out.len(),
        })
    }
}

//! Idle destinations: all that was learned of one is compacted into a small record, and restored when the next message for
//! it comes.

use super::Scheduler;
use crate::interface::{DestinationId, DestinationState, EndpointId, IdleRecord, Time};
use crate::recovery_ramp::{RecoveryRamp, RouteHealth};
use crate::state::{Route, RouteId};

impl Scheduler {
    /// Forgets a destination with nothing pending and nothing in flight, but for what is returned; with it its endpoints.
    /// `None` if it is in use, unknown, or has endpoints that are separate routes. The embedding program lists its
    /// endpoints again, then gives [`Event::RouteRestored`](crate::Event::RouteRestored), before the next message for it.
    pub fn compact(
        &mut self,
        now: Time,
        id: DestinationId,
    ) -> Option<(Vec<EndpointId>, IdleRecord)> {
        let endpoints = self.destinations.get(&id)?;
        let route = RouteId::shared(id);
        let is_idle = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            endpoint.route == route && endpoint.in_flight == 0
        };
        let in_use = self
            .messages
            .values()
            .any(|message| message.destination == id);
        if !endpoints.iter().all(is_idle) || in_use {
            return None;
        }
        let endpoints = self.destinations.remove(&id)?;
        for endpoint in &endpoints {
            self.endpoints.remove(endpoint);
        }
        self.rejection_holds.remove(&id);
        self.ejected_routes.remove(&route);
        let learned = self.routes.remove(&route)?;
        Some((endpoints, self.idle_record(now, &learned, false)))
    }

    /// What is worth keeping of a route.
    pub(super) fn idle_record(&self, now: Time, route: &Route, has_pending: bool) -> IdleRecord {
        let (ejected_since, recovering_since) = match route.ramp.health() {
            RouteHealth::Ejected(since) => (Some(since), None),
            RouteHealth::Recovering(since) => {
                let in_ramp = has_pending || now - since < self.settings.rules.ramp_duration;
                (None, Some(since).filter(|_| in_ramp))
            }
            RouteHealth::Healthy => (None, None),
        };
        IdleRecord {
            backoff_until: route.backoff_until.filter(|until| *until > now),
            ejected_since,
            recovering_since,
            mean_latency_ms: route.mean_latency_ms,
            baseline_rate: route.baseline_rate(now),
        }
    }

    /// Restores what was known of a route; its endpoints are listed already. A backoff that was asked for meanwhile stays.
    pub(super) fn restore_route(&mut self, now: Time, id: RouteId, record: &IdleRecord) {
        let Some(route) = self.routes.get_mut(&id) else {
            return;
        };
        route.backoff_until = route.backoff_until.max(record.backoff_until);
        route.mean_latency_ms = record.mean_latency_ms;
        route.baseline_rate = record.baseline_rate;
        route.baseline_at = Some(now);
        route.ramp =
            RecoveryRamp::with_health(match (record.ejected_since, record.recovering_since) {
                (Some(since), _) => RouteHealth::Ejected(since),
                (None, Some(since)) => RouteHealth::Recovering(since),
                (None, None) => RouteHealth::Healthy,
            });
        if record.ejected_since.is_some() {
            self.ejected_routes.insert(id);
        }
    }

    /// The state of a listed destination, for operators and for a snapshot that outlasts the process.
    pub fn destination_state(&self, now: Time, id: DestinationId) -> Option<DestinationState> {
        let route = self.routes.get(&RouteId::shared(id))?;
        let pending = self
            .messages
            .values()
            .filter(|message| message.destination == id)
            .count();
        let record = self.idle_record(now, route, pending > 0);
        Some(DestinationState {
            ejected_since: record.ejected_since,
            recovering_since: record.recovering_since,
            backoff_until: record.backoff_until,
            mean_latency_ms: record.mean_latency_ms,
            baseline_rate: record.baseline_rate,
            pending,
            in_flight: route.in_flight.len(),
        })
    }
}

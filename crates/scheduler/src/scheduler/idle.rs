//! Idle destinations: the state of an idle destination is compacted into a small record, and restored before its next
//! message.

use super::Scheduler;
use crate::baseline_rate::BaselineRate;
use crate::interface::{
    CompactedDestination, DestinationId, DestinationState, EndpointId, IdleRecord, KnownRoute, Time,
};
use crate::mean_latency::MeanLatency;
use crate::recovery_ramp::{RecoveryRamp, RouteHealth};
use crate::state::{Route, RouteId};

impl Scheduler {
    /// Removes a destination without pending messages and calls in flight, with its endpoints, and returns its state.
    /// Returns `None` if the destination is in use, unknown, or has endpoints that are separate routes.
    ///
    /// Before the next message for the destination, the embedding program lists its endpoints again and reports the
    /// record with [`Event::RouteRestored`](crate::Event::RouteRestored).
    pub fn compact_destination(
        &mut self,
        now: Time,
        id: DestinationId,
    ) -> Option<CompactedDestination> {
        let endpoints = self.destinations.get(&id)?;
        let route = RouteId::shared(id);
        let is_unused = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            endpoint.route == route && endpoint.in_flight == 0
        };
        let in_use = self
            .messages
            .values()
            .any(|message| message.destination == id);
        if !endpoints.iter().all(is_unused) || in_use {
            return None;
        }
        let endpoints = self.destinations.remove(&id)?;
        for endpoint in &endpoints {
            self.endpoints.remove(endpoint);
        }
        self.rejection_holds.remove(&id);
        self.ejected_routes.remove(&route);
        let route = self.routes.remove(&route)?;
        let has_pending = self.pending.has(id);
        let record = self.idle_record(now, &route, has_pending);
        Some(CompactedDestination { endpoints, record })
    }

    /// Returns the state of a route that is kept when the route is removed.
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
            mean_latency_ms: route.mean_latency.ms(),
            baseline_rate: route.baseline_rate.current_per_s(now),
        }
    }

    /// Restores the state of a listed route. A later backoff that the route has requested since then stays.
    pub(super) fn restore_route(&mut self, now: Time, known: &KnownRoute) {
        let id = RouteId {
            destination: known.destination,
            endpoint: known.endpoint,
        };
        let Some(route) = self.routes.get_mut(&id) else {
            return;
        };
        let record = &known.record;
        route.backoff_until = route.backoff_until.max(record.backoff_until);
        route.mean_latency = MeanLatency::restored(record.mean_latency_ms);
        route.baseline_rate = BaselineRate::restored(now, record.baseline_rate);
        let health = match (record.ejected_since, record.recovering_since) {
            (Some(since), _) => RouteHealth::Ejected(since),
            (None, Some(since)) => RouteHealth::Recovering(since),
            (None, None) => RouteHealth::Healthy,
        };
        route.ramp = RecoveryRamp::with_health(health);
        if record.ejected_since.is_some() {
            self.ejected_routes.insert(id);
        }
    }

    /// Returns the state of a listed destination, for status output and for a persistent snapshot. Returns `None` if the
    /// destination is not listed or has only separate routes.
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

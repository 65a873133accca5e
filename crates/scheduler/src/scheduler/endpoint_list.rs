//! The endpoint list: added, changed and removed entries, and failed requests for the list.

use super::Scheduler;
use crate::interface::{DiscoveryMode, EndpointStatus, EndpointUpdate, Time};
use crate::state::{Endpoint, Route, RouteId};

/// Purpose of the random numbers of subscription retries, distinct from all other purposes.
const RESUBSCRIBE_PURPOSE: u64 = u64::MAX >> 8;
/// Shift of an endpoint's number in the purpose of its route's random number, which separates it from the endpoint's
/// own random number.
const ROUTE_JITTER_SHIFT: u32 = 32;

impl Scheduler {
    /// Applies a complete list: endpoints that are missing from it are removed.
    pub(super) fn replace_endpoints(&mut self, updates: &[EndpointUpdate]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = EndpointStatus::Removed;
        }
        self.has_removed_endpoints = true;
        self.update_endpoints(updates);
    }

    /// Applies changes to the list.
    pub(super) fn update_endpoints(&mut self, updates: &[EndpointUpdate]) {
        self.subscription.updated();
        for update in updates {
            self.update_endpoint(update);
        }
    }

    /// Applies one entry. An endpoint belongs to one destination for as long as it is known, so an entry with another one is
    /// ignored.
    fn update_endpoint(&mut self, update: &EndpointUpdate) {
        let known = self.endpoints.get(&update.endpoint);
        if known.is_some_and(|endpoint| endpoint.route.destination != update.destination) {
            self.log_lines.push(format!(
                "endpoint {} is known at another destination",
                update.endpoint.0
            ));
            return;
        }
        self.has_removed_endpoints |= update.status == EndpointStatus::Removed;
        let kind = self.settings.kinds.get(update.kind.0);
        let is_separate = kind.is_some_and(|kind| kind.separate_routes);
        let route = RouteId {
            destination: update.destination,
            endpoint: Some(update.endpoint).filter(|_| is_separate),
        };
        let jitter = self.seeded_fraction(u64::from(update.endpoint.0) << ROUTE_JITTER_SHIFT);
        // The head start differs between instances, so that they don't all begin with the same endpoint.
        let head_start = update.weight.map_or(0.0, |weight| jitter / weight);
        let virtual_finish_time = self.latest_finish_time(update.destination) - head_start;
        let endpoint = self.endpoints.entry(update.endpoint).or_insert(Endpoint {
            route,
            kind: update.kind,
            zone: update.zone,
            virtual_finish_time,
            ..Endpoint::default()
        });
        endpoint.status = update.status;
        endpoint.weight = update.weight;
        let endpoints = self.destinations.entry(update.destination).or_default();
        if !endpoints.contains(&update.endpoint) {
            endpoints.push(update.endpoint);
        }
        let route = self.routes.entry(route).or_insert_with(|| Route {
            destination: update.destination,
            jitter,
            ..Route::default()
        });
        route.advertised_rate = update.advertised_rate;
    }

    /// Deletes the removed endpoints without a call in flight, and their separate routes.
    pub(super) fn purge_removed_endpoints(&mut self) {
        if !std::mem::take(&mut self.has_removed_endpoints) {
            return;
        }
        for (id, endpoint) in &self.endpoints {
            if endpoint.status != EndpointStatus::Removed {
                continue;
            }
            if endpoint.in_flight > 0 {
                self.has_removed_endpoints = true;
                continue;
            }
            if let Some(endpoints) = self.destinations.get_mut(&endpoint.route.destination) {
                endpoints.retain(|other| other != id);
            }
            if endpoint.route.endpoint.is_some() {
                self.routes.remove(&endpoint.route);
                self.ejected_routes.remove(&endpoint.route);
            }
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.status != EndpointStatus::Removed || endpoint.in_flight > 0
        });
    }

    /// Schedules a retry after a request for the list failed or the subscription broke.
    pub(super) fn list_request_failed(&mut self, now: Time) {
        if self.settings.discovery != DiscoveryMode::Subscribe {
            // A pushed list is never requested, so the retry would never be cleared.
            return;
        }
        let failures = self.subscription.consecutive_failures() as u64;
        let jitter = self.seeded_fraction(RESUBSCRIBE_PURPOSE ^ failures);
        let max_poll_interval = self.settings.rules.max_poll_interval;
        self.subscription.failed(now, jitter, max_poll_interval);
    }
}

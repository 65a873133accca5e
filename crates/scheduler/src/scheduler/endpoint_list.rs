//! The endpoint list: its rows, removed endpoints, and the subscription to its changes.

use super::Scheduler;
use crate::interface::{EndpointStatus, EndpointUpdate, Span, Time};
use crate::state::{Endpoint, Route, RouteId};

/// A failed subscription is retried after about this, doubled with each failure in a row ...
const RESUBSCRIBE_MS: f64 = 1000.0;
/// ... up to this many times, and within half the time that the rules allow.
const MAX_RESUBSCRIBE_DOUBLINGS: i32 = 3;
/// The draw that a retry's jitter comes from, apart from all others.
const RESUBSCRIBE_DRAW: u64 = u64::MAX >> 8;

impl Scheduler {
    /// Takes the whole list: what is not in it is removed.
    pub(super) fn replace_endpoints(&mut self, updates: &[EndpointUpdate]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = EndpointStatus::Removed;
        }
        self.has_removed_endpoints = true;
        self.update_endpoints(updates);
    }

    /// Takes changes of the list.
    pub(super) fn update_endpoints(&mut self, updates: &[EndpointUpdate]) {
        self.list_failures = 0;
        for update in updates {
            self.update_endpoint(update);
        }
    }

    fn update_endpoint(&mut self, update: &EndpointUpdate) {
        self.has_removed_endpoints |= update.status == EndpointStatus::Removed;
        let kind = self.settings.kinds.get(update.kind.0);
        let separate = kind.is_some_and(|kind| kind.separate_routes);
        let route = RouteId {
            destination: update.destination,
            endpoint: Some(update.endpoint).filter(|_| separate),
        };
        let jitter = self.seeded_fraction(u64::from(update.endpoint.0) << 32);
        // Instances that learn of it together do not all begin with it.
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
            jitter,
            ..Route::default()
        });
        route.advertised_rate = update.advertised_rate;
        route.destination = Some(update.destination);
    }

    /// What is removed and carries no call is forgotten, with its route where that is its own.
    pub(super) fn forget_removed_endpoints(&mut self) {
        if !std::mem::take(&mut self.has_removed_endpoints) {
            return;
        }
        for (id, endpoint) in &self.endpoints {
            if endpoint.status != EndpointStatus::Removed || endpoint.in_flight > 0 {
                self.has_removed_endpoints |= endpoint.status == EndpointStatus::Removed;
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

    /// The request for the list failed, or the subscription broke: it is retried after a while.
    pub(super) fn retry_subscription(&mut self, now: Time) {
        let jitter = 0.5 + self.seeded_fraction(RESUBSCRIBE_DRAW ^ self.list_failures as u64);
        let doublings = self.list_failures.min(MAX_RESUBSCRIBE_DOUBLINGS);
        let wait = RESUBSCRIBE_MS * 2f64.powi(doublings) * jitter;
        let longest =
            Some(self.settings.rules.max_poll_interval.ms() / 2.0).filter(|longest| *longest > 0.0);
        self.list_failures += 1;
        self.resubscribe_at =
            Some(now + Span::from_ms(longest.map_or(wait, |longest| wait.min(longest))));
    }
}

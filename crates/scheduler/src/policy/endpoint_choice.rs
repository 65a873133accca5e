//! Endpoint choice: a call goes to the endpoint of the destination with the lowest cost.
//!
//! The cost is the expected latency, increased for calls in flight, a new connection and a zone's fee.
//! Endpoints that failed recently are chosen last. Each instance has its own seeded preferences, in
//! proportion to the advertised rates, so that instances with the same information don't all choose the same
//! endpoint. For endpoints with weights in the list, the weighted round robin replaces the cost.

use crate::interface::{DestinationId, EndpointId, EndpointStatus, Time};
use crate::scheduler::Scheduler;
use crate::state::{Endpoint, Message, Route};

/// Cost factor of an endpoint that failed recently.
const FAILED_COST_FACTOR: f64 = 1000.0;
/// Penalty on the virtual finish time of an endpoint that failed recently, for each unit of its cost factor
/// above 1.
const FAILED_FINISH_TIME: f64 = 1e9;
/// Weight of a zone's fee relative to the latency.
const FEE_WEIGHT: f64 = 20.0;
/// Cost of a new connection, as a fraction of the route's expected latency.
const CONNECT_COST: f64 = 0.5;
/// Cost of each call in flight at the endpoint, as a fraction of its expected latency.
const QUEUED_CALL_COST: f64 = 0.5;
/// Minimum exponent of an instance's preference on a shared route.
const MIN_PREFERENCE: f64 = 0.03;
/// Minimum exponent of an instance's preference on a separate route.
const MIN_SEPARATE_PREFERENCE: f64 = 0.15;
/// Minimum random number from which a preference is derived.
const MIN_PREFERENCE_FRACTION: f64 = 0.02;
/// Maximum random number from which a preference is derived.
const MAX_PREFERENCE_FRACTION: f64 = 0.98;
/// Minimum advertised rate in a preference, in calls per second.
const MIN_PREFERENCE_RATE: f64 = 0.01;

/// The endpoint that receives a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointChoice {
    pub endpoint: EndpointId,
    /// Expected latency of the endpoint's route, in ms.
    pub expected_latency_ms: f64,
}

impl Scheduler {
    /// Returns the endpoint that `message` would be sent to now. `None` for `message` stands for any message
    /// that was never executed and may be sent to every endpoint.
    pub(super) fn choose_endpoint(
        &self,
        now: Time,
        destination: DestinationId,
        message: Option<&Message>,
    ) -> Option<EndpointChoice> {
        let mut cheapest: Option<(f64, EndpointChoice)> = None;
        for &id in self.destinations.get(&destination)? {
            let endpoint = &self.endpoints[&id];
            if message.is_some_and(|message| !self.may_send(now, message, id, endpoint))
                || !self.may_call(now, endpoint)
            {
                continue;
            }
            let route = &self.routes[&endpoint.route];
            let cost = self.call_cost(now, id, endpoint, route);
            if cheapest.is_none_or(|(lowest, _)| cost < lowest) {
                let choice = EndpointChoice {
                    endpoint: id,
                    expected_latency_ms: self.expected_latency_ms(route),
                };
                cheapest = Some((cost, choice));
            }
        }
        cheapest.map(|(_, choice)| choice)
    }

    /// Whether an endpoint may be sent a call now.
    fn may_call(&self, now: Time, endpoint: &Endpoint) -> bool {
        let route = &self.routes[&endpoint.route];
        endpoint.status == EndpointStatus::Active
            && !endpoint.is_at_connection_cap()
            && self.next_call_at(now, route).is_some_and(|at| at <= now)
    }

    /// Returns the cost of a call to an endpoint, comparable among the endpoints of its destination.
    fn call_cost(&self, now: Time, id: EndpointId, endpoint: &Endpoint, route: &Route) -> f64 {
        let route_latency_ms = self.expected_latency_ms(route);
        let latency_ms = endpoint.mean_latency.ms().unwrap_or(route_latency_ms);
        let mut cost = latency_ms * (1.0 + QUEUED_CALL_COST * endpoint.in_flight as f64);
        if endpoint.needs_new_connection(now, &self.settings.limits) {
            cost += CONNECT_COST * route_latency_ms;
        }
        if endpoint.route.endpoint.is_some() {
            let fee = self.settings.zone_fees.get(endpoint.zone.0);
            cost *= 1.0 + FEE_WEIGHT * fee.copied().unwrap_or(0.0);
        }
        let failure_factor = if endpoint.has_failed_recently(now) {
            FAILED_COST_FACTOR
        } else {
            1.0
        };
        cost *= failure_factor * self.preference(id, endpoint, route);
        let finish_time = self.finish_time(now, endpoint);
        finish_time.map_or(cost, |finish_time| {
            finish_time + (failure_factor - 1.0) * FAILED_FINISH_TIME
        })
    }

    /// Returns the cost factor of this instance's preference: an exponential random variable divided by the
    /// advertised rate. Each endpoint is preferred by a share of the instances in proportion to its rate.
    fn preference(&self, id: EndpointId, endpoint: &Endpoint, route: &Route) -> f64 {
        let fraction = self
            .seeded_fraction(u64::from(id.0))
            .clamp(MIN_PREFERENCE_FRACTION, MAX_PREFERENCE_FRACTION);
        let variable = -fraction.ln();
        let min_exponent = if endpoint.route.endpoint.is_some() {
            MIN_SEPARATE_PREFERENCE
        } else {
            MIN_PREFERENCE
        };
        let exponent = self.unobserved_load().max(min_exponent);
        (variable / route.advertised_rate.max(MIN_PREFERENCE_RATE)).powf(exponent)
    }
}

//! Weighted round robin: each endpoint of a destination gets a share of the calls in proportion to its weight
//! in the list.
//!
//! Each call defers the endpoint's next call by the inverse of the endpoint's weight, in virtual time. The
//! virtual finish time of a call is never before the latest one of the destination, so an endpoint does not
//! catch up on calls that it missed while it was ejected or had a lower weight.

use crate::interface::Time;
use crate::scheduler::Scheduler;
use crate::state::Endpoint;

/// Minimum effective weight of an endpoint.
const MIN_EFFECTIVE_WEIGHT: f64 = 1e-9;

impl Scheduler {
    /// Returns the virtual finish time of the next call to an endpoint, or `None` if the endpoint has no
    /// weight. While the endpoint recovers from a failure, its weight is reduced to the ramp's share of it.
    pub(crate) fn finish_time(&self, now: Time, endpoint: &Endpoint) -> Option<f64> {
        let weight = endpoint.weight?;
        let recovered_at = endpoint.failed_at.map(|_| now).or(endpoint.recovered_at);
        let rules = &self.settings.rules;
        let capacity = recovered_at.map_or(1.0, |at| rules.capacity_share(now - at));
        let finish_time =
            endpoint.virtual_finish_time + 1.0 / (weight * capacity).max(MIN_EFFECTIVE_WEIGHT);
        let latest = self.latest_finish_time(endpoint.route.destination);
        Some(latest.max(finish_time))
    }
}

//! Weighted round robin: where the list gives weights, each endpoint of a destination gets its share of the
//! calls.
//!
//! Each call defers its endpoint's next one by the inverse of the endpoint's weight, in virtual time. No call
//! finishes before the last one of the destination: an endpoint does not make up for calls that it missed
//! while it was ejected or weighed less.

use crate::interface::Time;
use crate::scheduler::Scheduler;
use crate::state::Endpoint;

/// The least effective weight of an endpoint.
const MIN_EFFECTIVE_WEIGHT: f64 = 1e-9;

impl Scheduler {
    /// Virtual finish time of the next call to an endpoint; `None` if it has no weight. An endpoint that
    /// recovers from a failure has the share of its weight that the ramp gives.
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

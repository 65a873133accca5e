//! Capacity of a route: its next call is permitted at the latest of the times that its limits set.

use crate::interface::Time;
use crate::recovery_ramp::{RampSettings, RouteCapacity};
use crate::scheduler::Scheduler;
use crate::state::Route;

/// Maximum rate of a route after its ramp while messages still wait for it, as a multiple of its listed or
/// baseline rate.
const CATCH_UP_FACTOR: f64 = 1.2;

impl Scheduler {
    /// Returns the earliest time at which a route may be sent one more call, or `None` while that depends on
    /// the outcome of a call in flight.
    pub(crate) fn next_call_at(&self, now: Time, route: &Route) -> Option<Time> {
        if !self.admits_concurrent_call(now, route) {
            return None;
        }
        let hold = self.rejection_holds.get(&route.destination);
        let limits = [
            now,
            route.backoff_until.unwrap_or(Time::MIN),
            hold.map_or(Time::MIN, |hold| hold.until()),
            self.ramp_permits_at(now, route),
            self.rate_share(route)
                .map_or(Time::MIN, |rate| route.rate_share.next_call_at(now, rate)),
            route
                .rate_limiter
                .as_ref()
                .map_or(Time::MIN, |limiter| limiter.next_call_at(now)),
        ];
        limits.into_iter().max()
    }

    /// Returns the earliest time at which the recovery ramp permits the next call.
    fn ramp_permits_at(&self, now: Time, route: &Route) -> Time {
        let settings = RampSettings {
            rules: &self.settings.rules,
            instances: self.instances(),
            unobserved_load: self.unobserved_load(),
        };
        let listed_share = self.listed_rate(route).map(|rate| rate / self.instances());
        let capacity = RouteCapacity {
            own_rate: self.own_rate(now, route),
            max_rate: listed_share
                .map(|rate| CATCH_UP_FACTOR * route.baseline_rate.per_s().max(rate)),
            jitter: route.jitter,
            backoff_until: route.backoff_until,
        };
        route.ramp.next_call_at(now, &settings, &capacity)
    }
}

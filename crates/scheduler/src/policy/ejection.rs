//! Ejection: takes failing routes out of service, and starts the recovery of an ejected route.
//!
//! A busy route is ejected after [`FAILURES_TO_EJECT`] consecutive failures. A route with little traffic is
//! ejected after fewer, in proportion to its baseline rate, so that its ejection takes about as long as that
//! of a busy route. The number never falls below a minimum that depends on the number of instances.

use crate::failure_detector::FAILURES_TO_EJECT;
use crate::interface::Time;
use crate::recovery_ramp::{HealthChange, Observation};
use crate::scheduler::Scheduler;
use crate::state::RouteId;

impl Scheduler {
    /// Updates the health of a route after a call sent at `sent` has ended: ejects the route or starts its
    /// recovery.
    pub(super) fn update_health(&mut self, now: Time, id: RouteId, sent: Time, answered: bool) {
        let min_failures = FAILURES_TO_EJECT - self.unobserved_load();
        let has_pending = || self.pending.has(id.destination);
        let route = self.routes.get_mut(&id);
        let route = route.expect("an endpoint has a route");
        let needed = (FAILURES_TO_EJECT * route.baseline_rate.per_s())
            .clamp(min_failures, FAILURES_TO_EJECT);
        let observation = Observation {
            sent,
            answered,
            failing: route.failures.consecutive_failures() >= needed,
        };
        let ramp_duration = self.settings.rules.ramp_duration;
        let change = route
            .ramp
            .observe(now, observation, has_pending, ramp_duration);
        match change {
            None => {}
            Some(HealthChange::Ejected) => {
                route.baseline_rate.freeze(now);
                self.ejected_routes.insert(id);
                self.log_lines.push(format!("{id}: ejected"));
            }
            Some(HealthChange::Recovering) => {
                self.ejected_routes.remove(&id);
                self.log_lines.push(format!("{id}: answers again"));
            }
        }
    }
}

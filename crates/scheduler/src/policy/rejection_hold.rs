//! Rejection hold: pauses the calls to a destination that rejected a call or reported a low remaining quota.

use crate::interface::{Span, Time};
use crate::rejection_hold::{RejectedCall, RejectionHold, MS_PER_S};
use crate::scheduler::Scheduler;
use crate::state::RouteId;

/// Remaining share of the quota below which the next call is likely to be rejected.
const LOW_QUOTA: f64 = 0.3;
/// Shift of the hold count in the purpose of its random numbers, which separates them from other purposes.
const HOLD_PURPOSE_SHIFT: u32 = 20;

impl Scheduler {
    /// Pauses the calls to a destination after one of its routes rejected a call.
    pub(super) fn hold_after_rejection(
        &mut self,
        now: Time,
        id: RouteId,
        retry_after: Option<Span>,
    ) {
        let call = RejectedCall {
            retry_after,
            call_interval_ms: self.call_interval_ms(now, id),
            share_is_known: self.rate_share(&self.routes[&id]).is_some(),
            jitter: self.hold_jitter(),
            unobserved_load: self.unobserved_load(),
        };
        self.hold_count += 1;
        let hold = self.rejection_holds.entry(id.destination).or_default();
        hold.rejected(now, &call);
    }

    /// Pauses the calls to a destination if a response reports a low remaining quota.
    pub(crate) fn hold_if_quota_is_low(&mut self, now: Time, id: RouteId, remaining: Option<f64>) {
        if !remaining.is_some_and(|remaining| remaining < LOW_QUOTA) {
            return;
        }
        let Some(rate) = self.rate_share(&self.routes[&id]) else {
            return;
        };
        self.hold_count += 1;
        let hold = RejectionHold::for_low_quota(now, rate, self.hold_jitter());
        self.rejection_holds.insert(id.destination, hold);
    }

    /// Returns the time between two calls of this instance at its share of the rate of all of the
    /// destination's routes, in ms.
    fn call_interval_ms(&self, now: Time, id: RouteId) -> f64 {
        let routes = id
            .endpoint
            .map_or(1, |_| self.destinations[&id.destination].len());
        MS_PER_S / (self.own_rate(now, &self.routes[&id]) * routes as f64)
    }

    /// Returns the random number of the next hold, in 0..1.
    fn hold_jitter(&self) -> f64 {
        self.seeded_fraction(self.hold_count << HOLD_PURPOSE_SHIFT)
    }
}

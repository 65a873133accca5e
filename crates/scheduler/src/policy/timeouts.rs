//! Time-outs: decides when attempts are abandoned.

use crate::interface::{Idempotency, Span, Time};
use crate::scheduler::Scheduler;
use crate::state::{Message, Route, RouteId};

/// Time-out of an attempt as a multiple of the route's expected latency.
const LATENCY_FACTOR: f64 = 6.0;
/// Minimum time-out, in ms: a low mean latency does not predict the latency under load.
const MIN_TIMEOUT_MS: f64 = 1200.0;
/// Factor of a route's time-out for each consecutive call that timed out on the route.
const TIMEOUT_BACKOFF: f64 = 1.7;
/// Maximum number of consecutive time-outs that raise the time-out.
const MAX_TIMEOUT_BACKOFFS: i32 = 3;
/// Factor of the time-out of a non-idempotent message, which can't be retried after a time-out.
const NON_IDEMPOTENT_FACTOR: f64 = 3.0;
/// Factor of all time-outs while calls are regularly lost although later calls are answered.
const LOSSY_FACTOR: f64 = 0.35;

/// End of an attempt without a response.
pub(crate) struct AttemptTimeout {
    /// Time at which the attempt is abandoned.
    pub at: Time,
    /// Whether the message's deadline precedes the route's time-out.
    pub cut_by_deadline: bool,
}

impl Scheduler {
    /// Returns the time-out of attempts on a route, in ms.
    pub(crate) fn route_timeout_ms(&self, route: &Route) -> f64 {
        let backoff = TIMEOUT_BACKOFF.powi(route.consecutive_timeouts.min(MAX_TIMEOUT_BACKOFFS));
        let loss_factor = if self.loss_rate.is_lossy() {
            LOSSY_FACTOR
        } else {
            1.0
        };
        (LATENCY_FACTOR * self.expected_latency_ms(route)).max(MIN_TIMEOUT_MS)
            * backoff
            * loss_factor
    }

    /// Returns the end of an attempt for `message` that starts now and gets no response, on a route with this
    /// time-out.
    pub(crate) fn attempt_timeout(
        &self,
        now: Time,
        message: &Message,
        route_timeout_ms: f64,
    ) -> AttemptTimeout {
        let factor = match self.settings.classes[message.class.0].idempotency {
            Idempotency::NonIdempotent => NON_IDEMPOTENT_FACTOR,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { .. } => 1.0,
        };
        let route_timeout_at = now + Span::from_ms(route_timeout_ms * factor);
        AttemptTimeout {
            at: message.deadline.min(route_timeout_at),
            cut_by_deadline: message.deadline < route_timeout_at,
        }
    }

    /// Records the time-out of a call sent at `sent`. If a later call of the route was answered, the call
    /// counts as lost and does not raise the route's time-out.
    pub(super) fn observe_timeout(&mut self, id: RouteId, sent: Time) {
        if self.routes[&id].failures.has_later_success(sent) {
            self.loss_rate.call_lost();
        } else {
            self.route_mut(id).consecutive_timeouts += 1;
        }
    }
}

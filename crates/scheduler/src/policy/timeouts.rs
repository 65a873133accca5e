//! Time-outs: when an attempt is abandoned.

use crate::interface::{Idempotency, Span, Time};
use crate::scheduler::Scheduler;
use crate::state::{Message, Route, RouteId};

/// Time-out of an attempt as a multiple of the route's expected latency.
const LATENCY_FACTOR: f64 = 6.0;
/// The least time-out, in ms: short latencies say little about a busy moment.
const MIN_TIMEOUT_MS: f64 = 1200.0;
/// Factor of a route's time-out for each consecutive attempt that timed out there.
const TIMEOUT_BACKOFF: f64 = 1.7;
/// How many consecutive time-outs raise the time-out.
const MAX_TIMEOUT_BACKOFFS: i32 = 3;
/// Factor of the time-out of a non-idempotent message, which can't be retried after it.
const NON_IDEMPOTENT_FACTOR: f64 = 3.0;
/// Factor of all time-outs while calls are lost regularly and later ones answered.
const LOSSY_FACTOR: f64 = 0.35;

/// When an attempt is abandoned.
pub(crate) struct AttemptTimeout {
    pub at: Time,
    /// Whether the message's deadline comes before the route's time-out.
    pub cut_by_deadline: bool,
}

impl Scheduler {
    /// Time-out of attempts on a route, in ms.
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

    /// When an attempt for a message that starts now is abandoned, on a route with this time-out.
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

    /// Records the time-out of a call sent at `sent`. If a later call of the route was answered, the call was
    /// lost and says nothing about the route.
    pub(super) fn observe_timeout(&mut self, id: RouteId, sent: Time) {
        if self.routes[&id].failures.is_overtaken(sent) {
            self.loss_rate.call_lost();
        } else {
            self.route_mut(id).consecutive_timeouts += 1;
        }
    }
}

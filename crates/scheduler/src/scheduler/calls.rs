//! Handles finished attempts, calls and health checks, and cancellations.

use super::Scheduler;
use crate::interface::{
    Action, AttemptNumber, EndpointId, MessageId, OrderingKey, Outcome, RateLimitReport, Span, Time,
};
use crate::pending_queue::Tried;
use crate::state::{Attempt, CallId, EndedCall, MessageState};

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub message: MessageId,
    pub outcome: Outcome,
    pub duration: Span,
    pub is_final: bool,
    pub rate_limit: RateLimitReport,
}

impl Scheduler {
    /// Handles the end of an attempt. The last attempt of a call updates the health and limits of the route.
    pub(super) fn attempt_finished(
        &mut self,
        now: Time,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.close_attempt(now, end) else {
            return;
        };
        let route = self.endpoints[&attempt.endpoint].route;
        let limit = end.rate_limit.limit;
        let reported_limit = limit.filter(|limit| *limit > 0.0 && limit.is_finite());
        let even_share = 1.0 / self.instances();
        if let Some(route) = self.routes.get_mut(&route) {
            route.limit_reported(reported_limit, even_share);
        }
        // A time-out at the message's deadline, before the route's time-out, is no evidence against the route.
        let cut_short = attempt.cut_by_deadline && end.outcome == Outcome::TimedOut;
        let outcome = if cut_short {
            Outcome::Cancelled
        } else {
            end.outcome
        };
        let call = EndedCall {
            endpoint: attempt.endpoint,
            sent: attempt.sent,
            duration: Some(end.duration),
            outcome,
        };
        self.observe_outcome(now, &call);
        if outcome == Outcome::Delivered {
            self.hold_if_quota_is_low(now, route, end.rate_limit.remaining);
        }
        self.relieve_connection_pressure(now, &attempt, outcome, actions);
    }

    /// Closes an attempt. Returns the attempt if it was the last open one of its call.
    fn close_attempt(&mut self, now: Time, end: &AttemptEnd) -> Option<Attempt> {
        let message = self.messages.get_mut(&end.message)?;
        let has_outcome = end.is_final || matches!(message.state, MessageState::Finished(_));
        let attempt = message.end_attempt(end.outcome)?;
        let (destination, deadline) = (message.destination, message.deadline);
        if let (Some(key), true) = (message.ordering_key, end.outcome.may_still_run()) {
            self.pause_ordering(now, key);
        }
        if has_outcome {
            self.finish(end.message);
        } else {
            self.pending
                .insert(destination, deadline, end.message, Tried::Yes);
        }
        // A backoff applies at once, regardless of the outcomes of the other messages of the call.
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = end.outcome
        {
            let route = self.endpoints[&attempt.endpoint].route;
            self.route_mut(route).back_off(now + wait);
        }
        self.close_call(attempt.call).then_some(attempt)
    }

    /// Closes one attempt of a call. Returns whether it was the last open one.
    fn close_call(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        call.open_attempts -= 1;
        let is_over = call.open_attempts == 0;
        if is_over {
            self.calls.remove(&id);
        }
        is_over
    }

    /// Pauses an ordering key after an attempt that the receiver may still be executing.
    fn pause_ordering(&mut self, now: Time, key: OrderingKey) {
        if let Some(queue) = self.ordering_queues.get_mut(&key) {
            queue.paused_until = now + self.settings.rules.ordering_pause;
        }
    }

    /// Records the end of a call at its endpoint and route.
    pub(crate) fn call_ended(&mut self, now: Time, id: EndpointId, sent: Time) {
        let endpoint = self.endpoint_mut(id);
        endpoint.call_ended(now);
        let route = endpoint.route;
        self.route_mut(route).call_ended(sent);
    }

    /// Handles the end of a health check.
    pub(super) fn health_checked(&mut self, now: Time, id: EndpointId, outcome: Outcome) {
        let route = self
            .endpoints
            .get(&id)
            .and_then(|endpoint| self.routes.get_mut(&endpoint.route));
        if let Some(route) = route {
            route.health_check_in_flight = false;
        }
        let check = EndedCall {
            endpoint: id,
            sent: now,
            duration: None,
            outcome,
        };
        self.observe_outcome(now, &check);
    }

    /// Withdraws a message on the client's request, and cancels its attempt in flight if the settings allow it.
    pub(super) fn cancel(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let in_flight = message.state.attempt().is_some();
        if in_flight && self.settings.limits.cancellation_allowed {
            actions.push(Action::Cancel {
                message: id,
                attempt: AttemptNumber(message.attempts - 1),
            });
        }
        self.finish(id);
    }
}

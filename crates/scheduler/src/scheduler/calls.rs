//! Bookkeeping of calls: what the end of an attempt changes.

use super::{AttemptEnd, Scheduler};
use crate::interface::{Action, EndpointId, Outcome, Time};
use crate::pending_queue::Tried;
use crate::state::{Attempt, ConnectionCap};

impl Scheduler {
    /// Takes the end of an attempt; what the whole call tells of its route is learned with its last attempt.
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
        let reported = end
            .rate_limit
            .limit
            .filter(|limit| *limit > 0.0 && limit.is_finite());
        let even_share = 1.0 / self.instances();
        if let Some(route) = self.routes.get_mut(&route) {
            route.limit_reported(reported, even_share);
        }
        // A call cut short by its message's deadline says nothing of its route.
        let cut_short = attempt.cut_by_deadline && end.outcome == Outcome::TimedOut;
        let outcome = if cut_short {
            Outcome::Cancelled
        } else {
            end.outcome
        };
        self.learn(
            now,
            attempt.endpoint,
            attempt.sent,
            Some(end.duration),
            outcome,
        );
        if outcome == Outcome::Delivered {
            self.spare_if_low(now, route, end.rate_limit.remaining);
        }
        self.learn_connections(now, &attempt, outcome, actions);
    }

    /// Closes an attempt; returns it if with it the whole call has ended.
    fn close_attempt(&mut self, now: Time, end: &AttemptEnd) -> Option<Attempt> {
        let message = self.messages.get_mut(&end.message)?;
        let attempt = message.in_flight.take()?;
        let proves_not_executed = end.outcome.proves_not_executed();
        if !proves_not_executed && message.first_possible_execution.is_none() {
            message.first_possible_execution = Some((attempt.sent, attempt.endpoint));
        }
        let answered = matches!(end.outcome, Outcome::Delivered | Outcome::Error);
        let may_be_running = !proves_not_executed && !answered;
        let queue = message
            .ordering_key
            .and_then(|key| self.ordering_queues.get_mut(&key));
        if let (Some(queue), true) = (queue, may_be_running) {
            queue.paused_until = now + self.settings.rules.ordering_pause;
        }
        if message.finished || end.is_final {
            self.finish(end.message);
        } else {
            let (destination, deadline) = (message.destination, message.deadline);
            self.pending
                .insert(destination, deadline, end.message, Tried::Yes);
        }
        // A backoff binds at once, whatever becomes of the other messages of the same call.
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = end.outcome
        {
            self.back_off(attempt.endpoint, now + wait);
        }
        let call = self.calls.get_mut(&attempt.call)?;
        call.open_attempts -= 1;
        if call.open_attempts > 0 {
            return None;
        }
        self.calls.remove(&attempt.call);
        Some(attempt)
    }

    fn back_off(&mut self, endpoint: EndpointId, until: Time) {
        let route = self.endpoints[&endpoint].route;
        self.route_mut(route).back_off(until);
    }

    /// Notes that a call has ended.
    pub(crate) fn call_ended(&mut self, now: Time, id: EndpointId, sent: Time) {
        let endpoint = self.endpoints.get_mut(&id);
        let endpoint = endpoint.expect("only calls to known endpoints end");
        endpoint.call_ended(now);
        let route = endpoint.route;
        self.route_mut(route).call_ended(sent);
    }

    /// Whether an endpoint that refuses a connection has others open, and has not failed lately.
    pub(crate) fn has_other_connections(&self, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[&id];
        endpoint.in_flight > 0 && endpoint.failed_at.is_none()
    }

    /// Notes that an endpoint has connections for the calls in flight and no more.
    pub(crate) fn cap_connections(&mut self, now: Time, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.connection_cap = Some(ConnectionCap {
                calls: endpoint.in_flight,
                since: now,
            });
        }
    }

    /// Notes that an endpoint failed: of its connections only those of the calls in flight are left.
    pub(crate) fn endpoint_failed(&mut self, now: Time, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.failed_at = Some(now);
            endpoint.connections = endpoint.in_flight;
        }
    }
}

//! Giving up: ends messages that can no longer be delivered.

use crate::interface::{Action, DestinationId, Idempotency, MessageId, Span, Time};
use crate::scheduler::Scheduler;
use crate::state::Message;

/// Fraction of its time to live during which an accepted message that was never executed has a guaranteed
/// attempt.
const GUARANTEE_FRACTION: f64 = 0.7;
/// Minimum `Retry-After` of a rejected message, in ms.
const MIN_RETRY_AFTER_MS: f64 = 1000.0;

impl Scheduler {
    /// Ends the pending messages that can no longer be delivered.
    pub(crate) fn give_up_undeliverable(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut undeliverable = Vec::new();
        for (destination, queue) in self.pending.by_destination() {
            let fastest = self.fastest_latency(destination);
            let opens_at = self.opens_at(now, destination);
            let routes = self.active_routes(destination);
            let backoff_until = routes.map(|route| route.backoff_until).min().flatten();
            // A new message is rejected at once, as another instance may have an open route. A message that
            // may have been executed, or has a guaranteed attempt, waits for an outcome that opens its route.
            let is_undeliverable = |id: &MessageId| {
                let message = &self.messages[id];
                let guaranteed = self.has_guaranteed_attempt(now, message);
                let closed_until = if guaranteed { backoff_until } else { opens_at };
                let opens_too_late = message.first_possible_execution.is_none()
                    && closed_until > Some(message.deadline);
                opens_too_late || self.undeliverable_at(message, fastest) <= now
            };
            // Messages without an attempt become undeliverable in deadline order.
            let untried = queue.untried.iter().map(|(_, id)| *id);
            undeliverable.extend(untried.take_while(is_undeliverable));
            undeliverable.extend(queue.tried.iter().copied().filter(is_undeliverable));
        }
        undeliverable.sort_unstable();
        for id in undeliverable {
            self.give_up_message(now, id, actions);
        }
    }

    /// Whether a message has a guaranteed attempt: it was accepted before this batch, was never executed, and
    /// is within [`GUARANTEE_FRACTION`] of its time to live.
    pub(super) fn has_guaranteed_attempt(&self, now: Time, message: &Message) -> bool {
        let time = message.deadline - message.submitted_at;
        let guaranteed_until = message.submitted_at + Span::from_ms(time.ms() * GUARANTEE_FRACTION);
        let is_new = message.accepted_at == Some(now);
        !is_new && message.first_possible_execution.is_none() && now < guaranteed_until
    }

    /// Returns the earliest time at which a route of a destination opens, or `None` while the outcome of a
    /// call may open one sooner.
    fn opens_at(&self, now: Time, id: DestinationId) -> Option<Time> {
        let routes = self.active_routes(id);
        let opens = routes.map(|route| self.next_call_at(now, route));
        opens.reduce(|a, b| Some(a?.min(b?))).flatten()
    }

    /// Returns the time at which a pending message becomes undeliverable: its last start for the `fastest`
    /// call, or the end of its deduplication window; [`Time::MIN`] if no further attempt is permitted.
    pub(crate) fn undeliverable_at(&self, message: &Message, fastest: Span) -> Time {
        if message.attempts >= self.settings.limits.max_attempts {
            return Time::MIN;
        }
        let too_late = message.deadline - fastest;
        let idempotency = self.settings.classes[message.class.0].idempotency;
        match (idempotency, message.first_possible_execution) {
            (Idempotency::NonIdempotent, Some(_)) => Time::MIN,
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                too_late.min(first.sent + window)
            }
            _ => too_late,
        }
    }

    /// Ends a message without a delivery: rejects it if the client may submit it again, and fails it
    /// otherwise.
    pub(super) fn give_up_message(&mut self, now: Time, id: MessageId, actions: &mut Vec<Action>) {
        let message = &self.messages[&id];
        actions.push(if self.may_resubmit(message) && now < message.deadline {
            Action::Reject {
                message: id,
                retry_after: self.retry_after(now, message),
            }
        } else {
            Action::Fail(id)
        });
        self.finish(id);
    }

    /// Returns the `Retry-After` of a rejected message: the time until a route of the destination opens.
    fn retry_after(&self, now: Time, message: &Message) -> Span {
        let routes = self.active_routes(message.destination);
        let opens_at = routes
            .filter_map(|route| self.next_call_at(now, route))
            .min();
        let wait_ms = opens_at.map_or(MIN_RETRY_AFTER_MS, |at| {
            (at - now).ms().max(MIN_RETRY_AFTER_MS)
        });
        Span::from_ms(wait_ms).min(self.settings.limits.max_retry_after)
    }
}

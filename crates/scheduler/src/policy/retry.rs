//! What a repeat may do, and when and how a message is given up.

use crate::interface::{
    Action, DeduplicationScope, DestinationId, EndpointId, Idempotency, MessageId, Span, Time,
};
use crate::scheduler::Scheduler;
use crate::state::{Endpoint, Message};

/// What was accepted and never executed is owed an attempt for this part of its time.
const OWED_PART: f64 = 0.7;
/// How long a rejected client should wait where nothing better is known, in ms.
const DEFAULT_RETRY_AFTER_MS: f64 = 1000.0;

impl Scheduler {
    /// Whether a message may be sent to an endpoint as far as its idempotency is concerned.
    pub(crate) fn may_send(
        &self,
        now: Time,
        message: &Message,
        id: EndpointId,
        endpoint: &Endpoint,
    ) -> bool {
        let Some((first_sent, earlier)) = message.first_possible_execution else {
            return true;
        };
        match self.settings.classes[message.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let recognised = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        let zone = self.endpoints.get(&earlier).map(|endpoint| endpoint.zone);
                        zone == Some(endpoint.zone)
                    }
                    DeduplicationScope::Endpoint => id == earlier,
                };
                recognised && now - first_sent < window
            }
        }
    }

    /// Ends what can no longer be delivered.
    pub(crate) fn give_up(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        for (destination, queue) in self.pending.by_destination() {
            let quickest = self.quickest_call(destination);
            let opens_at = self.opens_at(now, destination);
            let routes = self.active_routes(destination);
            let backoff_until = routes.map(|route| route.backoff_until).min().flatten();
            // Another instance may find one open, so the client of a message that comes now is told at once;
            // one that may have been executed, or is owed an attempt, waits for an outcome to open its route.
            let is_lost = |id: &MessageId| {
                let message = &self.messages[id];
                let owed = self.is_owed_attempt(now, message);
                let until = if owed { backoff_until } else { opens_at };
                let shut_out =
                    message.first_possible_execution.is_none() && until > Some(message.deadline);
                shut_out || self.hopeless_at(message, quickest) <= now
            };
            // Those never tried are lost in the order of their deadlines.
            lost.extend(queue.fresh.iter().map(|(_, id)| *id).take_while(is_lost));
            lost.extend(queue.tried.iter().copied().filter(is_lost));
        }
        lost.sort_unstable();
        for id in lost {
            self.give_up_message(now, id, actions);
        }
    }

    /// Whether a message was accepted, has not been executed and has time left in which it is owed an
    /// attempt.
    pub(crate) fn is_owed_attempt(&self, now: Time, message: &Message) -> bool {
        let time = message.deadline - message.submitted_at;
        let owed_until = message.submitted_at + Span::from_ms(time.ms() * OWED_PART);
        let new = message.accepted_at == Some(now);
        !new && message.first_possible_execution.is_none() && now < owed_until
    }

    /// When the first route of a destination opens; `None` while only an outcome may open one.
    fn opens_at(&self, now: Time, id: DestinationId) -> Option<Time> {
        let opens = self
            .active_routes(id)
            .map(|route| self.next_call_at(now, route));
        opens.reduce(|a, b| Some(a?.min(b?))).flatten()
    }

    /// The latency to expect of a destination's quickest route.
    pub(crate) fn quickest_call(&self, id: DestinationId) -> Span {
        let latencies = self
            .active_routes(id)
            .map(|route| self.expected_latency_ms(route));
        let least = latencies.fold(f64::INFINITY, f64::min);
        Span::from_ms(if least.is_finite() { least } else { 0.0 })
    }

    /// When a pending message is lost: too late for the quickest call, at the end of its key's window, or
    /// with its attempts used up.
    pub(crate) fn hopeless_at(&self, message: &Message, quickest: Span) -> Time {
        let past = Time(i64::MIN);
        let used_up = message.attempts >= self.settings.limits.max_attempts;
        let too_late = message.deadline - quickest;
        let idempotency = self.settings.classes[message.class.0].idempotency;
        match (idempotency, message.first_possible_execution) {
            _ if used_up => past,
            (Idempotency::NonIdempotent, Some(_)) => past,
            (Idempotency::IdempotencyKey { window, .. }, Some((first_sent, _))) => {
                too_late.min(first_sent + window)
            }
            _ => too_late,
        }
    }

    /// The only way to give a message up: rejected where a repeat is harmless, else failed; at once.
    pub(crate) fn give_up_message(&mut self, now: Time, id: MessageId, actions: &mut Vec<Action>) {
        let message = &self.messages[&id];
        let harmless = match self.settings.classes[message.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => message.first_possible_execution.is_none(),
        };
        actions.push(if harmless && now < message.deadline {
            Action::Reject {
                message: id,
                retry_after: self.retry_after(now, message),
            }
        } else {
            Action::Fail(id)
        });
        self.finish(id);
    }

    /// When a rejected client should come back: once a route of the destination opens.
    fn retry_after(&self, now: Time, message: &Message) -> Span {
        let routes = self.active_routes(message.destination);
        let opens = routes
            .filter_map(|route| self.next_call_at(now, route))
            .min();
        let wait_ms = opens.map_or(DEFAULT_RETRY_AFTER_MS, |at| {
            (at - now).ms().max(DEFAULT_RETRY_AFTER_MS)
        });
        Span::from_ms(wait_ms).min(self.settings.limits.max_retry_after)
    }
}

//! Message selection: the next message sent is the one with the highest decayed weight per expected latency
//! among the pending messages with an endpoint that may be called.

use crate::interface::{Action, EndpointId, MessageId, Time};
use crate::scheduler::Scheduler;

/// A pending message that may be sent now.
struct Candidate {
    score: f64,
    message: MessageId,
    endpoint: EndpointId,
}

impl Candidate {
    /// Whether this candidate is sent before another one. Ties are broken by the message's identity.
    fn precedes(&self, other: &Candidate) -> bool {
        self.score > other.score || self.score == other.score && self.message < other.message
    }
}

impl Scheduler {
    /// Sends pending messages until the limit on calls in flight is reached or no message may be sent.
    pub(crate) fn send_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.calls.len() < self.settings.limits.max_in_flight {
            let Some(best) = self.best_candidate(now) else {
                return;
            };
            let batch = self.batch(now, best.message, best.endpoint);
            self.send(now, &batch, best.endpoint, actions);
        }
    }

    /// Returns the pending message to send now, with its endpoint.
    fn best_candidate(&self, now: Time) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for (destination, queue) in self.pending.by_destination() {
            // A message that was never executed may be sent to every endpoint. If no endpoint may receive it,
            // none may receive any other message.
            let Some(unrestricted) = self.choose_endpoint(now, destination, None) else {
                continue;
            };
            for id in queue.all() {
                let message = &self.messages[&id];
                let permitted_at = self.ordering_permits_at(id, message);
                if permitted_at.is_none_or(|at| at > now) {
                    continue;
                }
                let choice = if message.first_possible_execution.is_none() {
                    Some(unrestricted)
                } else {
                    self.choose_endpoint(now, destination, Some(message))
                };
                let Some(choice) = choice else {
                    continue;
                };
                let candidate = Candidate {
                    score: self.decayed_weight(now, message) / choice.expected_latency_ms,
                    message: id,
                    endpoint: choice.endpoint,
                };
                if best.as_ref().is_none_or(|best| candidate.precedes(best)) {
                    best = Some(candidate);
                }
            }
        }
        best
    }
}

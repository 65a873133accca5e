//! Which message is sent next: the pending message with the highest decayed weight per expected latency whose
//! destination has an endpoint that may be called.

use crate::interface::{Action, EndpointId, MessageId, Time};
use crate::scheduler::Scheduler;

/// A pending message that may be sent now.
struct Candidate {
    score: f64,
    message: MessageId,
    endpoint: EndpointId,
}

impl Candidate {
    /// Whether it is sent before another candidate; equal scores are decided by the message's identity.
    fn precedes(&self, other: &Candidate) -> bool {
        self.score > other.score || self.score == other.score && self.message < other.message
    }
}

impl Scheduler {
    /// Sends pending messages while further calls may be in flight.
    pub(crate) fn send_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.calls.len() < self.settings.limits.max_in_flight {
            let Some(best) = self.best_candidate(now) else {
                return;
            };
            let batch = self.batch(now, best.message, best.endpoint);
            self.send(now, &batch, best.endpoint, actions);
        }
    }

    /// The pending message to send now, and its endpoint.
    fn best_candidate(&self, now: Time) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for (destination, queue) in self.pending.by_destination() {
            // A message that was never executed may go anywhere. If no endpoint may receive it, none may
            // receive others.
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

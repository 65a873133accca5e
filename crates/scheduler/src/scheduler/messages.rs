//! Bookkeeping of messages: how they come in, and how they are forgotten.

use super::Scheduler;
use crate::interface::{Action, AttemptNumber, MessageId, NewMessage, PriorAttempts, Time};
use crate::pending_queue::Tried;
use crate::policy::health::SILENT_FOR;
use crate::state::Message;

impl Scheduler {
    /// Takes a message, with what an earlier incarnation did for it.
    pub(super) fn accept(
        &mut self,
        now: Time,
        new: &NewMessage,
        prior: Option<&PriorAttempts>,
        actions: &mut Vec<Action>,
    ) {
        let Some(class) = self.settings.classes.get(new.class.0) else {
            return actions.push(Action::Fail(new.message));
        };
        // A deadline of its own may lie farther off than the class's; nothing is younger than new.
        let submitted_at = (new.deadline - class.deadline).min(now);
        let (weight, ordered) = (class.priority_weight, class.ordered);
        let over_quota = new
            .tenant
            .is_some_and(|tenant| self.is_over_quota(now, tenant));
        let ordering_key = new.ordering_key.filter(|_| ordered);
        if let Some(key) = ordering_key {
            self.ordering_queues
                .entry(key)
                .or_default()
                .messages
                .push_back(new.message);
        }
        self.accepted_count += 1.0;
        // The window, the count of attempts and what a repeat may do hold across incarnations.
        let attempts = prior.map_or(0, |prior| prior.attempts);
        let first_possible_execution = prior.and_then(|prior| prior.first_possible_execution);
        if attempts > 0 {
            self.note_vain_attempts(now, new);
        }
        let in_flight = prior.and_then(|prior| self.still_in_flight(prior.in_flight?));
        if let Some(known) = self.messages.get(&new.message) {
            self.pending
                .remove(known.destination, known.deadline, new.message);
        }
        if in_flight.is_none() {
            let tried = if attempts > 0 || first_possible_execution.is_some() {
                Tried::Yes
            } else {
                Tried::No
            };
            self.pending
                .insert(new.destination, new.deadline, new.message, tried);
        }
        let message = Message {
            class: new.class,
            destination: new.destination,
            ordering_key,
            priority_weight: if over_quota {
                weight * self.settings.over_quota_weight
            } else {
                weight
            },
            submitted_at,
            accepted_at: Some(now).filter(|_| prior.is_none()),
            deadline: new.deadline,
            attempts,
            in_flight,
            first_possible_execution,
            finished: false,
        };
        self.messages.insert(new.message, message);
    }

    /// An earlier incarnation tried in vain: to this one the route is one that has not answered lately.
    fn note_vain_attempts(&mut self, now: Time, new: &NewMessage) {
        for id in self
            .destinations
            .get(&new.destination)
            .into_iter()
            .flatten()
        {
            let route = self.endpoints[id].route;
            let route = self
                .routes
                .get_mut(&route)
                .expect("an endpoint has a route");
            route.baseline_at.get_or_insert(now - SILENT_FOR);
        }
    }

    /// Nobody wants a message any more.
    pub(super) fn cancel(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        if message.in_flight.is_some() && self.settings.limits.cancellation_allowed {
            let attempt = AttemptNumber(message.attempts - 1);
            actions.push(Action::Cancel {
                message: id,
                attempt,
            });
        }
        self.finish(id);
    }

    /// Forgets a message that has its final outcome, or as much of it as its attempt does not still need.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        self.pending
            .remove(message.destination, message.deadline, id);
        message.finished = true;
        if message.in_flight.is_some() {
            return;
        }
        let queue = message
            .ordering_key
            .and_then(|key| self.ordering_queues.get_mut(&key));
        if let Some(queue) = queue {
            queue.messages.retain(|queued| *queued != id);
        }
        self.messages.remove(&id);
    }
}

//! Adds accepted messages and removes finished ones.

use super::Scheduler;
use crate::interface::{Action, MessageId, NewMessage, OrderingKey, PriorAttempts, TenantId, Time};
use crate::pending_queue::Tried;
use crate::state::{Message, MessageState};

impl Scheduler {
    /// Adds a message, with the attempts that an earlier incarnation made for it.
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
        // The deadline may be later than the class permits, but the submission is never in the future.
        let submitted_at = (new.deadline - class.deadline).min(now);
        let ordering_key = new.ordering_key.filter(|_| class.ordered);
        let class_weight = class.priority_weight;
        let priority_weight = self.weight_by_quota(now, new.tenant, class_weight);
        self.join_ordering_queue(ordering_key, new.message);
        self.accepted_count += 1.0;
        // The deduplication window and the number of attempts apply across incarnations.
        let attempts = prior.map_or(0, |prior| prior.attempts);
        if attempts > 0 {
            self.assume_silence(now, new.destination);
        }
        let state = self.adopt_or_queue(new, prior);
        let message = Message {
            class: new.class,
            destination: new.destination,
            ordering_key,
            priority_weight,
            submitted_at,
            accepted_at: Some(now).filter(|_| prior.is_none()),
            deadline: new.deadline,
            attempts,
            state,
            first_possible_execution: prior.and_then(|prior| prior.first_possible_execution),
        };
        self.messages.insert(new.message, message);
    }

    /// Adopts the attempt of an earlier incarnation that is still in flight, or queues the message if there is none. In
    /// both cases an earlier submission of the message is removed from the queue.
    fn adopt_or_queue(&mut self, new: &NewMessage, prior: Option<&PriorAttempts>) -> MessageState {
        let in_flight = prior.and_then(|prior| self.adopt_attempt(prior.in_flight?));
        self.remove_earlier_submission(new.message);
        if let Some(attempt) = in_flight {
            return MessageState::InFlight(attempt);
        }
        let has_attempt = prior
            .is_some_and(|prior| prior.attempts > 0 || prior.first_possible_execution.is_some());
        let tried = if has_attempt { Tried::Yes } else { Tried::No };
        self.pending
            .insert(new.destination, new.deadline, new.message, tried);
        MessageState::Pending
    }

    /// Counts a message against its tenant's quota. Returns the message's weight, which is lower beyond the quota.
    fn weight_by_quota(&mut self, now: Time, tenant: Option<TenantId>, class_weight: f64) -> f64 {
        if tenant.is_some_and(|tenant| self.is_over_quota(now, tenant)) {
            class_weight * self.settings.over_quota_weight
        } else {
            class_weight
        }
    }

    /// Removes the earlier submission of a message from the pending queue, where its deadline may differ.
    fn remove_earlier_submission(&mut self, id: MessageId) {
        if let Some(known) = self.messages.get(&id) {
            self.pending.remove(known.destination, known.deadline, id);
        }
    }

    fn join_ordering_queue(&mut self, key: Option<OrderingKey>, id: MessageId) {
        if let Some(key) = key {
            let queue = self.ordering_queues.entry(key).or_default();
            queue.messages.push_back(id);
        }
    }

    /// Removes a message that has its final outcome. If an attempt is in flight, the message is marked as finished and
    /// removed at the end of the attempt.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        self.pending
            .remove(message.destination, message.deadline, id);
        if let Some(attempt) = message.state.attempt() {
            message.state = MessageState::Finished(attempt);
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

    /// Removes the ordering queues that neither hold messages nor are paused.
    pub(super) fn purge_ordering_queues(&mut self, now: Time) {
        self.ordering_queues
            .retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
    }
}

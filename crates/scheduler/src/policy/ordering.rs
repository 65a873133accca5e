//! Ordering: messages with the same ordering key are sent one at a time, in the order of their submission.

use crate::interface::{MessageId, Time};
use crate::scheduler::Scheduler;
use crate::state::Message;

impl Scheduler {
    /// Returns the earliest time at which the ordering key of a message permits its next attempt, or `None`
    /// while messages with the same key precede it.
    pub(crate) fn ordering_permits_at(&self, id: MessageId, message: &Message) -> Option<Time> {
        let queue = message
            .ordering_key
            .and_then(|key| self.ordering_queues.get(&key));
        let Some(queue) = queue else {
            return Some(Time::MIN);
        };
        if queue.messages.front() != Some(&id) {
            return None;
        }
        // The pause after an attempt does not delay retries of the same message.
        let is_retry = message.first_possible_execution.is_some();
        Some(if is_retry {
            Time::MIN
        } else {
            queue.paused_until
        })
    }
}

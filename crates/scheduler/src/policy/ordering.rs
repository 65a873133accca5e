//! Ordering: messages with one ordering key are sent one at a time, in the order of their submission.

use crate::interface::{MessageId, Time};
use crate::scheduler::Scheduler;
use crate::state::Message;

impl Scheduler {
    /// Earliest time at which its ordering key permits a message; `None` while others are before it.
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

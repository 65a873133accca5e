//! Messages and attempts in the form of the scheduler.

use super::Engine;
use crate::core::message_record::AttemptRecord;
use crate::core::{Message, MessageId, Timestamp};
use marblefall_scheduler as scheduler;

/// A message in the scheduler's form.
pub(super) fn scheduler_message(
    id: MessageId,
    message: &Message,
    now: Timestamp,
) -> scheduler::NewMessage {
    scheduler::NewMessage {
        message: id,
        class: message.class,
        tenant: None,
        ordering_key: None,
        deadline: now.monotonic_of(message.expires_ms),
        destination: message.destination,
    }
}

impl Engine {
    /// An attempt in the scheduler's form.
    pub(super) fn attempt_start(
        &mut self,
        now: Timestamp,
        attempt: &AttemptRecord,
    ) -> scheduler::AttemptStart {
        scheduler::AttemptStart {
            sent: now.monotonic_of(attempt.started_ms),
            endpoint: self.endpoints.get_or_assign_id(&attempt.endpoint),
        }
    }
}

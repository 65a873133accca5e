//! Converts messages and attempts to the scheduler's types.

use super::Engine;
use crate::core::message_record::AttemptRecord;
use crate::core::{Message, MessageId, Timestamp};
use marblefall_scheduler as scheduler;

/// Converts a message to the scheduler's type.
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
    /// Converts an attempt of a message for a destination to the scheduler's type.
    pub(super) fn attempt_start(
        &mut self,
        now: Timestamp,
        destination: scheduler::DestinationId,
        attempt: &AttemptRecord,
    ) -> scheduler::AttemptStart {
        scheduler::AttemptStart {
            sent: now.monotonic_of(attempt.started_ms),
            endpoint: self
                .endpoints
                .get_or_assign_id(destination, &attempt.endpoint),
        }
    }
}

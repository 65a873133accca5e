//! Messages and attempts in the form of the scheduler.

use super::Engine;
use crate::core::message_record::AttemptRecord;
use crate::core::{Message, MessageId, Timestamp};
use marblefall_scheduler as m;

/// A message in the scheduler's form.
pub(super) fn scheduler_message(id: MessageId, message: &Message, now: Timestamp) -> m::NewMessage {
    m::NewMessage {
        message: id,
        class: message.class,
        tenant: None,
        ordering_key: None,
        deadline: now.monotonic_of(message.expires_ms),
        destination: message.destination,
    }
}

impl Engine {
    /// An attempt's start and endpoint in the scheduler's form.
    pub(super) fn sent_attempt(
        &mut self,
        now: Timestamp,
        attempt: &AttemptRecord,
    ) -> (m::Time, m::EndpointId) {
        (
            now.monotonic_of(attempt.started_ms),
            self.endpoints.id_of(&attempt.endpoint),
        )
    }
}

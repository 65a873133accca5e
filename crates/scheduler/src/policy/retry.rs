//! Retries: restricts the further attempts of a message that may have been executed, by its idempotency.

use crate::interface::{DeduplicationScope, EndpointId, Idempotency, Time};
use crate::scheduler::Scheduler;
use crate::state::{Endpoint, Message};

impl Scheduler {
    /// Whether the idempotency of a message permits an attempt at an endpoint.
    pub(crate) fn may_send(
        &self,
        now: Time,
        message: &Message,
        id: EndpointId,
        endpoint: &Endpoint,
    ) -> bool {
        let Some(first) = message.first_possible_execution else {
            return true;
        };
        match self.settings.classes[message.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let recognises_key = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => {
                        let first_endpoint = self.endpoints.get(&first.endpoint);
                        first_endpoint.map(|first| first.zone) == Some(endpoint.zone)
                    }
                    DeduplicationScope::Endpoint => id == first.endpoint,
                };
                recognises_key && now - first.sent < window
            }
        }
    }

    /// Whether the client may safely submit the message again.
    pub(super) fn may_resubmit(&self, message: &Message) -> bool {
        match self.settings.classes[message.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => {
                message.first_possible_execution.is_none()
            }
        }
    }
}

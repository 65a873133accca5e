//! What a scheduler wants done.

use super::{AttemptNumber, EndpointId, MessageId, Span, Time};

/// What the embedding program is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Abandon the attempt then.
        timeout_at: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        attempt: AttemptNumber,
    },
    /// End the message undelivered; submitting it again is harmless, best after `retry_after`.
    Reject {
        /// The message.
        message: MessageId,
        /// How long the client should wait.
        retry_after: Span,
    },
    /// End the message as failed.
    Fail(MessageId),
    /// Report `token` with [`Event::TimerFired`](crate::Event::TimerFired) at that time.
    SetTimer {
        /// When.
        at: Time,
        /// What to report.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// A log line.
    Log(String),
}

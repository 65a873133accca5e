//! Actions that the scheduler requests.

use super::{AttemptNumber, EndpointId, MessageId, Span, Time};

/// One action for the embedding program to execute. The actions of a batch are executed in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message to send.
        message: MessageId,
        /// The endpoint that receives it.
        endpoint: EndpointId,
        /// When to abandon the attempt.
        timeout_at: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message of the attempt.
        message: MessageId,
        /// The attempt to abandon.
        attempt: AttemptNumber,
    },
    /// End the message undelivered. The client may safely submit it again, preferably after `retry_after`.
    Reject {
        /// The message to end.
        message: MessageId,
        /// How long the client should wait.
        retry_after: Span,
    },
    /// End the message as failed.
    Fail(MessageId),
    /// Report `token` with [`Event::TimerFired`](crate::Event::TimerFired) at the given time.
    SetTimer {
        /// When the timer fires.
        at: Time,
        /// The token to report.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a log line.
    Log(String),
}

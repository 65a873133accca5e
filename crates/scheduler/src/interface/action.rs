//! Actions that the scheduler requests from the embedding program.

use super::{AttemptNumber, EndpointId, MessageId, Span, Time};

/// An action for the embedding program to execute. The actions of a batch must be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message to send.
        message: MessageId,
        /// The endpoint that receives the message.
        endpoint: EndpointId,
        /// Time at which the attempt is abandoned if there is no response.
        timeout_at: Time,
    },
    /// Stop waiting for the response to an attempt.
    Cancel {
        /// The message of the attempt.
        message: MessageId,
        /// The attempt to abandon.
        attempt: AttemptNumber,
    },
    /// Reject the message without a delivery. The client may safely submit it again, preferably after `retry_after`.
    Reject {
        /// The message to reject.
        message: MessageId,
        /// Time that the client should wait before it submits the message again.
        retry_after: Span,
    },
    /// End the message with the final outcome "failed".
    Fail(MessageId),
    /// Start a timer that reports `token` with [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Time at which the timer fires.
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

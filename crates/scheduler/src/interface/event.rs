//! Events that the embedding program reports to the scheduler.

use super::{
    AttemptNumber, DestinationId, EndpointId, EndpointUpdate, KnownRoute, MessageId, NewMessage,
    Outcome, PriorAttempts, RateLimitReport, Span, Time,
};

/// An event. The events of a batch are in the order in which they occurred.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was accepted and must get exactly one final outcome.
    Accepted(NewMessage),
    /// A message that was accepted by an earlier incarnation and has no final outcome yet.
    Resumed(NewMessage, PriorAttempts),
    /// An attempt ended. Reported exactly once for each [`Action::Send`](crate::Action::Send).
    AttemptFinished {
        /// The message of the attempt.
        message: MessageId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time for which the attempt was in flight.
        duration: Span,
        /// Whether this outcome is the message's final outcome.
        is_final: bool,
        /// The rate limit that the response reports.
        rate_limit: RateLimitReport,
    },
    /// The client withdrew the message.
    Cancelled(MessageId),
    /// The timer with this token fired.
    TimerFired(u64),
    /// A health check ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// The rate limit that the response reports.
        rate_limit: RateLimitReport,
    },
    /// The complete endpoint list. Endpoints that are missing from it are removed.
    EndpointsReplaced(Vec<EndpointUpdate>),
    /// Changes to the endpoint list.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// State of a route from before its destination was compacted, or from another incarnation. Reported only after the
    /// route's endpoints have been listed.
    RouteRestored(KnownRoute),
    /// Another incarnation of this instance received a backoff from an endpoint.
    BackoffNotified {
        /// The destination of the endpoint.
        destination: DestinationId,
        /// The endpoint that requested the backoff.
        endpoint: EndpointId,
        /// End of the backoff.
        until: Time,
    },
    /// A request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
}

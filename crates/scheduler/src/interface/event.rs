//! Events that the scheduler receives.

use super::{
    AttemptNumber, DestinationId, EndpointId, EndpointUpdate, KnownRoute, MessageId, NewMessage,
    Outcome, PriorAttempts, RateLimitReport, Span, Time,
};

/// One event; a batch holds them in the order in which they occurred.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was accepted and must get one final outcome.
    Accepted(NewMessage),
    /// A message that an earlier incarnation accepted still has no final outcome.
    Resumed(NewMessage, PriorAttempts),
    /// An attempt ended; reported once for each send.
    AttemptFinished {
        /// The message of the attempt.
        message: MessageId,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight.
        duration: Span,
        /// Whether the outcome is the message's final one.
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
        /// How the check ended.
        outcome: Outcome,
        /// The rate limit that the response reports.
        rate_limit: RateLimitReport,
    },
    /// The complete endpoint list: endpoints that it lacks are removed.
    EndpointsReplaced(Vec<EndpointUpdate>),
    /// Changes to the endpoint list.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// State of a route from before its destination was compacted, or from another incarnation. The endpoints of the
    /// route are listed already.
    RouteRestored(KnownRoute),
    /// Another incarnation of this instance received a backoff from an endpoint.
    BackoffNotified {
        /// The destination of the endpoint.
        destination: DestinationId,
        /// The endpoint that requested the backoff.
        endpoint: EndpointId,
        /// When the backoff ends.
        until: Time,
    },
    /// The request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
}

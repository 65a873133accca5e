//! What a scheduler is told.

use super::{
    AttemptNumber, DestinationId, EndpointId, EndpointUpdate, IdleRecord, MessageId, NewMessage,
    Outcome, PriorAttempts, RateLimitReport, Span, Time,
};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was accepted and is owed one final outcome.
    Accepted(NewMessage),
    /// A message that an earlier incarnation accepted and that still has no final outcome.
    Resumed(NewMessage, PriorAttempts),
    /// An attempt ended; one for each send.
    AttemptFinished {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight.
        duration: Span,
        /// Whether the message has its final outcome with it.
        is_final: bool,
        /// What the response told of the rate limit.
        rate_limit: RateLimitReport,
    },
    /// Nobody wants this message any more.
    Cancelled(MessageId),
    /// The timer with this token fired.
    TimerFired(u64),
    /// A health check ended.
    HealthChecked {
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What the response told of the rate limit.
        rate_limit: RateLimitReport,
    },
    /// The whole endpoint list: what is not in it is removed.
    EndpointsReplaced(Vec<EndpointUpdate>),
    /// Changes to the endpoint list.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// What was kept of a compacted destination, or what another incarnation knew of it, or of one endpoint where that
    /// is a separate route; its endpoints are listed already.
    RouteRestored(DestinationId, Option<EndpointId>, IdleRecord),
    /// Another incarnation of this instance was asked by an endpoint to back off until then.
    BackoffNotified(DestinationId, EndpointId, Time),
    /// The request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
}

//! Messages as they come in, and how their attempts end.

use super::{ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Span, TenantId, Time};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error; the message may have taken effect.
    Error,
    /// Rejected before it was processed.
    Rejected {
        /// The wait that the destination asked for, if it did.
        retry_after: Option<Span>,
    },
    /// No answer in time.
    TimedOut,
    /// No connection: proves that it was not executed.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// A reused idle connection broke as soon as it was used: the message may have been executed, but the endpoint
    /// may be healthy.
    StaleConnection,
    /// Cancelled by this instance.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the message was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// What a response told of the route's rate limit; late and approximate.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct RateLimitReport {
    /// Share of the quota that remains.
    pub remaining: Option<f64>,
    /// Calls per second that the limit allows; 0 where there is none.
    pub limit: Option<f64>,
}

/// A message submitted to this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct NewMessage {
    /// The message.
    pub message: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// What it is about, where order is kept.
    pub ordering_key: Option<OrderingKey>,
    /// It may be delivered until then.
    pub deadline: Time,
    /// Where it is sent.
    pub destination: DestinationId,
}

/// What an earlier incarnation of this instance did for a message that outlived it.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorAttempts {
    /// Attempts made; the next one has this number.
    pub attempts: u32,
    /// When and where the first attempt was sent that may have been executed. One in flight when the earlier
    /// incarnation ended may have been.
    pub first_possible_execution: Option<(Time, EndpointId)>,
    /// When and where the latest attempt was sent, if the incarnation that sent it still waits for the answer: its end
    /// will be reported as if this incarnation had sent it.
    pub in_flight: Option<(Time, EndpointId)>,
}

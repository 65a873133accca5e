//! Submitted messages and the outcomes of their attempts.

use super::{ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Span, TenantId, Time};

/// Outcome of an attempt or health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Delivered,
    /// The destination responded with an error; the message may have been executed.
    Error,
    /// The destination rejected the message before processing it.
    Rejected {
        /// The `Retry-After` of the response, if it had one.
        retry_after: Option<Span>,
    },
    /// No response arrived before the time-out.
    TimedOut,
    /// No connection could be established, so the message was not executed.
    ConnectFailed,
    /// The connection broke; the message may have been executed.
    Reset,
    /// A reused idle connection broke at its first use. The message may have been executed, and the endpoint may be
    /// healthy.
    StaleConnection,
    /// This instance cancelled the attempt.
    Cancelled,
    /// The request was never written to a connection.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the message was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// Whether the receiver may still be executing the message.
    pub(crate) fn may_still_run(self) -> bool {
        let has_response = matches!(self, Outcome::Delivered | Outcome::Error);
        !has_response && !self.proves_not_executed()
    }
}

/// State of a route's rate limit as reported in a response. It may be out of date and imprecise.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct RateLimitReport {
    /// Remaining share of the quota; `None` if the response does not report it.
    pub remaining: Option<f64>,
    /// Calls per second that the limit allows, or 0 if there is no limit; `None` if the response does not report it.
    pub limit: Option<f64>,
}

/// A message submitted to this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct NewMessage {
    /// Identity of the message.
    pub message: MessageId,
    /// Class of the message.
    pub class: ClassId,
    /// Tenant of the message, if any.
    pub tenant: Option<TenantId>,
    /// Ordering key of the message; ignored unless the class is ordered.
    pub ordering_key: Option<OrderingKey>,
    /// No delivery starts after this time.
    pub deadline: Time,
    /// The destination that receives the message.
    pub destination: DestinationId,
}

/// Send time and endpoint of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Time at which the attempt was sent.
    pub sent: Time,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
}

/// Attempts that an earlier incarnation of this instance made for a message that outlived it.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorAttempts {
    /// Number of attempts made, which is also the [`AttemptNumber`](crate::AttemptNumber) of the next one.
    pub attempts: u32,
    /// The first attempt that may have been executed. An attempt that was in flight when the earlier incarnation ended
    /// may have been executed.
    pub first_possible_execution: Option<AttemptStart>,
    /// The latest attempt, if the incarnation that sent it still waits for the response. In that case its outcome is
    /// reported as if this incarnation had sent the attempt.
    pub in_flight: Option<AttemptStart>,
}

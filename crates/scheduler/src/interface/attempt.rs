//! Submitted messages and the outcomes of their attempts.

use super::{ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Span, TenantId, Time};

/// How an attempt ended.
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
    /// No connection could be established: the message was not executed.
    ConnectFailed,
    /// The connection broke; the message may have been executed.
    Reset,
    /// A reused idle connection broke at its first use: the message may have been executed, and the endpoint may be
    /// healthy.
    StaleConnection,
    /// This instance cancelled the attempt.
    Cancelled,
    /// The request was never written.
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

/// The state of a route's rate limit as a response reports it; late and approximate.
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
    /// Identity of the message.
    pub message: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// Its ordering key; ignored unless the class is ordered.
    pub ordering_key: Option<OrderingKey>,
    /// No delivery starts after this time.
    pub deadline: Time,
    /// The destination that receives it.
    pub destination: DestinationId,
}

/// Attempts that an earlier incarnation of this instance made for a message that outlived it.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorAttempts {
    /// Number of attempts made, which is the number of the next one.
    pub attempts: u32,
    /// Send time and endpoint of the first attempt that may have been executed. An attempt in flight when the earlier
    /// incarnation ended counts as one.
    pub first_possible_execution: Option<(Time, EndpointId)>,
    /// Send time and endpoint of the latest attempt, if the incarnation that sent it still waits for the response.
    /// Its outcome is then reported as if this incarnation had sent it.
    pub in_flight: Option<(Time, EndpointId)>,
}

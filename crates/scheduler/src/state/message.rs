//! State of a message, its attempt in flight and its ordering queue.

use super::CallId;
use crate::interface::{
    AttemptStart, ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Outcome, Time,
};
use std::collections::VecDeque;

/// A message without a final outcome, or with an attempt that has not ended.
pub(crate) struct Message {
    pub class: ClassId,
    pub destination: DestinationId,
    pub ordering_key: Option<OrderingKey>,
    pub priority_weight: f64,
    pub submitted_at: Time,
    /// Time at which this incarnation accepted the message; `None` if an earlier incarnation did.
    pub accepted_at: Option<Time>,
    pub deadline: Time,
    /// Number of attempts made, the one in flight included.
    pub attempts: u32,
    pub state: MessageState,
    /// The first attempt that may have been executed.
    pub first_possible_execution: Option<AttemptStart>,
}

impl Message {
    /// Ends and returns the attempt in flight, so that the message is pending again. Returns `None` if no attempt is in
    /// flight.
    pub fn end_attempt(&mut self, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.state.attempt()?;
        self.state = MessageState::Pending;
        if !outcome.proves_not_executed() {
            self.first_possible_execution.get_or_insert(AttemptStart {
                sent: attempt.sent,
                endpoint: attempt.endpoint,
            });
        }
        Some(attempt)
    }
}

/// Delivery state of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MessageState {
    /// The message waits for its first or next attempt.
    Pending,
    /// An attempt of the message is in flight.
    InFlight(Attempt),
    /// The message has its final outcome, but its last attempt is still in flight.
    Finished(Attempt),
}

impl MessageState {
    /// Returns the attempt in flight, if any.
    pub fn attempt(self) -> Option<Attempt> {
        match self {
            MessageState::Pending => None,
            MessageState::InFlight(attempt) | MessageState::Finished(attempt) => Some(attempt),
        }
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub call: CallId,
    pub endpoint: EndpointId,
    pub sent: Time,
    /// Whether the attempt was sent on a connection that had been idle.
    pub reused_idle: bool,
    /// Whether the message's deadline ends the attempt before the route's time-out.
    pub cut_by_deadline: bool,
}

/// The messages with the same ordering key, in the order of their submission.
#[derive(Default)]
pub(crate) struct OrderingQueue {
    pub messages: VecDeque<MessageId>,
    /// Time before which no new message of the queue is sent, as an earlier attempt may still be running.
    pub paused_until: Time,
}

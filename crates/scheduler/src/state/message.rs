//! State of one message and its attempt in flight.

use super::CallId;
use crate::interface::{ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Outcome, Time};
use std::collections::VecDeque;

/// A message without a final outcome, or one whose attempt has not ended.
pub(crate) struct Message {
    pub class: ClassId,
    pub destination: DestinationId,
    pub ordering_key: Option<OrderingKey>,
    pub priority_weight: f64,
    pub submitted_at: Time,
    /// When this incarnation accepted the message; `None` if an earlier one did.
    pub accepted_at: Option<Time>,
    pub deadline: Time,
    /// Number of attempts made.
    pub attempts: u32,
    pub state: MessageState,
    /// Send time and endpoint of the first attempt that may have been executed.
    pub first_possible_execution: Option<(Time, EndpointId)>,
}

impl Message {
    /// Ends the attempt in flight, so that the message is pending again; `None` if there is no such attempt.
    pub fn end_attempt(&mut self, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.state.attempt()?;
        self.state = MessageState::Pending;
        if !outcome.proves_not_executed() {
            self.first_possible_execution
                .get_or_insert((attempt.sent, attempt.endpoint));
        }
        Some(attempt)
    }
}

/// Where a message stands.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MessageState {
    /// It waits for its first or next attempt.
    Pending,
    /// Its attempt is in flight.
    InFlight(Attempt),
    /// It has its final outcome, but its last attempt is still in flight.
    Finished(Attempt),
}

impl MessageState {
    /// The attempt in flight.
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
    /// Whether it was sent on a connection that had been idle.
    pub reused_idle: bool,
    /// Whether the message's deadline ends it before the route's time-out.
    pub cut_by_deadline: bool,
}

/// The messages with one ordering key, in their order.
#[derive(Default)]
pub(crate) struct OrderingQueue {
    pub messages: VecDeque<MessageId>,
    /// No message of the queue is sent before this time, as an earlier attempt may still be running.
    pub paused_until: Time,
}

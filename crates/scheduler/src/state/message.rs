//! A message and its attempt in flight.

use crate::interface::{ClassId, DestinationId, EndpointId, MessageId, OrderingKey, Time};
use std::collections::VecDeque;

/// A message without a final outcome, or one whose attempt has not ended.
pub(crate) struct Message {
    pub class: ClassId,
    pub destination: DestinationId,
    pub ordering_key: Option<OrderingKey>,
    pub priority_weight: f64,
    pub submitted_at: Time,
    /// When this incarnation accepted it; none if an earlier one did.
    pub accepted_at: Option<Time>,
    pub deadline: Time,
    pub attempts: u32,
    pub in_flight: Option<Attempt>,
    /// The first attempt that may have been executed.
    pub first_possible_execution: Option<(Time, EndpointId)>,
    /// Whether it has its final outcome.
    pub finished: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub call: u64,
    pub endpoint: EndpointId,
    pub sent: Time,
    /// Sent over a connection that had been idle.
    pub reused_idle: bool,
    /// Timed out at its message's deadline, before the route's time-out was over.
    pub cut_by_deadline: bool,
}

/// The messages with one ordering key, in their order.
#[derive(Default)]
pub(crate) struct OrderingQueue {
    pub messages: VecDeque<MessageId>,
    /// Nothing is sent before, as an earlier attempt may still be running.
    pub paused_until: Time,
}

//! Events of a run that are visible outside the instances: to clients, to destinations, in the endpoint list, and in the
//! life cycle of instances. Invariants and metrics are computed only from these events.

use marblefall_scheduler::{EndpointStatus, Outcome, Span, Time};

/// Final outcome of a message for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalOutcome {
    /// The message was delivered.
    Delivered,
    /// The message was rejected. The client may submit it again after this time.
    Rejected(Span),
    /// The message failed permanently.
    Failed,
}

/// One visible event. Classes, destinations and instances are given as indices into the scenario. Endpoints are numbered
/// consecutively across all destinations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// An instance accepted a message.
    Accepted {
        /// Id of the message.
        message: u64,
        /// The instance that accepted the message.
        instance: usize,
        /// Class of the message.
        class: usize,
        /// Destination of the message.
        destination: usize,
        /// Time at which the client first intended to submit the message.
        intended_at: Time,
        /// Deadline of the message.
        expires: Time,
        /// Whether this is the client's first submission of the message.
        is_first_submission: bool,
    },
    /// The client received the final outcome of a message.
    Finished {
        /// Id of the message.
        message: u64,
        /// Final outcome of the message.
        outcome: FinalOutcome,
    },
    /// An instance started an attempt.
    AttemptSent {
        /// Id of the message.
        message: u64,
        /// The instance that started the attempt.
        instance: usize,
        /// The endpoint to which the attempt is sent.
        endpoint: u32,
    },
    /// The first byte of an attempt arrived at its endpoint.
    AttemptArrived {
        /// Id of the message.
        message: u64,
        /// The endpoint at which the attempt arrived.
        endpoint: u32,
    },
    /// An attempt ended for the instance that started it.
    AttemptEnded {
        /// Id of the message.
        message: u64,
        /// The instance that started the attempt.
        instance: usize,
        /// The endpoint to which the attempt was sent.
        endpoint: u32,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// The status of an endpoint changed in the endpoint list.
    EndpointListed {
        /// The endpoint whose status changed.
        endpoint: u32,
        /// New status of the endpoint.
        status: EndpointStatus,
    },
    /// A recovering destination failed again because it received too many calls.
    RecoveryOverloaded {
        /// The destination that failed again.
        destination: usize,
    },
    /// An instance crashed.
    InstanceCrashed {
        /// The instance that crashed.
        instance: usize,
    },
    /// An instance started its next incarnation.
    InstanceRestarted {
        /// The instance that started.
        instance: usize,
    },
}

impl Observation {
    /// Returns the id of the message that the observation concerns, if any.
    pub fn message(&self) -> Option<u64> {
        match self {
            Observation::Accepted { message, .. }
            | Observation::Finished { message, .. }
            | Observation::AttemptSent { message, .. }
            | Observation::AttemptArrived { message, .. }
            | Observation::AttemptEnded { message, .. } => Some(*message),
            Observation::EndpointListed { .. }
            | Observation::RecoveryOverloaded { .. }
            | Observation::InstanceCrashed { .. }
            | Observation::InstanceRestarted { .. } => None,
        }
    }
}

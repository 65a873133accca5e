//! Events of a run that are visible outside the instances: to clients, to destinations, in the endpoint list, and in the
//! life cycle of instances. Invariants and metrics are computed from these alone.

use marblefall_scheduler::{EndpointStatus, Outcome, Span, Time};

/// How a message ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalOutcome {
    /// Delivered.
    Delivered,
    /// Rejected; the client may submit it again after this time.
    Rejected(Span),
    /// Failed permanently.
    Failed,
}

/// One visible event. Classes, destinations and instances are indices into the scenario; endpoints are counted over all
/// destinations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// An instance accepted a message.
    Accepted {
        /// The message.
        message: u64,
        /// The instance that accepted it.
        instance: usize,
        /// Its class.
        class: usize,
        /// Its destination.
        destination: usize,
        /// When the client first intended to submit it.
        intended_at: Time,
        /// Its deadline.
        expires: Time,
        /// Whether this is the client's first submission of it.
        is_first_submission: bool,
    },
    /// The client learned how a message ended.
    Finished {
        /// The message.
        message: u64,
        /// Its outcome.
        outcome: FinalOutcome,
    },
    /// An instance started an attempt.
    AttemptSent {
        /// The message.
        message: u64,
        /// The instance that started it.
        instance: usize,
        /// The endpoint it is sent to.
        endpoint: u32,
    },
    /// The first byte of an attempt arrived at its endpoint.
    AttemptArrived {
        /// The message.
        message: u64,
        /// The endpoint.
        endpoint: u32,
    },
    /// An attempt ended for the instance that started it.
    AttemptEnded {
        /// The message.
        message: u64,
        /// The instance that started the attempt.
        instance: usize,
        /// The endpoint it was sent to.
        endpoint: u32,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The status of an endpoint changed in the endpoint list.
    EndpointListed {
        /// The endpoint.
        endpoint: u32,
        /// Its new status.
        status: EndpointStatus,
    },
    /// A destination failed again because it received too many calls while it recovered.
    RecoveryOverloaded {
        /// The destination.
        destination: usize,
    },
    /// An instance crashed.
    InstanceCrashed {
        /// The instance.
        instance: usize,
    },
    /// An instance started its next incarnation.
    InstanceRestarted {
        /// The instance.
        instance: usize,
    },
}

impl Observation {
    /// The message that it concerns, if it concerns one.
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

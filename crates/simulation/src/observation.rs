//! What can be seen of a run from outside the couriers: what clients and partners know, what the list says, and when a
//! courier died. Checkers and counts know nothing else.

use marblefall_scheduler::{EndpointStatus, Outcome, Span, Time};

/// How a message ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Turned away; it may be handed in again after this.
    Refused(Span),
    /// Failed for good.
    Failed,
}

/// One thing that was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A courier took a message on.
    TakenOn {
        /// The message.
        message: u64,
        /// Who took it.
        courier: usize,
        /// Its class.
        class: usize,
        /// Whom it is for.
        partner: usize,
        /// When its client meant to hand it in.
        meant: Time,
        /// Until when it may be delivered.
        expires: Time,
        /// Whether its client hands it in for the first time.
        first: bool,
    },
    /// A message ended.
    Ended {
        /// The message.
        message: u64,
        /// How.
        end: End,
    },
    /// A courier began a leg.
    Sent {
        /// The message.
        message: u64,
        /// Who began it.
        courier: usize,
        /// Where to.
        endpoint: u32,
    },
    /// A leg's first byte came to an endpoint.
    Came {
        /// The message.
        message: u64,
        /// Where.
        endpoint: u32,
    },
    /// A leg ended for its courier.
    Closed {
        /// The message.
        message: u64,
        /// Whose leg.
        courier: usize,
        /// Where it had gone.
        endpoint: u32,
        /// How.
        outcome: Outcome,
    },
    /// The list of endpoints said something new of one.
    Listed {
        /// The endpoint.
        endpoint: u32,
        /// What.
        listing: EndpointStatus,
    },
    /// A partner that was being eased back was pushed over.
    Fell {
        /// The partner.
        partner: usize,
    },
    /// A courier died.
    Died {
        /// Which.
        courier: usize,
    },
    /// It began its next life.
    Began {
        /// Which.
        courier: usize,
    },
}

impl Seen {
    /// The message that it is about.
    pub fn message(&self) -> Option<u64> {
        match self {
            Seen::TakenOn { message, .. }
            | Seen::Ended { message, .. }
            | Seen::Sent { message, .. }
            | Seen::Came { message, .. }
            | Seen::Closed { message, .. } => Some(*message),
            Seen::Listed { .. } | Seen::Fell { .. } | Seen::Died { .. } | Seen::Began { .. } => {
                None
            }
        }
    }
}

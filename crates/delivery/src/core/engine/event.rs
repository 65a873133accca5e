//! The engine's events.

use super::{PolicyChange, PolicyMismatch, ProposedPolicy};
use crate::core::attempt_result::AttemptResult;
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::journal::Generation;
use crate::core::{Message, MessageId, RequestId};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Something that happened outside the engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// A message was submitted.
    Submitted(RequestId, Message),
    /// The client of a submission has gone without its response.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The whole endpoint list.
    EndpointsReplaced(Vec<ListedEndpoint>),
    /// Changes to the endpoint list.
    EndpointsUpdated(Vec<ListedEndpoint>),
    /// All destinations from now on. The scheduler is given only those in use.
    DestinationTableReplaced(Arc<DestinationTable>),
    /// The names of all endpoints that operators have disabled, whatever their status in the list.
    EndpointsDisabled(BTreeSet<String>),
    /// The platform has acknowledged the notice of a message's final outcome.
    NoticeAcknowledged(MessageId),
    /// This incarnation is active from now on, and recovers the messages of earlier ones.
    TakeOver {
        /// The earlier incarnations that have handed over and are still running.
        running: Vec<Generation>,
        /// The first of the incarnations that were running when this one started.
        first_concurrent: Option<Generation>,
    },
    /// Predecessors that have handed over may have journalled more.
    FollowPredecessors,
    /// A predecessor that was followed has exited.
    PredecessorExited(Generation),
    /// A standby exited before it took over. This incarnation continues under a later generation, with the messages that
    /// the standby had accepted.
    StandbyExited(Generation),
    /// Another policy, from now on.
    PolicyChanged(Box<PolicyChange>),
    /// Check whether a proposed policy covers the open messages.
    CheckPolicy(
        ProposedPolicy,
        async_channel::Sender<Result<(), PolicyMismatch>>,
    ),
    /// Whether the engine holds its lease may have changed.
    LeaseChanged,
    /// This incarnation ends, and no successor is known.
    Shutdown {
        /// When it ends at the latest.
        deadline: scheduler::Time,
    },
    /// This incarnation ends, and another one takes over, beside this one or after it.
    HandOver {
        /// When it ends at the latest.
        deadline: scheduler::Time,
    },
}

impl EngineEvent {
    /// Whether it changes the endpoints or their use. Such events are handled before all others of a step.
    pub(super) fn changes_endpoints(&self) -> bool {
        matches!(
            self,
            EngineEvent::EndpointsReplaced(_)
                | EngineEvent::EndpointsUpdated(_)
                | EngineEvent::DestinationTableReplaced(_)
                | EngineEvent::EndpointsDisabled(_)
        )
    }

    /// Whether it belongs to a hot restart.
    pub(super) fn belongs_to_hot_restart(&self) -> bool {
        matches!(
            self,
            EngineEvent::TakeOver { .. }
                | EngineEvent::FollowPredecessors
                | EngineEvent::PredecessorExited(_)
                | EngineEvent::StandbyExited(_)
                | EngineEvent::HandOver { .. }
        )
    }
}

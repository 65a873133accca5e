//! Events that the engine handles.

use super::{PolicyChange, PolicyMismatch, ProposedPolicy};
use crate::core::attempt_result::AttemptResult;
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::journal::Generation;
use crate::core::{Message, MessageId, RequestId};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// An input of the engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// A message was submitted.
    Submitted(RequestId, Message),
    /// The client of a submission disconnected before its response.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A complete endpoint list replaces the current one.
    EndpointsReplaced(Vec<ListedEndpoint>),
    /// Some endpoints of the list were added, changed or removed.
    EndpointsUpdated(Vec<ListedEndpoint>),
    /// A table of all destinations replaces the current one. Only destinations in use are passed to the scheduler.
    DestinationTableReplaced(Arc<DestinationTable>),
    /// Operators disabled or enabled endpoints. Contains the names of all disabled ones, whatever their status in the
    /// list.
    EndpointsDisabled(BTreeSet<String>),
    /// The platform has acknowledged the notice of a message's final outcome.
    NoticeAcknowledged(MessageId),
    /// This incarnation becomes active and recovers the messages of earlier ones.
    TakeOver {
        /// The earlier incarnations that have handed over but are still running.
        running: Vec<Generation>,
        /// The earliest incarnation that was running when this one started.
        first_concurrent: Option<Generation>,
    },
    /// Predecessors that have handed over may have written more records to the journal.
    FollowPredecessors,
    /// A predecessor whose journal was being followed has exited.
    PredecessorExited(Generation),
    /// A standby exited before it took over. This incarnation adopts the messages that the standby accepted, and continues
    /// under the given generation, which is later than the standby's.
    StandbyExited(Generation),
    /// Another policy comes into force.
    PolicyChanged(Box<PolicyChange>),
    /// A proposed policy must be checked against the open messages. The result is sent to the channel.
    CheckPolicy(
        ProposedPolicy,
        async_channel::Sender<Result<(), PolicyMismatch>>,
    ),
    /// Whether the engine holds its lease may have changed.
    LeaseChanged,
    /// This incarnation shuts down, and no successor is known.
    Shutdown {
        /// The latest time at which the process ends.
        deadline: scheduler::Time,
    },
    /// This incarnation shuts down, and another one is started once it has ended. No further attempt is started.
    Restart {
        /// The latest time at which this incarnation ends.
        deadline: scheduler::Time,
    },
    /// The instance is removed: it accepts no further message, and delivers those that it has accepted.
    StopAccepting,
    /// This incarnation shuts down, and a successor that runs already takes over.
    HandOver {
        /// The latest time at which the process ends.
        deadline: scheduler::Time,
    },
}

impl EngineEvent {
    /// Returns whether the event changes endpoints or their use. Such events are handled before all others of a step.
    pub(super) fn changes_endpoints(&self) -> bool {
        matches!(
            self,
            EngineEvent::EndpointsReplaced(_)
                | EngineEvent::EndpointsUpdated(_)
                | EngineEvent::DestinationTableReplaced(_)
                | EngineEvent::EndpointsDisabled(_)
        )
    }

    /// Returns whether the event belongs to a hot restart.
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

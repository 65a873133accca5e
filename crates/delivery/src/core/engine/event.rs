//! What the engine is told.

use super::{PolicyChange, PolicyMismatch, ProposedPolicy};
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::journal::Generation;
use crate::core::{Disposition, Message, MessageId, RequestId};
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::sync::Arc;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The message.
    pub message_id: MessageId,
    /// Which attempt of it.
    pub attempt: u32,
    /// How it ended.
    pub outcome: m::Outcome,
    /// How long it was in flight.
    pub duration: m::Span,
    /// What it means for the message.
    pub disposition: Disposition,
    /// What the response told of the rate limit.
    pub rate_limit: m::RateLimitReport,
}

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
    /// All destinations there are, from now on. Only those in use are made known to the scheduler.
    DestinationTableReplaced(Arc<DestinationTable>),
    /// Operators keep these endpoints disabled, by name, whatever the list says of them, from now on.
    EndpointsDisabled(BTreeSet<String>),
    /// The platform has taken the notice of a message's final outcome.
    NoticeAcknowledged(MessageId),
    /// This incarnation is active from now on: it takes over what earlier ones left.
    TakeOver {
        /// Those that still run and have handed over.
        running: Vec<Generation>,
        /// The first of those that ran when this one began.
        first_concurrent: Option<Generation>,
    },
    /// Incarnations that have handed over may have written more.
    FollowPredecessors,
    /// An incarnation that was followed has exited.
    PredecessorExited(Generation),
    /// An incarnation that stood by beside this one exited before it took over: this one goes on under a later
    /// generation, with what that one had accepted.
    StandbyExited(Generation),
    /// Another policy, from now on.
    PolicyChanged(Box<PolicyChange>),
    /// Asks whether a proposed policy has room for what is pending.
    CheckPolicy(
        ProposedPolicy,
        async_channel::Sender<Result<(), PolicyMismatch>>,
    ),
    /// Whether the engine holds its lease may have changed.
    LeaseChanged,
    /// This incarnation ends.
    Shutdown {
        /// At this time at the latest.
        deadline: m::Time,
        /// Another one takes over, beside this one or after it.
        hand_over: bool,
    },
}

impl EngineEvent {
    /// Whether it changes which endpoints there are or may be used; such events go before all others of a step.
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
                | EngineEvent::Shutdown {
                    hand_over: true,
                    ..
                }
        )
    }
}

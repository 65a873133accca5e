//! What the engine wants done.

use crate::core::endpoint::ListedEndpoint;
use crate::core::{FinalOutcome, Message, MessageId, RequestId, Route, SubmitResponse};
use crate::rules::Rule;
use marblefall_scheduler as m;
use std::rc::Rc;

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The message's id.
    pub message_id: MessageId,
    /// Which attempt of it.
    pub attempt: u32,
    /// Where to send it.
    pub endpoint: m::EndpointId,
    /// It is not sent while this route is in backoff.
    pub route: Route,
    /// What to send.
    pub message: Rc<Message>,
    /// When to abandon it.
    pub timeout_at: m::Time,
    /// Its first byte is written before then or not at all.
    pub write_by: m::Time,
}

/// Why a submission is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// As many messages are open as may be, or the journal is full.
    Full,
    /// The process ends.
    Ending,
    /// No endpoint list has named its destination.
    UnknownDestination,
    /// The journal could not be written.
    NotJournalled,
    /// The scheduler gave it up in the step in which it came.
    Scheduler,
}

/// Something to be done outside the engine.
#[derive(Debug)]
pub enum EngineCommand {
    /// Respond to a submission.
    Respond(RequestId, SubmitResponse),
    /// Start an attempt.
    StartAttempt(AttemptRequest),
    /// An endpoint of this route asked another incarnation to back off until then.
    SetBackoff(Route, m::Time),
    /// Stop waiting for the attempt of a message.
    CancelAttempt(MessageId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(m::EndpointId),
    /// Count a final outcome.
    MessageFinished(FinalOutcome),
    /// Tell the platform of a final outcome, until it is acknowledged.
    SendNotice {
        /// The message's id.
        message_id: MessageId,
        /// The message.
        message: Rc<Message>,
        /// How it ended.
        outcome: FinalOutcome,
    },
    /// What is known of an endpoint.
    EndpointListed(m::EndpointId, ListedEndpoint),
    /// An endpoint is no longer listed.
    EndpointRemoved(m::EndpointId),
    /// This incarnation is active from now on, with so many messages of earlier ones.
    TookOver(usize),
    /// This incarnation is not active any more: another one may take over.
    HandedOver,
    /// The policy with this revision is in force.
    PolicyInForce(u64),
    /// An action was refused that would have broken a rule.
    RuleViolated(Rule, MessageId),
    /// Write a log line.
    Log(String),
}

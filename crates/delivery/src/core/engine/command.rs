//! The engine's commands.

use crate::core::endpoint::ListedEndpoint;
use crate::core::{FinalOutcome, Message, MessageId, RequestId, Route, SubmitResponse};
use crate::rules::Rule;
use marblefall_scheduler as scheduler;
use std::rc::Rc;

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The message's id.
    pub message_id: MessageId,
    /// The attempt's number, from 0 for the message's first.
    pub attempt: u32,
    /// The endpoint it is sent to.
    pub endpoint: scheduler::EndpointId,
    /// The route whose backoff withholds it.
    pub route: Route,
    /// The message.
    pub message: Rc<Message>,
    /// When it is abandoned.
    pub timeout_at: scheduler::Time,
    /// Its last byte is written before this time or not at all.
    pub write_by: scheduler::Time,
}

/// Why a submission is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The limit of open messages is reached, or the journal is full.
    Full,
    /// The process is about to end.
    Ending,
    /// Its destination has had no endpoint.
    UnknownDestination,
    /// The journal could not be written.
    NotJournalled,
    /// The scheduler rejected it in the step in which it was submitted.
    Scheduler,
}

/// A submission that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The submission.
    pub request: RequestId,
    /// Why it was rejected.
    pub reason: RejectReason,
}

/// Something to be done outside the engine.
#[derive(Debug)]
pub enum EngineCommand {
    /// Respond to a submission.
    Respond(RequestId, SubmitResponse),
    /// Start an attempt.
    StartAttempt(AttemptRequest),
    /// Send nothing on a route until this time, as a backoff was requested of another incarnation.
    SetBackoff(Route, scheduler::Time),
    /// Stop waiting for the attempt of a message.
    CancelAttempt(MessageId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(scheduler::EndpointId),
    /// Count a final outcome.
    MessageFinished(FinalOutcome),
    /// Send the platform a notice of a final outcome until it is acknowledged.
    SendNotice {
        /// The message's id.
        message_id: MessageId,
        /// The message.
        message: Rc<Message>,
        /// Its final outcome.
        outcome: FinalOutcome,
    },
    /// An endpoint is listed, or its listing has changed.
    EndpointListed(scheduler::EndpointId, ListedEndpoint),
    /// An endpoint was removed from the list.
    EndpointRemoved(scheduler::EndpointId),
    /// This incarnation is active from now on, with this many open messages of earlier ones.
    TookOver(usize),
    /// This incarnation has handed over: another one may become active.
    HandedOver,
    /// The policy with this revision is in force.
    PolicyInForce(u64),
    /// An attempt of a message was refused because it would have broken a rule.
    RuleViolated(Rule, MessageId),
    /// Write a log line.
    Log(String),
}

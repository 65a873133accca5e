//! Commands that the engine emits.

use crate::core::endpoint::ListedEndpoint;
use crate::core::{FinalOutcome, Message, MessageId, RequestId, Route, SubmitResponse};
use crate::rules::Rule;
use marblefall_scheduler as scheduler;
use std::rc::Rc;

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The id of the message.
    pub message_id: MessageId,
    /// The number of the attempt; 0 is the message's first.
    pub attempt: u32,
    /// The endpoint that the attempt is sent to.
    pub endpoint: scheduler::EndpointId,
    /// The route whose backoff can withhold the attempt.
    pub route: Route,
    /// The message to send.
    pub message: Rc<Message>,
    /// The time at which the attempt times out.
    pub timeout_at: scheduler::Time,
    /// The time before which the last byte must be written; otherwise the attempt is abandoned.
    pub write_by: scheduler::Time,
}

/// The reason for the rejection of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The limit of open messages is reached, or the journal is full.
    Full,
    /// The process is about to end.
    Ending,
    /// No endpoint of the destination is, or was, listed.
    UnknownDestination,
    /// The journal could not be written.
    NotJournalled,
    /// The scheduler rejected or failed the message in the step in which it was submitted.
    Scheduler,
}

/// A submission that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The request that submitted the message.
    pub request: RequestId,
    /// The reason for the rejection.
    pub reason: RejectReason,
}

/// An action that the engine's caller executes.
#[derive(Debug)]
pub enum EngineCommand {
    /// Respond to a submission.
    Respond(RequestId, SubmitResponse),
    /// Start an attempt.
    StartAttempt(AttemptRequest),
    /// Send nothing on a route until this time, because a response to another incarnation requested a backoff.
    SetBackoff(Route, scheduler::Time),
    /// Stop waiting for the attempt of a message.
    CancelAttempt(MessageId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(scheduler::EndpointId),
    /// Count a final outcome.
    MessageFinished(FinalOutcome),
    /// Send the platform a notice of a final outcome until it is acknowledged.
    SendNotice {
        /// The id of the message.
        message_id: MessageId,
        /// The finished message.
        message: Rc<Message>,
        /// The final outcome of the message.
        outcome: FinalOutcome,
    },
    /// An endpoint is listed, or its listing has changed.
    EndpointListed(scheduler::EndpointId, ListedEndpoint),
    /// An endpoint was removed from the list.
    EndpointRemoved(scheduler::EndpointId),
    /// This incarnation has become active, with this number of open messages.
    TookOver(usize),
    /// This incarnation has handed over, so another incarnation may become active.
    HandedOver,
    /// The policy with this revision is in force.
    PolicyInForce(u64),
    /// An attempt of a message was refused because it would have broken a rule.
    RuleViolated(Rule, MessageId),
    /// Write a log line.
    Log(String),
}

//! Accepts or rejects submissions, and responds to the clients that wait for them.

use super::final_outcome::outcome_of_failure;
use super::role::Role;
use super::scheduler_input::scheduler_message;
use super::shutdown::ACCEPTANCE_CUTOFF_BEFORE_SHUTDOWN;
use super::submission::{Lookup, Submission};
use super::waiting_clients::WaitingClients;
use super::{log_journal_error, Batch, Engine, EngineCommand, RejectReason, Rejection};
use crate::core::message_record::AttemptRecord;
use crate::core::{FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Retry-After of a rejection where the scheduler gives none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// The response to a submission that is rejected without a delay from the scheduler.
pub(super) const REJECTED: SubmitResponse = SubmitResponse::Rejected {
    retry_after_ms: DEFAULT_RETRY_AFTER_MS,
};

impl Engine {
    /// Handles a submission: responds to it, joins it to an earlier one, or offers it to the scheduler.
    pub(super) fn submit(&mut self, request: RequestId, message: Message, batch: &mut Batch<'_>) {
        let first_possible_execution = match self.look_up(&message, &batch.submissions) {
            Lookup::New {
                first_possible_execution,
            } => first_possible_execution,
            Lookup::Open(id) => return self.join_open_message(id, request, message, batch),
            Lookup::Finished(id, outcome) => {
                log_journal_error(self.store.add_alias(id, &message.identity), batch.commands);
                return batch.respond(request, SubmitResponse::Finished(outcome));
            }
            Lookup::Conflict => return batch.respond(request, SubmitResponse::Conflict),
        };
        if let Some(reason) = self.reject_reason(&message, batch) {
            self.rejections.push(Rejection { request, reason });
            return batch.respond(request, REJECTED);
        }
        self.use_destination(message.destination, batch);
        let id = self.store.allocate_id();
        let event = self.submission_event(id, &message, first_possible_execution.as_ref(), batch);
        batch.scheduler_events.push(event);
        self.waiting_clients
            .insert(id, WaitingClients::of_submitter(request));
        batch.submissions.push(Submission {
            id,
            message: Rc::new(message),
            first_possible_execution,
            aliases: Vec::new(),
        });
    }

    /// Returns the event that offers a message to the scheduler.
    fn submission_event(
        &mut self,
        id: MessageId,
        message: &Message,
        first_possible_execution: Option<&AttemptRecord>,
        batch: &Batch<'_>,
    ) -> scheduler::Event {
        let new_message = scheduler_message(id, message, batch.now);
        match first_possible_execution {
            None => scheduler::Event::Accepted(new_message),
            Some(attempt) => {
                let prior = scheduler::PriorAttempts {
                    attempts: 0,
                    first_possible_execution: Some(self.attempt_start(
                        batch.now,
                        message.destination,
                        attempt,
                    )),
                    in_flight: None,
                };
                scheduler::Event::Resumed(new_message, prior)
            }
        }
    }

    /// Returns the reason to reject a new message, if there is one.
    ///
    /// The endpoint list may be late, so a message for a destination without endpoints is rejected rather than failed.
    /// Messages that are accepted while another incarnation is active are delivered by that incarnation.
    fn reject_reason(&self, message: &Message, batch: &Batch<'_>) -> Option<RejectReason> {
        let is_full = self.role != Role::HandedOver
            && self.store.open_count() + batch.submissions.len() >= self.policy.max_open;
        let is_shutting_down = self.stops_accepting
            || self.attempts_stopped
            || self.role == Role::Active
                && self.ends_within(batch.now, ACCEPTANCE_CUTOFF_BEFORE_SHUTDOWN);
        if !self.is_known_destination(message.destination) {
            Some(RejectReason::UnknownDestination)
        } else if is_shutting_down {
            Some(RejectReason::Ending)
        } else if is_full || !self.store.has_capacity_for(message) {
            Some(RejectReason::Full)
        } else {
            None
        }
    }

    /// Joins a submission to an open message.
    ///
    /// Each submission of the platform's clients has its own id. A client that submits a known id is therefore not the
    /// client that waits for the message, and must not cancel it by disconnecting.
    fn join_open_message(
        &mut self,
        id: MessageId,
        request: RequestId,
        message: Message,
        batch: &mut Batch<'_>,
    ) {
        if message.origin == Origin::Platform {
            let response = match self.store.get(id) {
                Some(_) => SubmitResponse::Accepted,
                None => SubmitResponse::Conflict,
            };
            return batch.respond(request, response);
        }
        self.waiting_clients
            .entry(id)
            .or_default()
            .add_repeat(request);
        match batch
            .submissions
            .iter_mut()
            .find(|submission| submission.id == id)
        {
            Some(submission) => submission.aliases.push(message.identity),
            None => {
                log_journal_error(self.store.add_alias(id, &message.identity), batch.commands);
                batch.respond(request, SubmitResponse::Accepted);
            }
        }
    }

    /// Handles a client that disconnected before its response.
    ///
    /// Its message is cancelled if the client submitted it over the platform's protocol and no other client waits for it. A
    /// client that repeats a message does not cancel it: the message was accepted from another client. An event is not
    /// cancelled, because its client can submit it again.
    pub(super) fn handle_disconnect(&mut self, request: RequestId, batch: &mut Batch<'_>) {
        let waiting = self
            .waiting_clients
            .iter_mut()
            .find(|(_, clients)| clients.contains(request));
        let Some((&id, clients)) = waiting else {
            return;
        };
        let was_submitter = clients.remove(request);
        if !was_submitter || !clients.is_empty() {
            return;
        }
        let is_platform = |message: &Message| message.origin == Origin::Platform;
        let in_batch = batch
            .submissions
            .iter()
            .position(|submission| submission.id == id && is_platform(&submission.message));
        if let Some(index) = in_batch {
            // The submission has not been accepted yet, so it is dropped.
            batch.submissions.remove(index);
            self.waiting_clients.remove(&id);
            batch.scheduler_events.push(scheduler::Event::Cancelled(id));
            return;
        }
        let record = self
            .store
            .get(id)
            .filter(|record| is_platform(&record.message));
        if record.is_some_and(|record| record.is_open()) {
            batch.scheduler_events.push(scheduler::Event::Cancelled(id));
            self.remove_message(batch.now, id, batch.commands);
        }
    }

    /// Journals the submissions that the scheduler did not reject or fail in this step. Returns those that the journal
    /// did not accept.
    pub(super) fn journal_submissions(
        &mut self,
        now: Timestamp,
        submissions: Vec<Submission>,
        actions: &[scheduler::Action],
        commands: &mut Vec<EngineCommand>,
    ) -> BTreeSet<MessageId> {
        let mut not_journalled = BTreeSet::new();
        for submission in submissions {
            let id = submission.id;
            let response = actions
                .iter()
                .find_map(|action| self.immediate_response(now, &submission, action));
            if let Some(response) = response {
                // The message was never accepted, so no notice is sent: the response alone reports the outcome.
                self.record_rejection(id, RejectReason::Scheduler);
                self.respond_all(id, response, commands);
                continue;
            }
            if let Err(error) = self.journal_submission(submission, commands) {
                commands.push(EngineCommand::Log(format!(
                    "a submitted message cannot be written to the journal: {error}"
                )));
                not_journalled.insert(id);
                self.reject_unjournalled(id, commands);
            }
        }
        not_journalled
    }

    /// Accepts a submission: journals the message and responds to its clients.
    fn journal_submission(
        &mut self,
        submission: Submission,
        commands: &mut Vec<EngineCommand>,
    ) -> std::io::Result<()> {
        let Submission {
            id,
            message,
            first_possible_execution,
            aliases,
        } = submission;
        self.store.accept(id, message, first_possible_execution)?;
        for alias in aliases {
            log_journal_error(self.store.add_alias(id, &alias), commands);
        }
        let clients = self.waiting_clients.get(&id).into_iter();
        let requests = clients.flat_map(WaitingClients::requests);
        commands.extend(
            requests.map(|request| EngineCommand::Respond(request, SubmitResponse::Accepted)),
        );
        Ok(())
    }

    /// Rejects a submission that the journal did not accept.
    fn reject_unjournalled(&mut self, id: MessageId, commands: &mut Vec<EngineCommand>) {
        self.record_rejection(id, RejectReason::NotJournalled);
        self.backlog.push(scheduler::Event::Cancelled(id));
        self.respond_all(id, REJECTED, commands);
    }

    fn record_rejection(&mut self, id: MessageId, reason: RejectReason) {
        let clients = self.waiting_clients.get(&id).into_iter();
        let requests = clients.flat_map(WaitingClients::requests);
        self.rejections
            .extend(requests.map(|request| Rejection { request, reason }));
    }

    /// Takes the submissions that were rejected since the last call.
    pub fn drain_rejections(&mut self) -> Vec<Rejection> {
        std::mem::take(&mut self.rejections)
    }

    /// Returns the response to a submission that `action` rejects or fails in the step in which it was submitted.
    fn immediate_response(
        &self,
        now: Timestamp,
        submission: &Submission,
        action: &scheduler::Action,
    ) -> Option<SubmitResponse> {
        let message = &submission.message;
        match action {
            scheduler::Action::Reject {
                message: id,
                retry_after,
            } if *id == submission.id => {
                let first = submission.first_possible_execution.as_ref();
                Some(
                    match self.outcome_of_rejection(now, message, first, *retry_after) {
                        FinalOutcome::Returned { retry_after_ms } => {
                            SubmitResponse::Rejected { retry_after_ms }
                        }
                        outcome => SubmitResponse::Finished(outcome),
                    },
                )
            }
            scheduler::Action::Fail(id) if *id == submission.id => {
                Some(SubmitResponse::Finished(outcome_of_failure(now, message)))
            }
            _ => None,
        }
    }

    /// Sends the last response to all clients that wait for a message.
    pub(super) fn respond_all(
        &mut self,
        id: MessageId,
        response: SubmitResponse,
        commands: &mut Vec<EngineCommand>,
    ) {
        let clients = self.waiting_clients.remove(&id).unwrap_or_default();
        commands.extend(
            clients
                .requests()
                .map(|request| EngineCommand::Respond(request, response)),
        );
    }
}

//! Submissions: whether a message is new, whether it is accepted, and who waits for its response.

use super::hot_restart::Role;
use super::{
    log_journal_error, Batch, Engine, EngineCommand, RejectReason, DEFAULT_RETRY_AFTER_MS,
    LAST_ACCEPTED_BEFORE_END,
};
use crate::core::message_record::AttemptRecord;
use crate::core::{FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse, Timestamp};
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A message submitted within the batch at hand.
pub(super) struct Submission {
    id: MessageId,
    message: Rc<Message>,
    /// What an earlier submission of it may have done.
    first_possible_execution: Option<AttemptRecord>,
    /// Other identities under which it was submitted in the same batch.
    aliases: Vec<Vec<u8>>,
}

/// What is known of a message that is submitted.
pub(super) enum Lookup {
    /// It is new, or a new try of one that was returned and may have been executed.
    New(Option<AttemptRecord>),
    /// It is open already.
    Open(MessageId),
    /// It has its final outcome.
    Finished(MessageId, FinalOutcome),
    /// It was submitted with another idempotency key, or is over.
    Conflict,
}

impl Engine {
    /// Takes a submission: it is answered, joins an earlier one, or is offered to the scheduler.
    pub(super) fn submit(&mut self, request: RequestId, message: Message, batch: &mut Batch<'_>) {
        let first_possible_execution = match self.look_up(&message, &batch.submissions) {
            Lookup::New(first_possible_execution) => first_possible_execution,
            Lookup::Open(id) => return self.join(id, request, message, batch),
            Lookup::Finished(id, outcome) => {
                log_journal_error(self.store.add_alias(id, &message.identity), batch.commands);
                return batch.respond(request, SubmitResponse::Finished(outcome));
            }
            Lookup::Conflict => return batch.respond(request, SubmitResponse::Conflict),
        };
        if let Some(reason) = self.objection(&message, batch) {
            self.rejections.push((request, reason));
            let rejected = SubmitResponse::Rejected {
                retry_after_ms: DEFAULT_RETRY_AFTER_MS,
            };
            return batch.respond(request, rejected);
        }
        self.use_destination(message.destination, batch);
        let id = self.store.allocate_id();
        let new_message = scheduler_message(id, &message, batch.now);
        batch
            .scheduler_events
            .push(match &first_possible_execution {
                None => m::Event::Accepted(new_message),
                Some(attempt) => {
                    let first_possible_execution = Some(self.sent_attempt(batch.now, attempt));
                    let prior = m::PriorAttempts {
                        attempts: 0,
                        first_possible_execution,
                        in_flight: None,
                    };
                    m::Event::Resumed(new_message, prior)
                }
            });
        self.waiting_clients.insert(id, vec![request]);
        batch.submissions.push(Submission {
            id,
            message: Rc::new(message),
            first_possible_execution,
            aliases: Vec::new(),
        });
    }

    /// Why one more message may not be accepted, if so. The list may be late, so a message for a destination that it has not
    /// named is rejected rather than failed. What is accepted while another incarnation is active is delivered by that
    /// one.
    fn objection(&self, message: &Message, batch: &Batch<'_>) -> Option<RejectReason> {
        let full = self.role != Role::HandedOver
            && self.store.open_count() + batch.submissions.len() >= self.policy.max_open;
        let ending =
            self.role == Role::Active && self.ends_within(batch.now, LAST_ACCEPTED_BEFORE_END);
        if !self.is_known_destination(message.destination) {
            Some(RejectReason::UnknownDestination)
        } else if ending {
            Some(RejectReason::Ending)
        } else if full || !self.store.has_room(message) {
            Some(RejectReason::Full)
        } else {
            None
        }
    }

    /// A submission joins an open message. The platform's clients give each submission an id of its own: who brings a
    /// known one is not the client that waits for it, and must not cancel it by going away.
    fn join(&mut self, id: MessageId, request: RequestId, message: Message, batch: &mut Batch<'_>) {
        if message.origin == Origin::Platform {
            let response = match self.store.get(id) {
                Some(_) => SubmitResponse::Accepted,
                None => SubmitResponse::Conflict,
            };
            return batch.respond(request, response);
        }
        self.waiting_clients.entry(id).or_default().push(request);
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

    /// Whether a submission repeats an earlier one.
    pub(super) fn look_up(&self, message: &Message, submissions: &[Submission]) -> Lookup {
        let from_events = message.origin == Origin::CloudEvents;
        let key = message.idempotency_key.as_ref().filter(|_| from_events);
        let repeats = |earlier: &Message| {
            let same_key = key.is_some() && earlier.idempotency_key.as_ref() == key;
            earlier.identity == message.identity
                || earlier.destination == message.destination && same_key
        };
        if let Some(submission) = submissions
            .iter()
            .find(|submission| repeats(&submission.message))
        {
            return if submission.message.idempotency_key == message.idempotency_key {
                Lookup::Open(submission.id)
            } else {
                Lookup::Conflict
            };
        }
        let by_key = || self.store.by_idempotency_key(message.destination, key?);
        let id = self.store.by_identity(&message.identity).or_else(by_key);
        let Some((id, record)) = id.and_then(|id| Some((id, self.store.get(id)?))) else {
            // Sent again, what was delivered would be executed twice.
            let over = !from_events && self.recent_completions.contains(&message.identity);
            return if over {
                Lookup::Conflict
            } else {
                Lookup::New(None)
            };
        };
        if record.message.idempotency_key != message.idempotency_key {
            return Lookup::Conflict;
        }
        match record.completion().map(|completion| completion.outcome) {
            None => Lookup::Open(id),
            // It was told to come again: a new try, bound by what the earlier one may have done.
            Some(FinalOutcome::Returned { .. }) => {
                Lookup::New(record.first_possible_execution.clone())
            }
            Some(outcome) => Lookup::Finished(id, outcome),
        }
    }

    /// A client has gone without its response. What others wait for as well goes on, and so does an event nobody waits
    /// for, as its identity is known.
    pub(super) fn client_gone(&mut self, request: RequestId, batch: &mut Batch<'_>) {
        let waiting = self
            .waiting_clients
            .iter_mut()
            .find(|(_, requests)| requests.contains(&request));
        let Some((&id, requests)) = waiting else {
            return;
        };
        requests.retain(|other| *other != request);
        if !requests.is_empty() {
            return;
        }
        let is_platform = |message: &Message| message.origin == Origin::Platform;
        let in_batch = batch
            .submissions
            .iter()
            .position(|submission| submission.id == id && is_platform(&submission.message));
        if let Some(index) = in_batch {
            // Nobody has heard of it, nor will: it is not accepted at all.
            batch.submissions.remove(index);
            self.waiting_clients.remove(&id);
            batch.scheduler_events.push(m::Event::Cancelled(id));
            return;
        }
        let record = self
            .store
            .get(id)
            .filter(|record| is_platform(&record.message));
        if record.is_some_and(|record| record.is_open()) {
            batch.scheduler_events.push(m::Event::Cancelled(id));
            self.forget(batch.now, id, batch.commands);
        }
    }

    /// Journals the submissions that the scheduler did not end at once; returns those that the journal did not take.
    pub(super) fn journal_submissions(
        &mut self,
        now: Timestamp,
        submissions: Vec<Submission>,
        actions: &[m::Action],
        commands: &mut Vec<EngineCommand>,
    ) -> BTreeSet<MessageId> {
        let mut not_journalled = BTreeSet::new();
        for submission in submissions {
            let id = submission.id;
            let given_up = actions
                .iter()
                .find_map(|action| self.given_up(now, &submission, action));
            if let Some(response) = given_up {
                // Given up before it was accepted: the response itself says so, and nothing is owed.
                self.note_rejected(id, RejectReason::Scheduler);
                self.respond_all(id, response, commands);
                continue;
            }
            let Submission {
                message,
                first_possible_execution,
                aliases,
                ..
            } = submission;
            if let Err(error) = self.store.accept(id, message, first_possible_execution) {
                commands.push(EngineCommand::Log(format!(
                    "the journal does not take a message: {error}"
                )));
                self.note_rejected(id, RejectReason::NotJournalled);
                not_journalled.insert(id);
                self.backlog.push(m::Event::Cancelled(id));
                let rejected = SubmitResponse::Rejected {
                    retry_after_ms: DEFAULT_RETRY_AFTER_MS,
                };
                self.respond_all(id, rejected, commands);
                continue;
            }
            for alias in aliases {
                log_journal_error(self.store.add_alias(id, &alias), commands);
            }
            let requests = self.waiting_clients.get(&id).into_iter().flatten();
            commands.extend(
                requests.map(|request| EngineCommand::Respond(*request, SubmitResponse::Accepted)),
            );
        }
        not_journalled
    }

    fn note_rejected(&mut self, id: MessageId, reason: RejectReason) {
        let requests = self.waiting_clients.get(&id).into_iter().flatten();
        self.rejections
            .extend(requests.map(|request| (*request, reason)));
    }

    /// The submissions that were rejected since the last call, and why.
    pub fn take_rejections(&mut self) -> Vec<(RequestId, RejectReason)> {
        std::mem::take(&mut self.rejections)
    }

    /// The response to a submission that an action gives up in the step it came in.
    fn given_up(
        &self,
        now: Timestamp,
        submission: &Submission,
        action: &m::Action,
    ) -> Option<SubmitResponse> {
        match action {
            m::Action::Reject {
                message,
                retry_after,
            } if *message == submission.id => {
                let first_possible_execution = submission.first_possible_execution.as_ref();
                let outcome = self.returned(
                    now,
                    &submission.message,
                    first_possible_execution,
                    *retry_after,
                );
                Some(match outcome {
                    FinalOutcome::Returned { retry_after_ms } => {
                        SubmitResponse::Rejected { retry_after_ms }
                    }
                    outcome => SubmitResponse::Finished(outcome),
                })
            }
            m::Action::Fail(message) if *message == submission.id => {
                Some(SubmitResponse::Finished(failed(now, &submission.message)))
            }
            _ => None,
        }
    }

    /// Gives all who wait for a message its last response.
    pub(super) fn respond_all(
        &mut self,
        id: MessageId,
        response: SubmitResponse,
        commands: &mut Vec<EngineCommand>,
    ) {
        let requests = self.waiting_clients.remove(&id).unwrap_or_default();
        commands.extend(
            requests
                .into_iter()
                .map(|request| EngineCommand::Respond(request, response)),
        );
    }
}

/// How a message ends that the scheduler fails.
pub(super) fn failed(now: Timestamp, message: &Message) -> FinalOutcome {
    if now.unix_ms >= message.expires_ms {
        FinalOutcome::Expired
    } else {
        FinalOutcome::Failed
    }
}

/// A message as the scheduler takes it.
pub(super) fn scheduler_message(id: MessageId, message: &Message, now: Timestamp) -> m::NewMessage {
    m::NewMessage {
        message: id,
        class: message.class,
        tenant: None,
        ordering_key: None,
        deadline: now.monotonic_of(message.expires_ms),
        destination: message.destination,
    }
}

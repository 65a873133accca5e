//! Assigns final outcomes to messages, reports them, and removes the messages.

use super::settings::DEDUPLICATION_MARGIN;
use super::{log_journal_error, Engine, EngineCommand};
use crate::core::message_record::{AttemptRecord, NoticeState};
use crate::core::recent_completions::EndedMessage;
use crate::core::{FinalOutcome, Message, MessageId, Origin, SubmitResponse, Timestamp};
use marblefall_scheduler as scheduler;

/// Returns the final outcome of a message that the scheduler fails.
pub(super) fn outcome_of_failure(now: Timestamp, message: &Message) -> FinalOutcome {
    if now.unix_ms >= message.expires_ms {
        FinalOutcome::Expired
    } else {
        FinalOutcome::Failed
    }
}

impl Engine {
    /// Returns the final outcome of a message that the scheduler rejects with a delay before the client's retry.
    ///
    /// An event fails instead if it may have been executed and its deduplication window will have closed by then, because
    /// the retry could only be rejected again. The platform's clients check the window themselves.
    pub(super) fn outcome_of_rejection(
        &self,
        now: Timestamp,
        message: &Message,
        first_possible_execution: Option<&AttemptRecord>,
        retry_after: scheduler::Span,
    ) -> FinalOutcome {
        let window = self.policy.deduplication_window(message.class);
        let first = first_possible_execution.filter(|_| message.origin == Origin::CloudEvents);
        if let (Some(window), Some(first)) = (window, first) {
            let window_end = now.monotonic_of(first.started_ms) + window - DEDUPLICATION_MARGIN;
            if now.monotonic + retry_after >= window_end {
                return FinalOutcome::Failed;
            }
        }
        FinalOutcome::Returned {
            retry_after_ms: (retry_after.ms() as u64).max(1),
        }
    }

    /// Finishes a pending message that the scheduler has rejected with a delay before the client's retry.
    pub(super) fn return_message(
        &mut self,
        now: Timestamp,
        id: MessageId,
        retry_after: scheduler::Span,
        commands: &mut Vec<EngineCommand>,
    ) {
        let Some(record) = self.store.get(id) else {
            return;
        };
        let first = record.first_possible_execution.as_ref();
        let outcome = self.outcome_of_rejection(now, &record.message, first, retry_after);
        self.finish_message(now, id, outcome, commands);
    }

    /// Fails a pending message that the scheduler will not attempt again.
    pub(super) fn fail_message(
        &mut self,
        now: Timestamp,
        id: MessageId,
        commands: &mut Vec<EngineCommand>,
    ) {
        let Some(record) = self.store.get(id) else {
            return;
        };
        let outcome = outcome_of_failure(now, &record.message);
        self.finish_message(now, id, outcome, commands);
    }

    /// Assigns a message its final outcome and reports it. If the journal does not accept an outcome that another
    /// incarnation could contradict, the report is deferred.
    pub(super) fn finish_message(
        &mut self,
        now: Timestamp,
        id: MessageId,
        outcome: FinalOutcome,
        commands: &mut Vec<EngineCommand>,
    ) {
        let Some(record) = self.store.get(id) else {
            return;
        };
        let message = record.message.clone();
        let from_platform = message.origin == Origin::Platform;
        let notice = if from_platform && outcome != FinalOutcome::Delivered {
            NoticeState::Pending
        } else {
            NoticeState::NotRequired
        };
        let retain_until_ms = now.unix_ms + self.policy.retention_ms(message.class);
        let finished = self.store.finish(id, outcome, notice, retain_until_ms);
        if matches!(finished, Ok(false)) {
            return;
        }
        commands.push(EngineCommand::MessageFinished(outcome));
        let is_journalled = finished.is_ok();
        log_journal_error(finished.map(|_| ()), commands);
        let may_be_contradicted =
            outcome != FinalOutcome::Delivered && now.unix_ms < message.expires_ms;
        if !is_journalled && may_be_contradicted {
            self.defer_outcome(now, id, outcome, message.expires_ms);
        } else {
            self.report_outcome(now, id, outcome, commands);
        }
    }

    /// Responds to the clients that wait for a finished message, and sends the pending notice to the platform.
    pub(super) fn report_outcome(
        &mut self,
        now: Timestamp,
        id: MessageId,
        outcome: FinalOutcome,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.respond_all(id, SubmitResponse::Finished(outcome), commands);
        let Some(record) = self.store.get(id) else {
            return;
        };
        if record.has_pending_notice() {
            commands.push(EngineCommand::SendNotice {
                message_id: id,
                message: record.message.clone(),
                outcome,
            });
        } else if record.message.origin == Origin::Platform {
            self.remove_message(now, id, commands);
        }
    }

    /// Removes a message for which no notice is pending.
    pub(super) fn remove_message(
        &mut self,
        now: Timestamp,
        id: MessageId,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.waiting_clients.remove(&id);
        let ended = self.store.get(id).and_then(EndedMessage::of_removed);
        if let Some(ended) = ended {
            self.recent_completions.insert(now.monotonic, ended);
        }
        log_journal_error(self.store.remove(id), commands);
    }
}

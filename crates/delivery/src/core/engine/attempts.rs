//! Starts attempts and handles their results.

use super::recovery::RecordedAttempt;
use super::settings::DEDUPLICATION_MARGIN;
use super::unjournalled::SelectedAttempt;
use super::{log_journal_error, AttemptRequest, AttemptResult, Batch, Engine, EngineCommand};
use crate::core::message_record::{AttemptRecord, Execution, MessageRecord};
use crate::core::{Disposition, FinalOutcome, MessageId, Route, Timestamp};
use crate::rules;
use marblefall_scheduler as scheduler;

impl Engine {
    /// Handles the result of an attempt: journals it, reports it to the scheduler, and finishes the message if the result
    /// is final.
    pub(super) fn handle_attempt_result(&mut self, result: AttemptResult, batch: &mut Batch<'_>) {
        let id = result.message_id;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_backoff(batch.now, id, result.outcome, batch.commands);
        if let Some(destination) = self.store.get(id).map(|record| record.message.destination) {
            self.use_destination(destination, batch);
        }
        let journalled = self
            .store
            .attempt_finished(id, Execution::after(result.outcome));
        if journalled.is_err() {
            self.store_unwritten_report(batch.now, &result);
        }
        log_journal_error(journalled, batch.commands);
        batch.scheduler_events.push(scheduler_result(&result));
        self.conclude_attempt(id, &result, batch);
    }

    /// Finishes, removes or resumes a message according to the result of its attempt.
    fn conclude_attempt(&mut self, id: MessageId, result: &AttemptResult, batch: &mut Batch<'_>) {
        let was_unlisted = self.predecessor_attempts.remove_unlisted(id);
        match result.disposition {
            _ if result.outcome == scheduler::Outcome::Delivered => {
                self.finish_message(batch.now, id, FinalOutcome::Delivered, batch.commands);
            }
            Disposition::Failed => {
                self.finish_message(batch.now, id, FinalOutcome::Failed, batch.commands)
            }
            Disposition::Complete => self.remove_message(batch.now, id, batch.commands),
            Disposition::Undecided if was_unlisted => {
                self.resume_message(batch.now, id, RecordedAttempt::Ended, batch.commands);
            }
            Disposition::Undecided => {}
        }
    }

    /// Journals and starts an attempt. An attempt that the journal does not accept is deferred until the journal accepts
    /// it.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        selected: SelectedAttempt,
        commands: &mut Vec<EngineCommand>,
    ) {
        let id = selected.message;
        let attempt = self.store.get(id).map_or(0, |record| record.attempts);
        if let Err(rule) = self.check_start(now, id) {
            commands.push(EngineCommand::RuleViolated(rule, id));
            return self.report_not_sent(now, id);
        }
        let endpoint_name = self.endpoints.name_of(selected.endpoint).cloned();
        let record = AttemptRecord {
            started_ms: now.unix_ms,
            endpoint: endpoint_name.unwrap_or_default(),
        };
        let journalled = self.store.attempt_started(id, record);
        if journalled.is_err() {
            log_journal_error(journalled, commands);
            return self.defer_attempt(now, selected);
        }
        let Some(record) = self.store.get(id).filter(|record| record.is_open()) else {
            return self.report_not_sent(now, id);
        };
        let message = record.message.clone();
        let write_by = self.write_deadline(now, record, selected.timeout_at);
        self.in_flight += 1;
        commands.push(EngineCommand::StartAttempt(AttemptRequest {
            message_id: id,
            attempt,
            endpoint: selected.endpoint,
            route: self.route(message.destination, selected.endpoint),
            message,
            timeout_at: selected.timeout_at,
            write_by,
        }));
    }

    /// Checks whether the rules permit an attempt of an open message.
    fn check_start(&self, now: Timestamp, id: MessageId) -> Result<(), rules::Rule> {
        let Some(record) = self.store.get(id).filter(|record| record.is_open()) else {
            return Ok(());
        };
        let class = self.policy.classes.get(record.message.class.0);
        rules::may_start(record, class, now)
    }

    /// Returns the time by which an attempt's last byte must be written: before the time-out, and for a repeat also within
    /// the deduplication window.
    fn write_deadline(
        &self,
        now: Timestamp,
        record: &MessageRecord,
        timeout_at: scheduler::Time,
    ) -> scheduler::Time {
        let window = self.policy.deduplication_window(record.message.class);
        let window_end = match (window, &record.first_possible_execution) {
            (Some(window), Some(first)) => {
                now.monotonic_of(first.started_ms) + window - DEDUPLICATION_MARGIN
            }
            _ => timeout_at,
        };
        window_end.min(timeout_at)
    }

    /// Returns the route to which a backoff of an endpoint applies.
    pub(super) fn route(
        &self,
        destination: scheduler::DestinationId,
        endpoint: scheduler::EndpointId,
    ) -> Route {
        let kind = self.endpoints.listing(endpoint).map(|listed| listed.kind);
        let is_separate_route = kind.is_some_and(|kind| self.policy.has_separate_routes(kind));
        Route {
            destination,
            endpoint: Some(endpoint).filter(|_| is_separate_route),
        }
    }

    /// Journals the backoff that a response requests. Must be called before the response is processed further.
    pub(super) fn record_backoff(
        &mut self,
        now: Timestamp,
        id: MessageId,
        outcome: scheduler::Outcome,
        commands: &mut Vec<EngineCommand>,
    ) {
        let scheduler::Outcome::Rejected {
            retry_after: Some(retry_after),
        } = outcome
        else {
            return;
        };
        let Some(record) = self.store.get(id) else {
            return;
        };
        let Some(attempt) = record.in_flight() else {
            return;
        };
        let destination = record.message.destination;
        let name = attempt.endpoint.clone();
        let until_ms = now.unix_ms_after(retry_after);
        log_journal_error(
            self.store
                .record_backoff(destination, name.clone(), until_ms),
            commands,
        );
        // The network layer has already set the backoff if this incarnation sent the attempt, but not if another one did.
        let endpoint = self.endpoints.get_or_assign_id(destination, &name);
        let route = self.route(destination, endpoint);
        commands.push(EngineCommand::SetBackoff(route, now.monotonic_of(until_ms)));
    }
}

/// Converts the result of an attempt to a scheduler event.
fn scheduler_result(result: &AttemptResult) -> scheduler::Event {
    let is_delivered = result.outcome == scheduler::Outcome::Delivered;
    scheduler::Event::AttemptFinished {
        message: result.message_id,
        attempt: scheduler::AttemptNumber(result.attempt),
        // An endpoint that rejects a message permanently has responded, so it counts as healthy.
        outcome: if result.disposition == Disposition::Failed {
            scheduler::Outcome::Delivered
        } else {
            result.outcome
        },
        duration: result.duration,
        is_final: is_delivered || result.disposition != Disposition::Undecided,
        rate_limit: result.rate_limit,
    }
}

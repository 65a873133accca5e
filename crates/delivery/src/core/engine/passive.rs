//! Steps of a passive incarnation, which is a standby or has handed over.
//!
//! A passive incarnation journals the messages that it accepts and the results of its attempts. The active incarnation
//! reads both from the journal, and schedules the attempts of all messages.

use super::role::Role;
use super::{AttemptResult, Batch, Engine, EngineCommand, EngineEvent};
use crate::core::{FinalOutcome, RequestId, SubmitResponse, Timestamp};
use marblefall_scheduler as scheduler;

impl Engine {
    /// Executes a step without scheduling decisions: applies endpoint changes, journals submissions, and reports the results
    /// of attempts.
    pub(super) fn step_passive(
        &mut self,
        now: Timestamp,
        events: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.retry_unwritten_reports(now, commands);
        let mut batch = Batch::new(now, commands);
        let events = self.handle_endpoint_changes(events, &mut batch);
        let endpoint_changes = std::mem::take(&mut batch.scheduler_events);
        if self.role == Role::Standby && !endpoint_changes.is_empty() {
            self.update_scheduler(now, &endpoint_changes, batch.commands);
        }
        for event in events {
            self.handle_passive_event(event, &mut batch);
        }
        // The submissions are not passed to the scheduler, so they are rejected only if the journal does not accept them.
        self.journal_submissions(now, batch.submissions, &[], batch.commands);
        self.backlog.clear();
    }

    fn handle_passive_event(&mut self, event: EngineEvent, batch: &mut Batch<'_>) {
        match event {
            EngineEvent::Submitted(request, message) => self.submit(request, message, batch),
            EngineEvent::AttemptFinished(result) => {
                self.in_flight = self.in_flight.saturating_sub(1);
                self.record_backoff(batch.now, result.message_id, result.outcome, batch.commands);
                self.report_attempt(batch.now, &result, batch.commands);
            }
            EngineEvent::ClientGone(request) => self.remove_waiting_client(request),
            EngineEvent::Shutdown { deadline } | EngineEvent::Restart { deadline } => {
                self.shutdown_at = Some(deadline);
            }
            _ => {}
        }
    }

    /// Removes a client that disconnected before its response. Its message belongs to the active incarnation, and is not
    /// cancelled.
    fn remove_waiting_client(&mut self, request: RequestId) {
        for clients in self.waiting_clients.values_mut() {
            clients.remove(request);
        }
    }

    /// Reports the result of an attempt to the active incarnation through the journal, and a delivery also to the clients
    /// that wait for it at this incarnation.
    fn report_attempt(
        &mut self,
        now: Timestamp,
        result: &AttemptResult,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.report_result(now, result, commands);
        if result.outcome == scheduler::Outcome::Delivered {
            let delivered = FinalOutcome::Delivered;
            commands.push(EngineCommand::MessageFinished(delivered));
            let response = SubmitResponse::Finished(delivered);
            self.respond_all(result.message_id, response, commands);
        }
    }
}

//! Attempts: how they are started, what their ends mean, and how messages get their final outcome.

use super::acceptance::failed;
use super::settings::DEDUPLICATION_MARGIN;
use super::unjournalled::UnjournalledAttempt;
use super::{log_journal_error, AttemptRequest, AttemptResult, Batch, Engine, EngineCommand};
use crate::core::message_record::AttemptRecord;
use crate::core::{
    Disposition, FinalOutcome, Message, MessageId, Origin, Route, SubmitResponse, Timestamp,
};
use crate::rules;
use marblefall_scheduler as m;
use std::collections::BTreeSet;

impl Engine {
    /// Takes the end of an attempt: it is noted, the scheduler hears of it, and the message may have its final outcome.
    pub(super) fn attempt_finished(&mut self, result: AttemptResult, batch: &mut Batch<'_>) {
        let AttemptResult {
            message_id: id,
            attempt,
            outcome,
            duration,
            disposition,
            rate_limit,
        } = result;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_backoff(batch.now, id, outcome, batch.commands);
        if let Some(destination) = self.store.get(id).map(|record| record.message.destination) {
            self.use_destination(destination, batch);
        }
        log_journal_error(
            self.store
                .attempt_finished(id, !outcome.proves_not_executed()),
            batch.commands,
        );
        let delivered = outcome == m::Outcome::Delivered;
        batch.scheduler_events.push(m::Event::AttemptFinished {
            message: id,
            attempt: m::AttemptNumber(attempt),
            // An endpoint that will not have a message has answered: nothing is wrong with the endpoint.
            outcome: if disposition == Disposition::Failed {
                m::Outcome::Delivered
            } else {
                outcome
            },
            duration,
            is_final: delivered || disposition != Disposition::Undecided,
            rate_limit,
        });
        match disposition {
            _ if delivered => self.finish(batch.now, id, FinalOutcome::Delivered, batch.commands),
            Disposition::Failed => self.finish(batch.now, id, FinalOutcome::Failed, batch.commands),
            Disposition::Complete => self.forget(batch.now, id, batch.commands),
            Disposition::Undecided if self.parked.contains(&id) => {
                self.resume(batch.now, id, false, batch.commands);
            }
            Disposition::Undecided => {}
        }
        self.parked.remove(&id);
    }

    /// Carries out what the scheduler decided.
    pub(super) fn execute(
        &mut self,
        now: Timestamp,
        action: m::Action,
        not_journalled: &BTreeSet<MessageId>,
        commands: &mut Vec<EngineCommand>,
    ) {
        match action {
            m::Action::Send {
                message,
                endpoint,
                timeout_at,
            } => {
                if not_journalled.contains(&message) {
                    // It was rejected in this very step.
                    return self.report_not_sent(now, message);
                }
                let attempt = UnjournalledAttempt {
                    message,
                    endpoint,
                    timeout_at,
                };
                self.start_attempt(now, attempt, commands);
            }
            m::Action::Cancel { message, .. } => {
                if !self.drop_unjournalled(now, message) {
                    commands.push(EngineCommand::CancelAttempt(message));
                }
            }
            m::Action::Reject {
                message,
                retry_after,
            } => {
                let Some(record) = self.store.get(message) else {
                    return;
                };
                let first_possible_execution = record.first_possible_execution.as_ref();
                let outcome =
                    self.returned(now, &record.message, first_possible_execution, retry_after);
                self.finish(now, message, outcome, commands);
            }
            m::Action::Fail(message) => {
                let Some(record) = self.store.get(message) else {
                    return;
                };
                let outcome = failed(now, &record.message);
                self.finish(now, message, outcome, commands);
            }
            m::Action::SetTimer { at, token } => drop(self.timers.insert((at, token))),
            m::Action::CloseIdleConnections(endpoint) => {
                commands.push(EngineCommand::CloseIdleConnections(endpoint));
            }
            m::Action::Log(text) => commands.push(EngineCommand::Log(text)),
            // No deployment here lets instances send health checks, and lists are pushed.
            m::Action::HealthCheck(_) | m::Action::Subscribe => {}
        }
    }

    /// Notes an attempt in the journal and orders it. What the journal does not know of must not go out: it waits until
    /// the journal takes it.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        chosen: UnjournalledAttempt,
        commands: &mut Vec<EngineCommand>,
    ) {
        let UnjournalledAttempt {
            message: id,
            endpoint,
            timeout_at,
        } = chosen;
        let record = AttemptRecord {
            started_ms: now.unix_ms,
            endpoint: self
                .endpoints
                .name_of(endpoint)
                .cloned()
                .unwrap_or_default(),
        };
        let attempt = self.store.get(id).map_or(0, |record| record.attempts);
        if let Some(known) = self.store.get(id).filter(|record| record.is_open()) {
            let class = self.policy.classes.get(known.message.class.0);
            if let Err(rule) = rules::may_start(known, class, now) {
                commands.push(EngineCommand::RuleViolated(rule, id));
                return self.report_not_sent(now, id);
            }
        }
        let noted = self.store.attempt_started(id, record);
        if noted.is_err() {
            log_journal_error(noted, commands);
            return self.keep_unjournalled(now, chosen);
        }
        let open = self.store.get(id).filter(|record| record.is_open());
        let Some(record) = open else {
            return self.report_not_sent(now, id);
        };
        let message = record.message.clone();
        let window = self.policy.deduplication_window(message.class);
        let window_end = match (window, &record.first_possible_execution) {
            (Some(window), Some(first)) => {
                now.monotonic_of(first.started_ms) + window - DEDUPLICATION_MARGIN
            }
            _ => timeout_at,
        };
        self.in_flight += 1;
        commands.push(EngineCommand::StartAttempt(AttemptRequest {
            message_id: id,
            attempt,
            endpoint,
            route: self.route(message.destination, endpoint),
            message,
            timeout_at,
            write_by: window_end.min(timeout_at),
        }));
    }

    /// What a backoff that an endpoint asks for applies to.
    pub(super) fn route(&self, destination: m::DestinationId, endpoint: m::EndpointId) -> Route {
        let kind = self.endpoints.listed(endpoint).map(|listed| listed.kind);
        let separate = kind.is_some_and(|kind| self.policy.has_separate_routes(kind));
        Route {
            destination,
            endpoint: Some(endpoint).filter(|_| separate),
        }
    }

    /// An attempt's time and endpoint as the scheduler takes them.
    pub(super) fn sent_attempt(
        &mut self,
        now: Timestamp,
        attempt: &AttemptRecord,
    ) -> (m::Time, m::EndpointId) {
        (
            now.monotonic_of(attempt.started_ms),
            self.endpoints.id_of(&attempt.endpoint),
        )
    }

    /// A backoff that an endpoint asked for is noted before anything else is done with its response.
    pub(super) fn note_backoff(
        &mut self,
        now: Timestamp,
        id: MessageId,
        outcome: m::Outcome,
        commands: &mut Vec<EngineCommand>,
    ) {
        let m::Outcome::Rejected {
            retry_after: Some(wait),
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
        let until_ms = now.unix_ms + wait.0.div_euclid(1000) + 1;
        log_journal_error(
            self.store.note_backoff(destination, name.clone(), until_ms),
            commands,
        );
        // An attempt of this incarnation's own has told the network; one of another incarnation has not.
        let endpoint = self.endpoints.id_of(&name);
        let route = self.route(destination, endpoint);
        commands.push(EngineCommand::SetBackoff(route, now.monotonic_of(until_ms)));
    }

    /// How a message ends that the scheduler has given up for now. An event that may have been executed and whose
    /// deduplication window will have closed when it comes again would then only be given up once more: it has failed.
    /// The platform's clients know the window themselves.
    pub(super) fn returned(
        &self,
        now: Timestamp,
        message: &Message,
        first_possible_execution: Option<&AttemptRecord>,
        retry_after: m::Span,
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

    /// Gives a message its final outcome: once in the store, then towards whoever waits or is owed a notice.
    pub(super) fn finish(
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
        let notice_owed = from_platform && outcome != FinalOutcome::Delivered;
        let keep_until_ms = now.unix_ms + self.policy.retention_ms(message.class);
        match self.store.finish(id, outcome, notice_owed, keep_until_ms) {
            Ok(false) => return,
            finished => log_journal_error(finished.map(|_| ()), commands),
        }
        commands.push(EngineCommand::MessageFinished(outcome));
        self.respond_all(id, SubmitResponse::Finished(outcome), commands);
        if notice_owed {
            commands.push(EngineCommand::SendNotice {
                message_id: id,
                message,
                outcome,
            });
        } else if from_platform {
            self.forget(now, id, commands);
        }
    }

    /// Forgets a message for which nothing is owed.
    pub(super) fn forget(
        &mut self,
        now: Timestamp,
        id: MessageId,
        commands: &mut Vec<EngineCommand>,
    ) {
        self.waiting_clients.remove(&id);
        let record = self
            .store
            .get(id)
            .filter(|record| record.message.origin == Origin::Platform);
        if let Some(record) = record {
            self.recent_completions
                .insert(now.monotonic, &record.message.identity);
        }
        log_journal_error(self.store.forget(id), commands);
    }
}

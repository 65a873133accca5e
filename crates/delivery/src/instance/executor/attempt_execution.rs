//! Runs the attempts that the engine requests.

use super::Executor;
use crate::core::engine::{AttemptRequest, AttemptResult, EngineEvent};
use crate::core::{Message, Origin};
use crate::counters::add;
use crate::frontend::{cloudevents, platform};
use crate::hot_restart::driver;
use crate::lease_guard::LeasePermit;
use crate::net::pool::{Attempt, EncodedRequest, Exchange};
use crate::{delivery_line, message_line};
use marblefall_scheduler::{EndpointId, Outcome};
use std::rc::Rc;

/// Name of a started attempt in the history of the lease guard, which is read by tools that check histories.
const HISTORY_ATTEMPT: &str = "leg";

impl Executor {
    /// Starts an attempt in a task of its own, which sends its result to the engine.
    pub(super) fn start_attempt(self: &Rc<Self>, request: AttemptRequest) {
        let executor = self.clone();
        self.tasks.spawn(async move {
            let endpoint = request.endpoint;
            let result = executor.run_attempt(request).await;
            // Fails only once the engine has ended.
            let _ = executor
                .events
                .send(EngineEvent::AttemptFinished(result))
                .await;
            executor.pool.check_quiet(endpoint).await;
        });
    }

    async fn run_attempt(&self, request: AttemptRequest) -> AttemptResult {
        let message = request.message;
        add(&self.counters.attempts);
        let started_at = self.clock.now().monotonic;
        let address = self.address_of(request.endpoint);
        let encode = |response_timeout_ms| -> EncodedRequest<'_> {
            match message.origin {
                Origin::Platform => {
                    platform::encode_attempt(&message, &address, response_timeout_ms)
                }
                Origin::CloudEvents => self.cloudevents.get().encode_attempt(&message, &address),
            }
        };
        let classify_response = match message.origin {
            Origin::Platform => platform::classify_response,
            Origin::CloudEvents => cloudevents::classify_response,
        };
        let attempt = Attempt {
            message_id: request.message_id,
            endpoint: request.endpoint,
            route: request.route,
            timeout_at: self.clock.instant(request.timeout_at),
            write_by: self.clock.instant(request.write_by),
            encode: &encode,
            classify_response,
            permit: &|| self.attempt_permit(),
        };
        let attempt_outcome = self.pool.run_attempt(attempt).await;
        let result = AttemptResult {
            message_id: request.message_id,
            attempt: request.attempt,
            outcome: attempt_outcome.outcome,
            duration: self.clock.now().monotonic - started_at,
            disposition: attempt_outcome.disposition,
            rate_limit: attempt_outcome.rate_limit,
        };
        self.count_attempt(&result.outcome);
        let ended = EndedAttempt {
            result: &result,
            message: &message,
            endpoint: request.endpoint,
            exchange: attempt_outcome.exchange,
        };
        ended.log();
        result
    }

    fn address_of(&self, id: EndpointId) -> Rc<str> {
        let addresses = self.endpoint_addresses.borrow();
        addresses.get(&id).cloned().unwrap_or_else(|| "".into())
    }

    /// Returns a permit to start an attempt, if this incarnation may start it. The permit is acquired immediately before the
    /// first byte is sent, as the process may have been stopped and fenced since the attempt was chosen.
    fn attempt_permit(&self) -> Option<LeasePermit<'_>> {
        if !driver::may_start_attempt(&self.incarnation) {
            return None;
        }
        let permit = self.lease.acquire()?;
        self.lease.record(HISTORY_ATTEMPT);
        Some(permit)
    }

    fn count_attempt(&self, outcome: &Outcome) {
        let counters = &self.counters;
        add(match outcome {
            Outcome::Delivered => &counters.attempts_delivered,
            Outcome::Error => &counters.attempts_failed,
            Outcome::Rejected { .. } => &counters.attempts_rejected,
            Outcome::TimedOut => &counters.attempts_timed_out,
            Outcome::ConnectFailed => &counters.attempts_unconnected,
            Outcome::Reset | Outcome::StaleConnection => &counters.attempts_reset,
            Outcome::Cancelled => &counters.attempts_cancelled,
            Outcome::NotSent => &counters.attempts_not_sent,
        });
    }
}

/// An attempt that has ended, for its log line.
struct EndedAttempt<'a> {
    result: &'a AttemptResult,
    message: &'a Message,
    endpoint: EndpointId,
    exchange: Option<Exchange>,
}

impl EndedAttempt<'_> {
    /// Writes a log line. Lines about deliveries have a limit of their own.
    fn log(&self) {
        let result = self.result;
        let call = String::from_utf8_lossy(&self.message.identity);
        let exchange = self.exchange.map(|exchange| exchange.to_string());
        if result.outcome == Outcome::Delivered {
            delivery_line!(
                code = "attempt-ended",
                message_id = result.message_id.0,
                call = %call,
                attempt = result.attempt,
                endpoint = self.endpoint.0,
                exchange,
                "Delivered"
            );
        } else {
            message_line!(
                code = "attempt-ended",
                message_id = result.message_id.0,
                call = %call,
                attempt = result.attempt,
                endpoint = self.endpoint.0,
                exchange,
                "{:?}",
                result.outcome
            );
        }
    }
}

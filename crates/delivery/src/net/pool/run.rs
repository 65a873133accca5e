//! Execution of one attempt: acquires a connection, writes the request, and reads the response.

use super::connection_end::ConnectionEnd;
use super::pooled_connection::{ConnectionOrigin, Exchange, PooledConnection};
use super::response::{AwaitedResponse, ReadResponse, Reuse};
use super::{until_cancelled, Attempt, AttemptOutcome, EncodedRequest, Pool};
use crate::core::Route;
use crate::counters::add;
use crate::message_line;
use crate::net::connection::{with_deadline, IdleState};
use crate::rules::{Rule, SendConditions, Withheld};
use async_channel::Receiver;
use futures_lite::future;
use marblefall_scheduler::{EndpointId, Outcome, Span};
use std::future::Future;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Maximum time after the request in which the reset of a reused connection shows that the endpoint had closed the
/// connection before the request.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(100);

/// Maximum time for which the process may be suspended between reading its clock and writing. Deduplication windows
/// allow for more.
const MAX_SUSPENSION: Duration = Duration::from_millis(150);

/// The result of writing a request.
enum RequestWrite {
    /// The last byte was written, so the endpoint may execute the request.
    Complete,
    /// No byte was written, since there was no permit to start the attempt.
    NotStarted,
    /// At most a part was written, and the last byte is never written.
    Incomplete(WriteStop),
}

/// The reason for which a request was not written completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStop {
    /// The route is in backoff.
    Backoff,
    /// The write failed, was cancelled, or timed out.
    Failed,
}

impl Pool {
    pub(super) async fn run(
        &self,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> AttemptOutcome {
        let started_at = Instant::now();
        let mut pooled = match self.acquire(attempt, cancelled).await {
            Ok(pooled) => pooled,
            Err(outcome) => return outcome.into(),
        };
        if let IdleState::Unrequested(bytes) = pooled.connection.idle_state() {
            add(&self.counters.connections_unrequested);
            pooled.log_end(attempt.endpoint, &ConnectionEnd::Unrequested(bytes));
            return Outcome::ConnectFailed.into();
        }
        let now = Instant::now();
        if let Err(withheld) = self.send_conditions(attempt, pooled.address).may_begin(now) {
            log_withheld(attempt, withheld);
            self.return_to_pool(attempt.endpoint, pooled);
            return Outcome::NotSent.into();
        }
        match self
            .write_request(&mut pooled, attempt, cancelled, now)
            .await
        {
            RequestWrite::Complete => {
                self.check_sent(attempt, pooled.address);
                let origin = pooled.origin();
                let exchange = pooled.request_written(started_at);
                let written_at = Instant::now();
                let request = WrittenRequest { origin, written_at };
                let outcome = self
                    .await_response(pooled, request, attempt, cancelled)
                    .await;
                AttemptOutcome {
                    exchange: Some(Exchange {
                        answered_after: Some(written_at.elapsed()),
                        ..exchange
                    }),
                    ..outcome
                }
            }
            RequestWrite::NotStarted => {
                self.return_to_pool(attempt.endpoint, pooled);
                Outcome::NotSent.into()
            }
            RequestWrite::Incomplete(stop) => incomplete_write(&pooled, attempt, stop).into(),
        }
    }

    /// Returns the current conditions for sending an attempt. They may have changed while the connection was
    /// established: the endpoint may be draining or have moved, the route may be in backoff, or the deadline may have
    /// passed.
    fn send_conditions(&self, attempt: &Attempt<'_>, address: SocketAddr) -> SendConditions {
        SendConditions {
            endpoint_accepts: self.accepts_attempts_at(attempt.endpoint, address),
            backoff_until: self.backoff_until(attempt.route),
            write_by: attempt.write_by.min(attempt.timeout_at),
        }
    }

    /// Checks the conditions again after the last byte of a request was written, since the process may have been
    /// suspended between the previous check and the write. Counts a violation if the route was in backoff or the
    /// deduplication window may have ended.
    fn check_sent(&self, attempt: &Attempt<'_>, address: SocketAddr) {
        let conditions = self.send_conditions(attempt, address);
        let rule = match conditions.may_continue(Instant::now()) {
            Err(Withheld::Backoff) => Rule::RespectBackoff,
            // The deduplication window ends at least `MAX_SUSPENSION` after `write_by`.
            Err(Withheld::Late) if attempt.write_by.elapsed() > MAX_SUSPENSION => {
                Rule::RepeatWithinWindow
            }
            _ => return,
        };
        self.counters
            .violated(rule, &format!("message {}", attempt.message_id.0));
    }

    async fn write_request(
        &self,
        pooled: &mut PooledConnection,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
        now: Instant,
    ) -> RequestWrite {
        let response_timeout_ms = (attempt.timeout_at - now).as_millis() as u64;
        let EncodedRequest { head, body } = (attempt.encode)(response_timeout_ms);
        let address = pooled.address;
        // An endpoint that reads slowly may delay the last byte, so the deadline also covers the write.
        let write_all = async {
            let deadline = attempt.timeout_at.min(attempt.write_by);
            let write = with_deadline(deadline, pooled.connection.write(&head, &body));
            matches!(until_cancelled(cancelled, write).await, Some(Some(Ok(()))))
        };
        let is_in_backoff = || {
            let conditions = self.send_conditions(attempt, address);
            conditions.may_continue(Instant::now()) == Err(Withheld::Backoff)
        };
        let mut writing = std::pin::pin!(unless(is_in_backoff, write_all));
        // The permit is held for the first write only; the rest of a long request is written without it.
        let first_poll = match (attempt.permit)() {
            None => return RequestWrite::NotStarted,
            Some(_permit) => future::poll_once(&mut writing).await,
        };
        let written = match first_poll {
            Some(written) => written,
            None => writing.await,
        };
        match written {
            Some(true) => RequestWrite::Complete,
            Some(false) => RequestWrite::Incomplete(WriteStop::Failed),
            None => RequestWrite::Incomplete(WriteStop::Backoff),
        }
    }

    async fn await_response(
        &self,
        mut pooled: PooledConnection,
        request: WrittenRequest,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> AttemptOutcome {
        let back_off = |delay: Span| self.back_off_for(attempt.route, delay);
        let awaited = AwaitedResponse {
            classify: attempt.classify_response,
            timeout_at: attempt.timeout_at,
            origin: request.origin,
            back_off: &back_off,
        };
        let reading = awaited.read(&mut pooled.connection);
        let Some(response) = until_cancelled(cancelled, reading).await else {
            pooled.log_end(attempt.endpoint, &ConnectionEnd::Cancelled);
            return Outcome::Cancelled.into();
        };
        self.observe_response(attempt.endpoint, request, &response);
        let outcome = response.outcome;
        match response.reuse {
            Reuse::Possible => {
                self.return_to_pool(attempt.endpoint, pooled);
                outcome
            }
            Reuse::Impossible(end) => {
                let closed = ClosedConnection {
                    pooled,
                    request,
                    end,
                };
                closed.adjust_outcome(outcome, attempt.endpoint)
            }
        }
    }

    /// Records what the response to a request shows of its endpoint.
    fn observe_response(
        &self,
        endpoint: EndpointId,
        request: WrittenRequest,
        response: &ReadResponse,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(endpoint) = endpoints.get_mut(&endpoint) else {
            return;
        };
        if matches!(
            response.reuse,
            Reuse::Impossible(ConnectionEnd::Unrequested(_) | ConnectionEnd::SeveralResponses)
        ) {
            add(&self.counters.connections_unrequested);
        }
        if response.outcome.outcome == Outcome::Delivered {
            endpoint.record_call_time(request.written_at.elapsed());
        }
    }

    fn back_off_for(&self, route: Route, delay: Span) {
        let delay = Duration::from_micros(delay.0.max(0) as u64);
        self.back_off(route, Instant::now() + delay);
    }
}

/// A request that was written completely.
#[derive(Clone, Copy)]
struct WrittenRequest {
    /// The origin of its connection.
    origin: ConnectionOrigin,
    /// The time at which its last byte was written.
    written_at: Instant,
}

/// A connection that cannot be reused after its attempt.
struct ClosedConnection {
    pooled: PooledConnection,
    request: WrittenRequest,
    end: ConnectionEnd,
}

impl ClosedConnection {
    /// Replaces the outcome if the connection rather than the call has failed, and logs the end of the connection.
    fn adjust_outcome(self, outcome: AttemptOutcome, endpoint: EndpointId) -> AttemptOutcome {
        let (outcome, end) = match (self.request.origin, outcome.outcome, self.end) {
            (ConnectionOrigin::Reused, Outcome::Reset, _)
                if self.request.written_at.elapsed() < STALE_RESET_WINDOW =>
            {
                (
                    Outcome::StaleConnection.into(),
                    ConnectionEnd::ResetWhenReused,
                )
            }
            // An endpoint that rejects the first request of a connection and closes it accepts no more connections. It
            // may still accept calls on its other connections.
            (
                ConnectionOrigin::New,
                Outcome::Rejected { retry_after: None },
                ConnectionEnd::NotKeptAlive,
            ) => (
                Outcome::ConnectFailed.into(),
                ConnectionEnd::NoConnectionSlot,
            ),
            (_, _, end) => (outcome, end),
        };
        self.pooled.log_end(endpoint, &end);
        outcome
    }
}

/// Returns the outcome of an attempt whose last byte was never written, so that it was not executed. A failed write on
/// a reused connection only shows that the endpoint had closed that connection.
fn incomplete_write(pooled: &PooledConnection, attempt: &Attempt<'_>, stop: WriteStop) -> Outcome {
    let was_withheld = stop == WriteStop::Backoff || Instant::now() >= attempt.write_by;
    let end = if was_withheld {
        ConnectionEnd::WriteWithheld
    } else {
        ConnectionEnd::WriteFailed
    };
    pooled.log_end(attempt.endpoint, &end);
    if pooled.origin() == ConnectionOrigin::Reused || was_withheld {
        Outcome::NotSent
    } else {
        Outcome::ConnectFailed
    }
}

fn log_withheld(attempt: &Attempt<'_>, withheld: Withheld) {
    message_line!(
        code = "attempt-withheld",
        endpoint = attempt.endpoint.0,
        message_id = attempt.message_id.0,
        "{withheld:?}"
    );
}

/// Awaits a future. Returns `None` as soon as the condition holds when the future is about to be polled.
async fn unless<T>(condition: impl Fn() -> bool, future: impl Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    future::poll_fn(|context| {
        if condition() {
            Poll::Ready(None)
        } else {
            future.as_mut().poll(context).map(Some)
        }
    })
    .await
}

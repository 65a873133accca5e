//! One attempt: its connection, its request, and its response.

use super::response::{self, read_response, Reuse};
use super::{log_ended, until_cancelled, ConnectionOrigin, Pool, PooledConnection};
use crate::core::{Disposition, MessageId, Route};
use crate::lease_guard::LeasePermit;
use crate::message_line;
use crate::net::connection::before;
use crate::net::http::ResponseHead;
use crate::rules::{Rule, SendConditions, Withheld};
use async_channel::Receiver;
use futures_lite::future;
use marblefall_scheduler::{EndpointId, Outcome, RateLimitReport};
use std::borrow::Cow;
use std::future::Future;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A reused connection that breaks within this time had been closed by its endpoint before.
const STALE_WITHIN: Duration = Duration::from_millis(100);

/// A process may be held up so long between a look at its clock and a write; windows leave more than that.
const HOLD_UP: Duration = Duration::from_millis(150);

/// The request of an attempt as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRequest<'a> {
    /// The request line and the header fields, with the blank line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Cow<'a, [u8]>,
}

/// One attempt to deliver a message.
pub struct Attempt<'a> {
    /// The message.
    pub message_id: MessageId,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// It does not start while this route is in backoff.
    pub route: Route,
    /// When it is abandoned.
    pub timeout_at: Instant,
    /// Its last byte is written before then or not at all.
    pub write_by: Instant,
    /// Encodes the request, given how many milliseconds its response is awaited.
    pub encode: &'a dyn Fn(u64) -> EncodedRequest<'a>,
    /// What a response means for the attempt.
    pub judge: fn(&ResponseHead<'_>) -> AttemptOutcome,
    /// Whether it may start at this very moment; the permit is held while its first bytes are written.
    pub permit: &'a dyn Fn() -> Option<LeasePermit<'a>>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// Its outcome.
    pub outcome: Outcome,
    /// What it means for the message.
    pub disposition: Disposition,
    /// What the response reported of the rate limit.
    pub rate_limit: RateLimitReport,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            disposition: Disposition::Undecided,
            rate_limit: RateLimitReport::default(),
        }
    }
}

/// How far a request was written.
enum RequestWrite {
    /// To its last byte: the endpoint may execute it.
    Complete,
    /// Not at all: there was no permit.
    NotStarted,
    /// Its last byte is never written.
    Incomplete(WriteStop),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStop {
    /// The route is in backoff.
    Backoff,
    /// The write failed, was cancelled, or took too long.
    Failed,
}

impl Pool {
    pub(super) async fn run(
        &self,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> AttemptOutcome {
        let mut pooled = match self.acquire(attempt, cancelled).await {
            Ok(pooled) => pooled,
            Err(outcome) => return outcome.into(),
        };
        let now = Instant::now();
        if let Err(withheld) = self.conditions(attempt, pooled.address).may_begin(now) {
            message_line!(
                code = "attempt-withheld",
                endpoint = attempt.endpoint.0,
                message = attempt.message_id.0,
                "{withheld:?}"
            );
            self.return_to_pool(attempt.endpoint, pooled);
            return Outcome::NotSent.into();
        }
        match self
            .write_request(&mut pooled, attempt, cancelled, now)
            .await
        {
            RequestWrite::Complete => {
                self.check_sent(attempt, pooled.address);
                self.await_response(pooled, attempt, cancelled).await
            }
            RequestWrite::NotStarted => {
                self.return_to_pool(attempt.endpoint, pooled);
                Outcome::NotSent.into()
            }
            RequestWrite::Incomplete(stop) => incomplete_write(&pooled, attempt, stop).into(),
        }
    }

    /// What decides whether an attempt may be sent. Getting its connection may have taken long: its endpoint may have
    /// begun to drain or moved, its route may be in backoff, its time may be up.
    fn conditions(&self, attempt: &Attempt<'_>, address: SocketAddr) -> SendConditions {
        SendConditions {
            endpoint_accepts: self.accepts_attempts_at(attempt.endpoint, address),
            backoff_until: self.backoff_until(attempt.route),
            write_by: attempt.write_by.min(attempt.timeout_at),
        }
    }

    /// A request's last byte is written: looks whether it might be, as the process may have been held up on the way.
    fn check_sent(&self, attempt: &Attempt<'_>, address: SocketAddr) {
        let conditions = self.conditions(attempt, address);
        let rule = match conditions.may_continue(Instant::now()) {
            Err(Withheld::Backoff) => Rule::RespectBackoff,
            // A window ends so much later than it is taken to.
            Err(Withheld::Late) if attempt.write_by.elapsed() > HOLD_UP => Rule::RepeatWithinWindow,
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
        let budget_ms = (attempt.timeout_at - now).as_millis() as u64;
        let EncodedRequest { head, body } = (attempt.encode)(budget_ms);
        let address = pooled.address;
        // Where the endpoint reads slowly, the last byte may be held up for long.
        let write_all = async {
            let deadline = attempt.timeout_at.min(attempt.write_by);
            let write = before(deadline, pooled.connection.write(&head, &body));
            matches!(until_cancelled(cancelled, write).await, Some(Some(Ok(()))))
        };
        let is_withheld = || {
            let conditions = self.conditions(attempt, address);
            conditions.may_continue(Instant::now()) == Err(Withheld::Backoff)
        };
        let mut writing = std::pin::pin!(unless(is_withheld, write_all));
        // What the first bytes do not take with them goes on without the permit.
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
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> AttemptOutcome {
        let written_at = Instant::now();
        let reading = read_response(&mut pooled.connection, attempt.judge, attempt.timeout_at);
        let Some((mut outcome, reuse)) = until_cancelled(cancelled, reading).await else {
            log_ended(attempt.endpoint, "cancelled");
            return Outcome::Cancelled.into();
        };
        self.back_off_if_requested(attempt.route, outcome.outcome);
        let code = match reuse {
            Reuse::Possible => {
                self.return_to_pool(attempt.endpoint, pooled);
                return outcome;
            }
            Reuse::Impossible(code) => code,
        };
        let mut code = code;
        match (pooled.origin, outcome.outcome) {
            (ConnectionOrigin::Reused, Outcome::Reset) if written_at.elapsed() < STALE_WITHIN => {
                outcome = Outcome::StaleConnection.into();
                code = "reset-when-reused";
            }
            // Rejected and closed over a connection that was opened for it: its endpoint takes no more connections, which
            // says nothing of the calls that it would take.
            (ConnectionOrigin::New, Outcome::Rejected { retry_after: None })
                if code == response::NOT_KEPT_ALIVE =>
            {
                outcome = Outcome::ConnectFailed.into();
                code = "no-connection-slot";
            }
            _ => {}
        }
        log_ended(attempt.endpoint, code);
        outcome
    }

    fn back_off_if_requested(&self, route: Route, outcome: Outcome) {
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            let wait = Duration::from_micros(wait.0.max(0) as u64);
            self.back_off(route, Instant::now() + wait);
        }
    }
}

/// The outcome of an attempt whose last byte was never written, so that it was never executed. On a reused connection
/// a failed write means nothing else.
fn incomplete_write(pooled: &PooledConnection, attempt: &Attempt<'_>, stop: WriteStop) -> Outcome {
    let was_withheld = stop == WriteStop::Backoff || Instant::now() >= attempt.write_by;
    let code = if was_withheld {
        "write-withheld"
    } else {
        "write-failed"
    };
    log_ended(attempt.endpoint, code);
    if pooled.origin == ConnectionOrigin::Reused || was_withheld {
        Outcome::NotSent
    } else {
        Outcome::ConnectFailed
    }
}

/// Awaits a future, unless a condition holds when it could go on.
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

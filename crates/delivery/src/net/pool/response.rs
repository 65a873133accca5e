//! Reading an endpoint's response: what it means for the attempt, and whether its connection can be reused.
//!
//! A response that cannot be read to its end proves nothing, also one whose head says that the attempt was not executed:
//! the endpoint may have executed it and spoilt its response on the way. The one exception is a status line that says
//! delivered, which stands whatever follows it.

use super::AttemptOutcome;
use crate::net::connection::{before, Connection, ReadError};
use crate::net::http::{self, ResponseHead};
use marblefall_scheduler::Outcome;
use std::time::{Duration, Instant};

/// An endpoint's response has no use for a longer head.
const MAX_HEAD: usize = 16 * 1024;
/// Responses mean nothing beyond their head; a longer body than this is not worth its connection.
const MAX_BODY: usize = 64 * 1024;
/// Endpoints write a response at once: what has not come so long after its status line is not going to come ...
const REST_TIMEOUT: Duration = Duration::from_millis(400);
/// ... nor is it awaited for so long after the attempt's timeout: its message's deadline may be due.
const REST_GRACE: Duration = Duration::from_millis(50);
/// The most interim responses before the final one.
const MAX_INTERIM: usize = 32;
/// The reason code of a response after which the endpoint closes the connection.
pub(super) const NOT_KEPT_ALIVE: &str = "not-kept-alive";

/// Whether a connection can be reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    Possible,
    /// Not, for a reason code.
    Impossible(&'static str),
}

/// What follows a status line.
enum Rest {
    /// The response was an interim one.
    Interim,
    Final(AttemptOutcome, Reuse),
}

/// Reads a response. One that has begun is awaited for a moment only, also past the time at which a silent attempt is
/// abandoned.
pub(super) async fn read_response(
    connection: &mut Connection,
    judge: fn(&ResponseHead<'_>) -> AttemptOutcome,
    timeout_at: Instant,
) -> (AttemptOutcome, Reuse) {
    for _ in 0..MAX_INTERIM {
        let status = match before(timeout_at, connection.read_status_line(MAX_HEAD)).await {
            Some(Ok(status)) => status,
            Some(Err(error)) => return spoilt(unreadable_outcome(&error), &error),
            None => return (Outcome::TimedOut.into(), Reuse::Impossible("timed-out")),
        };
        let rest_by = (Instant::now() + REST_TIMEOUT).min(timeout_at + REST_GRACE);
        let rest = before(rest_by, read_rest(connection, judge))
            .await
            .unwrap_or(Err(ReadError::TimedOut));
        match rest {
            Ok(Rest::Interim) => continue,
            Ok(Rest::Final(outcome, reuse)) => return (outcome, reuse),
            Err(error) => {
                let status_alone = ResponseHead::with_status(status);
                let outcome = match judge(&status_alone).outcome {
                    Outcome::Delivered => Outcome::Delivered,
                    _ => unreadable_outcome(&error),
                };
                return spoilt(outcome, &error);
            }
        }
    }
    (
        Outcome::Error.into(),
        Reuse::Impossible("interim-without-end"),
    )
}

fn spoilt(outcome: Outcome, error: &ReadError) -> (AttemptOutcome, Reuse) {
    (outcome.into(), Reuse::Impossible(error.code()))
}

/// What a response that cannot be read means for its attempt.
fn unreadable_outcome(error: &ReadError) -> Outcome {
    match error {
        ReadError::Unparsable(_) | ReadError::TimedOut => Outcome::Error,
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => Outcome::Reset,
    }
}

/// Reads what follows a status line.
async fn read_rest(
    connection: &mut Connection,
    judge: fn(&ResponseHead<'_>) -> AttemptOutcome,
) -> Result<Rest, ReadError> {
    let head_len = connection.read_head(MAX_HEAD).await?;
    let head = http::response(&connection.bytes()[..head_len])?;
    if head.status < 200 {
        connection.consume(head_len);
        return Ok(Rest::Interim);
    }
    let (outcome, framing, keep_alive) = (judge(&head), head.framing, head.keep_alive);
    let not_kept_alive = Reuse::Impossible(NOT_KEPT_ALIVE);
    if !keep_alive && outcome.outcome == Outcome::Delivered {
        return Ok(Rest::Final(outcome, not_kept_alive));
    }
    match connection.read_body(head_len, framing, MAX_BODY).await {
        Ok(body_len) => {
            connection.consume(head_len + body_len);
            // What follows a response belongs to no attempt, and the next attempt must not take it for its own.
            let reuse = if keep_alive && connection.bytes().is_empty() {
                Reuse::Possible
            } else {
                not_kept_alive
            };
            Ok(Rest::Final(outcome, reuse))
        }
        // The report in a head that could be read counts even where the body is of no use.
        Err(_) if outcome.outcome == Outcome::Delivered => Ok(Rest::Final(outcome, not_kept_alive)),
        Err(error) => Err(error),
    }
}

//! Reading of an endpoint's response, which gives the attempt's outcome and whether the connection can be reused.
//!
//! A response that cannot be read to its end is not trusted, even if its head reports that the attempt was not
//! executed: the response may be corrupt, and the endpoint may have executed the attempt. The exception is a status
//! line that reports delivery, which is final regardless of the bytes that follow it.
//!
//! On a reused connection, a response may also be a copy of an earlier one. If others follow it, any of them may be the
//! response to the request. Their outcome counts if they agree. Otherwise it is only known that the attempt may have been
//! executed.

use super::connection_end::ConnectionEnd;
use super::pooled_connection::ConnectionOrigin;
use super::AttemptOutcome;
use crate::net::connection::{with_deadline, Connection, IdleState, ReadError, UnrequestedBytes};
use crate::net::http::{self, status, ResponseHead};
use marblefall_scheduler::{Outcome, Span};
use std::time::{Duration, Instant};

/// Maximum length of a response's head in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;
/// Maximum length of a response's body in bytes. Bodies are discarded, and only read so that the connection can be reused.
const MAX_BODY_LEN: usize = 64 * 1024;
/// Maximum time to receive the rest of a response after its status line. Endpoints write a response at once.
const REST_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time to receive the rest of a response after the attempt's time-out. The message's deadline may be close
/// then.
const REST_GRACE: Duration = Duration::from_millis(50);
/// Maximum number of responses to one request: interim responses, followed by the final one.
const MAX_RESPONSES: usize = 32;

/// Whether a connection can be reused after a response.
#[derive(Debug)]
pub(super) enum Reuse {
    Possible,
    /// The connection is closed for the given reason.
    Impossible(ConnectionEnd),
}

/// A request whose response is awaited.
#[derive(Clone, Copy)]
pub(super) struct AwaitedResponse<'a> {
    /// Derives the outcome from the head of a response.
    pub(super) classify: fn(&ResponseHead<'_>) -> AttemptOutcome,
    /// The deadline for the status line.
    pub(super) timeout_at: Instant,
    /// The origin of the connection. On a reused one, a response may be a copy of an earlier one.
    pub(super) origin: ConnectionOrigin,
    /// Is called with the `Retry-After` of each rejection as soon as it is read, whether or not it is the response to this
    /// request.
    pub(super) back_off: &'a dyn Fn(Span),
}

/// The result of reading a response.
pub(super) struct ReadResponse {
    pub(super) outcome: AttemptOutcome,
    pub(super) reuse: Reuse,
}

impl ReadResponse {
    /// Creates a result after which the connection is closed.
    fn closed(outcome: impl Into<AttemptOutcome>, end: ConnectionEnd) -> ReadResponse {
        ReadResponse {
            outcome: outcome.into(),
            reuse: Reuse::Impossible(end),
        }
    }

    /// Combines a response with the one behind it. Either of them may be the response to the request.
    fn followed_by(self, next: ReadResponse) -> ReadResponse {
        let outcome = if self.outcome.agrees_with(&next.outcome) {
            next.outcome
        } else {
            Outcome::Error.into()
        };
        let reuse = match next.reuse {
            Reuse::Possible => Reuse::Impossible(ConnectionEnd::SeveralResponses),
            impossible => impossible,
        };
        ReadResponse { outcome, reuse }
    }

    /// Returns the bytes behind this response, if it was read to its end and the connection is open.
    fn unrequested_behind(&self, connection: &Connection) -> Option<UnrequestedBytes> {
        match (&self.reuse, connection.idle_state()) {
            (
                Reuse::Possible | Reuse::Impossible(ConnectionEnd::SeveralResponses),
                IdleState::Unrequested(bytes),
            ) => Some(bytes),
            _ => None,
        }
    }
}

/// The part of a response that follows its status line.
enum ResponseRest {
    /// The rest of an interim response's head.
    Interim,
    /// The rest of the final response.
    Final(ReadResponse),
}

impl AwaitedResponse<'_> {
    /// Reads the response. The status line is awaited until `timeout_at`. The rest of the response may arrive up to
    /// [`REST_GRACE`] later.
    pub(super) async fn read(&self, connection: &mut Connection) -> ReadResponse {
        let mut response = self.read_final(connection, self.timeout_at).await;
        for _ in 0..MAX_RESPONSES {
            let Some(unrequested) = response.unrequested_behind(connection) else {
                return response;
            };
            if self.origin == ConnectionOrigin::New {
                response.reuse = Reuse::Impossible(ConnectionEnd::Unrequested(unrequested));
                return response;
            }
            let deadline = self.timeout_at.min(Instant::now() + REST_TIMEOUT);
            let next = self.read_final(connection, deadline).await;
            response = response.followed_by(next);
        }
        ReadResponse::closed(Outcome::Error, ConnectionEnd::ResponsesWithoutEnd)
    }

    /// Reads responses up to the first one that is not an interim response.
    async fn read_final(&self, connection: &mut Connection, deadline: Instant) -> ReadResponse {
        for _ in 0..MAX_RESPONSES {
            let reading = connection.read_status_line(MAX_HEAD_LEN);
            let status = match with_deadline(deadline, reading).await {
                Some(Ok(status)) => status,
                Some(Err(error)) => return unreadable(error),
                None => return ReadResponse::closed(Outcome::TimedOut, ConnectionEnd::TimedOut),
            };
            let rest_deadline = (Instant::now() + REST_TIMEOUT).min(self.timeout_at + REST_GRACE);
            let rest = with_deadline(rest_deadline, read_rest(connection, self.classify))
                .await
                .unwrap_or(Err(ReadError::TimedOut));
            return match rest {
                Ok(ResponseRest::Interim) => continue,
                Ok(ResponseRest::Final(response)) => {
                    self.back_off_if_requested(&response);
                    response
                }
                Err(error) if is_delivered(status, self.classify) => {
                    ReadResponse::closed(Outcome::Delivered, ConnectionEnd::Unreadable(error))
                }
                Err(error) => unreadable(error),
            };
        }
        ReadResponse::closed(Outcome::Error, ConnectionEnd::InterimWithoutEnd)
    }

    fn back_off_if_requested(&self, response: &ReadResponse) {
        if let Outcome::Rejected {
            retry_after: Some(delay),
        } = response.outcome.outcome
        {
            (self.back_off)(delay);
        }
    }
}

/// Returns whether a status line alone reports delivery.
fn is_delivered(status: u16, classify_response: fn(&ResponseHead<'_>) -> AttemptOutcome) -> bool {
    classify_response(&ResponseHead::with_status(status)).outcome == Outcome::Delivered
}

/// Returns the result for a response that cannot be read.
fn unreadable(error: ReadError) -> ReadResponse {
    let outcome = match error {
        ReadError::Unparsable(_) | ReadError::TimedOut | ReadError::NoMemory => Outcome::Error,
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => Outcome::Reset,
    };
    ReadResponse::closed(outcome, ConnectionEnd::Unreadable(error))
}

/// Reads the part of a response that follows its status line.
async fn read_rest(
    connection: &mut Connection,
    classify_response: fn(&ResponseHead<'_>) -> AttemptOutcome,
) -> Result<ResponseRest, ReadError> {
    let head_len = connection.read_head(MAX_HEAD_LEN).await?;
    let head = http::parse_response(&connection.bytes()[..head_len])?;
    if status::is_interim(head.status) {
        connection.consume(head_len);
        return Ok(ResponseRest::Interim);
    }
    let (outcome, framing, keep_alive) = (classify_response(&head), head.framing, head.keep_alive);
    let not_kept_alive =
        |outcome| ResponseRest::Final(ReadResponse::closed(outcome, ConnectionEnd::NotKeptAlive));
    let is_delivered = outcome.outcome == Outcome::Delivered;
    if !keep_alive && is_delivered {
        return Ok(not_kept_alive(outcome));
    }
    connection.consume(head_len);
    match connection.discard_body(framing, MAX_BODY_LEN).await {
        Ok(()) => {
            drop(connection.take_grant());
            if !keep_alive {
                return Ok(not_kept_alive(outcome));
            }
            Ok(ResponseRest::Final(ReadResponse {
                outcome,
                reuse: Reuse::Possible,
            }))
        }
        // The rate limit report of a readable head is used even if the body cannot be read.
        Err(_) if is_delivered => Ok(not_kept_alive(outcome)),
        Err(error) => Err(error),
    }
}

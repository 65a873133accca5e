//! The server of operators' calls over HTTP/1.1, one call per connection. Each call gets its response within a second,
//! also while other calls are incomplete.
//!
//! This module parses the calls and responds to them. An [`AdminHandler`] executes them.

use super::connection::{with_deadline, Connection, ReadError};
use super::http::{self, header, status, HeadWriter};
use super::listener::wait_after_accept_error;
use super::spawner::Spawner;
use crate::log_line;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future;
use std::collections::VecDeque;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time between the opening of a connection and the start of its response. Operators' tools expect a response
/// within 1 s, and some callers send an incomplete call, or nothing, and keep the connection open.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time to write the response after [`RESPONSE_TIMEOUT`].
const WRITE_GRACE: Duration = Duration::from_millis(200);
/// Maximum time for which bytes are discarded after the response. Closing a connection that has unread bytes would
/// reset it, and the caller would lose the response.
const LINGER_AFTER_RESPONSE: Duration = Duration::from_secs(1);
/// Maximum length of a call's head, and of its body, in bytes.
const MAX_PART_LEN: usize = 4 * 1024;

/// Maximum number of open connections. Beyond it, the one that was opened first is closed.
pub const MAX_CONNECTIONS: usize = 16;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall<'a> {
    /// `GET /ready`: reports whether the instance accepts clients.
    Ready,
    /// `POST /endpoints/disable` with an endpoint's id as the body: starts no more attempts to the endpoint.
    Disable(&'a str),
    /// `POST /endpoints/enable` with an endpoint's id as the body: allows attempts to the endpoint again.
    Enable(&'a str),
    /// `POST /drain`: accepts no more clients.
    Drain,
    /// `POST /undrain`: accepts clients again.
    Undrain,
}

/// The error of a request that is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path is unknown.
    #[error("unknown path")]
    UnknownPath,
    /// The path does not support the method.
    #[error("the path does not support the method")]
    WrongMethod,
    /// The body is not UTF-8, empty, or contains white space.
    #[error("the body is not an endpoint's id")]
    InvalidEndpointId,
}

impl CallError {
    /// Returns the status of the response that rejects the request.
    pub fn status(self) -> u16 {
        match self {
            CallError::UnknownPath => status::NOT_FOUND,
            CallError::WrongMethod => status::METHOD_NOT_ALLOWED,
            CallError::InvalidEndpointId => status::BAD_REQUEST,
        }
    }
}

/// Executes operators' calls.
pub trait AdminHandler {
    /// Executes a call without waiting. Returns the status of the response.
    fn handle(&self, call: AdminCall<'_>) -> u16;
}

/// Parses a call.
///
/// # Errors
/// Fails if the request is not a valid call.
pub fn parse_call<'a>(
    method: &str,
    path: &str,
    body: &'a [u8],
) -> Result<AdminCall<'a>, CallError> {
    let (expected_method, call) = match path {
        "/ready" => ("GET", Ok(AdminCall::Ready)),
        "/endpoints/disable" => ("POST", parse_endpoint_id(body).map(AdminCall::Disable)),
        "/endpoints/enable" => ("POST", parse_endpoint_id(body).map(AdminCall::Enable)),
        "/drain" => ("POST", Ok(AdminCall::Drain)),
        "/undrain" => ("POST", Ok(AdminCall::Undrain)),
        _ => return Err(CallError::UnknownPath),
    };
    if method != expected_method {
        return Err(CallError::WrongMethod);
    }
    call
}

fn parse_endpoint_id(body: &[u8]) -> Result<&str, CallError> {
    std::str::from_utf8(body)
        .map(str::trim)
        .ok()
        .filter(|id| !id.is_empty() && !id.contains(char::is_whitespace))
        .ok_or(CallError::InvalidEndpointId)
}

/// Accepts operators' connections, and serves each connection in its own task. Never returns.
pub async fn serve(listener: Async<TcpListener>, handler: Rc<dyn AdminHandler>, tasks: Spawner) {
    let mut open: VecDeque<Sender<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|connection| !connection.is_closed());
                if open.len() >= MAX_CONNECTIONS {
                    // Closes the channel, which ends the connection's task.
                    drop(open.pop_front());
                }
                let (connection, evicted) = async_channel::bounded(1);
                open.push_back(connection);
                tasks.spawn(serve_until_evicted(stream, handler.clone(), evicted));
                future::yield_now().await;
            }
            Err(error) => {
                log_line!(
                    code = "not-accepted",
                    "accept of an operators' connection failed: {error}"
                );
                wait_after_accept_error(&error).await;
            }
        }
    }
}

/// The result of a call: the status of the response, and the reason code for the log.
struct CallResult {
    status: u16,
    code: &'static str,
}

async fn serve_until_evicted(
    stream: Async<TcpStream>,
    handler: Rc<dyn AdminHandler>,
    evicted: Receiver<()>,
) {
    let eviction = async {
        // Nothing is sent: the channel is closed for the eviction.
        let _ = evicted.recv().await;
        log_line!(
            code = "evicted",
            "operators' call: connection ended, as too many are open"
        );
    };
    future::or(serve_call(stream, handler), eviction).await;
}

async fn serve_call(stream: Async<TcpStream>, handler: Rc<dyn AdminHandler>) {
    let mut connection = Connection::new(stream);
    let respond_by = Instant::now() + RESPONSE_TIMEOUT;
    let read = with_deadline(respond_by, read_call(&mut connection))
        .await
        .unwrap_or(Err(ReadError::TimedOut));
    let result = match read {
        Ok(extent) => execute(connection.bytes(), extent, &*handler),
        Err(error) => match error.rejection_status() {
            Some(status) => CallResult {
                status,
                code: error.code(),
            },
            None => {
                return log_line!(
                    code = error.code(),
                    "operators' call: connection ended without a response"
                )
            }
        },
    };
    respond(&mut connection, result, respond_by + WRITE_GRACE).await;
    connection
        .linger(Instant::now() + LINGER_AFTER_RESPONSE)
        .await;
}

async fn respond(connection: &mut Connection, result: CallResult, write_by: Instant) {
    let CallResult { status, code } = result;
    let head = HeadWriter::response(status)
        .field(header::CONTENT_LENGTH, "0")
        .field(header::CONNECTION, "close")
        .finish();
    let _ = with_deadline(write_by, connection.write(&head, b"")).await;
    log_line!(code, "operators' call: status {status}");
}

/// The lengths of the head and the body of a call at the start of the connection's buffer.
struct CallExtent {
    head_len: usize,
    body_len: usize,
}

async fn read_call(connection: &mut Connection) -> Result<CallExtent, ReadError> {
    let head_len = connection.read_head(MAX_PART_LEN).await?;
    let framing = http::parse_request(&connection.bytes()[..head_len])?.framing;
    let body_len = connection
        .read_body(head_len, framing, MAX_PART_LEN)
        .await?;
    Ok(CallExtent { head_len, body_len })
}

fn execute(bytes: &[u8], extent: CallExtent, handler: &dyn AdminHandler) -> CallResult {
    let (head, rest) = bytes.split_at(extent.head_len);
    let request = match http::parse_request(head) {
        Ok(request) => request,
        Err(error) => {
            return CallResult {
                status: error.status(),
                code: error.code(),
            }
        }
    };
    match parse_call(request.method, request.path, &rest[..extent.body_len]) {
        Ok(call) => CallResult {
            status: handler.handle(call),
            code: "called",
        },
        Err(error) => CallResult {
            status: error.status(),
            code: "not-a-call",
        },
    }
}

#[cfg(test)]
mod tests;

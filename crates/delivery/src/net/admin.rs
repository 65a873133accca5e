//! Operators' calls: HTTP/1.1, one call per connection. Each gets its response within a second, whatever callers do.
//!
//! An [`AdminHandler`] executes the calls; this module parses them and responds.

use super::connection::{with_deadline, Connection, ReadError};
use super::http::{self, header, status, HeadWriter};
use super::listener::wait_after_accept_error;
use super::spawner::Spawner;
use crate::log_line;
use async_io::Async;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a call may take from when its connection is opened until its response is due. Operators' tools expect a
/// response within 1 s, and some callers send an incomplete call, or nothing, and keep the connection open.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long writing the response may take beyond that.
const WRITE_GRACE: Duration = Duration::from_millis(200);
/// How long bytes are discarded after the response: closing a connection that has unread bytes would reset it, and the
/// caller would lose the response.
const LINGER_AFTER_RESPONSE: Duration = Duration::from_secs(1);
/// The longest head, and the longest body, in bytes.
const MAX_PART_LEN: usize = 4 * 1024;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall<'a> {
    /// `GET /ready`: whether the instance accepts clients.
    Ready,
    /// `POST /endpoints/disable` with an endpoint's id as the body: start no more attempts to it.
    Disable(&'a str),
    /// `POST /endpoints/enable` with the id as the body: the endpoint may be used again.
    Enable(&'a str),
    /// `POST /drain`: accept no more clients.
    Drain,
    /// `POST /undrain`: accept clients again.
    Undrain,
}

/// Why a request is not a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path is unknown.
    #[error("unknown path")]
    UnknownPath,
    /// The path has another method.
    #[error("wrong method for the path")]
    WrongMethod,
    /// The body is not one word of text.
    #[error("the body is not an endpoint's id")]
    InvalidEndpointId,
}

impl CallError {
    /// The status with which the request is rejected.
    pub fn status(self) -> u16 {
        match self {
            CallError::UnknownPath => status::NOT_FOUND,
            CallError::WrongMethod => status::METHOD_NOT_ALLOWED,
            CallError::InvalidEndpointId => status::BAD_REQUEST,
        }
    }
}

/// Executes calls.
pub trait AdminHandler {
    /// Executes a call at once; returns the status of the response.
    fn handle(&self, call: AdminCall<'_>) -> u16;
}

/// Parses a call.
///
/// # Errors
/// The request is not a call.
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

/// Accepts operators' connections for ever, and serves each in a task of its own.
pub async fn serve(listener: Async<TcpListener>, handler: Rc<dyn AdminHandler>, tasks: Spawner) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => tasks.spawn(serve_call(stream, handler.clone())),
            Err(error) => {
                log_line!(
                    code = "not-accepted",
                    "no operators' connection accepted: {error}"
                );
                wait_after_accept_error(&error).await;
            }
        }
    }
}

/// The status of the response, and the reason code for the log.
struct CallResult {
    status: u16,
    code: &'static str,
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
                    "operators' call ended without a response"
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

/// The lengths of a call's parts in the buffer of its connection.
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

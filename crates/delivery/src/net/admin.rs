//! Operators' calls: HTTP/1.1, one call a connection, each responded to within a second however the caller behaves.
//!
//! What a call does is up to an [`AdminHandler`]; this module parses and responds.

use super::connection::{before, Connection, ReadError};
use super::http;
use super::server::pause_after;
use super::spawner::Spawner;
use crate::log_line;
use async_io::Async;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call is responded to by then from its connection's start: operators' tools want a response within 1 s, and some
/// callers send nothing, or half a call, and stay.
const RESPOND_WITHIN: Duration = Duration::from_millis(800);
/// How long writing the response may take after that.
const WRITE_GRACE: Duration = Duration::from_millis(200);
/// A caller may go on sending for so long after its response: a connection closed over unread bytes is reset, which takes
/// the response with it.
const LINGER_AFTER_RESPONSE: Duration = Duration::from_secs(1);
/// The longest head and the longest body: an endpoint's id.
const MAX_LEN: usize = 4 * 1024;

/// What operators ask of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall<'a> {
    /// `GET /ready`: whether it takes clients.
    Ready,
    /// `POST /endpoints/disable` with an endpoint's id as the body: send it nothing new.
    Disable(&'a str),
    /// `POST /endpoints/enable` with the id: it may be used again.
    Enable(&'a str),
    /// `POST /drain`: take no more clients.
    Drain,
    /// `POST /undrain`: take clients again.
    Undrain,
}

/// Executes calls.
pub trait AdminHandler {
    /// Executes a call at once; returns the status to respond with.
    fn handle(&self, call: AdminCall<'_>) -> u16;
}

/// Parses what a request asks for.
///
/// # Errors
/// The status with which the request is rejected: 404 for an unknown path, 405 for a wrong method there, 400 for an id
/// that is empty or not text.
pub fn parse_call<'a>(method: &str, path: &str, body: &'a [u8]) -> Result<AdminCall<'a>, u16> {
    let endpoint_id = || match std::str::from_utf8(body).map(str::trim) {
        Ok(id) if !id.is_empty() && !id.contains(char::is_whitespace) => Ok(id),
        _ => Err(400),
    };
    let (expected_method, call) = match path {
        "/ready" => ("GET", Ok(AdminCall::Ready)),
        "/endpoints/disable" => ("POST", endpoint_id().map(AdminCall::Disable)),
        "/endpoints/enable" => ("POST", endpoint_id().map(AdminCall::Enable)),
        "/drain" => ("POST", Ok(AdminCall::Drain)),
        "/undrain" => ("POST", Ok(AdminCall::Undrain)),
        _ => return Err(404),
    };
    if method != expected_method {
        return Err(405);
    }
    call
}

/// Accepts operators' connections for ever, each served in a task of its own.
pub async fn serve(listener: Async<TcpListener>, handler: Rc<dyn AdminHandler>, tasks: Spawner) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => tasks.spawn(serve_call(stream, handler.clone())),
            Err(error) => {
                log_line!(
                    code = "not-accepted",
                    "no operators' connection accepted: {error}"
                );
                pause_after(&error).await;
            }
        }
    }
}

/// A status to respond with, and the reason code for the log.
struct CallResult {
    status: u16,
    code: &'static str,
}

async fn serve_call(stream: Async<TcpStream>, handler: Rc<dyn AdminHandler>) {
    let mut connection = Connection::new(stream);
    let respond_by = Instant::now() + RESPOND_WITHIN;
    let read = before(respond_by, read_call(&mut connection))
        .await
        .unwrap_or(Err(ReadError::TimedOut));
    let result = match read {
        Ok(extent) => execute(connection.bytes(), extent, &*handler),
        Err(ReadError::TimedOut) => CallResult {
            status: 408,
            code: "late",
        },
        Err(ReadError::Unparsable(error)) => CallResult {
            status: error.status(),
            code: error.code(),
        },
        Err(error @ (ReadError::Closed | ReadError::Truncated | ReadError::Io(_))) => {
            let code = error.code();
            return log_line!(code, "operators' call ended without a response");
        }
    };
    let CallResult { status, code } = result;
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        http::reason_phrase(status)
    );
    let write_by = respond_by + WRITE_GRACE;
    let _ = before(write_by, connection.write(head.as_bytes(), b"")).await;
    log_line!(code, "operators' call: status {status}");
    connection
        .linger(Instant::now() + LINGER_AFTER_RESPONSE)
        .await;
}

/// Where a call lies in its connection's buffer.
struct CallExtent {
    head: usize,
    body: usize,
}

async fn read_call(connection: &mut Connection) -> Result<CallExtent, ReadError> {
    let head = connection.read_head(MAX_LEN).await?;
    let framing = http::request(&connection.bytes()[..head])?.framing;
    let body = connection.read_body(head, framing, MAX_LEN).await?;
    Ok(CallExtent { head, body })
}

fn execute(bytes: &[u8], extent: CallExtent, handler: &dyn AdminHandler) -> CallResult {
    let (head, rest) = bytes.split_at(extent.head);
    let Ok(request) = http::request(head) else {
        return CallResult {
            status: 400,
            code: "malformed",
        };
    };
    match parse_call(request.method, request.path, &rest[..extent.body]) {
        Ok(call) => CallResult {
            status: handler.handle(call),
            code: "called",
        },
        Err(status) => CallResult {
            status,
            code: "not-a-call",
        },
    }
}

#[cfg(test)]
mod tests;

//! The interface between the network and a frontend: how a request is parsed, and how a response is encoded.

use super::http::{header, status, RequestHead};
use crate::clock::ReceivedAt;
use crate::core::{Message, SubmitResponse};

/// The path that clients request to check whether an instance is ready.
pub const READY_PATH: &str = "/ready";

const MS_PER_S: f64 = 1000.0;

/// An HTTP response to a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields, without those that the server adds.
    pub fields: Vec<(&'static str, String)>,
    /// The body, in plain text.
    pub body: String,
}

impl Response {
    /// Creates a response without fields and body.
    pub fn with_status(status: u16) -> Response {
        Response {
            status,
            ..Response::default()
        }
    }

    /// Creates a response whose body contains the reason.
    pub fn with_reason(status: u16, reason: impl Into<String>) -> Response {
        Response {
            status,
            body: reason.into(),
            ..Response::default()
        }
    }

    /// Creates a response with a `Retry-After` field, in seconds with three decimals.
    pub fn retry_after(status: u16, retry_after_ms: u64) -> Response {
        let seconds = format!("{:.3}", retry_after_ms as f64 / MS_PER_S);
        Response {
            status,
            fields: vec![(header::RETRY_AFTER, seconds)],
            ..Response::default()
        }
    }

    /// Returns whether the status reports that the request failed.
    pub fn is_error(&self) -> bool {
        status::is_error(self.status)
    }
}

/// A request that a frontend has parsed.
#[derive(Debug, PartialEq)]
pub enum ParsedRequest {
    /// The request gets this response at once.
    Respond(Response),
    /// The request submits a message.
    Submit(Message),
    /// The request checks whether the instance accepts clients, which it does unless operators drain it.
    Readiness,
}

/// The translation between one protocol and the core.
pub trait Frontend {
    /// Parses a request that was received at the time `at`.
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest;

    /// Returns whether clients await each response before they send the next request on a connection.
    fn one_request_at_a_time(&self) -> bool {
        false
    }

    /// Returns whether a client that ends its sending before its response has left, rather than only closed one direction.
    fn departs_with_end_of_sending(&self) -> bool {
        false
    }

    /// Encodes the rejection of a request that was not read, which may be repeated after `retry_after_ms`.
    fn reject(&self, retry_after_ms: u64) -> Response {
        self.respond(SubmitResponse::Rejected { retry_after_ms })
            .unwrap_or_else(|| Response::retry_after(status::SERVICE_UNAVAILABLE, retry_after_ms))
    }

    /// Encodes the core's response to a submission. Returns `None` if the client does not get this response, but the
    /// core's next one.
    fn respond(&self, response: SubmitResponse) -> Option<Response>;
}

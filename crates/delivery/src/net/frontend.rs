//! The interface between the network and a frontend: how a request is parsed, and how a response is encoded.

use super::http::{header, status, RequestHead};
use crate::clock::ReceivedAt;
use crate::core::{Message, SubmitResponse};

/// The path where clients request whether an instance is ready.
pub const READY_PATH: &str = "/ready";

const MS_PER_S: f64 = 1000.0;

/// An HTTP response to a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Header fields beside those that the server adds.
    pub fields: Vec<(&'static str, String)>,
    /// The body, as plain text.
    pub body: String,
}

impl Response {
    /// A response with a status alone.
    pub fn with_status(status: u16) -> Response {
        Response {
            status,
            ..Response::default()
        }
    }

    /// A response whose body gives the reason.
    pub fn with_reason(status: u16, reason: impl Into<String>) -> Response {
        Response {
            status,
            body: reason.into(),
            ..Response::default()
        }
    }

    /// A response with a `Retry-After` in seconds with three decimals.
    pub fn retry_after(status: u16, retry_after_ms: u64) -> Response {
        let seconds = format!("{:.3}", retry_after_ms as f64 / MS_PER_S);
        Response {
            status,
            fields: vec![(header::RETRY_AFTER, seconds)],
            ..Response::default()
        }
    }

    /// Whether the status reports that the request failed.
    pub fn is_error(&self) -> bool {
        status::is_error(self.status)
    }
}

/// A request as its frontend has parsed it.
#[derive(Debug, PartialEq)]
pub enum ParsedRequest {
    /// It gets this response at once.
    Respond(Response),
    /// It submits a message.
    Submit(Message),
    /// It asks whether the instance accepts clients, which it does unless operators drain it.
    Readiness,
}

/// The translation of one protocol.
pub trait Frontend {
    /// Parses a request that was read at the moment `at`.
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest;

    /// Whether clients await each response before they send the next request on a connection.
    fn one_request_at_a_time(&self) -> bool {
        false
    }

    /// Encodes the core's response to a submission; `None` if the client gets the core's next one instead.
    fn respond(&self, response: SubmitResponse) -> Option<Response>;
}

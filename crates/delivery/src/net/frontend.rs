//! What the network knows of a frontend: how a request is parsed, and how the core's response is worded.

use super::http::RequestHead;
use crate::clock::ReceivedAt;
use crate::core::{Message, SubmitResponse};

/// An HTTP response to a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Further header fields.
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

    /// A response that says when to try again, with milliseconds.
    pub fn retry_after(status: u16, retry_after_ms: u64) -> Response {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1000.0);
        Response {
            status,
            fields: vec![("Retry-After", seconds)],
            ..Response::default()
        }
    }
}

/// What a frontend makes of a request.
#[derive(Debug, PartialEq)]
pub enum ParsedRequest {
    /// It is responded to at once.
    Respond(Response),
    /// It submits a message.
    Submit(Message),
    /// It asks whether the instance takes clients: yes unless operators drain it.
    Readiness,
}

/// The translation of one protocol.
pub trait Frontend {
    /// Parses a request that was read just now.
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest;

    /// Whether its clients wait for each response before they send the next request on a connection.
    fn one_request_at_a_time(&self) -> bool {
        false
    }

    /// Words what the core says of a submission; `None` waits for what it says next.
    fn respond(&self, response: SubmitResponse) -> Option<Response>;
}

//! The requests that endpoints receive, and the interpretation of their responses.

use super::event::{self, Context, EncodedEvent};
use super::Target;
use crate::core::{Disposition, Message};
use crate::net::http::{header, retry_after, status, HeadWriter, ResponseHead};
use crate::net::pool::{AttemptOutcome, EncodedRequest};
use marblefall_scheduler::{Outcome, RateLimitReport};

/// Encodes the request of an attempt.
pub(super) fn encode<'a>(
    message: &'a Message,
    target: &Target,
    address: &str,
) -> EncodedRequest<'a> {
    let context: Context = serde_json::from_slice(&message.attributes).unwrap_or_default();
    let EncodedEvent { fields, body } = event::encode(&context, &message.body, target.mode);
    let mut head = HeadWriter::request("POST", &target.path).field(header::HOST, address);
    for (name, value) in fields {
        head = head.field(&name, value);
    }
    let head = head
        .optional_field(header::IDEMPOTENCY_KEY, message.idempotency_key.as_ref())
        .field(header::CONTENT_LENGTH, body.len().to_string())
        .finish();
    EncodedRequest { head, body }
}

/// Derives the outcome of an attempt from its response.
///
/// Only a rejection proves that the event was not executed: a gateway in front of the endpoint may respond in its place
/// after the endpoint has executed the event. Other statuses from 400 to 499 are about the event itself, so a retry would
/// fail in the same way. Exceptions are statuses with a temporary cause (408, 423, 425), and statuses about the caller
/// (401, 403, 407), whose cause an operator may correct before the event expires.
pub fn classify_response(response: &ResponseHead<'_>) -> AttemptOutcome {
    let (outcome, disposition) = match response.status {
        200..=299 => (Outcome::Delivered, Disposition::Undecided),
        status::TOO_MANY_REQUESTS | status::SERVICE_UNAVAILABLE => {
            let retry_after = retry_after(response);
            (Outcome::Rejected { retry_after }, Disposition::Undecided)
        }
        status::UNAUTHORIZED
        | status::FORBIDDEN
        | status::PROXY_AUTHENTICATION_REQUIRED
        | status::REQUEST_TIMEOUT
        | status::LOCKED
        | status::TOO_EARLY => (Outcome::Error, Disposition::Undecided),
        400..=499 => (Outcome::Error, Disposition::Failed),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    AttemptOutcome {
        outcome,
        disposition,
        rate_limit: RateLimitReport::default(),
        exchange: None,
    }
}

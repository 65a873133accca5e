//! The requests that endpoints receive, and the interpretation of their responses.

use super::headers;
use super::load_report::parse_load_report;
use crate::core::{Disposition, Message};
use crate::net::http::{header, retry_after, status, HeadWriter, ResponseHead};
use crate::net::pool::{AttemptOutcome, EncodedRequest};
use marblefall_scheduler::Outcome;
use std::borrow::Cow;

/// Path at which endpoints receive attempts.
const PATH: &str = "/receive";

/// Encodes the request of an attempt whose response is awaited for `response_timeout_ms`.
pub fn encode_attempt<'a>(
    message: &'a Message,
    address: &str,
    response_timeout_ms: u64,
) -> EncodedRequest<'a> {
    let head = HeadWriter::request("POST", PATH)
        .field(header::HOST, address)
        .field(headers::MESSAGE_ID, &message.identity)
        .optional_field(header::IDEMPOTENCY_KEY, message.idempotency_key.as_ref())
        .field(headers::TIME_TO_LIVE_MS, response_timeout_ms.to_string())
        .field(header::CONTENT_LENGTH, message.body.len().to_string())
        .finish();
    EncodedRequest {
        head,
        body: Cow::Borrowed(&message.body),
    }
}

/// Derives the outcome of an attempt from its response, as the platform's protocol defines it.
pub fn classify_response(response: &ResponseHead<'_>) -> AttemptOutcome {
    let has_no_slot = response.fields.get(headers::NO_SLOT).is_some();
    let (outcome, disposition) = match response.status {
        status::OK => (Outcome::Delivered, Disposition::Undecided),
        status::SERVICE_UNAVAILABLE if has_no_slot => (Outcome::NotSent, Disposition::Undecided),
        status::TOO_MANY_REQUESTS | status::SERVICE_UNAVAILABLE => {
            let retry_after = retry_after(response);
            (Outcome::Rejected { retry_after }, Disposition::Undecided)
        }
        status::GATEWAY_TIMEOUT => (Outcome::NotSent, Disposition::Undecided),
        status::GONE => (Outcome::NotSent, Disposition::Complete),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    let rate_limit = response
        .fields
        .text(headers::LOAD_REPORT)
        .map(parse_load_report)
        .unwrap_or_default();
    AttemptOutcome {
        outcome,
        disposition,
        rate_limit,
        exchange: None,
    }
}

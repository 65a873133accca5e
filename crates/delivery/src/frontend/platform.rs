//! The platform's protocol: clients submit messages by `POST /api`, endpoints take them by `POST /receive`, and final
//! outcomes are sent as notices.

use crate::clock::ReceivedAt;
use crate::core::{Disposition, FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::{Fields, RequestHead, ResponseHead};
use crate::net::pool::{AttemptOutcome, EncodedRequest};
use crate::net::response_fields::{rate_limit_report, retry_after};
use marblefall_scheduler::{ClassId, DestinationId, Outcome};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// A longer time to live is taken for this, lest sums with it overflow.
const MAX_BUDGET_MS: i64 = 24 * 3600 * 1000;
/// A budget counts from when its message was sent, which is known only when it is read. A process may be held up in between
/// and again before it writes the notice of the message's end, each time for 150 ms, while a notice counts as late 300 ms
/// after the message's time: so much of the budget is kept for the rest of the way, in milliseconds ...
const MAX_READ_DELAY_MS: i64 = 30;
/// ... but no more than this part of it.
const READ_DELAY_DIVISOR: i64 = 40;
/// Longer ids and keys are noise.
const MAX_NAME_LEN: usize = 256;

/// Why a request is no message. The text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RequestError {
    /// The id is missing or cannot be passed on.
    #[error("no X-Call-Id")]
    MissingId,
    /// The class is missing.
    #[error("no X-Call-Class")]
    MissingClass,
    /// The class is none of the settings.
    #[error("unknown class")]
    UnknownClass,
    /// The time to live is missing or no number.
    #[error("no X-Budget-Ms in whole milliseconds")]
    MissingBudget,
    /// The idempotency key cannot be passed on.
    #[error("an Idempotency-Key that cannot be passed on")]
    UnusableKey,
    /// The idempotency key is missing where the class requires one.
    #[error("no Idempotency-Key in a class with keys")]
    MissingKey,
    /// The envelope is missing.
    #[error("no X-Envelope")]
    MissingEnvelope,
    /// The envelope names no destination.
    #[error("no dest in X-Envelope")]
    MissingDestination,
    /// The destination is none of the settings.
    #[error("unknown dest")]
    UnknownDestination,
}

/// The client side of the platform's protocol.
pub struct PlatformFrontend {
    /// The names of the classes, in their order.
    pub class_names: Vec<String>,
    /// For each of them, whether its endpoints drop repeats by key, so that a message must have one.
    pub requires_key: Vec<bool>,
    /// The destinations that clients' numbers stand for, where they are not the numbers themselves.
    pub destinations_by_number: Option<BTreeMap<u64, DestinationId>>,
}

impl Frontend for PlatformFrontend {
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest {
        match (request.method, request.path) {
            ("GET", "/ready") => ParsedRequest::Readiness,
            ("POST", "/api") => match self.message(&request.fields, body, at.steady_ms) {
                Ok(message) => ParsedRequest::Submit(message),
                Err(error) => ParsedRequest::Respond(Response::with_reason(400, error.to_string())),
            },
            (_, "/ready" | "/api") => ParsedRequest::Respond(Response::with_status(405)),
            _ => ParsedRequest::Respond(Response::with_status(404)),
        }
    }

    fn one_request_at_a_time(&self) -> bool {
        true
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        Some(match response {
            SubmitResponse::Accepted | SubmitResponse::Finished(FinalOutcome::Delivered) => {
                Response::with_status(202)
            }
            SubmitResponse::Rejected { retry_after_ms }
            | SubmitResponse::Finished(FinalOutcome::Returned { retry_after_ms }) => {
                Response::retry_after(503, retry_after_ms)
            }
            SubmitResponse::Finished(FinalOutcome::Failed | FinalOutcome::Expired) => {
                Response::with_status(500)
            }
            SubmitResponse::Conflict => Response::with_status(409),
        })
    }
}

impl PlatformFrontend {
    fn message(
        &self,
        fields: &Fields<'_>,
        body: &[u8],
        now_ms: i64,
    ) -> Result<Message, RequestError> {
        let identity = printable(fields, "x-call-id").ok_or(RequestError::MissingId)?;
        let class = self.class(fields)?;
        let budget = fields.text("x-budget-ms").and_then(parse_digits);
        let budget = budget.ok_or(RequestError::MissingBudget)?;
        let budget_ms =
            i64::try_from(budget).map_or(MAX_BUDGET_MS, |budget| budget.min(MAX_BUDGET_MS));
        let idempotency_key = self.idempotency_key(fields, class)?;
        let destination = self.destination(fields)?;
        Ok(Message {
            origin: Origin::Platform,
            identity: identity.to_vec(),
            idempotency_key,
            class,
            destination,
            expires_ms: now_ms + budget_ms - read_delay_ms(budget_ms),
            attributes: Vec::new(),
            body: body.to_vec(),
        })
    }

    fn class(&self, fields: &Fields<'_>) -> Result<ClassId, RequestError> {
        let name = fields
            .text("x-call-class")
            .ok_or(RequestError::MissingClass)?;
        self.class_names
            .iter()
            .position(|known| known == name)
            .map(ClassId)
            .ok_or(RequestError::UnknownClass)
    }

    fn idempotency_key(
        &self,
        fields: &Fields<'_>,
        class: ClassId,
    ) -> Result<Option<Vec<u8>>, RequestError> {
        if fields.get("idempotency-key").is_some() {
            return printable(fields, "idempotency-key")
                .map(|key| Some(key.to_vec()))
                .ok_or(RequestError::UnusableKey);
        }
        if self.requires_key.get(class.0) == Some(&true) {
            // Without it no endpoint could recognise a repeat.
            return Err(RequestError::MissingKey);
        }
        Ok(None)
    }

    fn destination(&self, fields: &Fields<'_>) -> Result<DestinationId, RequestError> {
        let envelope = fields
            .text("x-envelope")
            .ok_or(RequestError::MissingEnvelope)?;
        let number = envelope
            .split([',', ';', ' '])
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| name.trim() == "dest")
            .and_then(|(_, number)| parse_digits(number.trim()))
            .ok_or(RequestError::MissingDestination)?;
        match &self.destinations_by_number {
            None => Ok(DestinationId(number)),
            Some(known) => known
                .get(&number)
                .copied()
                .ok_or(RequestError::UnknownDestination),
        }
    }
}

/// How long before it was read a message with this budget may have been sent, in milliseconds.
fn read_delay_ms(budget_ms: i64) -> i64 {
    (budget_ms / READ_DELAY_DIVISOR).min(MAX_READ_DELAY_MS)
}

/// The value of a field that can be passed on as it came, in the head of an attempt as in the line of a notice.
fn printable<'a>(fields: &Fields<'a>, name: &str) -> Option<&'a [u8]> {
    fields.get(name).filter(|text| {
        !text.is_empty() && text.len() <= MAX_NAME_LEN && text.iter().all(u8::is_ascii_graphic)
    })
}

/// A number as the protocol writes it: digits alone, where Rust would accept a sign as well.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

/// The request of an attempt.
pub fn encode_attempt<'a>(
    message: &'a Message,
    address: &str,
    budget_ms: u64,
) -> EncodedRequest<'a> {
    let mut head = format!("POST /receive HTTP/1.1\r\nHost: {address}\r\nX-Call-Id: ").into_bytes();
    head.extend(&message.identity);
    if let Some(key) = &message.idempotency_key {
        head.extend(b"\r\nIdempotency-Key: ");
        head.extend(key);
    }
    let len = message.body.len();
    head.extend(
        format!("\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {len}\r\n\r\n").into_bytes(),
    );
    EncodedRequest {
        head,
        body: Cow::Borrowed(&message.body),
    }
}

/// What a response means for its attempt, by the protocol's table.
pub fn judge(response: &ResponseHead<'_>) -> AttemptOutcome {
    let has_no_slot = response.fields.get("x-no-slot").is_some();
    let (outcome, disposition) = match response.status {
        200 => (Outcome::Delivered, Disposition::Undecided),
        503 if has_no_slot => (Outcome::NotSent, Disposition::Undecided),
        429 | 503 => {
            let retry_after = retry_after(response);
            (Outcome::Rejected { retry_after }, Disposition::Undecided)
        }
        504 => (Outcome::NotSent, Disposition::Undecided),
        410 => (Outcome::NotSent, Disposition::Complete),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    let rate_limit = response
        .fields
        .text("x-load-report")
        .map(rate_limit_report)
        .unwrap_or_default();
    AttemptOutcome {
        outcome,
        disposition,
        rate_limit,
    }
}

/// The notice of a message's final outcome, as one line.
pub fn encode_notice(identity: &[u8], outcome: FinalOutcome) -> String {
    let id = serde_json::Value::from(String::from_utf8_lossy(identity));
    match outcome {
        FinalOutcome::Returned { retry_after_ms } => {
            format!("{{\"id\":{id},\"state\":\"returned\",\"after_ms\":{retry_after_ms}}}\n")
        }
        FinalOutcome::Delivered | FinalOutcome::Failed | FinalOutcome::Expired => {
            format!("{{\"id\":{id},\"state\":\"failed\"}}\n")
        }
    }
}

#[cfg(test)]
mod tests;

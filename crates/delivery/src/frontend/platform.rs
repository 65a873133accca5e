//! The platform's protocol: clients submit messages by `POST /api`, endpoints receive them by `POST /receive`, and final
//! outcomes are sent as notices.

mod attempt;
pub mod headers;
mod load_report;
mod notice;

pub use attempt::{classify_response, encode_attempt};
pub use load_report::parse_load_report;
pub use notice::encode_notice;

use crate::clock::ReceivedAt;
use crate::core::{FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::frontend::{Frontend, ParsedRequest, Response, READY_PATH};
use crate::net::http::{header, status, Fields, RequestHead};
use marblefall_scheduler::{ClassId, DestinationId};
use std::collections::BTreeMap;

/// Path at which clients submit messages.
const SUBMIT_PATH: &str = "/api";
/// Maximum time to live, in milliseconds. A longer one is reduced to this value, so that sums with it do not overflow.
const MAX_TIME_TO_LIVE_MS: i64 = 24 * 3600 * 1000;
/// Maximum part of the time to live that is reserved for delays of the process, in milliseconds. The time to live counts
/// from when the client sent the message, and a notice counts as late 300 ms after its end. However, the process may be
/// suspended for 150 ms before it reads the message, and again before it writes the notice.
const MAX_READ_DELAY_MS: i64 = 30;
/// The reserved part is at most the time to live divided by this.
const READ_DELAY_DIVISOR: i64 = 40;
/// Maximum length of an identity or an idempotency key, in bytes.
const MAX_NAME_LEN: usize = 256;

/// The reason for which a request is not a valid message. Its text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RequestError {
    /// The id is missing or not printable.
    #[error("no {}", headers::MESSAGE_ID)]
    MissingId,
    /// The class is missing.
    #[error("no {}", headers::CLASS)]
    MissingClass,
    /// The settings have no class of this name.
    #[error("unknown class")]
    UnknownClass,
    /// The time to live is missing or not a number.
    #[error("no {} in whole milliseconds", headers::TIME_TO_LIVE_MS)]
    MissingTimeToLive,
    /// The idempotency key is not printable.
    #[error("an {} that cannot be passed on", header::IDEMPOTENCY_KEY)]
    InvalidKey,
    /// The idempotency key is missing where the class requires one.
    #[error("no {} in a class with keys", header::IDEMPOTENCY_KEY)]
    MissingKey,
    /// The envelope is missing.
    #[error("no {}", headers::ENVELOPE)]
    MissingEnvelope,
    /// The envelope does not name a destination.
    #[error("no {} in {}", headers::ENVELOPE_DESTINATION, headers::ENVELOPE)]
    MissingDestination,
    /// The settings have no destination of this number.
    #[error("unknown {}", headers::ENVELOPE_DESTINATION)]
    UnknownDestination,
}

/// A class of messages, as the platform's clients select it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformClass {
    /// Name by which clients select the class; `None` for a class that no new message may have.
    pub name: Option<String>,
    /// Whether messages must have an idempotency key, as endpoints of the class drop repeated attempts by it.
    pub requires_key: bool,
}

/// The client side of the platform's protocol.
pub struct PlatformFrontend {
    /// The classes by index.
    pub classes: Vec<PlatformClass>,
    /// Destinations by the numbers that clients use for them; `None` if these numbers are the ids of the destinations.
    pub destinations_by_number: Option<BTreeMap<u64, DestinationId>>,
}

impl Frontend for PlatformFrontend {
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest {
        match (request.method, request.path) {
            ("GET", READY_PATH) => ParsedRequest::Readiness,
            ("POST", SUBMIT_PATH) => match self.message(&request.fields, body, at.steady_ms) {
                Ok(message) => ParsedRequest::Submit(message),
                Err(error) => ParsedRequest::Respond(Response::with_reason(
                    status::BAD_REQUEST,
                    error.to_string(),
                )),
            },
            (_, READY_PATH | SUBMIT_PATH) => {
                ParsedRequest::Respond(Response::with_status(status::METHOD_NOT_ALLOWED))
            }
            _ => ParsedRequest::Respond(Response::with_status(status::NOT_FOUND)),
        }
    }

    fn one_request_at_a_time(&self) -> bool {
        true
    }

    fn departs_with_end_of_sending(&self) -> bool {
        true
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        Some(match response {
            SubmitResponse::Accepted | SubmitResponse::Finished(FinalOutcome::Delivered) => {
                Response::with_status(status::ACCEPTED)
            }
            SubmitResponse::Rejected { retry_after_ms }
            | SubmitResponse::Finished(FinalOutcome::Returned { retry_after_ms }) => {
                Response::retry_after(status::SERVICE_UNAVAILABLE, retry_after_ms)
            }
            SubmitResponse::Finished(FinalOutcome::Failed | FinalOutcome::Expired)
            | SubmitResponse::Undetermined => Response::with_status(status::INTERNAL_SERVER_ERROR),
            SubmitResponse::Conflict => Response::with_status(status::CONFLICT),
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
        let identity =
            printable_value(fields, headers::MESSAGE_ID).ok_or(RequestError::MissingId)?;
        let class = self.class(fields)?;
        let time_to_live_ms = time_to_live_ms(fields)?;
        let idempotency_key = self.idempotency_key(fields, class)?;
        let destination = self.destination(fields)?;
        Ok(Message {
            origin: Origin::Platform,
            identity: identity.to_vec(),
            idempotency_key,
            class,
            destination,
            expires_ms: now_ms + time_to_live_ms - read_delay_ms(time_to_live_ms),
            attributes: Vec::new(),
            body: body.to_vec(),
        })
    }

    fn class(&self, fields: &Fields<'_>) -> Result<ClassId, RequestError> {
        let name = fields
            .text(headers::CLASS)
            .ok_or(RequestError::MissingClass)?;
        self.classes
            .iter()
            .position(|class| class.name.as_deref() == Some(name))
            .map(ClassId)
            .ok_or(RequestError::UnknownClass)
    }

    fn idempotency_key(
        &self,
        fields: &Fields<'_>,
        class: ClassId,
    ) -> Result<Option<Vec<u8>>, RequestError> {
        if fields.get(header::IDEMPOTENCY_KEY).is_some() {
            return printable_value(fields, header::IDEMPOTENCY_KEY)
                .map(|key| Some(key.to_vec()))
                .ok_or(RequestError::InvalidKey);
        }
        let requires_key = self
            .classes
            .get(class.0)
            .is_some_and(|class| class.requires_key);
        if requires_key {
            // Without a key, endpoints could not recognize a repeated attempt.
            return Err(RequestError::MissingKey);
        }
        Ok(None)
    }

    fn destination(&self, fields: &Fields<'_>) -> Result<DestinationId, RequestError> {
        let envelope = fields
            .text(headers::ENVELOPE)
            .ok_or(RequestError::MissingEnvelope)?;
        let number = envelope
            .split([',', ';', ' '])
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| name.trim() == headers::ENVELOPE_DESTINATION)
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

/// Parses the time to live of a message, in milliseconds.
fn time_to_live_ms(fields: &Fields<'_>) -> Result<i64, RequestError> {
    let time_to_live_ms = fields
        .text(headers::TIME_TO_LIVE_MS)
        .and_then(parse_digits)
        .ok_or(RequestError::MissingTimeToLive)?;
    Ok(i64::try_from(time_to_live_ms)
        .map_or(MAX_TIME_TO_LIVE_MS, |time| time.min(MAX_TIME_TO_LIVE_MS)))
}

/// Returns the part of a time to live that may have passed before the message was read, in milliseconds.
fn read_delay_ms(time_to_live_ms: i64) -> i64 {
    (time_to_live_ms / READ_DELAY_DIVISOR).min(MAX_READ_DELAY_MS)
}

/// Returns the value of a field if it can be written unchanged into the head of an attempt and the line of a notice.
fn printable_value<'a>(fields: &Fields<'a>, name: &str) -> Option<&'a [u8]> {
    fields.get(name).filter(|text| {
        !text.is_empty() && text.len() <= MAX_NAME_LEN && text.iter().all(u8::is_ascii_graphic)
    })
}

/// Parses a number that consists of decimal digits only. Rust's parser would also accept a sign.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())?
}

#[cfg(test)]
mod tests;

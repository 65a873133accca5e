//! CloudEvents over HTTP: clients submit events and get the response with the event's final outcome; each goes on to its
//! destination as an event again. [`event`] reads and writes the events themselves.

pub mod event;

use crate::clock::ReceivedAt;
use crate::core::destination_table::DestinationTable;
use crate::core::{Disposition, FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::{Fields, RequestHead, ResponseHead};
use crate::net::pool::{AttemptOutcome, EncodedRequest};
use crate::net::response_fields::retry_after;
use event::{ContentMode, Context, EventError};
use marblefall_scheduler::{ClassId, DestinationId, Outcome, RateLimitReport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A later deadline is taken for this.
const MAX_TIME_TO_LIVE_MS: i64 = 7 * 24 * 3600 * 1000;

/// What the frontend knows of a class.
#[derive(Clone, Debug)]
pub struct EventClass {
    /// How long an event without a deadline of its own may be delivered.
    pub default_time_to_live_ms: i64,
    /// Whether its endpoints drop repeats by key, so that an event must have one.
    pub requires_key: bool,
}

/// How events are sent to a destination.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The mode in which its endpoints take them.
    pub mode: ContentMode,
    /// The path at its endpoints.
    pub path: String,
}

/// The destinations, and how events are sent to them.
#[derive(Clone, Debug, Default)]
pub struct Destinations {
    /// The destinations; the encoding of each is an index into `targets`.
    pub table: Arc<DestinationTable>,
    /// The encodings.
    pub targets: Arc<Vec<Target>>,
}

/// The client side of CloudEvents, and the encoding of their attempts.
#[derive(Clone, Debug, Default)]
pub struct CloudEventsFrontend {
    /// The path where events are submitted.
    pub path: String,
    /// The attribute that names an event's destination.
    pub destination_attribute: String,
    /// The class of each type of event.
    pub class_by_type: BTreeMap<String, ClassId>,
    /// The classes, in their order.
    pub classes: Vec<EventClass>,
    /// The destinations, which may be replaced while the frontend is in use.
    pub destinations: RefCell<Destinations>,
    /// The number that stands for a destination's name in the core.
    pub destination_number: Option<fn(&str) -> u64>,
}

impl Frontend for CloudEventsFrontend {
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest {
        match (request.method, request.path) {
            ("POST", path) if path == self.path => match self.message(&request.fields, body, at) {
                Ok(message) => ParsedRequest::Submit(message),
                Err(error) => {
                    ParsedRequest::Respond(Response::with_reason(error.status, error.reason))
                }
            },
            ("GET", "/ready") => ParsedRequest::Readiness,
            (_, path) if path == self.path || path == "/ready" => {
                ParsedRequest::Respond(Response::with_status(405))
            }
            _ => ParsedRequest::Respond(Response::with_status(404)),
        }
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        match response {
            SubmitResponse::Accepted => None,
            SubmitResponse::Rejected { retry_after_ms } => {
                Some(retry_in_whole_seconds(429, retry_after_ms))
            }
            SubmitResponse::Conflict => Some(Response::with_reason(
                409,
                "this event came before with another Idempotency-Key",
            )),
            SubmitResponse::Finished(FinalOutcome::Delivered) => Some(Response::with_status(204)),
            SubmitResponse::Finished(FinalOutcome::Returned { retry_after_ms }) => {
                Some(retry_in_whole_seconds(503, retry_after_ms))
            }
            SubmitResponse::Finished(FinalOutcome::Failed) => Some(Response::with_reason(
                502,
                "the event could not be delivered",
            )),
            SubmitResponse::Finished(FinalOutcome::Expired) => {
                Some(Response::with_reason(504, "the event's time ran out"))
            }
        }
    }
}

/// Many clients read whole seconds only; they never retry sooner than asked.
fn retry_in_whole_seconds(status: u16, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(1000).max(1).to_string();
    Response {
        status,
        fields: vec![("Retry-After", seconds)],
        ..Response::default()
    }
}

impl CloudEventsFrontend {
    fn message(
        &self,
        fields: &Fields<'_>,
        body: &[u8],
        at: ReceivedAt,
    ) -> Result<Message, EventError> {
        let (context, data) = event::decode(fields, body)?;
        let event_type = context.text("type").unwrap_or_default();
        let class = *self
            .class_by_type
            .get(event_type.as_ref())
            .ok_or_else(|| unknown("type", &event_type))?;
        let destination = self.destination_of(&context)?;
        let idempotency_key = self.idempotency_key(fields, class, &event_type)?;
        let expires_ms = self.expiry(&context, class, at)?;
        let source = context.text("source").unwrap_or_default();
        let id = context.text("id").unwrap_or_default();
        let attributes = serde_json::to_vec(&context)
            .map_err(|error| EventError::malformed(error.to_string()))?;
        Ok(Message {
            origin: Origin::CloudEvents,
            identity: identity(&source, &id),
            idempotency_key,
            class,
            destination,
            expires_ms,
            attributes,
            body: data.into_owned(),
        })
    }

    fn destination_of(&self, context: &Context) -> Result<DestinationId, EventError> {
        let attribute = &self.destination_attribute;
        let name = context
            .text(attribute)
            .ok_or_else(|| EventError::unprocessable(format!("no attribute {attribute}")))?;
        self.find_destination(&name)
            .ok_or_else(|| unknown("destination", &name))
    }

    fn find_destination(&self, name: &str) -> Option<DestinationId> {
        let number = DestinationId(self.destination_number?(name));
        let destinations = self.destinations.borrow();
        // Another name may have the same number.
        destinations
            .table
            .entry(number)
            .filter(|entry| entry.name == name)
            .map(|entry| entry.id)
    }

    fn idempotency_key(
        &self,
        fields: &Fields<'_>,
        class: ClassId,
        event_type: &str,
    ) -> Result<Option<Vec<u8>>, EventError> {
        let mut keys = fields.all("idempotency-key");
        let key = keys
            .next()
            .filter(|key| !key.is_empty())
            .map(<[u8]>::to_vec);
        if keys.next().is_some() {
            return Err(EventError::malformed("Idempotency-Key is given twice"));
        }
        let requires_key = self
            .classes
            .get(class.0)
            .is_some_and(|class| class.requires_key);
        if key.is_none() && requires_key {
            // Without it no endpoint could recognise a repeat, and one attempt that breaks would be the last.
            return Err(EventError::malformed(format!(
                "events of type {event_type:?} need an Idempotency-Key"
            )));
        }
        Ok(key)
    }

    /// The deadline, as Unix time in milliseconds on the steady clock.
    fn expiry(&self, context: &Context, class: ClassId, at: ReceivedAt) -> Result<i64, EventError> {
        match context.text("expirytime") {
            Some(text) => {
                let time: jiff::Timestamp = text
                    .parse()
                    .map_err(|_| EventError::malformed("expirytime is no RFC 3339 time"))?;
                Ok(at
                    .steady_ms_of(time.as_millisecond())
                    .min(at.steady_ms + MAX_TIME_TO_LIVE_MS))
            }
            None => {
                let class = self.classes.get(class.0);
                Ok(at.steady_ms + class.map_or(0, |class| class.default_time_to_live_ms))
            }
        }
    }

    /// The request of an attempt.
    pub fn encode_attempt<'a>(&self, message: &'a Message, address: &str) -> EncodedRequest<'a> {
        let target = self.target(message.destination);
        let context: Context = serde_json::from_slice(&message.attributes).unwrap_or_default();
        let (fields, body) = event::encode(&context, &message.body, target.mode);
        let mut head = format!("POST {} HTTP/1.1\r\nHost: {address}\r\n", target.path).into_bytes();
        for (name, value) in fields {
            head.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        if let Some(key) = &message.idempotency_key {
            head.extend(b"Idempotency-Key: ");
            head.extend(key);
            head.extend(b"\r\n");
        }
        head.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        EncodedRequest { head, body }
    }

    fn target(&self, destination: DestinationId) -> Target {
        let destinations = self.destinations.borrow();
        let encoding = destinations
            .table
            .entry(destination)
            .map(|entry| usize::from(entry.encoding));
        encoding
            .and_then(|encoding| destinations.targets.get(encoding))
            .cloned()
            .unwrap_or_default()
    }
}

fn unknown(what: &str, name: &str) -> EventError {
    EventError::unprocessable(format!("unknown {what} {name:?}"))
}

/// What makes an event the same event: its source and its id, with the length of one so that no other pair reads the
/// same.
fn identity(source: &str, id: &str) -> Vec<u8> {
    format!("{}:{source}{id}", source.len()).into_bytes()
}

/// What a response means for its attempt.
///
/// Only a rejection proves that the event was not executed; a gateway before the endpoint may respond for it after it
/// was. Other statuses from 400 on are about the event itself and would be the same each time, except for those that are
/// about the moment (408, 423, 425) or about the caller (401, 403, 407), which an operator may correct while the event
/// has time.
pub fn judge(response: &ResponseHead<'_>) -> AttemptOutcome {
    let (outcome, disposition) = match response.status {
        200..=299 => (Outcome::Delivered, Disposition::Undecided),
        429 | 503 => {
            let retry_after = retry_after(response);
            (Outcome::Rejected { retry_after }, Disposition::Undecided)
        }
        401 | 403 | 407 | 408 | 423 | 425 => (Outcome::Error, Disposition::Undecided),
        400..=499 => (Outcome::Error, Disposition::Failed),
        _ => (Outcome::Error, Disposition::Undecided),
    };
    AttemptOutcome {
        outcome,
        disposition,
        rate_limit: RateLimitReport::default(),
    }
}

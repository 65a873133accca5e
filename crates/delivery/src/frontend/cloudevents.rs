//! CloudEvents over HTTP. Clients submit events and receive the final outcome as the response. Each event is forwarded to
//! its destination, also as a CloudEvent. [`event`] decodes and encodes the events themselves.

mod attempt;
pub mod event;

pub use attempt::classify_response;

use crate::clock::ReceivedAt;
use crate::core::destination_table::DestinationTable;
use crate::core::{FinalOutcome, Message, Origin, SubmitResponse};
use crate::net::frontend::{Frontend, ParsedRequest, Response, READY_PATH};
use crate::net::http::{header, status, Fields, RequestHead};
use crate::net::pool::EncodedRequest;
use event::{attribute, ContentMode, Context, DecodedEvent, EventError};
use marblefall_scheduler::{ClassId, DestinationId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum time to live, in milliseconds. A longer one is reduced to this value.
const MAX_TIME_TO_LIVE_MS: i64 = 7 * 24 * 3600 * 1000;
const MS_PER_S: u64 = 1000;

/// The requirements and defaults for events of a class.
#[derive(Clone, Debug)]
pub struct EventClass {
    /// Time to live of an event without an expiry time, in milliseconds.
    pub default_time_to_live_ms: i64,
    /// Whether events must have an idempotency key, as endpoints of the class drop repeated attempts by it.
    pub requires_key: bool,
}

/// The form in which events are sent to a destination.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// Content mode that the endpoints of the destination support.
    pub mode: ContentMode,
    /// Path at the endpoints of the destination.
    pub path: String,
}

/// The destinations and the form in which events are sent to each.
#[derive(Clone, Debug, Default)]
pub struct Destinations {
    /// The destinations. Each refers to one of the `targets` by its `encoding`.
    pub table: Arc<DestinationTable>,
    /// The forms in which events are sent. The table's `encoding` is the index of one of them.
    pub targets: Arc<Vec<Target>>,
}

/// The client side of CloudEvents, and the encoding of attempts to forward them.
#[derive(Clone, Debug, Default)]
pub struct CloudEventsFrontend {
    /// Path at which clients submit events.
    pub path: String,
    /// Name of the attribute that names an event's destination.
    pub destination_attribute: String,
    /// Class of each type of event.
    pub class_by_type: BTreeMap<String, ClassId>,
    /// The classes by index.
    pub classes: Vec<EventClass>,
    /// The destinations, which may be replaced while the frontend is in use.
    pub destinations: RefCell<Destinations>,
    /// Function that computes the core's id of a destination from its name; `None` if there are no destinations.
    pub destination_number: Option<fn(&str) -> u64>,
}

impl Frontend for CloudEventsFrontend {
    fn parse(&self, request: &RequestHead<'_>, body: &[u8], at: ReceivedAt) -> ParsedRequest {
        match (request.method, request.path) {
            ("POST", path) if path == self.path => match self.message(&request.fields, body, at) {
                Ok(message) => ParsedRequest::Submit(message),
                Err(error) => {
                    let reason = error.to_string();
                    ParsedRequest::Respond(Response::with_reason(error.status(), reason))
                }
            },
            ("GET", READY_PATH) => ParsedRequest::Readiness,
            (_, path) if path == self.path || path == READY_PATH => {
                ParsedRequest::Respond(Response::with_status(status::METHOD_NOT_ALLOWED))
            }
            _ => ParsedRequest::Respond(Response::with_status(status::NOT_FOUND)),
        }
    }

    fn respond(&self, response: SubmitResponse) -> Option<Response> {
        match response {
            SubmitResponse::Accepted => None,
            SubmitResponse::Rejected { retry_after_ms } => Some(retry_in_full_seconds(
                status::TOO_MANY_REQUESTS,
                retry_after_ms,
            )),
            SubmitResponse::Conflict => Some(Response::with_reason(
                status::CONFLICT,
                "this event came before with another Idempotency-Key",
            )),
            SubmitResponse::Finished(outcome) => Some(final_response(outcome)),
            SubmitResponse::Undetermined => Some(Response::with_reason(
                status::INTERNAL_SERVER_ERROR,
                "the outcome is not known; the event may still be delivered",
            )),
        }
    }
}

fn final_response(outcome: FinalOutcome) -> Response {
    match outcome {
        FinalOutcome::Delivered => Response::with_status(status::NO_CONTENT),
        FinalOutcome::Returned { retry_after_ms } => {
            retry_in_full_seconds(status::SERVICE_UNAVAILABLE, retry_after_ms)
        }
        FinalOutcome::Failed => {
            Response::with_reason(status::BAD_GATEWAY, "the event could not be delivered")
        }
        FinalOutcome::Expired => {
            Response::with_reason(status::GATEWAY_TIMEOUT, "the event's time ran out")
        }
    }
}

/// Creates a response with a `Retry-After` in full seconds, rounded up, as many clients do not read decimals.
fn retry_in_full_seconds(status: u16, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1).to_string();
    Response {
        status,
        fields: vec![(header::RETRY_AFTER, seconds)],
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
        let DecodedEvent { context, data } = event::decode(fields, body)?;
        let event_type = context.text(attribute::TYPE).unwrap_or_default();
        let class = *self
            .class_by_type
            .get(event_type.as_ref())
            .ok_or_else(|| EventError::UnknownType(event_type.to_string()))?;
        let destination = self.destination_of(&context)?;
        let idempotency_key = self.idempotency_key(fields, class, &event_type)?;
        let expires_ms = self.expiry(&context, class, at)?;
        let source = context.text(attribute::SOURCE).unwrap_or_default();
        let id = context.text(attribute::ID).unwrap_or_default();
        let attributes = serde_json::to_vec(&context).map_err(EventError::NotSerializable)?;
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
            .ok_or_else(|| EventError::MissingDestination {
                attribute: attribute.clone(),
            })?;
        self.find_destination(&name)
            .ok_or_else(|| EventError::UnknownDestination(name.into_owned()))
    }

    fn find_destination(&self, name: &str) -> Option<DestinationId> {
        let id = DestinationId(self.destination_number?(name));
        let destinations = self.destinations.borrow();
        // The id is a hash of the name, and another name may have the same hash.
        destinations
            .table
            .entry(id)
            .filter(|entry| entry.name == name)
            .map(|entry| entry.id)
    }

    fn idempotency_key(
        &self,
        fields: &Fields<'_>,
        class: ClassId,
        event_type: &str,
    ) -> Result<Option<Vec<u8>>, EventError> {
        let mut keys = fields.all(header::IDEMPOTENCY_KEY);
        let key = keys
            .next()
            .filter(|key| !key.is_empty())
            .map(<[u8]>::to_vec);
        if keys.next().is_some() {
            return Err(EventError::DuplicateKey);
        }
        let requires_key = self
            .classes
            .get(class.0)
            .is_some_and(|class| class.requires_key);
        if key.is_none() && requires_key {
            // Without a key, endpoints could not recognize a repeated attempt, so a reset could not be retried.
            return Err(EventError::MissingKey {
                event_type: event_type.to_owned(),
            });
        }
        Ok(key)
    }

    /// Returns the time at which the event expires, as Unix time in milliseconds on the steady clock.
    fn expiry(&self, context: &Context, class: ClassId, at: ReceivedAt) -> Result<i64, EventError> {
        match context.text(attribute::EXPIRY_TIME) {
            Some(text) => {
                let time: jiff::Timestamp = text.parse().map_err(EventError::InvalidExpiryTime)?;
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

    /// Encodes the request of an attempt.
    pub fn encode_attempt<'a>(&self, message: &'a Message, address: &str) -> EncodedRequest<'a> {
        attempt::encode(message, &self.target(message.destination), address)
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

/// Returns the identity of an event: its source and its id. The length of the source comes first, so that different pairs
/// have different identities.
fn identity(source: &str, id: &str) -> Vec<u8> {
    format!("{}:{source}{id}", source.len()).into_bytes()
}

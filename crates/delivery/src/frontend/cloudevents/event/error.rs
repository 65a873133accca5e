//! Errors of requests that do not contain an acceptable event.

use crate::net::http::{header, status};

/// The reason for which a request does not contain an acceptable event. Its text is the body of the response.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event has a media type that is not supported, such as that of a batch.
    #[error("{0} is not taken: one event a request, in JSON or binary mode")]
    UnsupportedMediaType(String),
    /// The version of the specification is missing or not supported.
    #[error("specversion is not 1.0")]
    UnsupportedVersion,
    /// A required attribute is missing or empty.
    #[error("no attribute {0}")]
    MissingAttribute(&'static str),
    /// An attribute has an invalid name.
    #[error("{0:?} cannot name an attribute")]
    InvalidAttributeName(String),
    /// An attribute has a value that is not a string, a boolean or an integer.
    #[error("attribute {0} is no string, boolean or whole number")]
    InvalidAttributeType(String),
    /// An attribute is given twice.
    #[error("attribute {0} is given twice")]
    DuplicateAttribute(String),
    /// An attribute is not allowed in binary mode.
    #[error("ce-{0} has no place in binary mode")]
    MisplacedAttribute(String),
    /// A header field holds bytes that are not text.
    #[error("ce-{0} is not text")]
    FieldNotText(String),
    /// The percent-encoded value of a header field is not UTF-8.
    #[error("ce-{0} is not UTF-8")]
    FieldNotUtf8(String),
    /// The body of an event in structured mode is not a JSON object.
    #[error("no JSON object: {0}")]
    NotJsonObject(#[source] serde_json::Error),
    /// A member of the JSON object cannot be parsed.
    #[error("{name}: {source}")]
    InvalidMember {
        /// The member's name.
        name: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The event has data both as JSON and as base64.
    #[error("both data and data_base64")]
    DataGivenTwice,
    /// The base64 data is not a JSON string.
    #[error("data_base64 is no string")]
    Base64NotString,
    /// The base64 data cannot be decoded.
    #[error("data_base64 is no base64")]
    InvalidBase64(#[source] base64::DecodeError),
    /// The event has two idempotency keys.
    #[error("{} is given twice", header::IDEMPOTENCY_KEY)]
    DuplicateKey,
    /// The event has no idempotency key, but its class requires one.
    #[error("events of type {event_type:?} need an {}", header::IDEMPOTENCY_KEY)]
    MissingKey {
        /// The event's type.
        event_type: String,
    },
    /// The expiry time cannot be parsed.
    #[error("expirytime is no RFC 3339 time")]
    InvalidExpiryTime(#[source] jiff::Error),
    /// The attributes cannot be stored.
    #[error("{0}")]
    NotSerializable(#[source] serde_json::Error),
    /// The attribute that names the destination is missing.
    #[error("no attribute {attribute}")]
    MissingDestination {
        /// The attribute's name.
        attribute: String,
    },
    /// The settings have no class for the event's type.
    #[error("unknown type {0:?}")]
    UnknownType(String),
    /// The settings have no destination of this name.
    #[error("unknown destination {0:?}")]
    UnknownDestination(String),
}

impl EventError {
    /// Returns the status of the response: 422 for an event whose type or destination is not in the settings, 415 for an
    /// unsupported media type, and 400 for a malformed event.
    pub fn status(&self) -> u16 {
        match self {
            EventError::UnsupportedMediaType(_) => status::UNSUPPORTED_MEDIA_TYPE,
            EventError::MissingDestination { .. }
            | EventError::UnknownType(_)
            | EventError::UnknownDestination(_) => status::UNPROCESSABLE_CONTENT,
            _ => status::BAD_REQUEST,
        }
    }
}

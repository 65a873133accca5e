//! Events of CloudEvents 1.0, and the content modes in which HTTP transfers them.
//!
//! Attributes, extensions and data keep their meaning if an event is received in one mode and sent in the other.

mod binary;
mod error;
mod media_type;
mod structured;

pub use error::EventError;

use crate::net::http::{header, Fields};
use media_type::media_type;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The media type of an event in structured mode.
const STRUCTURED_MEDIA_TYPE: &str = "application/cloudevents+json";
/// Prefix of the media types of events, most of which are not supported.
const EVENT_MEDIA_TYPE_PREFIX: &str = "application/cloudevents";

/// The supported version of the specification.
const SPEC_VERSION: &str = "1.0";
/// The attributes that every event must have besides the version.
const REQUIRED_ATTRIBUTES: [&str; 3] = [attribute::ID, attribute::SOURCE, attribute::TYPE];

/// Names of attributes.
pub mod attribute {
    /// The media type of the data.
    pub const DATA_CONTENT_TYPE: &str = "datacontenttype";
    /// The time at which the event expires, as an RFC 3339 time. This attribute is an extension.
    pub const EXPIRY_TIME: &str = "expirytime";
    /// The event's id, unique to its source.
    pub const ID: &str = "id";
    /// The context in which the event happened.
    pub const SOURCE: &str = "source";
    /// The version of the specification.
    pub const SPEC_VERSION: &str = "specversion";
    /// The event's type.
    pub const TYPE: &str = "type";
}

/// The format in which the data was received, as far as the content mode defines it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DataFormat {
    /// There is no data.
    #[default]
    Absent,
    /// A JSON value.
    Json,
    /// A JSON string whose text is the data.
    Text,
    /// Bytes. In binary mode, only the content type describes them.
    Bytes,
}

/// The content mode in which HTTP transfers an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ContentMode {
    /// Attributes are header fields, and the data is the body.
    #[default]
    Binary,
    /// Attributes and data are one JSON body.
    Structured,
}

/// An event without its data. It is stored with its message, so the serialized names are fixed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Context {
    /// All attributes and extensions: strings, booleans and integers.
    pub attributes: BTreeMap<String, Value>,
    /// The format of the data.
    #[serde(rename = "form")]
    pub data_format: DataFormat,
}

/// An event that was received.
#[derive(Debug, PartialEq)]
pub struct DecodedEvent<'a> {
    /// Attributes of the event, and the format of its data.
    pub context: Context,
    /// Data of the event.
    pub data: Cow<'a, [u8]>,
}

/// An event as it is sent.
#[derive(Debug, PartialEq, Eq)]
pub struct EncodedEvent<'a> {
    /// Names and values of the header fields.
    pub fields: Vec<(String, String)>,
    /// Body of the request.
    pub body: Cow<'a, [u8]>,
}

impl Context {
    /// Returns the text of an attribute, as it is written in binary mode.
    pub fn text(&self, name: &str) -> Option<Cow<'_, str>> {
        self.attributes.get(name).map(|value| match value {
            Value::String(text) => Cow::Borrowed(text.as_str()),
            other => Cow::Owned(other.to_string()),
        })
    }

    /// Checks the version and the required attributes.
    fn validate(self) -> Result<Context, EventError> {
        if self.text(attribute::SPEC_VERSION).as_deref() != Some(SPEC_VERSION) {
            return Err(EventError::UnsupportedVersion);
        }
        let missing = REQUIRED_ATTRIBUTES
            .iter()
            .find(|name| self.text(name).is_none_or(|text| text.is_empty()));
        match missing {
            Some(name) => Err(EventError::MissingAttribute(name)),
            None => Ok(self),
        }
    }

    /// Adds an attribute. An attribute with the value null counts as absent.
    fn insert(&mut self, name: &str, value: Value) -> Result<(), EventError> {
        let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
        if name.is_empty() || !name.bytes().all(is_allowed) {
            return Err(EventError::InvalidAttributeName(name.to_owned()));
        }
        let is_i32 =
            |number: &serde_json::Number| number.as_i64().is_some_and(|n| i32::try_from(n).is_ok());
        match &value {
            Value::Null => return Ok(()),
            Value::String(_) | Value::Bool(_) => {}
            Value::Number(number) if is_i32(number) => {}
            _ => return Err(EventError::InvalidAttributeType(name.to_owned())),
        }
        match self.attributes.insert(name.to_owned(), value) {
            Some(_) => Err(EventError::DuplicateAttribute(name.to_owned())),
            None => Ok(()),
        }
    }
}

/// Decodes an event from a request.
///
/// # Errors
/// The request does not contain an acceptable event.
pub fn decode<'a>(fields: &Fields<'_>, body: &'a [u8]) -> Result<DecodedEvent<'a>, EventError> {
    let content_type = fields.text(header::CONTENT_TYPE).unwrap_or_default();
    match media_type(content_type).as_str() {
        STRUCTURED_MEDIA_TYPE => structured::decode(body),
        other if other.starts_with(EVENT_MEDIA_TYPE_PREFIX) => {
            Err(EventError::UnsupportedMediaType(other.to_owned()))
        }
        _ => binary::decode(fields, content_type, body),
    }
}

/// Encodes an event in a content mode.
pub fn encode<'a>(context: &Context, data: &'a [u8], mode: ContentMode) -> EncodedEvent<'a> {
    match mode {
        ContentMode::Structured => structured::encode(context, data),
        ContentMode::Binary => binary::encode(context, data),
    }
}

#[cfg(test)]
mod tests;

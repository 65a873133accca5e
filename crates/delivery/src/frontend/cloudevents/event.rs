//! A CloudEvent 1.0 and the two modes in which HTTP carries it.
//!
//! Attributes, extensions and data keep their meaning when an event comes in one mode and leaves in the other.

use crate::net::http::Fields;
use base64::prelude::{Engine, BASE64_STANDARD};
use percent_encoding::{percent_decode, utf8_percent_encode, AsciiSet, CONTROLS};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// What the HTTP binding percent-encodes in a header value: all but printable ASCII, and these.
const PERCENT_ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%').add(127);
/// The members of the JSON format that hold the data, which are no attributes.
const DATA: &str = "data";
const DATA_BASE64: &str = "data_base64";
const REQUIRED_ATTRIBUTES: [&str; 3] = ["id", "source", "type"];

/// The format of the data when it came, as far as its mode says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DataFormat {
    /// There is none.
    #[default]
    Absent,
    /// A JSON value.
    Json,
    /// A JSON string whose text is the data.
    Text,
    /// Bytes; in binary mode only the content type says more.
    Bytes,
}

/// How HTTP carries an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ContentMode {
    /// Attributes as header fields, the data as the body.
    #[default]
    Binary,
    /// All of it as one JSON body.
    Structured,
}

/// An event without its data. It is stored with its message: the serialized names do not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Context {
    /// All attributes and extensions: strings, booleans and whole numbers.
    pub attributes: BTreeMap<String, Value>,
    /// The format of the data.
    #[serde(rename = "form")]
    pub data_format: DataFormat,
}

/// Why a request is no event that can be accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct EventError {
    /// The status of the response.
    pub status: u16,
    /// The body of the response.
    pub reason: String,
}

impl EventError {
    /// It is malformed.
    pub fn malformed(reason: impl Into<String>) -> EventError {
        EventError {
            status: 400,
            reason: reason.into(),
        }
    }

    /// It is an event, but not one that the settings provide for.
    pub fn unprocessable(reason: impl Into<String>) -> EventError {
        EventError {
            status: 422,
            reason: reason.into(),
        }
    }

    fn unsupported_media_type(media: &str) -> EventError {
        EventError {
            status: 415,
            reason: format!("{media} is not taken: one event a request, in JSON or binary mode"),
        }
    }
}

impl Context {
    /// The text of an attribute, as binary mode has it.
    pub fn text(&self, name: &str) -> Option<Cow<'_, str>> {
        self.attributes.get(name).map(|value| match value {
            Value::String(text) => Cow::Borrowed(text.as_str()),
            other => Cow::Owned(other.to_string()),
        })
    }

    fn validate(self) -> Result<Context, EventError> {
        if self.text("specversion").as_deref() != Some("1.0") {
            return Err(EventError::malformed("specversion is not 1.0"));
        }
        match REQUIRED_ATTRIBUTES
            .iter()
            .find(|name| self.text(name).is_none_or(|text| text.is_empty()))
        {
            Some(name) => Err(EventError::malformed(format!("no attribute {name}"))),
            None => Ok(self),
        }
    }

    /// Adds an attribute.
    fn insert(&mut self, name: &str, value: Value) -> Result<(), EventError> {
        let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
        if name.is_empty() || !name.bytes().all(is_allowed) {
            return Err(EventError::malformed(format!(
                "{name:?} cannot name an attribute"
            )));
        }
        let is_whole =
            |number: &serde_json::Number| number.as_i64().is_some_and(|n| i32::try_from(n).is_ok());
        match &value {
            // An attribute that is null is absent.
            Value::Null => return Ok(()),
            Value::String(_) | Value::Bool(_) => {}
            Value::Number(number) if is_whole(number) => {}
            _ => {
                return Err(EventError::malformed(format!(
                    "attribute {name} is no string, boolean or whole number"
                )))
            }
        }
        match self.attributes.insert(name.to_owned(), value) {
            Some(_) => Err(EventError::malformed(format!(
                "attribute {name} is given twice"
            ))),
            None => Ok(()),
        }
    }
}

/// Decodes an event and its data from a request.
///
/// # Errors
/// It is no event that can be accepted.
pub fn decode<'a>(
    fields: &Fields<'_>,
    body: &'a [u8],
) -> Result<(Context, Cow<'a, [u8]>), EventError> {
    let content_type = fields.text("content-type").unwrap_or_default();
    match media_type(content_type).as_str() {
        "application/cloudevents+json" => decode_structured(body),
        other if other.starts_with("application/cloudevents") => {
            Err(EventError::unsupported_media_type(other))
        }
        _ => decode_binary(fields, content_type, body),
    }
}

fn decode_binary<'a>(
    fields: &Fields<'_>,
    content_type: &str,
    body: &'a [u8],
) -> Result<(Context, Cow<'a, [u8]>), EventError> {
    let mut context = Context::default();
    for (name, value) in fields.iter() {
        let name = name.to_ascii_lowercase();
        let Some(name) = name.strip_prefix("ce-") else {
            continue;
        };
        if is_data_member(name) || name == "datacontenttype" {
            return Err(EventError::malformed(format!(
                "ce-{name} has no place in binary mode"
            )));
        }
        let value = std::str::from_utf8(value)
            .map_err(|_| EventError::malformed(format!("ce-{name} is not text")))?;
        // Some senders put a value between quotation marks, which are not part of it.
        let unquoted = value
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .map_or_else(|| value.to_owned(), unescape);
        let text = percent_decode(unquoted.as_bytes()).decode_utf8();
        let text = text.map_err(|_| EventError::malformed(format!("ce-{name} is not UTF-8")))?;
        context.insert(name, Value::String(text.into_owned()))?;
    }
    if !content_type.is_empty() {
        context.insert("datacontenttype", Value::String(content_type.to_owned()))?;
    }
    context.data_format = if body.is_empty() {
        DataFormat::Absent
    } else {
        DataFormat::Bytes
    };
    Ok((context.validate()?, Cow::Borrowed(body)))
}

fn unescape(quoted: &str) -> String {
    let mut escaped = false;
    let is_kept = |c: &char| {
        escaped = *c == '\\' && !escaped;
        !escaped
    };
    quoted.chars().filter(is_kept).collect()
}

fn decode_structured<'a>(body: &[u8]) -> Result<(Context, Cow<'a, [u8]>), EventError> {
    let members: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)
        .map_err(|error| EventError::malformed(format!("no JSON object: {error}")))?;
    let mut context = Context::default();
    for (name, raw) in members.iter().filter(|(name, _)| !is_data_member(name)) {
        let value = serde_json::from_str(raw.get())
            .map_err(|error| EventError::malformed(format!("{name}: {error}")))?;
        context.insert(name, value)?;
    }
    let given = |name: &str| members.get(name).filter(|raw| raw.get() != "null");
    let data = match (given(DATA), given(DATA_BASE64)) {
        (Some(_), Some(_)) => return Err(EventError::malformed("both data and data_base64")),
        (None, None) => Vec::new(),
        (None, Some(raw)) => {
            context.data_format = DataFormat::Bytes;
            decode_base64(raw)?
        }
        (Some(raw), None) => decode_data(raw, &mut context),
    };
    Ok((context.validate()?, Cow::Owned(data)))
}

fn decode_base64(raw: &RawValue) -> Result<Vec<u8>, EventError> {
    let text: String = serde_json::from_str(raw.get())
        .map_err(|_| EventError::malformed("data_base64 is no string"))?;
    BASE64_STANDARD
        .decode(text)
        .map_err(|_| EventError::malformed("data_base64 is no base64"))
}

/// Data without a declared type is JSON; binary mode must declare it.
fn decode_data(raw: &RawValue, context: &mut Context) -> Vec<u8> {
    let declared_json = context
        .text("datacontenttype")
        .is_none_or(|content_type| is_json(&content_type));
    let text = serde_json::from_str::<String>(raw.get())
        .ok()
        .filter(|_| !declared_json);
    match text {
        Some(text) => {
            context.data_format = DataFormat::Text;
            text.into_bytes()
        }
        None => {
            context.data_format = DataFormat::Json;
            raw.get().as_bytes().to_vec()
        }
    }
}

fn is_data_member(name: &str) -> bool {
    name == DATA || name == DATA_BASE64
}

fn is_json(content_type: &str) -> bool {
    let media_type = media_type(content_type);
    media_type.ends_with("/json") || media_type.ends_with("+json")
}

/// A content type without its parameters.
fn media_type(content_type: &str) -> String {
    content_type
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase()
}

/// Encodes an event: the header fields and the body that carry it in a mode.
pub fn encode<'a>(
    context: &Context,
    data: &'a [u8],
    mode: ContentMode,
) -> (Vec<(String, String)>, Cow<'a, [u8]>) {
    match mode {
        ContentMode::Structured => {
            let content_type = (
                "Content-Type".to_owned(),
                "application/cloudevents+json; charset=utf-8".to_owned(),
            );
            let body = encode_structured(context, data);
            (vec![content_type], Cow::Owned(body))
        }
        ContentMode::Binary => (binary_fields(context), Cow::Borrowed(data)),
    }
}

fn binary_fields(context: &Context) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    for name in context
        .attributes
        .keys()
        .filter(|name| *name != "datacontenttype")
    {
        let text = context.text(name).unwrap_or_default();
        fields.push((
            format!("ce-{name}"),
            utf8_percent_encode(&text, PERCENT_ENCODED).to_string(),
        ));
    }
    let implied =
        (context.data_format == DataFormat::Json).then_some(Cow::Borrowed("application/json"));
    if let Some(content_type) = context.text("datacontenttype").or(implied) {
        // It came in JSON, where any character may stand; in a header it must not end the line.
        let content_type = content_type.chars().filter(|c| !c.is_control()).collect();
        fields.push(("Content-Type".to_owned(), content_type));
    }
    fields
}

fn encode_structured(context: &Context, data: &[u8]) -> Vec<u8> {
    let mut members = BTreeMap::new();
    for (name, value) in &context.attributes {
        let value = raw_value(value.to_string());
        members.extend(value.map(|value| (name.as_str(), value)));
    }
    members.extend(data_member(context, data));
    serde_json::to_vec(&members).unwrap_or_default()
}

/// The member that holds the data. In binary mode only the content type says what the bytes are; what it does not
/// explain stays bytes.
fn data_member(context: &Context, data: &[u8]) -> Option<(&'static str, Box<RawValue>)> {
    let text = std::str::from_utf8(data).ok();
    let content_type = context.text("datacontenttype").unwrap_or_default();
    let declares = |is_declared: fn(&str) -> bool| {
        context.data_format == DataFormat::Bytes && is_declared(&content_type)
    };
    let as_json = text
        .filter(|_| context.data_format == DataFormat::Json || declares(is_json))
        .and_then(|text| raw_value(text.trim().to_owned()));
    let as_text =
        text.filter(|_| context.data_format == DataFormat::Text || declares(is_utf8_text));
    match (context.data_format, as_json, as_text) {
        (DataFormat::Absent, ..) => None,
        (_, Some(json), _) => Some((DATA, json)),
        (_, None, Some(text)) => Some((DATA, raw_value(Value::from(text).to_string())?)),
        (_, None, None) => {
            let base64 = Value::from(BASE64_STANDARD.encode(data));
            Some((DATA_BASE64, raw_value(base64.to_string())?))
        }
    }
}

fn is_utf8_text(content_type: &str) -> bool {
    let content_type = content_type.to_ascii_lowercase();
    let has_other_charset = content_type.contains("charset") && !content_type.contains("utf-8");
    content_type.starts_with("text/") && !has_other_charset
}

fn raw_value(json: String) -> Option<Box<RawValue>> {
    RawValue::from_string(json).ok()
}

#[cfg(test)]
mod tests;

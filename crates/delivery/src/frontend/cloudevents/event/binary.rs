//! Binary content mode: attributes as header fields, the data as the body.

use super::structured::is_data_member;
use super::{attribute, Context, DataFormat, DecodedEvent, EncodedEvent, EventError};
use crate::net::http::{header, Fields};
use percent_encoding::{percent_decode, utf8_percent_encode, AsciiSet, CONTROLS};
use serde_json::Value;
use std::borrow::Cow;

/// ASCII characters that the HTTP binding percent-encodes in a header value. Non-ASCII characters are always
/// encoded.
const PERCENT_ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%').add(0x7f);
/// Prefix of header fields that hold attributes.
const FIELD_PREFIX: &str = "ce-";
/// The content type of data that was a JSON value in structured mode and has no declared type.
const IMPLIED_JSON_TYPE: &str = "application/json";

/// Decodes an event whose attributes are header fields.
pub(super) fn decode<'a>(
    fields: &Fields<'_>,
    content_type: &str,
    body: &'a [u8],
) -> Result<DecodedEvent<'a>, EventError> {
    let mut context = Context::default();
    for (name, value) in fields.iter() {
        let name = name.to_ascii_lowercase();
        let Some(name) = name.strip_prefix(FIELD_PREFIX) else {
            continue;
        };
        if is_data_member(name) || name == attribute::DATA_CONTENT_TYPE {
            return Err(EventError::MisplacedAttribute(name.to_owned()));
        }
        context.insert(name, Value::String(decode_value(name, value)?))?;
    }
    if !content_type.is_empty() {
        let content_type = Value::String(content_type.to_owned());
        context.insert(attribute::DATA_CONTENT_TYPE, content_type)?;
    }
    context.data_format = if body.is_empty() {
        DataFormat::Absent
    } else {
        DataFormat::Bytes
    };
    Ok(DecodedEvent {
        context: context.validate()?,
        data: Cow::Borrowed(body),
    })
}

/// Decodes the percent-encoded value of a header field. Some senders put the value between quotation marks.
fn decode_value(name: &str, value: &[u8]) -> Result<String, EventError> {
    let value =
        std::str::from_utf8(value).map_err(|_| EventError::FieldNotText(name.to_owned()))?;
    let unquoted = value
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .map_or_else(|| value.to_owned(), unescape);
    percent_decode(unquoted.as_bytes())
        .decode_utf8()
        .map(Cow::into_owned)
        .map_err(|_| EventError::FieldNotUtf8(name.to_owned()))
}

/// Removes the backslashes that escape characters of a quoted string.
fn unescape(quoted: &str) -> String {
    let mut is_escape = false;
    let without_escapes = |c: &char| {
        is_escape = *c == '\\' && !is_escape;
        !is_escape
    };
    quoted.chars().filter(without_escapes).collect()
}

/// Encodes an event with its attributes as header fields.
pub(super) fn encode<'a>(context: &Context, data: &'a [u8]) -> EncodedEvent<'a> {
    let mut fields: Vec<(String, String)> = context
        .attributes
        .keys()
        .filter(|name| *name != attribute::DATA_CONTENT_TYPE)
        .map(|name| {
            let text = context.text(name).unwrap_or_default();
            let value = utf8_percent_encode(&text, PERCENT_ENCODED).to_string();
            (format!("{FIELD_PREFIX}{name}"), value)
        })
        .collect();
    fields.extend(content_type_field(context));
    EncodedEvent {
        fields,
        body: Cow::Borrowed(data),
    }
}

fn content_type_field(context: &Context) -> Option<(String, String)> {
    let implied =
        (context.data_format == DataFormat::Json).then_some(Cow::Borrowed(IMPLIED_JSON_TYPE));
    let content_type = context.text(attribute::DATA_CONTENT_TYPE).or(implied)?;
    // In JSON, the content type may contain any character. In a header field, it must not end the line.
    let content_type = content_type.chars().filter(|c| !c.is_control()).collect();
    Some((header::CONTENT_TYPE.to_owned(), content_type))
}

//! Structured content mode: attributes and data as one JSON object.

use super::media_type::{is_json, is_utf8_text};
use super::{attribute, Context, DataFormat, DecodedEvent, EncodedEvent, EventError};
use crate::net::http::header;
use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The content type of an event in structured mode.
const CONTENT_TYPE: &str = "application/cloudevents+json; charset=utf-8";
/// Name of the member that holds data as a JSON value.
const DATA: &str = "data";
/// Name of the member that holds data as base64.
const DATA_BASE64: &str = "data_base64";
const NULL: &str = "null";

/// Returns whether a member of the JSON object holds data rather than an attribute.
pub(super) fn is_data_member(name: &str) -> bool {
    name == DATA || name == DATA_BASE64
}

/// Decodes an event from a JSON object.
pub(super) fn decode(body: &[u8]) -> Result<DecodedEvent<'static>, EventError> {
    let members: BTreeMap<String, Box<RawValue>> =
        serde_json::from_slice(body).map_err(EventError::NotJsonObject)?;
    let mut context = Context::default();
    for (name, raw) in members.iter().filter(|(name, _)| !is_data_member(name)) {
        let value =
            serde_json::from_str(raw.get()).map_err(|source| EventError::InvalidMember {
                name: name.clone(),
                source,
            })?;
        context.insert(name, value)?;
    }
    let non_null_member = |name: &str| members.get(name).filter(|raw| raw.get() != NULL);
    let data = match (non_null_member(DATA), non_null_member(DATA_BASE64)) {
        (Some(_), Some(_)) => return Err(EventError::DataGivenTwice),
        (None, None) => Vec::new(),
        (None, Some(raw)) => {
            context.data_format = DataFormat::Bytes;
            decode_base64(raw)?
        }
        (Some(raw), None) => decode_data(raw, &mut context),
    };
    Ok(DecodedEvent {
        context: context.validate()?,
        data: Cow::Owned(data),
    })
}

fn decode_base64(raw: &RawValue) -> Result<Vec<u8>, EventError> {
    let text: String = serde_json::from_str(raw.get()).map_err(|_| EventError::Base64NotString)?;
    BASE64_STANDARD
        .decode(text)
        .map_err(EventError::InvalidBase64)
}

/// Decodes the data member. A string is text if a content type other than JSON is declared; everything else is JSON.
fn decode_data(raw: &RawValue, context: &mut Context) -> Vec<u8> {
    let is_declared_json = context
        .text(attribute::DATA_CONTENT_TYPE)
        .is_none_or(|content_type| is_json(&content_type));
    let text = serde_json::from_str::<String>(raw.get())
        .ok()
        .filter(|_| !is_declared_json);
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

/// Encodes an event as a JSON object.
pub(super) fn encode(context: &Context, data: &[u8]) -> EncodedEvent<'static> {
    let content_type = (header::CONTENT_TYPE.to_owned(), CONTENT_TYPE.to_owned());
    EncodedEvent {
        fields: vec![content_type],
        body: Cow::Owned(encode_body(context, data)),
    }
}

fn encode_body(context: &Context, data: &[u8]) -> Vec<u8> {
    let mut members = BTreeMap::new();
    for (name, value) in &context.attributes {
        let value = raw_value(value.to_string());
        members.extend(value.map(|value| (name.as_str(), value)));
    }
    members.extend(data_member(context, data));
    serde_json::to_vec(&members).unwrap_or_default()
}

/// Returns the member that holds the data. Data that was received in binary mode is encoded by its content type: JSON and
/// UTF-8 text as such if they are valid, and everything else as base64.
fn data_member(context: &Context, data: &[u8]) -> Option<(&'static str, Box<RawValue>)> {
    let text = std::str::from_utf8(data).ok();
    let content_type = context
        .text(attribute::DATA_CONTENT_TYPE)
        .unwrap_or_default();
    let is_declared_as = |matches: fn(&str) -> bool| {
        context.data_format == DataFormat::Bytes && matches(&content_type)
    };
    let as_json = text
        .filter(|_| context.data_format == DataFormat::Json || is_declared_as(is_json))
        .and_then(|text| raw_value(text.trim().to_owned()));
    let as_text =
        text.filter(|_| context.data_format == DataFormat::Text || is_declared_as(is_utf8_text));
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

/// Returns a JSON text as a raw value, or `None` if the text is malformed.
fn raw_value(json: String) -> Option<Box<RawValue>> {
    RawValue::from_string(json).ok()
}

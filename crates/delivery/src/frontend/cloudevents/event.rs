//! A CloudEvent 1.0 and the two modes in which HTTP carries it. Attributes, extensions and data keep their
//! meaning when an event comes in one mode and leaves in the other.

use crate::net::http::Fields;
use base64::prelude::{Engine, BASE64_STANDARD};
use percent_encoding::{percent_decode, utf8_percent_encode, AsciiSet, CONTROLS};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// What the HTTP binding has percent-encoded in a header value: all but printable ASCII, and these.
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%').add(127);
/// Names that are no attributes in the JSON format.
const DATA: [&str; 2] = ["data", "data_base64"];
const REQUIRED: [&str; 3] = ["id", "source", "type"];

/// What the data was when it came, as far as its mode told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// There is none.
    #[default]
    Absent,
    /// A JSON value.
    Json,
    /// A JSON string whose text is the data.
    Text,
    /// Bytes; in binary mode only the content type tells more.
    Bytes,
}

/// How an event travels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Attributes as header fields, the data as the body.
    #[default]
    Binary,
    /// All of it as one JSON body.
    Structured,
}

/// An event without its data.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Context {
    /// All attributes and extensions: strings, booleans and whole numbers.
    pub attributes: BTreeMap<String, Value>,
    /// What the data is.
    pub form: Form,
}

/// Why a request is no event, and the status that says so.
pub type Fault = (u16, String);

fn bad(why: impl Into<String>) -> Fault {
    (400, why.into())
}

impl Context {
    /// The text of an attribute, as binary mode has it.
    pub fn text(&self, name: &str) -> Option<Cow<'_, str>> {
        self.attributes.get(name).map(|value| match value {
            Value::String(text) => Cow::Borrowed(text.as_str()),
            other => Cow::Owned(other.to_string()),
        })
    }

    fn checked(self) -> Result<Context, Fault> {
        if self.text("specversion").as_deref() != Some("1.0") {
            return Err(bad("specversion is not 1.0"));
        }
        match REQUIRED
            .iter()
            .find(|name| self.text(name).is_none_or(|text| text.is_empty()))
        {
            Some(name) => Err(bad(format!("no attribute {name}"))),
            None => Ok(self),
        }
    }

    fn set(&mut self, name: &str, value: Value) -> Result<(), Fault> {
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
        if name.is_empty() || !name.bytes().all(plain) {
            return Err(bad(format!("{name:?} cannot name an attribute")));
        }
        let whole =
            |number: &serde_json::Number| number.as_i64().is_some_and(|n| i32::try_from(n).is_ok());
        match &value {
            // An attribute that is null is absent.
            Value::Null => return Ok(()),
            Value::String(_) | Value::Bool(_) => {}
            Value::Number(number) if whole(number) => {}
            _ => {
                return Err(bad(format!(
                    "attribute {name} is no string, boolean or whole number"
                )))
            }
        }
        match self.attributes.insert(name.to_owned(), value) {
            Some(_) => Err(bad(format!("attribute {name} is given twice"))),
            None => Ok(()),
        }
    }
}

/// Reads an event from a request, and its data.
pub fn read<'a>(fields: &Fields<'_>, body: &'a [u8]) -> Result<(Context, Cow<'a, [u8]>), Fault> {
    let content = fields.text("content-type").unwrap_or_default();
    let media = content
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase();
    match media.as_str() {
        "application/cloudevents+json" => structured(body),
        other if other.starts_with("application/cloudevents") => Err((
            415,
            format!("{other} is not taken: one event a request, in JSON or binary mode"),
        )),
        _ => binary(fields, content, body),
    }
}

fn binary<'a>(
    fields: &Fields<'_>,
    content: &str,
    body: &'a [u8],
) -> Result<(Context, Cow<'a, [u8]>), Fault> {
    let mut context = Context::default();
    for (name, value) in fields.iter() {
        let name = name.to_ascii_lowercase();
        let Some(name) = name.strip_prefix("ce-") else {
            continue;
        };
        if DATA.contains(&name) || name == "datacontenttype" {
            return Err(bad(format!("ce-{name} has no place in binary mode")));
        }
        let value =
            std::str::from_utf8(value).map_err(|_| bad(format!("ce-{name} is not text")))?;
        // Some senders put a value between quotation marks, which are not part of it.
        let bare = value
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .map(unescape);
        let bare = bare.unwrap_or_else(|| value.to_owned());
        let text = percent_decode(bare.as_bytes()).decode_utf8();
        let text = text.map_err(|_| bad(format!("ce-{name} is not UTF-8")))?;
        context.set(name, Value::String(text.into_owned()))?;
    }
    if !content.is_empty() {
        context.set("datacontenttype", Value::String(content.to_owned()))?;
    }
    context.form = if body.is_empty() {
        Form::Absent
    } else {
        Form::Bytes
    };
    Ok((context.checked()?, Cow::Borrowed(body)))
}

fn unescape(quoted: &str) -> String {
    let mut escaped = false;
    let keep = |c: &char| {
        escaped = *c == '\\' && !escaped;
        !escaped
    };
    quoted.chars().filter(keep).collect()
}

fn structured<'a>(body: &[u8]) -> Result<(Context, Cow<'a, [u8]>), Fault> {
    let members: BTreeMap<String, Box<RawValue>> =
        serde_json::from_slice(body).map_err(|error| bad(format!("no JSON object: {error}")))?;
    let mut context = Context::default();
    for (name, raw) in members
        .iter()
        .filter(|(name, _)| !DATA.contains(&name.as_str()))
    {
        let value =
            serde_json::from_str(raw.get()).map_err(|error| bad(format!("{name}: {error}")))?;
        context.set(name, value)?;
    }
    let given = |name: &str| members.get(name).filter(|raw| raw.get() != "null");
    let data = match (given(DATA[0]), given(DATA[1])) {
        (Some(_), Some(_)) => return Err(bad("both data and data_base64")),
        (None, None) => Vec::new(),
        (None, Some(raw)) => {
            context.form = Form::Bytes;
            let text: String =
                serde_json::from_str(raw.get()).map_err(|_| bad("data_base64 is no string"))?;
            BASE64_STANDARD
                .decode(text)
                .map_err(|_| bad("data_base64 is no base64"))?
        }
        (Some(raw), None) => {
            let json = context
                .text("datacontenttype")
                .is_none_or(|media| is_json(&media));
            let text = serde_json::from_str::<String>(raw.get())
                .ok()
                .filter(|_| !json);
            context.form = if text.is_some() {
                Form::Text
            } else {
                Form::Json
            };
            // Data without a declared type is JSON; binary mode must say so.
            text.map_or_else(|| raw.get().as_bytes().to_vec(), String::into_bytes)
        }
    };
    Ok((context.checked()?, Cow::Owned(data)))
}

fn is_json(content: &str) -> bool {
    let media = content
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_lowercase();
    media.ends_with("/json") || media.ends_with("+json")
}

/// The header fields and the body that carry an event in a mode.
pub fn write<'a>(
    context: &Context,
    data: &'a [u8],
    mode: Mode,
) -> (Vec<(String, String)>, Cow<'a, [u8]>) {
    let content_type = (
        "Content-Type".to_owned(),
        "application/cloudevents+json; charset=utf-8".to_owned(),
    );
    match mode {
        Mode::Structured => (vec![content_type], Cow::Owned(envelope(context, data))),
        Mode::Binary => {
            let mut fields = Vec::new();
            for name in context
                .attributes
                .keys()
                .filter(|name| *name != "datacontenttype")
            {
                let text = context.text(name).unwrap_or_default();
                fields.push((
                    format!("ce-{name}"),
                    utf8_percent_encode(&text, ENCODED).to_string(),
                ));
            }
            let implied = (context.form == Form::Json).then_some(Cow::Borrowed("application/json"));
            if let Some(media) = context.text("datacontenttype").or(implied) {
                // It came in JSON, where any character may stand; in a header it must not end the line.
                let media = media.chars().filter(|c| !c.is_control()).collect();
                fields.push(("Content-Type".to_owned(), media));
            }
            (fields, Cow::Borrowed(data))
        }
    }
}

fn envelope(context: &Context, data: &[u8]) -> Vec<u8> {
    let mut members = BTreeMap::new();
    let raw = |text: String| RawValue::from_string(text).ok();
    for (name, value) in &context.attributes {
        members.extend(raw(value.to_string()).map(|value| (name.as_str(), value)));
    }
    let text = std::str::from_utf8(data).ok();
    let media = context.text("datacontenttype").unwrap_or_default();
    // In binary mode only the content type says what the bytes are; what it does not explain stays bytes.
    let plain = media.to_ascii_lowercase();
    let is_text =
        plain.starts_with("text/") && (!plain.contains("charset") || plain.contains("utf-8"));
    let as_json = text
        .filter(|_| context.form == Form::Json || context.form == Form::Bytes && is_json(&media));
    let as_text =
        text.filter(|_| context.form == Form::Text || context.form == Form::Bytes && is_text);
    let json = as_json.and_then(|text| raw(text.trim().to_owned()));
    let data = match (context.form, json, as_text) {
        (Form::Absent, ..) => None,
        (_, Some(json), _) => Some((DATA[0], Some(json))),
        (_, None, Some(text)) => Some((DATA[0], raw(Value::from(text).to_string()))),
        (_, None, None) => Some((
            DATA[1],
            raw(Value::from(BASE64_STANDARD.encode(data)).to_string()),
        )),
    };
    members.extend(data.and_then(|(name, value)| Some((name, value?))));
    serde_json::to_vec(&members).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::http;

    fn parse(head: &str, body: &[u8]) -> Result<(Context, Vec<u8>), Fault> {
        let head = format!("POST /events HTTP/1.1\r\n{head}\r\n\r\n");
        let request = http::request(head.as_bytes()).unwrap();
        read(&request.fields, body).map(|(context, data)| (context, data.into_owned()))
    }

    /// Writes an event in a mode and reads what was written.
    fn pass(context: &Context, data: &[u8], mode: Mode) -> (Context, Vec<u8>) {
        let (fields, body) = write(context, data, mode);
        let lines: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("{name}: {value}"))
            .collect();
        parse(&lines.join("\r\n"), &body).unwrap()
    }

    const JSON: &str = "Content-Type: application/cloudevents+json";

    #[test]
    fn a_structured_event_keeps_its_meaning_in_binary_mode_and_back() {
        let body = r#"{"specversion":"1.0","id":"a b%\"ä€","source":"/s","type":"t","flag":true,"count":-7,
            "gone":null,"data":{"n":1.50,"big":12345678901234567890123}}"#;
        let (context, data) = parse(JSON, body.as_bytes()).unwrap();
        assert_eq!(
            data, br#"{"n":1.50,"big":12345678901234567890123}"#,
            "JSON is kept to the letter"
        );
        let (fields, _) = write(&context, &data, Mode::Binary);
        let field = |name: &str| {
            fields
                .iter()
                .find(|(have, _)| have == name)
                .map(|(_, value)| value.as_str())
        };
        assert_eq!(field("ce-id"), Some("a%20b%25%22%C3%A4%E2%82%AC"));
        assert_eq!(
            (field("ce-flag"), field("ce-count"), field("ce-gone")),
            (Some("true"), Some("-7"), None)
        );
        assert_eq!(
            field("Content-Type"),
            Some("application/json"),
            "data of no declared type is JSON"
        );
        let (binary, same) = pass(&context, &data, Mode::Binary);
        assert_eq!((binary.text("id"), &same), (context.text("id"), &data));
        let (back, again) = pass(&binary, &same, Mode::Structured);
        assert_eq!((back.text("count").as_deref(), again), (Some("-7"), data));
    }

    #[test]
    fn data_of_every_kind_survives_a_change_of_mode() {
        let cases: [(&str, &[u8]); 5] = [
            ("application/json", b"[1, 2]"),
            ("application/json", b"not json \xff"),
            ("text/plain", "grüß \"dich\"\n".as_bytes()),
            ("application/octet-stream", b"\x00\xff\x01"),
            ("application/octet-stream", b""),
        ];
        for (media, data) in cases {
            let head = format!(
                "ce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\nce-type: t\r\nContent-Type: {media}"
            );
            let (context, had) = parse(&head, data).unwrap();
            let (there, carried) = pass(&context, &had, Mode::Structured);
            let (back, same) = pass(&there, &carried, Mode::Binary);
            assert_eq!(
                (back.attributes, same.as_slice()),
                (context.attributes, data),
                "{media}"
            );
        }
        let body = r#"{"specversion":"1.0","id":"1","source":"s","type":"t","datacontenttype":"image/png","data_base64":"AP8B"}"#;
        let (context, data) = parse(JSON, body.as_bytes()).unwrap();
        assert_eq!(data, b"\x00\xff\x01");
        assert_eq!(
            pass(&context, &data, Mode::Structured),
            (context.clone(), data.clone())
        );
    }

    #[test]
    fn what_is_no_event_is_told_why() {
        let whole = "ce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\nce-type: t";
        assert!(parse(whole, b"").is_ok());
        for (head, body, status) in [
            (
                "Content-Type: application/cloudevents-batch+json",
                "[]",
                415,
            ),
            ("Content-Type: application/cloudevents+xml", "<a/>", 415),
            ("ce-id: 1\r\nce-source: s\r\nce-type: t", "", 400),
            (
                "ce-specversion: 0.3\r\nce-id: 1\r\nce-source: s\r\nce-type: t",
                "",
                400,
            ),
            ("ce-specversion: 1.0\r\nce-source: s\r\nce-type: t", "", 400),
            (
                "ce-specversion: 1.0\r\nce-id: %ff\r\nce-source: s\r\nce-type: t",
                "",
                400,
            ),
            (JSON, "{", 400),
            (
                JSON,
                r#"{"specversion":"1.0","id":"1","source":"s","type":"t","Bad":"x"}"#,
                400,
            ),
            (
                JSON,
                r#"{"specversion":"1.0","id":"1","source":"s","type":"t","ext":{}}"#,
                400,
            ),
            (
                JSON,
                r#"{"specversion":"1.0","id":"1","source":"s","type":"t","data":1,"data_base64":""}"#,
                400,
            ),
        ] {
            assert_eq!(
                parse(head, body.as_bytes()).unwrap_err().0,
                status,
                "{head} {body}"
            );
        }
        assert!(
            parse(&format!("{whole}\r\nce-id: 2"), b"").is_err(),
            "an attribute given twice"
        );
    }

    #[test]
    fn an_attribute_cannot_add_a_header_line() {
        let body = r#"{"specversion":"1.0","id":"1\r\nX: y","source":"s","type":"t","datacontenttype":"a/b\r\nX: y"}"#;
        let (context, data) = parse(JSON, body.as_bytes()).unwrap();
        let (fields, _) = write(&context, &data, Mode::Binary);
        assert!(fields
            .iter()
            .all(|(_, value)| !value.contains(['\r', '\n'])));
    }
}

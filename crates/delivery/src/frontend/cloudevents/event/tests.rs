//! Decoding and encoding of events in both content modes.

use super::*;
use crate::net::http;

fn parse(head: &str, body: &[u8]) -> Result<(Context, Vec<u8>), EventError> {
    let head = format!("POST /events HTTP/1.1\r\n{head}\r\n\r\n");
    let request = http::parse_request(head.as_bytes()).unwrap();
    decode(&request.fields, body).map(|event| (event.context, event.data.into_owned()))
}

/// Encodes an event in a content mode and decodes it again.
fn round_trip(context: &Context, data: &[u8], mode: ContentMode) -> (Context, Vec<u8>) {
    let EncodedEvent { fields, body } = encode(context, data, mode);
    let lines: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    parse(&lines.join("\r\n"), &body).unwrap()
}

const JSON: &str = "Content-Type: application/cloudevents+json";

#[test]
fn structured_event_survives_binary_mode_and_back() {
    let body = r#"{"specversion":"1.0","id":"a b%\"ä€","source":"/s","type":"t","flag":true,"count":-7,
        "gone":null,"data":{"n":1.50,"big":12345678901234567890123}}"#;
    let (context, data) = parse(JSON, body.as_bytes()).unwrap();
    assert_eq!(
        data, br#"{"n":1.50,"big":12345678901234567890123}"#,
        "JSON data is unchanged"
    );
    let fields = encode(&context, &data, ContentMode::Binary).fields;
    let field = |name: &str| {
        fields
            .iter()
            .find(|(field, _)| field == name)
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
        "data without a declared type is JSON"
    );
    let (binary, binary_data) = round_trip(&context, &data, ContentMode::Binary);
    assert_eq!(
        (binary.text("id"), &binary_data),
        (context.text("id"), &data)
    );
    let (back, back_data) = round_trip(&binary, &binary_data, ContentMode::Structured);
    assert_eq!(
        (back.text("count").as_deref(), back_data),
        (Some("-7"), data)
    );
}

#[test]
fn data_of_every_format_survives_a_mode_change() {
    let cases: [(&str, &[u8]); 5] = [
        ("application/json", b"[1, 2]"),
        ("application/json", b"not json \xff"),
        ("text/plain", "grüß \"dich\"\n".as_bytes()),
        ("application/octet-stream", b"\x00\xff\x01"),
        ("application/octet-stream", b""),
    ];
    for (content_type, data) in cases {
        let head = format!(
            "ce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\nce-type: t\r\nContent-Type: {content_type}"
        );
        let (context, received) = parse(&head, data).unwrap();
        let (structured, structured_data) =
            round_trip(&context, &received, ContentMode::Structured);
        let (back, back_data) = round_trip(&structured, &structured_data, ContentMode::Binary);
        assert_eq!(
            (back.attributes, back_data.as_slice()),
            (context.attributes, data),
            "{content_type}"
        );
    }
    let body = r#"{"specversion":"1.0","id":"1","source":"s","type":"t","datacontenttype":"image/png","data_base64":"AP8B"}"#;
    let (context, data) = parse(JSON, body.as_bytes()).unwrap();
    assert_eq!(data, b"\x00\xff\x01");
    assert_eq!(
        round_trip(&context, &data, ContentMode::Structured),
        (context.clone(), data.clone())
    );
}

#[test]
fn invalid_event_is_rejected_with_status_400_or_415() {
    let complete = "ce-specversion: 1.0\r\nce-id: 1\r\nce-source: s\r\nce-type: t";
    assert!(parse(complete, b"").is_ok());
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
            parse(head, body.as_bytes()).unwrap_err().status(),
            status,
            "{head} {body}"
        );
    }
    assert!(
        parse(&format!("{complete}\r\nce-id: 2"), b"").is_err(),
        "an attribute that is given twice must be an error"
    );
}

#[test]
fn attribute_values_cannot_add_header_lines() {
    let body = r#"{"specversion":"1.0","id":"1\r\nX: y","source":"s","type":"t","datacontenttype":"a/b\r\nX: y"}"#;
    let (context, data) = parse(JSON, body.as_bytes()).unwrap();
    let fields = encode(&context, &data, ContentMode::Binary).fields;
    assert!(fields
        .iter()
        .all(|(_, value)| !value.contains(['\r', '\n'])));
}

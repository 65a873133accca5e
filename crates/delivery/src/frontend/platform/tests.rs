//! Parsing of clients' requests, and encoding of attempts and notices.

use super::*;
use crate::net::http;

fn frontend() -> PlatformFrontend {
    PlatformFrontend {
        classes: vec![PlatformClass {
            name: Some("status".to_owned()),
            requires_key: false,
        }],
        destinations_by_number: None,
    }
}

/// Returns the time from when a message is read until it expires, in milliseconds, given its time to live.
fn remaining_ms(time_to_live_ms: i64) -> i64 {
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: m\r\nX-Call-Class: status\r\nX-Budget-Ms: {time_to_live_ms}\r\n\
         X-Envelope: dest=1\r\n\r\n"
    );
    let request = http::parse_request(head.as_bytes()).unwrap();
    let at = ReceivedAt {
        steady_ms: 1_000_000,
        wall_ms: 5_000_000,
    };
    let ParsedRequest::Submit(message) = frontend().parse(&request, b"", at) else {
        panic!("not a message: {head}");
    };
    message.expires_ms - at.steady_ms
}

/// The time to live counts from when the client sent the message. The process may be suspended for 150 ms before it reads
/// the message, and again before it writes the notice, which is late 300 ms after the end of the time to live.
#[test]
fn time_to_live_allows_for_delayed_reading() {
    for (time_to_live_ms, expected_ms) in [(20_000, 19_970), (1000, 975), (40, 39), (0, 0)] {
        assert_eq!(
            remaining_ms(time_to_live_ms),
            expected_ms,
            "time to live of {time_to_live_ms} ms"
        );
    }
}

#[test]
fn attempt_request_has_the_platform_header_fields() {
    let message = Message {
        origin: Origin::Platform,
        identity: b"m-1".to_vec(),
        idempotency_key: Some(b"k-1".to_vec()),
        class: ClassId(0),
        destination: DestinationId(1),
        expires_ms: 0,
        attributes: Vec::new(),
        body: b"ab".to_vec(),
    };
    let request = encode_attempt(&message, "127.0.0.1:80", 900);
    assert_eq!(
        String::from_utf8(request.head).unwrap(),
        "POST /receive HTTP/1.1\r\nHost: 127.0.0.1:80\r\nX-Call-Id: m-1\r\nIdempotency-Key: k-1\r\n\
         X-Budget-Ms: 900\r\nContent-Length: 2\r\n\r\n"
    );
    assert_eq!(&*request.body, b"ab");
}

#[test]
fn notice_is_one_line_of_json() {
    let returned = FinalOutcome::Returned {
        retry_after_ms: 250,
    };
    assert_eq!(
        encode_notice(b"m\"1", returned),
        "{\"id\":\"m\\\"1\",\"state\":\"returned\",\"after_ms\":250}\n"
    );
    for outcome in [FinalOutcome::Failed, FinalOutcome::Expired] {
        assert_eq!(
            encode_notice(b"m-1", outcome),
            "{\"id\":\"m-1\",\"state\":\"failed\"}\n"
        );
    }
}

/// Regression: a removed class was stored with an empty name, by which a request could select it.
#[test]
fn removed_class_is_not_selected_by_an_empty_name() {
    let mut frontend = frontend();
    frontend.classes[0].name = None;
    for class in ["", "status"] {
        let head = format!(
            "POST /api HTTP/1.1\r\nX-Call-Id: m\r\nX-Call-Class: {class}\r\nX-Budget-Ms: 900\r\n\
             X-Envelope: dest=1\r\n\r\n"
        );
        let request = http::parse_request(head.as_bytes()).unwrap();
        let at = ReceivedAt {
            steady_ms: 1_000_000,
            wall_ms: 5_000_000,
        };
        let ParsedRequest::Respond(response) = frontend.parse(&request, b"", at) else {
            panic!("accepted: {head}");
        };
        assert_eq!(response.status, status::BAD_REQUEST);
    }
}

use super::*;
use crate::net::http;

fn frontend() -> PlatformFrontend {
    PlatformFrontend {
        class_names: vec!["status".to_owned()],
        requires_key: vec![false],
        destinations_by_number: None,
    }
}

/// How long a message may take from when it was read, given its time to live, in milliseconds.
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

/// The time to live counts from when the client sent the message. The process may be suspended for 0.15 s before it reads
/// the message, and again before it writes the notice, which is late 0.3 s after the time to live.
#[test]
fn time_to_live_allows_for_delayed_reading() {
    for (time_to_live_ms, expected_ms) in [(20_000, 19_970), (1000, 975), (40, 39), (0, 0)] {
        assert_eq!(
            remaining_ms(time_to_live_ms),
            expected_ms,
            "of {time_to_live_ms} ms"
        );
    }
}

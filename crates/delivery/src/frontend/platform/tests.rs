use super::*;
use crate::net::http;

fn frontend() -> PlatformFrontend {
    PlatformFrontend {
        class_names: vec!["status".to_owned()],
        requires_key: vec![false],
        destinations_by_number: None,
    }
}

/// How long a message with a budget may take from when it was read, in milliseconds.
fn time_left_ms(budget_ms: i64) -> i64 {
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: m\r\nX-Call-Class: status\r\nX-Budget-Ms: {budget_ms}\r\n\
         X-Envelope: dest=1\r\n\r\n"
    );
    let request = http::request(head.as_bytes()).unwrap();
    let at = ReceivedAt {
        steady_ms: 1_000_000,
        wall_ms: 5_000_000,
    };
    let ParsedRequest::Submit(message) = frontend().parse(&request, b"", at) else {
        panic!("not a message: {head}");
    };
    message.expires_ms - at.steady_ms
}

/// A budget counts from when the client sent the message, and the process may be held up twice for 0.15 s: before it has
/// read the message, and before it writes the notice of its end, which is late 0.3 s after the message's time.
#[test]
fn time_of_a_message_allows_for_a_hold_up_before_it_was_read() {
    for (budget_ms, left_ms) in [(20_000, 19_970), (1000, 975), (40, 39), (0, 0)] {
        assert_eq!(time_left_ms(budget_ms), left_ms, "of {budget_ms} ms");
    }
}

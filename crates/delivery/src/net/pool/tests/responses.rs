use super::super::response::{read_response, Reuse};
use super::*;
use crate::frontend::cloudevents;
use crate::net::connection::Connection;
use crate::net::http::ResponseHead;
use futures_lite::AsyncWriteExt;
use marblefall_scheduler::Span;

/// The outcome of a response, and whether its connection can be reused.
type Expected = (Outcome, bool);

const REUSABLE: bool = true;
const CLOSED: bool = false;

/// Reads a response from a connection that the endpoint keeps open.
fn read(bytes: &[u8], classify_response: fn(&ResponseHead<'_>) -> AttemptOutcome) -> Expected {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let connecting = Connection::connect(listener.get_ref().local_addr().unwrap());
        let (client, endpoint) = future::zip(connecting, listener.accept()).await;
        let (mut client, mut endpoint) = (client.unwrap(), endpoint.unwrap().0);
        endpoint.write_all(bytes).await.unwrap();
        let response = read_response(&mut client, classify_response, test_deadline()).await;
        let is_reusable = matches!(response.reuse, Reuse::Possible);
        (response.outcome.outcome, is_reusable)
    })
}

fn assert_read(bytes: &[u8], expected: Expected) {
    for classify_response in [platform::classify_response, cloudevents::classify_response] {
        let start = String::from_utf8_lossy(&bytes[..bytes.len().min(70)]);
        assert_eq!(read(bytes, classify_response), expected, "{start}");
    }
}

/// An unreadable 503 does not prove that the attempt was not executed, so its message must not be sent again.
#[test]
fn unreadable_rejection_is_an_error() {
    let rejected = Outcome::Rejected { retry_after: None };
    assert_read(
        b"HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nab",
        (rejected, REUSABLE),
    );
    let long_head = [b"HTTP/1.1 503 x\r\nX: ", &b"y".repeat(40_000)[..]].concat();
    let unreadable: [&[u8]; 6] = [
        b"HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\nab",
        b"HTTP/1.1 503 x\r\nContent-Length: -1\r\n\r\nab",
        b"HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 3000000000\r\n\r\nab",
        b"HTTP/1.1 503 x\r\nno field\r\nContent-Length: 0\r\n\r\n",
        &long_head,
        b"\x00\x17noise",
    ];
    for bytes in unreadable {
        assert_read(bytes, (Outcome::Error, CLOSED));
    }
}

/// A 200 is final regardless of the bytes that follow its status line, and the message must not be sent again.
#[test]
fn unreadable_delivery_is_delivered() {
    let two_responses = OK_RESPONSE.repeat(2);
    let unreadable: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nno field\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: never ends",
        &two_responses,
    ];
    for bytes in unreadable {
        assert_read(bytes, (Outcome::Delivered, CLOSED));
    }
    assert_read(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        (Outcome::Delivered, REUSABLE),
    );
}

/// An endpoint that rejects the first request of a connection and closes it lacks connection slots. This does not show
/// that it has reached its limit on calls.
#[test]
fn rejection_that_closes_a_new_connection_is_connect_failed() {
    let rejects_and_closes = "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let rejects = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    let retry_after_2_s =
        "HTTP/1.1 429 x\r\nRetry-After: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let rejected = Outcome::Rejected { retry_after: None };
    let rejected_for_2_s = Outcome::Rejected {
        retry_after: Some(Span::from_ms(2000.0)),
    };
    let cases = [
        (vec![rejects_and_closes], vec![Outcome::ConnectFailed]),
        // The second attempt reuses the connection that the first one opened.
        (vec![rejects, rejects_and_closes], vec![rejected, rejected]),
        (vec![retry_after_2_s], vec![rejected_for_2_s]),
    ];
    for (responses, expected) in cases {
        let listener = listen();
        let pool = pool(9, &listener);
        let endpoint = std::thread::spawn(move || {
            let mut stream = accept(&listener);
            for response in responses {
                receive(&mut stream);
                send(&mut stream, response.as_bytes());
            }
        });
        let outcomes: Vec<Outcome> = expected
            .iter()
            .map(|_| async_io::block_on(run_attempt(&pool, 1)))
            .collect();
        assert_eq!(outcomes, expected);
        endpoint.join().unwrap();
    }
}

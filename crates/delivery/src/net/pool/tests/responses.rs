use super::super::pooled_connection::ConnectionOrigin;
use super::super::response::{AwaitedResponse, Reuse};
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
const REJECTED: Outcome = Outcome::Rejected { retry_after: None };
const REJECTION: &[u8] = b"HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nab";

/// Reads a response from a connection that the endpoint keeps open.
fn read(
    bytes: &[u8],
    classify: fn(&ResponseHead<'_>) -> AttemptOutcome,
    origin: ConnectionOrigin,
) -> Expected {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let connecting = Connection::connect(listener.get_ref().local_addr().unwrap());
        let (client, endpoint) = future::zip(connecting, listener.accept()).await;
        let (mut client, mut endpoint) = (client.unwrap(), endpoint.unwrap().0);
        endpoint.write_all(bytes).await.unwrap();
        let awaited = AwaitedResponse {
            classify,
            timeout_at: test_deadline(),
            origin,
            back_off: &|_| (),
        };
        let response = awaited.read(&mut client).await;
        let is_reusable = matches!(response.reuse, Reuse::Possible);
        (response.outcome.outcome, is_reusable)
    })
}

fn assert_read(bytes: &[u8], expected: Expected) {
    assert_read_on(ConnectionOrigin::New, bytes, expected);
}

fn assert_read_on(origin: ConnectionOrigin, bytes: &[u8], expected: Expected) {
    for classify in [platform::classify_response, cloudevents::classify_response] {
        let start = String::from_utf8_lossy(&bytes[..bytes.len().min(90)]);
        let read = read(bytes, classify, origin);
        assert_eq!(read, expected, "{origin:?}: {start}");
    }
}

/// An unreadable 503 does not prove that the attempt was not executed, so its message must not be sent again.
#[test]
fn unreadable_rejection_is_an_error() {
    assert_read(REJECTION, (REJECTED, REUSABLE));
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

/// On a reused connection, either of two responses may be a copy of an earlier one. A message is neither finished nor free
/// to be repeated unless both have the same outcome.
#[test]
fn responses_on_a_reused_connection_count_if_they_agree() {
    let interim: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    let error: &[u8] = b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
    let cases: [(&[&[u8]], Outcome); 9] = [
        (&[OK_RESPONSE, OK_RESPONSE], Outcome::Delivered),
        (&[REJECTION, REJECTION], REJECTED),
        (&[OK_RESPONSE, REJECTION], Outcome::Error),
        (&[REJECTION, OK_RESPONSE], Outcome::Error),
        (&[OK_RESPONSE, OK_RESPONSE, REJECTION], Outcome::Error),
        (&[OK_RESPONSE, interim, REJECTION], Outcome::Error),
        (&[REJECTION, error], Outcome::Error),
        (&[OK_RESPONSE, b"noise"], Outcome::Error),
        (&[REJECTION, b"HTTP/1.1 5"], Outcome::Error),
    ];
    for (responses, expected) in cases {
        let bytes = responses.concat();
        assert_read_on(ConnectionOrigin::Reused, &bytes, (expected, CLOSED));
    }
    assert_read_on(
        ConnectionOrigin::Reused,
        OK_RESPONSE,
        (Outcome::Delivered, REUSABLE),
    );
}

/// If one of two responses requests a backoff, it applies from when it is read, whichever of them is a copy.
#[test]
fn retry_after_of_a_disputed_response_is_honoured_at_once() {
    let listener = listen();
    let pool = pool(9, &listener);
    let endpoint = std::thread::spawn(move || {
        let mut stream = accept(&listener);
        receive(&mut stream);
        send(&mut stream, OK_RESPONSE);
        receive(&mut stream);
        let retry_after_9_s = b"HTTP/1.1 429 x\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n";
        send(&mut stream, &[retry_after_9_s, &b"HTTP/1.1 4"[..]].concat());
        // The connection stays open until the other side closes it.
        receive(&mut stream);
    });
    async_io::block_on(async {
        assert_eq!(run_attempt(&pool, 1).await, Outcome::Delivered);
        let mut disputed = std::pin::pin!(run_attempt(&pool, 2));
        let backed_off = async {
            while pool.backoff_until(SHARED_ROUTE).is_none() {
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        await_while_running(&mut disputed, backed_off).await;
        let in_8_s = Instant::now() + Duration::from_secs(8);
        assert!(pool.backoff_until(SHARED_ROUTE) > Some(in_8_s));
        assert_eq!(disputed.await, Outcome::Error);
    });
    endpoint.join().unwrap();
}

/// The first response on a connection answers its first request, whatever follows it.
#[test]
fn first_response_of_a_new_connection_is_trusted() {
    for (response, outcome) in [(OK_RESPONSE, Outcome::Delivered), (REJECTION, REJECTED)] {
        for behind in [OK_RESPONSE, REJECTION, b"HTTP/1.1 2"] {
            assert_read(&[response, behind].concat(), (outcome, CLOSED));
        }
    }
}

/// A connection that the pool closes because of a copy does not show that the endpoint lacks connection slots.
#[test]
fn rejection_with_its_copy_is_no_lack_of_connection_slots() {
    let listener = listen();
    let pool = pool(9, &listener);
    let endpoint = std::thread::spawn(move || {
        let mut stream = accept(&listener);
        receive(&mut stream);
        send(&mut stream, &REJECTION.repeat(2));
    });
    assert_eq!(async_io::block_on(run_attempt(&pool, 1)), REJECTED);
    endpoint.join().unwrap();
}

/// An endpoint that rejects the first request of a connection and closes it lacks connection slots. This does not show
/// that it has reached its limit on calls.
#[test]
fn rejection_that_closes_a_new_connection_is_connect_failed() {
    let rejects_and_closes = "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let rejects = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    let retry_after_2_s =
        "HTTP/1.1 429 x\r\nRetry-After: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let rejected_for_2_s = Outcome::Rejected {
        retry_after: Some(Span::from_ms(2000.0)),
    };
    let cases = [
        (vec![rejects_and_closes], vec![Outcome::ConnectFailed]),
        // The second attempt reuses the connection that the first one opened.
        (vec![rejects, rejects_and_closes], vec![REJECTED, REJECTED]),
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

/// A response that an endpoint sends before any request, for example because it accepts no more connections, is not the
/// response to the request that is written after it.
#[test]
fn response_before_the_first_request_answers_no_request() {
    for response in [REJECTION, OK_RESPONSE, b"HTTP/1.1 4"] {
        let listener = listen();
        let pool = pool(9, &listener);
        let outcome = async_io::block_on(async {
            let mut connecting = std::pin::pin!(run_attempt(&pool, 1));
            assert!(future::poll_once(&mut connecting).await.is_none());
            let mut stream = accept(&listener);
            stream.write_all(response).unwrap();
            (connecting.await, receive(&mut stream))
        });
        assert_eq!(outcome, (Outcome::ConnectFailed, 0));
    }
}

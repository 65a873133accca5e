//! Tests of requests and responses over a connection.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;
use crate::network::unused_address;
use crate::server::{Reply, TestServer};
use crate::WAIT_LIMIT;

#[test]
fn request_and_response_arrive_unchanged() {
    let server = TestServer::start(|_| Reply::retry_after(429, "1.5")).unwrap();
    let request = Request::post("/api")
        .header("X-Field", "value")
        .body(b"a\0b");
    let response = request.send(server.address, WAIT_LIMIT).unwrap();
    assert_eq!(response.status(), 429);
    assert_eq!(response.header("retry-after"), Some("1.5"));
    let received = server.requests()[0].clone();
    assert_eq!(received.start_line, "POST /api HTTP/1.1");
    assert_eq!(received.header("x-field"), Some("value"));
    assert_eq!(received.body, b"a\0b");
}

#[test]
fn exchange_fails_at_read_when_the_server_closes() {
    let server = TestServer::start(|_| Reply::Close).unwrap();
    let error = Request::get("/")
        .send(server.address, WAIT_LIMIT)
        .unwrap_err();
    assert_eq!(error.step, ExchangeStep::Read);
    assert_eq!(error.source.kind(), io::ErrorKind::UnexpectedEof);
    assert_eq!(server.request_count(), 1);
}

#[test]
fn message_with_a_truncated_body_is_not_returned() {
    let mut bytes: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab";
    assert!(Message::read(&mut bytes).is_none());
}

#[test]
fn exchange_fails_at_connect_when_refused() {
    let refusing_address = unused_address().unwrap();
    let error = Request::get("/")
        .send(refusing_address, WAIT_LIMIT)
        .unwrap_err();
    assert_eq!(error.step, ExchangeStep::Connect);
    assert_eq!(error.source.kind(), io::ErrorKind::ConnectionRefused);
}

/// A reader whose first read fails as if a signal had interrupted it.
struct InterruptedOnce<'a> {
    rest: &'a [u8],
    was_interrupted: bool,
}

impl io::Read for InterruptedOnce<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if std::mem::replace(&mut self.was_interrupted, true) {
            self.rest.read(buffer)
        } else {
            Err(io::ErrorKind::Interrupted.into())
        }
    }
}

/// Regression: a client mistook an interrupted read for the end of its connection. Signals from processes that other
/// tests start and end can interrupt a read.
#[test]
fn interrupted_read_is_retried() {
    let reader = InterruptedOnce {
        rest: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        was_interrupted: false,
    };
    let message = Message::try_read(&mut io::BufReader::new(reader)).unwrap();
    assert_eq!((message.status(), &*message.body), (200, &b"ab"[..]));
}

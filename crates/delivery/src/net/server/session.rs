//! One client connection: await a request, read it, process it, respond, and start over.
//!
//! Until a request is open, a session may be dropped wherever it waits, to make room for other connections.

use super::connection_table::{ConnectionId, Phase};
use super::{ClientConnections, ReadTimeout};
use crate::clock::Clock;
use crate::core::engine::EngineEvent;
use crate::core::{Message, RequestId};
use crate::counters::add;
use crate::net::connection::{before, Connection, ReadError};
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::{self, ParseError};
use futures_lite::future;
use std::io;
use std::time::{Duration, Instant};

/// The longest head that is read.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// The longest body that is read; the protocol's limit.
pub const MAX_BODY: usize = 64 * 1024;
/// A connection may be idle for so long between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A client whose request is rejected may go on sending for so long, so that the response reaches it ...
const LINGER_AFTER_REJECTION: Duration = Duration::from_millis(5000);
/// ... and one that has its response for so long.
const LINGER_AFTER_RESPONSE: Duration = Duration::from_millis(500);

/// The client left before its response.
pub(super) const CLIENT_GONE: &str = "client-gone";
/// The client did not read its response.
pub(super) const RESPONSE_NOT_TAKEN: &str = "response-not-taken";

/// The reason code with which a session ends.
type EndCode = &'static str;

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

/// A request, and what its client wants of the connection.
struct ReceivedRequest {
    request: ParsedRequest,
    after_response: AfterResponse,
}

/// Where a request lies in the connection's buffer.
struct RequestExtent {
    head: usize,
    body: usize,
}

/// A response, and the submission that it belongs to, if any.
struct PendingResponse {
    response: Response,
    submission: Option<RequestId>,
}

impl From<Response> for PendingResponse {
    fn from(response: Response) -> PendingResponse {
        PendingResponse {
            response,
            submission: None,
        }
    }
}

/// Serves one connection.
pub(super) struct Session<'a, F> {
    connection: &'a mut Connection,
    frontend: &'a F,
    clients: &'a ClientConnections,
    id: ConnectionId,
    read_timeout: ReadTimeout,
    clock: Clock,
    /// By when the request at hand must have come. The first one counts from the connection's opening, as a silent client
    /// uses a connection just as long as one that does not finish its request.
    read_by: Instant,
    had_request: bool,
}

impl<'a, F: Frontend> Session<'a, F> {
    pub(super) fn new(
        connection: &'a mut Connection,
        frontend: &'a F,
        clients: &'a ClientConnections,
        id: ConnectionId,
        read_timeout: ReadTimeout,
        clock: Clock,
    ) -> Session<'a, F> {
        Session {
            connection,
            frontend,
            clients,
            id,
            read_timeout,
            clock,
            read_by: Instant::now() + read_timeout.0,
            had_request: false,
        }
    }

    /// Serves the connection to its end; returns the reason code.
    pub(super) async fn run(mut self) -> EndCode {
        loop {
            if let Err(code) = self.serve_request().await {
                return code;
            }
        }
    }

    async fn serve_request(&mut self) -> Result<(), EndCode> {
        self.await_request().await?;
        let extent = match self.read_request().await {
            Ok(extent) => extent,
            Err(error) => return Err(self.reject(error).await),
        };
        let ReceivedRequest {
            request,
            after_response,
        } = self.parse(&extent)?;
        let pending = self.process(request).await?;
        self.write_response(pending, after_response).await
    }

    /// Waits for the first bytes of a request.
    async fn await_request(&mut self) -> Result<(), EndCode> {
        if self.connection.bytes().is_empty() {
            let (deadline, late) = if self.had_request {
                (Instant::now() + IDLE_TIMEOUT, "idle")
            } else {
                (self.read_by, "silent")
            };
            match before(deadline, self.connection.fill()).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return Err(ReadError::Closed.code()),
                Some(Err(error)) => return Err(ReadError::Io(error).code()),
                None => return Err(late),
            }
        }
        if std::mem::replace(&mut self.had_request, true) {
            self.read_by = Instant::now() + self.read_timeout.0;
        }
        self.clients.table.set_phase(self.id, Phase::Reading);
        Ok(())
    }

    async fn read_request(&mut self) -> Result<RequestExtent, ReadError> {
        let extent = before(self.read_by, read_request(self.connection))
            .await
            .unwrap_or(Err(ReadError::TimedOut))?;
        let end = extent.head + extent.body;
        // What follows a request before its response would be the next one's start, or a body longer than declared;
        // where one request at a time is agreed, neither can be trusted.
        if self.frontend.one_request_at_a_time() && self.connection.has_more_than(end) {
            return Err(ParseError::Malformed.into());
        }
        Ok(extent)
    }

    /// Responds to a request that could not be read, if the client still listens.
    async fn reject(&mut self, error: ReadError) -> EndCode {
        let status = match &error {
            ReadError::Unparsable(error) => error.status(),
            ReadError::TimedOut => 408,
            ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => return error.code(),
        };
        add(&self.clients.counters().unreadable_requests);
        self.clients.table.set_phase(self.id, Phase::Lingering);
        let response = Response::with_status(status);
        let write_by = Instant::now() + self.read_timeout.0;
        let _ = before(
            write_by,
            write_response(self.connection, &response, AfterResponse::Close),
        )
        .await;
        self.connection
            .linger(Instant::now() + LINGER_AFTER_REJECTION)
            .await;
        error.code()
    }

    /// Parses and consumes a request.
    fn parse(&mut self, extent: &RequestExtent) -> Result<ReceivedRequest, EndCode> {
        let (head, rest) = self.connection.bytes().split_at(extent.head);
        // The head was parsed once for its framing; now that the body follows it, both are used in place.
        let Ok(head) = http::request(head) else {
            return Err(ParseError::Malformed.code());
        };
        let after_response = if head.keep_alive {
            AfterResponse::KeepOpen
        } else {
            AfterResponse::Close
        };
        let received_at = self.clock.received_at();
        let request = self
            .frontend
            .parse(&head, &rest[..extent.body], received_at);
        self.connection.consume(extent.head + extent.body);
        self.clients
            .table
            .set_phase(self.id, Phase::AwaitingResponse);
        Ok(ReceivedRequest {
            request,
            after_response,
        })
    }

    async fn process(&mut self, request: ParsedRequest) -> Result<PendingResponse, EndCode> {
        match request {
            ParsedRequest::Readiness => {
                let status = if self.clients.is_draining() { 503 } else { 200 };
                Ok(Response::with_status(status).into())
            }
            ParsedRequest::Respond(response) => {
                if response.status >= 400 {
                    add(&self.clients.counters().unreadable_requests);
                }
                Ok(response.into())
            }
            ParsedRequest::Submit(message) => self.submit(message).await,
        }
    }

    /// Submits a message and waits for its response, unless the client goes first.
    async fn submit(&mut self, message: Message) -> Result<PendingResponse, EndCode> {
        add(&self.clients.counters().submitted);
        let at_the_end = self.clients.final_response();
        if let Some(response) = at_the_end.and_then(|response| self.frontend.respond(response)) {
            return Ok(response.into());
        }
        let (request, responses) = self.clients.register_request();
        let clients = self.clients;
        // Where the queue is full, the end may come before there is room.
        let submitted = async {
            clients.send(EngineEvent::Submitted(request, message)).await;
            future::pending().await
        };
        let frontend = self.frontend;
        let responded = async {
            loop {
                let response = responses.recv().await.ok()?;
                if let Some(response) = frontend.respond(response) {
                    return Some(response);
                }
            }
        };
        let gone = async {
            self.connection.closed().await;
            None
        };
        let response = future::or(responded, future::or(submitted, gone)).await;
        self.clients.forget_request(request);
        match response {
            Some(response) => Ok(PendingResponse {
                response,
                submission: Some(request),
            }),
            None => {
                self.clients.send(EngineEvent::ClientGone(request)).await;
                Err(CLIENT_GONE)
            }
        }
    }

    async fn write_response(
        &mut self,
        pending: PendingResponse,
        requested: AfterResponse,
    ) -> Result<(), EndCode> {
        let after_response = if self.clients.keeps_connections() {
            requested
        } else {
            AfterResponse::Close
        };
        let write_by = Instant::now() + self.read_timeout.0;
        let sent_before = self.connection.bytes_sent();
        let writing = write_response(self.connection, &pending.response, after_response);
        match before(write_by, writing).await {
            Some(Ok(())) if after_response == AfterResponse::KeepOpen => {
                self.clients.table.set_phase(self.id, Phase::Idle);
                Ok(())
            }
            Some(Ok(())) => {
                self.clients.table.set_phase(self.id, Phase::Lingering);
                self.connection
                    .linger(Instant::now() + LINGER_AFTER_RESPONSE)
                    .await;
                Err("closed-after-response")
            }
            Some(Err(_)) | None => {
                // A client that got a part of its response may have read that its message is accepted.
                let got_nothing = self.connection.bytes_sent() == sent_before;
                if let Some(request) = pending.submission.filter(|_| got_nothing) {
                    self.clients.send(EngineEvent::ClientGone(request)).await;
                }
                Err(RESPONSE_NOT_TAKEN)
            }
        }
    }
}

async fn read_request(connection: &mut Connection) -> Result<RequestExtent, ReadError> {
    let head = connection.read_head(MAX_HEAD).await?;
    let request = http::request(&connection.bytes()[..head])?;
    let framing = request.framing;
    let expects_continue = request
        .fields
        .text("expect")
        .is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
    if expects_continue && connection.bytes().len() == head {
        connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
            .await
            .map_err(ReadError::Io)?;
    }
    let body = connection.read_body(head, framing, MAX_BODY).await?;
    Ok(RequestExtent { head, body })
}

async fn write_response(
    connection: &mut Connection,
    response: &Response,
    after_response: AfterResponse,
) -> io::Result<()> {
    let status = response.status;
    let mut head = format!("HTTP/1.1 {status} {}\r\n", http::reason_phrase(status));
    for (name, value) in &response.fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !response.body.is_empty() {
        head.push_str("Content-Type: text/plain; charset=utf-8\r\n");
    }
    // A response without content has no length to give.
    if status != 204 {
        head.push_str(&format!("Content-Length: {}\r\n", response.body.len()));
    }
    if after_response == AfterResponse::Close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    connection
        .write(head.as_bytes(), response.body.as_bytes())
        .await
}

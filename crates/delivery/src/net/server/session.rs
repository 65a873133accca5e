//! The session of one client connection: it awaits a request, reads and processes it, responds, and starts again.
//!
//! A session may be dropped at any await point, which closes its connection. [`CloseConditions`] define when this is
//! allowed: never while the client's bytes are unread and may be a request.
//!
//! [`CloseConditions`]: crate::rules::CloseConditions

mod request_reader;
mod response_writer;

pub use request_reader::MAX_BODY_LEN;
#[cfg(test)]
pub(super) use request_reader::MAX_HEAD_LEN;

use super::connection_table::{ConnectionId, Phase};
use super::session_end::SessionEnd;
use super::{ClientConnections, ReadTimeout};
use crate::clock::Clock;
use crate::core::engine::EngineEvent;
use crate::core::{Message, RequestId};
use crate::counters::add;
use crate::net::connection::{with_deadline, Connection, PeerEnd, ReadError};
use crate::net::frontend::{Frontend, ParsedRequest, Response};
use crate::net::http::{self, status, ParseError};
use crate::net::memory_budget::MemoryGrant;
use futures_lite::future;
use request_reader::{read_request, RequestExtent};
use response_writer::write_response;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum idle time of a connection between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time for which bytes are discarded after a rejected request. A client that is still sending the request must
/// not lose the response to a reset.
const LINGER_AFTER_REJECTION: Duration = Duration::from_secs(5);
/// Time after which a client may repeat a request that there was no memory for, in milliseconds.
const RETRY_AFTER_SHORTAGE_MS: u64 = 1000;
/// Maximum time for which bytes are discarded after the last response of a connection.
const LINGER_AFTER_RESPONSE: Duration = Duration::from_millis(500);

/// Whether a connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

/// A request, and whether its client wants the connection to stay open after the response.
struct ReceivedRequest {
    request: ParsedRequest,
    after_response: AfterResponse,
}

/// A response that has not been written yet.
struct PendingResponse {
    response: Response,
    /// The submission that the response belongs to; `None` for other requests and after the engine has ended.
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

/// The context that all sessions of one server share.
pub(super) struct SessionContext<F> {
    pub(super) frontend: Rc<F>,
    pub(super) clients: Rc<ClientConnections>,
    pub(super) read_timeout: ReadTimeout,
    pub(super) clock: Clock,
}

/// The session of one connection.
pub(super) struct Session<'a, F> {
    context: SessionContext<F>,
    connection: &'a mut Connection,
    id: ConnectionId,
    /// The deadline for reading the current request. For the first request, the read time-out starts when the
    /// connection is opened, since a client that sends nothing occupies a slot just as one with an incomplete request.
    read_by: Instant,
    /// Whether the first bytes of a request have been received on this connection.
    had_request: bool,
    /// The identity of the message that was submitted last on this connection.
    last_identity: Vec<u8>,
}

impl<'a, F: Frontend> Session<'a, F> {
    pub(super) fn new(
        context: SessionContext<F>,
        connection: &'a mut Connection,
        id: ConnectionId,
    ) -> Session<'a, F> {
        let read_by = Instant::now() + context.read_timeout.0;
        Session {
            context,
            connection,
            id,
            read_by,
            had_request: false,
            last_identity: Vec::new(),
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(mut self) -> SessionEnd {
        loop {
            if let Err(end) = self.serve_request().await {
                return end;
            }
        }
    }

    async fn serve_request(&mut self) -> Result<(), SessionEnd> {
        self.await_request().await?;
        let extent = match self.read_request().await {
            Ok(extent) => extent,
            Err(error) => return Err(self.reject(error).await),
        };
        let ReceivedRequest {
            request,
            after_response,
        } = self.parse(extent)?;
        // A client that has reset the connection, also by closing it over the last response, receives no further response.
        if self.connection.peer_end() == Some(PeerEnd::Disconnected) {
            return Err(SessionEnd::ClientGone);
        }
        let pending = self.process(request).await?;
        self.write_response(pending, after_response).await
    }

    /// Waits for the first bytes of a request.
    async fn await_request(&mut self) -> Result<(), SessionEnd> {
        if self.connection.bytes().is_empty() {
            let (deadline, timed_out) = if self.had_request {
                (Instant::now() + IDLE_TIMEOUT, SessionEnd::IdleTimeout)
            } else {
                (self.read_by, SessionEnd::NoRequest)
            };
            match with_deadline(deadline, self.connection.fill()).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return Err(SessionEnd::Unreadable(ReadError::Closed)),
                Some(Err(error)) => return Err(SessionEnd::Unreadable(ReadError::Io(error))),
                None => return Err(timed_out),
            }
        }
        if std::mem::replace(&mut self.had_request, true) {
            self.read_by = self.deadline_from_now();
        }
        self.set_phase(Phase::Reading);
        // One request a turn: a client whose next request is always there would otherwise keep other tasks from running. In
        // this phase, the connection is not closed in between.
        future::yield_now().await;
        Ok(())
    }

    async fn read_request(&mut self) -> Result<RequestExtent, ReadError> {
        let extent = with_deadline(self.read_by, read_request(self.connection))
            .await
            .unwrap_or(Err(ReadError::TimedOut))?;
        // Bytes that follow a request before its response are either the next request or a body longer than declared.
        // If clients send one request at a time, neither can be trusted.
        if self.context.frontend.one_request_at_a_time()
            && self.connection.has_more_than(extent.len())
        {
            return Err(ParseError::Malformed.into());
        }
        Ok(extent)
    }

    /// Sends an error response to a request that could not be read, unless the connection has ended.
    async fn reject(&mut self, error: ReadError) -> SessionEnd {
        let Some(status) = error.rejection_status() else {
            return SessionEnd::Unreadable(error);
        };
        let counters = self.clients().counters();
        let response = if matches!(error, ReadError::NoMemory) {
            add(&counters.rejected_for_memory);
            self.context.frontend.reject(RETRY_AFTER_SHORTAGE_MS)
        } else {
            add(&counters.unreadable_requests);
            Response::with_status(status)
        };
        self.set_phase(Phase::Lingering);
        drop(self.connection.abandon_message());
        let write_by = self.deadline_from_now();
        let writing = write_response(self.connection, &response, AfterResponse::Close);
        let _ = with_deadline(write_by, writing).await;
        self.connection
            .linger(Instant::now() + LINGER_AFTER_REJECTION)
            .await;
        SessionEnd::Unreadable(error)
    }

    /// Parses a request and removes it from the connection's buffer.
    fn parse(&mut self, extent: RequestExtent) -> Result<ReceivedRequest, SessionEnd> {
        let (head, rest) = self.connection.bytes().split_at(extent.head_len);
        // The head is parsed a second time: the first parse gave the framing by which the body was read, and its result
        // borrowed the buffer that the body was then read into.
        let head = http::parse_request(head)
            .map_err(|error| SessionEnd::Unreadable(ReadError::Unparsable(error)))?;
        let after_response = if head.keep_alive {
            AfterResponse::KeepOpen
        } else {
            AfterResponse::Close
        };
        let body = &rest[..extent.body_len];
        let received_at = self.context.clock.received_at();
        let request = self.context.frontend.parse(&head, body, received_at);
        self.connection.consume(extent.len());
        self.set_phase(Phase::AwaitingResponse);
        Ok(ReceivedRequest {
            request,
            after_response,
        })
    }

    async fn process(&mut self, request: ParsedRequest) -> Result<PendingResponse, SessionEnd> {
        // The message keeps the memory of its request until the engine has accepted or rejected it.
        let memory = self.connection.take_grant();
        match request {
            ParsedRequest::Readiness => {
                let status = if self.clients().is_draining() {
                    status::SERVICE_UNAVAILABLE
                } else {
                    status::OK
                };
                Ok(Response::with_status(status).into())
            }
            ParsedRequest::Respond(response) => {
                if response.is_error() {
                    add(&self.clients().counters().unreadable_requests);
                }
                Ok(response.into())
            }
            ParsedRequest::Submit(message) => {
                self.check_not_repeated(&message)?;
                self.submit(message, memory).await
            }
        }
    }

    /// Ends the session if a message is the last one of this connection once more. If clients use a new identity for each
    /// submission, the request is a copy on the way. It has its response, and a second response would be taken for that to
    /// the client's next request.
    fn check_not_repeated(&mut self, message: &Message) -> Result<(), SessionEnd> {
        if !self.context.frontend.one_request_at_a_time() {
            return Ok(());
        }
        if self.last_identity == message.identity {
            add(&self.clients().counters().requests_repeated);
            self.set_phase(Phase::Lingering);
            return Err(SessionEnd::RequestRepeated);
        }
        self.last_identity.clone_from(&message.identity);
        Ok(())
    }

    /// Submits a message and waits for its response, or until the client has left.
    async fn submit(
        &mut self,
        message: Message,
        mut memory: Option<MemoryGrant>,
    ) -> Result<PendingResponse, SessionEnd> {
        let SessionContext {
            frontend, clients, ..
        } = &self.context;
        add(&clients.counters().submitted);
        let final_response = clients.final_response();
        if let Some(response) = final_response.and_then(|response| frontend.respond(response)) {
            return Ok(response.into());
        }
        let request = clients.register_request();
        // At the end of the process, the response may arrive before the engine's queue has capacity for the submission.
        let submitted = async {
            let submission = EngineEvent::Submitted(request.id, message);
            clients.send(submission).await;
            future::pending().await
        };
        let responded = async {
            loop {
                let response = request.responses.recv().await.ok()?;
                memory = None;
                if let Some(response) = frontend.respond(response) {
                    return Some(response);
                }
            }
        };
        let client_gone = async {
            self.connection.wait_for_end(PeerEnd::EndedSending).await;
            if !frontend.departs_with_end_of_sending() {
                clients.table.set_phase(self.id, Phase::HalfClosed);
                self.connection.wait_for_end(PeerEnd::Disconnected).await;
            }
            None
        };
        let response = future::or(responded, future::or(submitted, client_gone)).await;
        match response {
            Some(response) => Ok(PendingResponse {
                response,
                submission: Some(request.id),
            }),
            None => {
                clients.send(EngineEvent::ClientGone(request.id)).await;
                Err(SessionEnd::ClientGone)
            }
        }
    }

    async fn write_response(
        &mut self,
        pending: PendingResponse,
        requested: AfterResponse,
    ) -> Result<(), SessionEnd> {
        // A client that has ended its sending may have left. What it sent behind this request is not begun.
        let may_continue = self.connection.peer_end().is_none();
        let after_response = if may_continue && self.clients().keeps_connections() {
            requested
        } else {
            AfterResponse::Close
        };
        let write_by = self.deadline_from_now();
        let sent_before = self.connection.bytes_sent();
        let writing = write_response(self.connection, &pending.response, after_response);
        match with_deadline(write_by, writing).await {
            Some(Ok(())) if after_response == AfterResponse::KeepOpen => {
                self.set_phase(Phase::Idle);
                Ok(())
            }
            Some(Ok(())) => {
                self.set_phase(Phase::Lingering);
                self.connection
                    .linger(Instant::now() + LINGER_AFTER_RESPONSE)
                    .await;
                Err(SessionEnd::ClosedAfterResponse)
            }
            Some(Err(_)) | None => {
                // A client that received a part of its response may already treat its message as accepted, so the
                // message is withdrawn only if nothing was sent.
                let nothing_sent = self.connection.bytes_sent() == sent_before;
                if let Some(request) = pending.submission.filter(|_| nothing_sent) {
                    self.clients().send(EngineEvent::ClientGone(request)).await;
                }
                Err(SessionEnd::ResponseNotRead)
            }
        }
    }

    fn clients(&self) -> &ClientConnections {
        &self.context.clients
    }

    fn set_phase(&self, phase: Phase) {
        self.clients().table.set_phase(self.id, phase);
    }

    /// Returns the deadline of an operation that starts now and may take as long as the read time-out.
    fn deadline_from_now(&self) -> Instant {
        Instant::now() + self.context.read_timeout.0
    }
}

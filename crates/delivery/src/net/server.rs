//! The client side: accepts connections, reads requests one at a time, and writes the responses that the frontend
//! encodes.
//!
//! Each connection is served by a session in its own task. All connections are registered with one
//! [`ClientConnections`], which passes the engine's responses to them, evicts connections when too many are open, and
//! closes them when the process ends.

mod client_connections;
mod connection_table;
mod session;
mod session_end;

pub use client_connections::ClientConnections;
pub use connection_table::PhaseCounts;
pub use session::MAX_BODY_LEN;

use super::connection::{Connection, UnreadDetector};
use super::frontend::Frontend;
use super::listener::wait_after_accept_error;
use super::memory_budget::ReceivedMessage;
use super::spawner::Spawner;
use crate::clock::Clock;
use crate::counters::add;
use crate::rules::{CloseConditions, Rule};
use crate::{connection_line, log_line};
use async_channel::Receiver;
use async_io::{Async, Timer};
use connection_table::{ConnectionId, Phase};
use futures_lite::future;
use session::{Session, SessionContext};
use session_end::{CloseReason, SessionEnd};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::Instrument;

/// Divisor of the connection limit that gives the number of slots kept free by eviction. Clients that connect and send
/// nothing, or keep their connection after one request, must not delay clients with a request, which give up after
/// 400 ms.
const FREE_SLOTS_DIVISOR: usize = 6;
/// Interval between checks for a free slot while all slots are in use.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between evictions of idle connections while many connections are open.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between the first and the last byte of a request. For the first request of a connection, the time
/// starts when the connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeout(pub Duration);

/// Serves the connections of one listener.
pub struct Server<F> {
    /// Parses requests and encodes responses.
    pub frontend: Rc<F>,
    /// All client connections of the instance.
    pub clients: Rc<ClientConnections>,
    /// Maximum time to receive a request.
    pub read_timeout: ReadTimeout,
    /// The instance's clock.
    pub clock: Clock,
    /// Spawns the connections' tasks.
    pub tasks: Spawner,
}

impl<F: Frontend + 'static> Server<F> {
    /// Accepts connections until [`ClientConnections::stop_accepting`].
    pub async fn serve(self, listener: Async<TcpListener>) {
        self.clients.listener_opened();
        loop {
            self.evict_to_free_slots();
            if self.clients.is_full() {
                Timer::after(FULL_CHECK_INTERVAL).await;
                continue;
            }
            match self.accept(&listener).await {
                Some(Ok((stream, peer))) => {
                    self.spawn_session(stream, peer);
                    future::yield_now().await;
                }
                Some(Err(error)) => {
                    log_line!(code = "not-accepted", "accept failed: {error}");
                    wait_after_accept_error(&error).await;
                }
                None => return self.accept_queued_and_close(listener).await,
            }
        }
    }

    /// Evicts connections that do not await a response when too few slots are free. At the limit, new connections wait
    /// in the operating system's accept queue.
    fn evict_to_free_slots(&self) {
        let max = self.clients.max_connections();
        let wanted_free = max / FREE_SLOTS_DIVISOR;
        let missing = (self.clients.connections() + wanted_free).saturating_sub(max);
        if missing > 0 {
            self.clients.evict(missing);
        }
    }

    /// Accepts the next connection. Returns `None` once the server stops accepting.
    async fn accept(
        &self,
        listener: &Async<TcpListener>,
    ) -> Option<io::Result<(Async<TcpStream>, SocketAddr)>> {
        let stopped = async {
            self.clients.accepting_stopped().await;
            None
        };
        future::or(async { Some(listener.accept().await) }, stopped).await
    }

    /// Accepts the connections in the accept queue, then closes the listener. Closing it first would reset them. While
    /// all slots are in use, or the operating system lacks a resource to accept a connection, it stays queued, at most until
    /// the process ends.
    async fn accept_queued_and_close(self, listener: Async<TcpListener>) {
        loop {
            self.evict_to_free_slots();
            if self.clients.is_full() {
                Timer::after(FULL_CHECK_INTERVAL).await;
                continue;
            }
            match listener.get_ref().accept() {
                Ok((stream, peer)) => match Async::new(stream) {
                    Ok(stream) => self.spawn_session(stream, peer),
                    Err(error) => log_line!(
                        code = "not-accepted",
                        "accepted connection closed: it cannot be registered for I/O events: {error}"
                    ),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => wait_after_accept_error(&error).await,
            }
        }
        drop(listener);
        self.clients.listener_closed();
        log_line!("no longer accepts connections");
    }

    /// Spawns a task that serves a connection.
    fn spawn_session(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let context = SessionContext {
            frontend: self.frontend.clone(),
            clients: self.clients.clone(),
            read_timeout: self.read_timeout,
            clock: self.clock,
        };
        let (id, close_requests) = self.clients.table.register();
        let span = tracing::info_span!("connection", peer = %peer);
        let serving = serve_connection(context, stream, id, close_requests);
        self.tasks.spawn(serving.instrument(span));
    }
}

async fn serve_connection<F: Frontend>(
    context: SessionContext<F>,
    stream: Async<TcpStream>,
    id: ConnectionId,
    close_requests: Receiver<CloseReason>,
) {
    let clients = context.clients.clone();
    let opened_at = Instant::now();
    let mut connection =
        Connection::new(stream).with_budget(clients.memory(), ReceivedMessage::Request);
    clients.table.set_activity(id, connection.activity());
    let unread = connection.unread_detector();
    let closed = async {
        let reason = await_close(&clients, id, &unread, &close_requests).await;
        SessionEnd::Closed(reason)
    };
    let session = Session::new(context, &mut connection, id);
    let end = future::or(closed, session.run()).await;
    let unread = if end.is_by_server() {
        unread.unread_len()
    } else {
        0
    };
    let phase = clients.table.remove(id);
    let counters = clients.counters();
    if phase == Some(Phase::AwaitingResponse) && !end.is_by_client() {
        counters.violated(Rule::RequestAnswered, &end.code());
    }
    if unread > 0 {
        add(&counters.connections_closed_unread);
    }
    connection_line!(
        code = end.code(),
        phase = phase.map_or("", Phase::name),
        age_ms = opened_at.elapsed().as_millis() as u64,
        received = connection.bytes_received(),
        unread,
        "client side: connection ended"
    );
}

/// Waits until the server requests to close the connection at a time when it may be closed. A client's request that
/// arrives at the same time as the close request is served, whether it is complete, incomplete or still unread.
async fn await_close(
    clients: &ClientConnections,
    id: ConnectionId,
    unread: &UnreadDetector,
    close_requests: &Receiver<CloseReason>,
) -> CloseReason {
    loop {
        let reason = close_requests
            .recv()
            .await
            .unwrap_or(CloseReason::ShuttingDown);
        let conditions = CloseConditions {
            may_send_request: clients.table.may_receive_request(id),
            has_unread: unread.has_unread(),
        };
        if conditions.may_close() {
            return reason;
        }
    }
}

/// Evicts idle connections, and stalled ones that others wait for, at regular intervals. Never returns.
pub async fn evict_idle(clients: Rc<ClientConnections>) {
    loop {
        Timer::after(EVICTION_INTERVAL).await;
        clients.evict_idle();
        clients.evict_stalled();
    }
}

#[cfg(test)]
mod tests;

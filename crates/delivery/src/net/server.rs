//! The client side: accepts connections, reads requests one at a time, and responds as the frontend words it.
//!
//! Each connection is a task that runs a session. All of them are known to one [`ClientConnections`], by which the
//! engine's responses reach them, and through which connections are evicted when there are too many and closed when
//! the process ends.

mod client_connections;
mod connection_table;
mod session;

use super::spawner::Spawner;
pub use client_connections::ClientConnections;
pub use session::MAX_BODY;

use super::connection::Connection;
use super::frontend::Frontend;
use super::listener::concerns_one_connection;
use crate::clock::Clock;
use crate::log_line;
use crate::rules::{CloseConditions, Rule};
use async_io::{Async, Timer};
use connection_table::Phase;
use futures_lite::future;
use session::{Session, CLIENT_GONE, RESPONSE_NOT_TAKEN};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::Instrument;

/// This part of all connections is kept free: hundreds that connect at once, and say nothing or send one request and
/// stay, must not keep those waiting that have a request to send and leave after 400 ms.
const FREE_FRACTION: usize = 6;
/// Connections that may wait in the system's queue; what finds it full comes again a second later.
const BACKLOG: i32 = 1024;
/// How long the listener pauses while all connections are in use.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// How long it pauses after an error: without descriptors, trying at once again would only spin.
const ERROR_PAUSE: Duration = Duration::from_millis(2);
/// How often idle connections are evicted where there are many.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request may take from its first byte to its last; a connection's first one from when it opened.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimeout(pub Duration);

/// Serves the connections of one listener.
pub struct Server<F> {
    /// Parses requests and words responses.
    pub frontend: Rc<F>,
    /// All connections of the client side.
    pub clients: Rc<ClientConnections>,
    /// How long a request may take.
    pub read_timeout: ReadTimeout,
    /// The instance's clock.
    pub clock: Clock,
    /// Owns the connections' tasks.
    pub tasks: Spawner,
}

impl<F: Frontend + 'static> Server<F> {
    /// Accepts connections until [`ClientConnections::stop_accepting`].
    pub async fn serve(self, listener: Async<TcpListener>) {
        let _ = rustix::net::listen(listener.get_ref(), BACKLOG);
        self.clients.listener_opened();
        loop {
            self.evict_for_next();
            if self.clients.is_full() {
                Timer::after(FULL_PAUSE).await;
                continue;
            }
            match self.accept(&listener).await {
                Some(Ok((stream, peer))) => self.spawn_session(stream, peer),
                Some(Err(error)) => {
                    log_line!(code = "not-accepted", "no connection accepted: {error}");
                    pause_after(&error).await;
                }
                None => return self.close(listener).await,
            }
        }
    }

    /// Close to the limit, connections without an open request make room; at it, new ones wait in the system's queue.
    fn evict_for_next(&self) {
        let max = self.clients.max_connections();
        let wanted_free = max / FREE_FRACTION;
        let missing = (self.clients.connections() + wanted_free).saturating_sub(max);
        if missing > 0 {
            self.clients.evict(missing);
        }
    }

    /// The next connection; `None` once no more are accepted.
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

    /// Takes the connections that wait in the system's queue, and closes the listener, which would reset them. While the
    /// system does not give them out they wait, at most until the process ends.
    async fn close(self, listener: Async<TcpListener>) {
        loop {
            match listener.get_ref().accept() {
                Ok((stream, peer)) => match Async::new(stream) {
                    Ok(stream) => self.spawn_session(stream, peer),
                    Err(error) => log_line!(code = "not-accepted", "connection lost: {error}"),
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => pause_after(&error).await,
            }
        }
        drop(listener);
        self.clients.listener_closed();
        log_line!("no longer accepts connections");
    }

    /// Serves a connection in a task of its own.
    fn spawn_session(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let (frontend, clients) = (self.frontend.clone(), self.clients.clone());
        let (read_timeout, clock) = (self.read_timeout, self.clock);
        let (id, close_requests) = clients.table.register();
        let span = tracing::info_span!("connection", peer = %peer);
        let serving = async move {
            let mut connection = Connection::new(stream);
            let probe = connection.unread_probe();
            let closed = async {
                loop {
                    let code = close_requests.recv().await.unwrap_or("leaving");
                    // A request that crossed the close, or waits behind others' to be read, is served; the last part of
                    // one that had begun as well.
                    let conditions = CloseConditions {
                        may_send_request: clients.table.may_send_request(id),
                        has_unread: probe.has_unread(),
                    };
                    if conditions.may_close() {
                        return code;
                    }
                }
            };
            let session = Session::new(
                &mut connection,
                &*frontend,
                &clients,
                id,
                read_timeout,
                clock,
            );
            let code = future::or(closed, session.run()).await;
            if clients.table.remove(id) == Some(Phase::AwaitingResponse) && !is_clients_end(code) {
                clients.counters().violated(Rule::RequestAnswered, &code);
            }
            log_line!(code, "client side: connection ended");
        };
        self.tasks.spawn(serving.instrument(span));
    }
}

/// Whether a connection with an open request ended by its client's doing.
fn is_clients_end(code: &str) -> bool {
    matches!(code, CLIENT_GONE | RESPONSE_NOT_TAKEN)
}

/// What is due after a connection could not be accepted: nothing where the next one may be, else a pause.
pub(super) async fn pause_after(error: &io::Error) {
    if concerns_one_connection(error) {
        future::yield_now().await;
    } else {
        Timer::after(ERROR_PAUSE).await;
    }
}

/// Evicts idle connections for ever, where there are many.
pub async fn evict_idle(clients: Rc<ClientConnections>) {
    loop {
        Timer::after(EVICTION_INTERVAL).await;
        clients.evict_idle();
    }
}

#[cfg(test)]
mod tests;

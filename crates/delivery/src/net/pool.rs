//! Attempts against endpoints, over connections that are reused from one attempt to the next.
//!
//! Each connection carries one attempt at a time. The pool never sends an attempt again by itself: once its last byte
//! is written, the endpoint may have executed it.

mod attempt;
mod endpoint_connections;
mod response;

pub use attempt::{Attempt, AttemptOutcome, EncodedRequest};

use super::connection::{before, Connection};
use crate::core::{MessageId, Route};
use crate::counters::{add, Counters};
use crate::log_line;
use async_channel::{Receiver, Sender};
use endpoint_connections::EndpointConnections;
use futures_lite::future;
use marblefall_scheduler::{EndpointId, EndpointStatus, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What an instance may use.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// A connection that takes longer to be established has failed.
    pub connect_timeout: Duration,
    /// A connection idle for longer is closed.
    pub idle_timeout: Duration,
    /// Connections at once, idle ones counted.
    pub max_connections: usize,
}

/// The connections of one instance to all endpoints.
pub struct Pool {
    endpoints: RefCell<BTreeMap<EndpointId, EndpointConnections>>,
    /// Takes the cancellation of each attempt that is running.
    cancellations: RefCell<HashMap<MessageId, Sender<()>>>,
    /// Until when routes are in backoff.
    backoffs: RefCell<BTreeMap<Route, Instant>>,
    limits: PoolLimits,
    open_connections: Rc<Cell<usize>>,
    counters: Rc<Counters>,
    reuse: Cell<ReusePolicy>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReusePolicy {
    /// Connections are kept for the next attempt.
    Keep,
    /// Connections are closed after their attempt.
    Close,
}

/// A connection for an attempt.
struct PooledConnection {
    connection: Connection,
    origin: ConnectionOrigin,
    /// Where it leads.
    address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionOrigin {
    /// It was opened for this attempt.
    New,
    /// An earlier attempt has used it.
    Reused,
}

/// Counts a connection for as long as it exists.
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(count: &Rc<Cell<usize>>) -> OpenCount {
        count.set(count.get() + 1);
        OpenCount(count.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: PoolLimits, counters: Rc<Counters>) -> Pool {
        Pool {
            endpoints: RefCell::default(),
            cancellations: RefCell::default(),
            backoffs: RefCell::default(),
            limits,
            open_connections: Rc::default(),
            counters,
            reuse: Cell::new(ReusePolicy::Keep),
        }
    }

    /// Sets an endpoint's address and status, as listed.
    pub fn set_endpoint(&self, id: EndpointId, address: &str, status: EndpointStatus) {
        self.endpoints
            .borrow_mut()
            .entry(id)
            .or_insert_with(|| EndpointConnections::new(address, status))
            .update(id, address, status);
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove_endpoint(&self, id: EndpointId) {
        if let Some(mut endpoint) = self.endpoints.borrow_mut().remove(&id) {
            endpoint.close_idle_before(id, Instant::now(), "not-listed");
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&id) {
            endpoint.close_idle_before(id, Instant::now(), "requested-close");
        }
    }

    /// Keeps no connection from here on: the process that takes over needs the connections that endpoints allow.
    pub fn stop_reusing(&self) {
        self.reuse.set(ReusePolicy::Close);
        for (id, endpoint) in self.endpoints.borrow_mut().iter_mut() {
            endpoint.close_idle_before(*id, Instant::now(), "handed-over");
        }
    }

    /// Closes what has been idle too long: an attempt written to a connection that the endpoint is closing ends as a
    /// reset, and nobody can tell whether it was executed.
    pub fn close_expired(&self) {
        let Some(before) = Instant::now().checked_sub(self.limits.idle_timeout) else {
            return;
        };
        for (id, endpoint) in self.endpoints.borrow_mut().iter_mut() {
            endpoint.close_idle_before(*id, before, "idle");
        }
    }

    /// Sends nothing on a route until then. The scheduler avoids it for what it chooses later; this is for attempts that
    /// were chosen before and are not sent yet.
    pub fn back_off(&self, route: Route, until: Instant) {
        let (mut backoffs, now) = (self.backoffs.borrow_mut(), Instant::now());
        backoffs.retain(|_, until| *until > now);
        let known = backoffs.entry(route).or_insert(until);
        *known = until.max(*known);
    }

    fn backoff_until(&self, route: Route) -> Option<Instant> {
        self.backoffs.borrow().get(&route).copied()
    }

    /// Cancels the attempt of a message.
    pub fn cancel(&self, message_id: MessageId) {
        if let Some(cancel) = self.cancellations.borrow().get(&message_id) {
            let _ = cancel.try_send(());
        }
    }

    /// Runs one attempt to its end.
    pub async fn run_attempt(&self, attempt: Attempt<'_>) -> AttemptOutcome {
        let message_id = attempt.message_id;
        let (cancel, cancelled) = async_channel::bounded(1);
        self.cancellations.borrow_mut().insert(message_id, cancel);
        let outcome = self.run(&attempt, &cancelled).await;
        self.cancellations.borrow_mut().remove(&message_id);
        outcome
    }

    /// An idle connection, or a new one.
    async fn acquire(
        &self,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> Result<PooledConnection, Outcome> {
        let id = attempt.endpoint;
        let address = {
            let mut endpoints = self.endpoints.borrow_mut();
            let endpoint = endpoints
                .get_mut(&id)
                .filter(|endpoint| endpoint.is_active())
                .ok_or(Outcome::NotSent)?;
            let address = endpoint.address().ok_or(Outcome::ConnectFailed)?;
            if let Some(connection) = endpoint.take_idle(id, self.limits.idle_timeout) {
                return Ok(PooledConnection {
                    connection,
                    origin: ConnectionOrigin::Reused,
                    address,
                });
            }
            address
        };
        self.make_room()?;
        self.connect(attempt, address, cancelled).await
    }

    async fn connect(
        &self,
        attempt: &Attempt<'_>,
        address: SocketAddr,
        cancelled: &Receiver<()>,
    ) -> Result<PooledConnection, Outcome> {
        // Counted from here on: many that are established together must not exceed the limit together.
        let open_count = OpenCount::new(&self.open_connections);
        add(&self.counters.connections_opened);
        let connect_by = attempt
            .timeout_at
            .min(Instant::now() + self.limits.connect_timeout);
        let connecting = before(connect_by, Connection::connect_with_retry(address));
        let code = match until_cancelled(cancelled, connecting).await {
            Some(Some(Ok(connection))) => {
                return Ok(PooledConnection {
                    connection: connection.with_guard(Box::new(open_count)),
                    origin: ConnectionOrigin::New,
                    address,
                })
            }
            // Cancelled before anything was written.
            None => return Err(Outcome::NotSent),
            Some(Some(Err(_))) => "connect-failed",
            Some(None) => "connect-timed-out",
        };
        log_line!(
            endpoint = attempt.endpoint.0,
            code,
            "endpoint: no connection"
        );
        Err(Outcome::ConnectFailed)
    }

    /// Keeps to the limit of connections: the one that has been idle longest makes room.
    fn make_room(&self) -> Result<(), Outcome> {
        if self.open_connections.get() < self.limits.max_connections {
            return Ok(());
        }
        let mut endpoints = self.endpoints.borrow_mut();
        let oldest = endpoints
            .iter()
            .filter_map(|(id, endpoint)| Some((endpoint.idle_since()?, *id)))
            .min();
        let (_, id) = oldest.ok_or(Outcome::ConnectFailed)?;
        if let Some(endpoint) = endpoints.get_mut(&id) {
            endpoint.drop_oldest_idle();
        }
        log_ended(id, "made-room");
        Ok(())
    }

    /// Whether an endpoint takes new attempts at that address: one that has moved may have left its own to another.
    fn accepts_attempts_at(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.endpoints
            .borrow()
            .get(&id)
            .is_some_and(|endpoint| endpoint.is_active() && endpoint.address() == Some(address))
    }

    fn return_to_pool(&self, id: EndpointId, pooled: PooledConnection) {
        let is_usable =
            self.accepts_attempts_at(id, pooled.address) && self.reuse.get() == ReusePolicy::Keep;
        match self
            .endpoints
            .borrow_mut()
            .get_mut(&id)
            .filter(|_| is_usable)
        {
            Some(endpoint) => endpoint.add_idle(pooled.connection),
            None => log_ended(id, "not-reused"),
        }
    }
}

fn log_ended(id: EndpointId, code: &str) {
    log_line!(endpoint = id.0, code, "endpoint: connection ended");
}

/// Awaits a future, unless the attempt is cancelled.
async fn until_cancelled<T>(
    cancelled: &Receiver<()>,
    future: impl Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        let _ = cancelled.recv().await;
        None
    })
    .await
}

#[cfg(test)]
mod tests;

//! Attempts against endpoints, over a pool of connections that are reused from one attempt to the next.
//!
//! Each connection carries one attempt at a time. The pool never retries an attempt, since the endpoint may execute a
//! request as soon as its last byte is written.

mod acquire;
mod attempt;
mod connection_end;
mod endpoint_connections;
mod pooled_connection;
mod response;
mod run;

pub use attempt::{Attempt, AttemptOutcome, EncodedRequest};
pub use endpoint_connections::EndpointListing;
pub use pooled_connection::{ConnectionId, Exchange};

use crate::core::{MessageId, Route};
use crate::counters::Counters;
use crate::net::memory_budget::MemoryBudget;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use connection_end::ConnectionEnd;
use endpoint_connections::EndpointConnections;
use futures_lite::future;
use marblefall_scheduler::EndpointId;
use pooled_connection::PooledConnection;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Time for which a connection must have been quiet after a response before it is reused.
    pub min_quiet_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
    /// Maximum number of open connections, idle ones included.
    pub max_connections: usize,
}

/// The connections of one instance to all endpoints.
pub struct Pool {
    endpoints: RefCell<BTreeMap<EndpointId, EndpointConnections>>,
    /// The sender that cancels each running attempt.
    cancellations: RefCell<HashMap<MessageId, Sender<()>>>,
    /// The end of each route's backoff.
    backoffs: RefCell<BTreeMap<Route, Instant>>,
    limits: PoolLimits,
    /// The memory for responses that are being received.
    memory: Rc<MemoryBudget>,
    open_connections: Rc<Cell<usize>>,
    counters: Rc<Counters>,
    reuse: Cell<ReusePolicy>,
}

/// The use of connections after their attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReusePolicy {
    /// Connections are returned to the pool after their attempt.
    Keep,
    /// Connections are closed after their attempt.
    Close,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(limits: PoolLimits, memory: Rc<MemoryBudget>, counters: Rc<Counters>) -> Pool {
        Pool {
            endpoints: RefCell::default(),
            cancellations: RefCell::default(),
            backoffs: RefCell::default(),
            limits,
            memory,
            open_connections: Rc::default(),
            counters,
            reuse: Cell::new(ReusePolicy::Keep),
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Sets the listing of an endpoint.
    pub fn set_endpoint(&self, id: EndpointId, listing: EndpointListing<'_>) {
        self.endpoints
            .borrow_mut()
            .entry(id)
            .or_insert_with(|| EndpointConnections::new(id, listing, self.counters.clone()))
            .update(listing);
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove_endpoint(&self, id: EndpointId) {
        if let Some(mut endpoint) = self.endpoints.borrow_mut().remove(&id) {
            endpoint.close_idle(&ConnectionEnd::NotListed);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&id) {
            endpoint.close_idle(&ConnectionEnd::Requested);
        }
    }

    /// Closes idle connections at once and each other connection after its attempt, because another process takes over
    /// and needs the connection slots of the endpoints.
    pub fn stop_reusing(&self) {
        self.reuse.set(ReusePolicy::Close);
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.close_idle(&ConnectionEnd::HandedOver);
        }
    }

    /// Closes connections that have been idle for longer than the idle time-out, or that received anything. If an endpoint closes an idle
    /// connection first, the next attempt on it may end with a reset, after which it is unknown whether the attempt was
    /// executed.
    pub fn close_expired(&self) {
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.close_expired(&self.limits);
        }
    }

    /// Waits for the time in which connections must be quiet after a response, and then closes those to the endpoint on
    /// which bytes were received. Must be called after each attempt.
    pub async fn check_quiet(&self, id: EndpointId) {
        Timer::after(self.limits.min_quiet_time).await;
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&id) {
            endpoint.check_quiet(&self.limits);
        }
    }

    /// Begins or extends the backoff of a route: nothing is sent on it before `until`. The scheduler starts no new
    /// attempts on a route in backoff. The pool withholds those that were started before and are not sent yet.
    pub fn back_off(&self, route: Route, until: Instant) {
        let (mut backoffs, now) = (self.backoffs.borrow_mut(), Instant::now());
        backoffs.retain(|_, until| *until > now);
        let end = backoffs.entry(route).or_insert(until);
        *end = until.max(*end);
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

    /// Returns whether a connection can carry another attempt to an endpoint: it leads to the endpoint's present process.
    fn leads_to(&self, id: EndpointId, pooled: &PooledConnection) -> bool {
        let endpoints = self.endpoints.borrow();
        self.accepts_attempts_at(id, pooled.address)
            && endpoints
                .get(&id)
                .is_some_and(|endpoint| endpoint.is_present_process(pooled))
    }

    /// Returns whether an endpoint accepts new attempts at an address. After the endpoint has moved, its old address
    /// may belong to another endpoint.
    fn accepts_attempts_at(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.endpoints
            .borrow()
            .get(&id)
            .is_some_and(|endpoint| endpoint.is_active() && endpoint.address() == Some(address))
    }
}

/// Awaits a future. Returns `None` if the attempt is cancelled first.
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

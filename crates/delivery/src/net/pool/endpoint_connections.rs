//! The idle connections to one endpoint.

use super::connection_end::ConnectionEnd;
use super::pooled_connection::PooledConnection;
use crate::counters::{add, Counters};
use crate::net::connection::IdleState;
use marblefall_scheduler::{EndpointId, EndpointStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct IdleConnection {
    pooled: PooledConnection,
    /// The time at which the connection became idle.
    since: Instant,
}

/// An endpoint's address and status as listed, and the idle connections to it.
pub(super) struct EndpointConnections {
    id: EndpointId,
    address: String,
    status: EndpointStatus,
    /// The idle connections in the order in which they became idle.
    idle: Vec<IdleConnection>,
    counters: Rc<Counters>,
}

impl EndpointConnections {
    pub(super) fn new(
        id: EndpointId,
        address: &str,
        status: EndpointStatus,
        counters: Rc<Counters>,
    ) -> EndpointConnections {
        EndpointConnections {
            id,
            address: address.to_owned(),
            status,
            idle: Vec::new(),
            counters,
        }
    }

    /// Sets the address and the status. Closes the idle connections if the address changed or the endpoint no longer
    /// accepts attempts.
    pub(super) fn update(&mut self, address: &str, status: EndpointStatus) {
        if self.address != address {
            address.clone_into(&mut self.address);
            self.close_idle(&ConnectionEnd::Moved);
        }
        self.status = status;
        if !self.is_active() {
            self.close_idle(&ConnectionEnd::Draining);
        }
    }

    /// Returns whether the endpoint accepts new attempts.
    pub(super) fn is_active(&self) -> bool {
        self.status == EndpointStatus::Active
    }

    /// Returns the address, or `None` if it cannot be parsed.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    pub(super) fn add_idle(&mut self, pooled: PooledConnection) {
        self.idle.push(IdleConnection {
            pooled,
            since: Instant::now(),
        });
    }

    /// Removes and returns the usable connection that became idle last. Closes unusable connections that became idle
    /// after it.
    pub(super) fn take_idle(&mut self, idle_timeout: Duration) -> Option<PooledConnection> {
        while let Some(mut idle) = self.idle.pop() {
            idle.pooled.set_idle(idle.since.elapsed());
            let end = match idle.pooled.connection.idle_state() {
                IdleState::Unrequested(bytes) => {
                    add(&self.counters.connections_unrequested);
                    ConnectionEnd::Unrequested(bytes)
                }
                IdleState::Closed => ConnectionEnd::ClosedWhileIdle,
                IdleState::Quiet if idle.since.elapsed() >= idle_timeout => {
                    ConnectionEnd::IdleTimeout
                }
                IdleState::Quiet => return Some(idle.pooled),
            };
            idle.pooled.log_end(self.id, &end);
        }
        None
    }

    /// Returns the time at which the connection that has been idle longest became idle.
    pub(super) fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle longest.
    pub(super) fn evict_oldest_idle(&mut self) {
        let evicted = self.idle.remove(0);
        evicted.pooled.log_end(self.id, &ConnectionEnd::Evicted);
    }

    /// Closes all idle connections.
    pub(super) fn close_idle(&mut self, end: &ConnectionEnd) {
        self.close_idle_before(Instant::now(), end);
    }

    /// Closes the connections that became idle before a time.
    pub(super) fn close_idle_before(&mut self, before: Instant, end: &ConnectionEnd) {
        self.idle.retain(|idle| {
            let is_closed = idle.since < before;
            if is_closed {
                idle.pooled.log_end(self.id, end);
            }
            !is_closed
        });
    }
}

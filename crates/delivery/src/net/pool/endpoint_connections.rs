//! The idle connections to one endpoint.

use super::log_ended;
use crate::net::connection::Connection;
use marblefall_scheduler::{EndpointId, EndpointStatus};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// What the pool knows of one endpoint.
pub(super) struct EndpointConnections {
    address: String,
    status: EndpointStatus,
    /// The one that has been idle longest first.
    idle: Vec<IdleConnection>,
}

impl EndpointConnections {
    pub(super) fn new(address: &str, status: EndpointStatus) -> EndpointConnections {
        EndpointConnections {
            address: address.to_owned(),
            status,
            idle: Vec::new(),
        }
    }

    /// Sets its address and status; idle connections that these leave without use are closed.
    pub(super) fn update(&mut self, id: EndpointId, address: &str, status: EndpointStatus) {
        if self.address != address {
            address.clone_into(&mut self.address);
            self.close_idle_before(id, Instant::now(), "moved");
        }
        self.status = status;
        if !self.is_active() {
            self.close_idle_before(id, Instant::now(), "draining");
        }
    }

    /// Whether it takes new attempts.
    pub(super) fn is_active(&self) -> bool {
        self.status == EndpointStatus::Active
    }

    /// Its address, if that can be connected to.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    pub(super) fn add_idle(&mut self, connection: Connection) {
        self.idle.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// The connection that went idle last, if it can be used.
    pub(super) fn take_idle(
        &mut self,
        id: EndpointId,
        idle_timeout: Duration,
    ) -> Option<Connection> {
        while let Some(idle) = self.idle.pop() {
            if idle.since.elapsed() < idle_timeout && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
            log_ended(id, "closed-while-idle");
        }
        None
    }

    /// Since when the connection that has been idle longest is.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|idle| idle.since)
    }

    pub(super) fn drop_oldest_idle(&mut self) {
        self.idle.remove(0);
    }

    /// Closes the connections that went idle before a time.
    pub(super) fn close_idle_before(&mut self, id: EndpointId, before: Instant, code: &str) {
        self.idle.retain(|idle| {
            let is_expired = idle.since < before;
            if is_expired {
                log_ended(id, code);
            }
            !is_expired
        });
    }
}

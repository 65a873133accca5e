//! A connection of the pool, with the history that log lines report.

use super::connection_end::ConnectionEnd;
use crate::net::connection::Connection;
use crate::{connection_line, delivery_line};
use marblefall_scheduler::EndpointId;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of a connection among those that the pool has opened, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The origin of the connection that an attempt uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOrigin {
    /// The connection was opened for this attempt.
    New,
    /// The connection has carried an earlier request.
    Reused,
}

/// A connection to an endpoint.
pub(super) struct PooledConnection {
    pub(super) connection: Connection,
    /// The peer's address.
    pub(super) address: SocketAddr,
    id: ConnectionId,
    opened_at: Instant,
    /// Number of requests that were written completely.
    requests: u32,
    /// Time for which the connection was idle before the current attempt.
    idle: Duration,
}

impl PooledConnection {
    /// Creates the pool's entry for a connection that was just opened.
    pub(super) fn new(
        connection: Connection,
        address: SocketAddr,
        id: ConnectionId,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            address,
            id,
            opened_at: Instant::now(),
            requests: 0,
            idle: Duration::ZERO,
        }
    }

    /// Returns the time at which the connection was opened.
    pub(super) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the connection has carried an earlier request.
    pub(super) fn origin(&self) -> ConnectionOrigin {
        if self.requests == 0 {
            ConnectionOrigin::New
        } else {
            ConnectionOrigin::Reused
        }
    }

    /// Records the time for which the connection was idle before an attempt.
    pub(super) fn set_idle(&mut self, idle: Duration) {
        self.idle = idle;
    }

    /// Records that a request was written completely, and returns the exchange that it begins.
    pub(super) fn request_written(&mut self, started_at: Instant) -> Exchange {
        self.requests += 1;
        Exchange {
            connection: self.id,
            request: self.requests,
            idle: self.idle,
            written_after: started_at.elapsed(),
            answered_after: None,
        }
    }

    /// Logs the end of the connection.
    pub(super) fn log_end(&self, endpoint: EndpointId, end: &ConnectionEnd) {
        if matches!(end, ConnectionEnd::EnoughIdle) {
            // At a high rate of calls, most connections end like this.
            delivery_line!(
                endpoint = endpoint.0,
                code = end.code(),
                connection = self.id.0,
                "endpoint: connection ended"
            );
            return;
        }
        connection_line!(
            endpoint = endpoint.0,
            code = end.code(),
            connection = self.id.0,
            age_ms = self.opened_at.elapsed().as_millis() as u64,
            idle_ms = self.idle.as_millis() as u64,
            requests = self.requests,
            unrequested = end.unrequested().map(tracing_display),
            "endpoint: connection ended"
        );
    }
}

fn tracing_display<T: fmt::Display>(value: T) -> crate::log::tracing::field::DisplayValue<T> {
    crate::log::tracing::field::display(value)
}

/// A request that was written completely, and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The connection that carried the request.
    pub connection: ConnectionId,
    /// The ordinal of the request on its connection, starting at 1.
    pub request: u32,
    /// Time for which the connection was idle before the attempt.
    pub idle: Duration,
    /// Time from the start of the attempt to the last byte of the request.
    pub written_after: Duration,
    /// Time from the last byte of the request to the end of the wait for its response; `None` while it is awaited.
    pub answered_after: Option<Duration>,
}

impl fmt::Display for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connection {} request {} idle {} ms written {:.1} ms answered ",
            self.connection.0,
            self.request,
            self.idle.as_millis(),
            milliseconds(self.written_after)
        )?;
        match self.answered_after {
            Some(after) => write!(f, "{:.1} ms", milliseconds(after)),
            None => f.write_str("never"),
        }
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

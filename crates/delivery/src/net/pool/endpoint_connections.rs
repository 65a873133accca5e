//! The idle connections to one endpoint, and the decision whether one of them may carry the next request.
//!
//! HTTP/1.1 assigns responses to requests by their order on the connection alone. A copy of a response that arrives after
//! the next request was written would therefore be taken for the response to that request, and all later responses on the
//! connection would be assigned to the wrong requests. No check before the write can rule this out. A connection is reused
//! only once it was quiet for a minimum time, the one that was idle longest first. An endpoint that sends bytes on a
//! connection that was quiet for that time may do so again at any time. For [`DISTRUST_DURATION`] none of its connections
//! is reused.

use super::connection_end::ConnectionEnd;
use super::pooled_connection::PooledConnection;
use super::PoolLimits;
use crate::counters::{add, Counters};
use crate::net::connection::IdleState;
use crate::net::http::status;
use marblefall_scheduler::{EndpointId, EndpointStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which no connection to an endpoint is reused after the endpoint has sent bytes on a quiet connection.
const DISTRUST_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of idle connections to an endpoint. At a high rate of short calls, most connections are needed again
/// before they were quiet. Further ones are closed after their attempt, since idle ones occupy slots of the endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Weight of the last call in the moving average of call times.
const CALL_TIME_WEIGHT: f64 = 0.25;

/// A connection that carries no request.
pub(super) struct IdleConnection {
    pub(super) pooled: PooledConnection,
    /// The time at which the connection became idle.
    since: Instant,
    /// Whether nothing was received for the minimum quiet time.
    was_quiet: bool,
}

impl IdleConnection {
    /// Returns the time from which the connection may be reused if it stays quiet.
    pub(super) fn quiet_at(&self, limits: &PoolLimits) -> Instant {
        self.since + limits.min_quiet_time
    }

    /// Prepares the connection for the next request.
    pub(super) fn into_reused(mut self) -> PooledConnection {
        self.pooled.set_idle(self.since.elapsed());
        self.pooled
    }
}

/// An endpoint as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListing<'a> {
    /// The address.
    pub address: &'a str,
    /// Whether new attempts may be sent to the endpoint.
    pub status: EndpointStatus,
    /// Unix time in milliseconds at which the endpoint's process started; 0 if it is not known, or long ago.
    pub started_ms: i64,
}

/// An endpoint's address and status as listed, and the idle connections to it.
pub(super) struct EndpointConnections {
    id: EndpointId,
    address: String,
    status: EndpointStatus,
    /// The start time of the endpoint's process in the listing.
    started_ms: i64,
    /// The time at which the present process of the endpoint was listed first, if it has replaced another one.
    restart_listed_at: Option<Instant>,
    /// The idle connections in the order in which they became idle.
    idle: Vec<IdleConnection>,
    /// The end of the time in which no connection is reused.
    distrusted_until: Option<Instant>,
    /// Moving average of the time from a request to the response that reports its delivery.
    call_time: Option<Duration>,
    counters: Rc<Counters>,
}

impl EndpointConnections {
    pub(super) fn new(
        id: EndpointId,
        listing: EndpointListing<'_>,
        counters: Rc<Counters>,
    ) -> EndpointConnections {
        EndpointConnections {
            id,
            address: listing.address.to_owned(),
            status: listing.status,
            started_ms: listing.started_ms,
            restart_listed_at: None,
            idle: Vec::new(),
            distrusted_until: None,
            call_time: None,
            counters,
        }
    }

    /// Sets the listing. Closes the idle connections if the address changed, another process of the endpoint has started, or
    /// the endpoint no longer accepts attempts.
    pub(super) fn update(&mut self, listing: EndpointListing<'_>) {
        if self.address != listing.address {
            listing.address.clone_into(&mut self.address);
            self.close_idle(&ConnectionEnd::Moved);
        }
        if listing.started_ms != 0 && listing.started_ms != self.started_ms {
            self.started_ms = listing.started_ms;
            self.restart_listed_at = Some(Instant::now());
            self.call_time = None;
            self.close_idle(&ConnectionEnd::EndpointRestarted);
        }
        self.status = listing.status;
        if !self.is_active() {
            self.close_idle(&ConnectionEnd::Draining);
        }
    }

    /// Returns whether the endpoint accepts new attempts.
    pub(super) fn is_active(&self) -> bool {
        self.status == EndpointStatus::Active
    }

    /// Returns whether a connection was opened after the present process of the endpoint was listed.
    pub(super) fn is_present_process(&self, pooled: &PooledConnection) -> bool {
        self.restart_listed_at
            .is_none_or(|listed_at| pooled.opened_at() >= listed_at)
    }

    /// Returns the address, or `None` if it cannot be parsed.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    /// Keeps a connection for reuse, unless the endpoint is distrusted or enough connections are idle.
    pub(super) fn add_idle(&mut self, pooled: PooledConnection) {
        let end = if self.is_distrusted() {
            ConnectionEnd::Distrusted
        } else if self.idle.len() >= MAX_IDLE_CONNECTIONS {
            ConnectionEnd::EnoughIdle
        } else {
            return self.idle.push(IdleConnection {
                pooled,
                since: Instant::now(),
                was_quiet: false,
            });
        };
        pooled.log_end(self.id, &end);
    }

    /// Removes and returns the connection that has been idle longest, for an attempt that may wait until it was quiet.
    /// Returns `None` if the attempt should open a connection, since the wait would take longer than `max_wait` or than a
    /// call of this endpoint.
    pub(super) fn take_idle(
        &mut self,
        limits: &PoolLimits,
        max_wait: Duration,
    ) -> Option<IdleConnection> {
        let latest_quiet_at = Instant::now() + max_wait.min(self.call_time.unwrap_or_default());
        self.close_timed_out(limits);
        while self.idle.first()?.quiet_at(limits) <= latest_quiet_at {
            let idle = self.idle.remove(0);
            if let Some(idle) = self.keep_if_reusable(idle) {
                return Some(idle);
            }
        }
        None
    }

    /// Closes idle connections that have timed out, that the endpoint has closed, or on which it has sent bytes.
    pub(super) fn close_expired(&mut self, limits: &PoolLimits) {
        self.close_timed_out(limits);
        let idle = std::mem::take(&mut self.idle);
        self.check(idle, limits);
    }

    /// Checks the connections that have been idle for the minimum quiet time since the last check.
    pub(super) fn check_quiet(&mut self, limits: &PoolLimits) {
        let now = Instant::now();
        let checked = self.idle.partition_point(|idle| idle.was_quiet);
        let due = self
            .idle
            .partition_point(|idle| idle.quiet_at(limits) <= now);
        let later = self.idle.split_off(due.max(checked));
        let unchecked = self.idle.split_off(checked);
        self.check(unchecked, limits);
        self.idle.extend(later);
    }

    /// Returns connections to the idle ones if they can be reused, and closes the others.
    fn check(&mut self, connections: Vec<IdleConnection>, limits: &PoolLimits) {
        let now = Instant::now();
        for idle in connections {
            if let Some(mut idle) = self.keep_if_reusable(idle) {
                idle.was_quiet |= idle.quiet_at(limits) <= now;
                self.idle.push(idle);
            }
        }
    }

    fn close_timed_out(&mut self, limits: &PoolLimits) {
        if let Some(before) = Instant::now().checked_sub(limits.idle_timeout) {
            self.close_idle_before(before, &ConnectionEnd::IdleTimeout);
        }
    }

    /// Returns an idle connection if it is open, nothing was received and the endpoint is trusted. Otherwise closes it.
    pub(super) fn keep_if_reusable(&mut self, idle: IdleConnection) -> Option<IdleConnection> {
        let idle = self.keep_if_usable(idle)?;
        if !self.is_distrusted() {
            return Some(idle);
        }
        idle.pooled.log_end(self.id, &ConnectionEnd::Distrusted);
        None
    }

    /// Returns an idle connection if it is open and nothing was received. Otherwise closes it, and distrusts the endpoint
    /// if it has sent bytes after the connection was quiet.
    fn keep_if_usable(&mut self, idle: IdleConnection) -> Option<IdleConnection> {
        let end = match idle.pooled.connection.idle_state() {
            IdleState::Quiet => return Some(idle),
            IdleState::Closed => ConnectionEnd::ClosedWhileIdle,
            IdleState::Unrequested(bytes) => {
                add(&self.counters.connections_unrequested);
                // A server may announce with 408 that it closes an idle connection.
                if idle.was_quiet && bytes.status != Some(status::REQUEST_TIMEOUT) {
                    self.distrusted_until = Some(Instant::now() + DISTRUST_DURATION);
                }
                ConnectionEnd::Unrequested(bytes)
            }
        };
        idle.pooled.log_end(self.id, &end);
        None
    }

    fn is_distrusted(&self) -> bool {
        self.distrusted_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Records the time from a request to the response that reports its delivery.
    pub(super) fn record_call_time(&mut self, call_time: Duration) {
        let average = self.call_time.unwrap_or(call_time);
        let weighted_average = average.mul_f64(1.0 - CALL_TIME_WEIGHT);
        self.call_time = Some(weighted_average + call_time.mul_f64(CALL_TIME_WEIGHT));
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
        for idle in self.idle.drain(..) {
            idle.pooled.log_end(self.id, end);
        }
    }

    /// Closes the connections that became idle before a time.
    fn close_idle_before(&mut self, before: Instant, end: &ConnectionEnd) {
        self.idle.retain(|idle| {
            let is_closed = idle.since < before;
            if is_closed {
                idle.pooled.log_end(self.id, end);
            }
            !is_closed
        });
    }
}

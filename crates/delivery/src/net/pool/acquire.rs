//! Acquisition of a connection for an attempt: an idle connection, or else a new one within the connection limit.

use super::connection_end::ConnectionEnd;
use super::endpoint_connections::IdleConnection;
use super::pooled_connection::{ConnectionId, PooledConnection};
use super::{until_cancelled, Attempt, Pool, ReusePolicy};
use crate::counters::add;
use crate::log_line;
use crate::net::connection::{with_deadline, Connection};
use crate::net::memory_budget::ReceivedMessage;
use async_channel::Receiver;
use async_io::Timer;
use marblefall_scheduler::{EndpointId, Outcome};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// An attempt waits for an idle connection for at most the time until its deadline divided by this.
const MAX_WAIT_DIVISOR: u32 = 2;

/// A slot of the connection limit, which a connection occupies from its creation until it is dropped.
struct ConnectionSlot {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    fn occupy(open_connections: &Rc<Cell<usize>>) -> ConnectionSlot {
        open_connections.set(open_connections.get() + 1);
        ConnectionSlot {
            open_connections: open_connections.clone(),
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

impl Pool {
    /// Acquires a connection to the attempt's endpoint: an idle one, after the time for which it must have been quiet, or
    /// else a new one. Fails with the outcome of the attempt.
    pub(super) async fn acquire(
        &self,
        attempt: &Attempt<'_>,
        cancelled: &Receiver<()>,
    ) -> Result<PooledConnection, Outcome> {
        loop {
            let (address, idle) = self.take_idle(attempt)?;
            let Some(idle) = idle else {
                self.ensure_free_slot()?;
                return self.connect(attempt, address, cancelled).await;
            };
            let quiet = Timer::at(idle.quiet_at(&self.limits));
            if until_cancelled(cancelled, quiet).await.is_none() {
                idle.into_reused()
                    .log_end(attempt.endpoint, &ConnectionEnd::Cancelled);
                return Err(Outcome::NotSent);
            }
            if let Some(idle) = self.keep_if_reusable(attempt.endpoint, idle) {
                add(&self.counters.connections_reused);
                return Ok(idle.into_reused());
            }
        }
    }

    /// Takes an idle connection for an attempt, if there is one that is worth the wait. Returns the endpoint's address too.
    fn take_idle(
        &self,
        attempt: &Attempt<'_>,
    ) -> Result<(SocketAddr, Option<IdleConnection>), Outcome> {
        let write_by = attempt.timeout_at.min(attempt.write_by);
        let remaining = write_by.saturating_duration_since(Instant::now());
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints
            .get_mut(&attempt.endpoint)
            .filter(|endpoint| endpoint.is_active())
            .ok_or(Outcome::NotSent)?;
        let address = endpoint.address().ok_or(Outcome::ConnectFailed)?;
        let idle = endpoint.take_idle(&self.limits, remaining / MAX_WAIT_DIVISOR);
        Ok((address, idle))
    }

    /// Returns a connection that an attempt has waited for, if the endpoint is still listed and the connection can be reused.
    fn keep_if_reusable(&self, id: EndpointId, idle: IdleConnection) -> Option<IdleConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.get_mut(&id)?.keep_if_reusable(idle)
    }

    async fn connect(
        &self,
        attempt: &Attempt<'_>,
        address: SocketAddr,
        cancelled: &Receiver<()>,
    ) -> Result<PooledConnection, Outcome> {
        // The slot is occupied before the connection is established, so that concurrent connects respect the limit.
        let slot = ConnectionSlot::occupy(&self.open_connections);
        add(&self.counters.connections_opened);
        let id = ConnectionId(self.counters.connections_opened.get());
        let connect_by = attempt
            .timeout_at
            .min(Instant::now() + self.limits.connect_timeout);
        let connecting = with_deadline(connect_by, Connection::connect_with_retry(address));
        let code = match until_cancelled(cancelled, connecting).await {
            Some(Some(Ok(connection))) => {
                let connection = connection
                    .with_guard(Box::new(slot))
                    .with_budget(&self.memory, ReceivedMessage::Response);
                return Ok(PooledConnection::new(connection, address, id));
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

    /// Ensures that a connection may be opened: at the connection limit, evicts the connection that has been idle
    /// longest. Fails if no connection is idle.
    fn ensure_free_slot(&self) -> Result<(), Outcome> {
        if self.open_connections.get() < self.limits.max_connections {
            return Ok(());
        }
        let mut endpoints = self.endpoints.borrow_mut();
        let oldest = endpoints
            .iter()
            .filter_map(|(id, endpoint)| Some((endpoint.oldest_idle_since()?, *id)))
            .min();
        let (_, id) = oldest.ok_or(Outcome::ConnectFailed)?;
        if let Some(endpoint) = endpoints.get_mut(&id) {
            endpoint.evict_oldest_idle();
        }
        Ok(())
    }

    /// Makes a connection available to later attempts, or closes it if it cannot be reused.
    pub(super) fn return_to_pool(&self, id: EndpointId, pooled: PooledConnection) {
        let is_usable = self.leads_to(id, &pooled) && self.reuse.get() == ReusePolicy::Keep;
        match self
            .endpoints
            .borrow_mut()
            .get_mut(&id)
            .filter(|_| is_usable)
        {
            Some(endpoint) => endpoint.add_idle(pooled),
            None => pooled.log_end(id, &ConnectionEnd::NotReused),
        }
    }
}

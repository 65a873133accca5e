//! The link between client sessions and the engine. Sessions send events to the engine, and responses are routed back
//! to them by request id.

use super::connection_table::{CloseFilter, ConnectionTable, Phase, PhaseCounts};
use super::session_end::CloseReason;
use crate::core::engine::EngineEvent;
use crate::core::{RequestId, SubmitResponse};
use crate::counters::Counters;
use crate::net::memory_budget::MemoryBudget;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum idle time after which a connection is closed while many connections are open.
const EVICT_IDLE_AFTER: Duration = Duration::from_millis(2050);
/// Divisor of the connection limit: many connections are open if their number exceeds the quotient. Clients that keep
/// idle connections must not use up the slots of clients that have a request to send.
const MANY_CONNECTIONS_DIVISOR: usize = 4;
/// The capacity of the channel for the responses to one request. A submission gets at most two responses: accepted, and
/// its final outcome.
const RESPONSE_CAPACITY: usize = 4;

/// All client connections, and the requests that await a response.
pub struct ClientConnections {
    events: Sender<EngineEvent>,
    /// The sender of responses for each open request.
    open_requests: RefCell<HashMap<RequestId, Sender<SubmitResponse>>>,
    next_request_id: Cell<u64>,
    /// The time from which all clients are expected to have been notified of the shutdown; `None` until the shutdown
    /// begins. Once it is set, each connection is closed with its next response.
    clients_notified_at: Cell<Option<Instant>>,
    pub(super) table: ConnectionTable,
    max_connections: usize,
    /// The memory for requests that are being received.
    memory: Rc<MemoryBudget>,
    counters: Rc<Counters>,
    /// The response to each submission once the engine has ended; `None` before that.
    final_response: Cell<Option<SubmitResponse>>,
    /// A channel that carries nothing and is closed when the listeners must stop accepting.
    accepting: Sender<()>,
    accepting_receiver: Receiver<()>,
    /// The number of listeners that still accept connections.
    listeners: Cell<usize>,
    /// Whether operators drain the instance. Each connection is then closed with its next response.
    draining: Cell<bool>,
}

impl ClientConnections {
    /// Creates an empty set of at most `max_connections` connections, whose requests are sent to the engine as events.
    pub fn new(
        events: Sender<EngineEvent>,
        max_connections: usize,
        memory: Rc<MemoryBudget>,
        counters: Rc<Counters>,
    ) -> ClientConnections {
        let (accepting, accepting_receiver) = async_channel::bounded(1);
        ClientConnections {
            events,
            open_requests: RefCell::default(),
            next_request_id: Cell::default(),
            clients_notified_at: Cell::default(),
            table: ConnectionTable::default(),
            max_connections,
            memory,
            counters,
            final_response: Cell::default(),
            accepting,
            accepting_receiver,
            listeners: Cell::default(),
            draining: Cell::default(),
        }
    }

    /// Drains the instance: closes idle connections at once, and each other connection with its next response. Clients
    /// would otherwise keep sending requests on their open connections.
    pub fn drain(&self) {
        self.draining.set(true);
        self.close_all_idle(CloseReason::Drained);
    }

    /// Ends the drain.
    pub fn undrain(&self) {
        self.draining.set(false);
    }

    /// Returns whether operators drain the instance.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Begins the shutdown: closes each connection with its next response. From `notified_at` on, all clients are
    /// expected to have been notified of the shutdown.
    pub fn begin_closing(&self, notified_at: Instant) {
        self.clients_notified_at.set(Some(notified_at));
    }

    /// Returns the time that was passed to [`ClientConnections::begin_closing`], or `None` before that call.
    pub fn clients_notified_at(&self) -> Option<Instant> {
        self.clients_notified_at.get()
    }

    /// Returns whether connections stay open after their next response.
    pub(super) fn keeps_connections(&self) -> bool {
        self.clients_notified_at.get().is_none() && !self.draining.get()
    }

    /// Makes the listeners accept the connections in their queues and then close. Closing a listener first would reset
    /// its queued connections.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    /// Waits for [`ClientConnections::stop_accepting`].
    pub(super) async fn accepting_stopped(&self) {
        let _ = self.accepting_receiver.recv().await;
    }

    pub(super) fn listener_opened(&self) {
        self.listeners.set(self.listeners.get() + 1);
    }

    pub(super) fn listener_closed(&self) {
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Returns whether any listener still accepts connections.
    pub fn is_listening(&self) -> bool {
        self.listeners.get() > 0
    }

    /// Passes the engine's response to the request that awaits it.
    pub fn respond(&self, request: RequestId, response: SubmitResponse) {
        if let Some(responses) = self.open_requests.borrow().get(&request) {
            // Fails if the session has just ended.
            let _ = responses.try_send(response);
        }
    }

    /// Sends one response to all open requests and to every later submission. Called when the engine has ended.
    pub fn respond_to_all(&self, response: SubmitResponse) {
        self.final_response.set(Some(response));
        for responses in self.open_requests.borrow().values() {
            let _ = responses.try_send(response);
        }
    }

    /// Returns the response to each submission once the engine has ended, and `None` before that.
    pub(super) fn final_response(&self) -> Option<SubmitResponse> {
        self.final_response.get()
    }

    /// Returns whether any request is being read or awaits its response.
    pub fn has_open_requests(&self) -> bool {
        self.table.has_open_requests()
    }

    /// Sends an event to the engine, and waits while its queue is full.
    pub async fn send(&self, event: EngineEvent) {
        let _ = self.events.send(event).await;
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of open connections in each phase.
    pub fn phase_counts(&self) -> PhaseCounts {
        self.table.phase_counts()
    }

    /// Returns the limit on open connections.
    pub(super) fn max_connections(&self) -> usize {
        self.max_connections
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections() >= self.max_connections
    }

    /// Returns the instance's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Closes the idle connections because the process shuts down.
    pub fn close_idle(&self) {
        self.close_all_idle(CloseReason::ShuttingDown);
    }

    /// Closes the connections that have awaited a request for at least `idle_for`, because another process takes over.
    /// A client that has just received a response is likely to send its next request at once, and would lose it if the
    /// connection were closed. Such a connection is closed with its next response instead.
    pub fn close_idle_for(&self, idle_for: Duration) {
        let filter = CloseFilter {
            phases: &[Phase::New, Phase::Idle],
            min_time_in_phase: idle_for,
            max_connections: 0,
        };
        self.table.close(&filter, CloseReason::HandedOver);
    }

    /// Closes up to `count` connections that do not await a response, to free their slots.
    pub(super) fn evict(&self, count: usize) {
        self.table.evict(count);
    }

    /// Closes connections that have been idle for [`EVICT_IDLE_AFTER`] while many connections are open.
    pub(super) fn evict_idle(&self) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            min_time_in_phase: EVICT_IDLE_AFTER,
            max_connections: self.max_connections / MANY_CONNECTIONS_DIVISOR,
        };
        self.table.close(&filter, CloseReason::IdleAmongMany);
    }

    /// Closes connections whose requests hold memory and have stalled, one for each connection that waits for memory.
    pub(super) fn evict_stalled(&self) {
        self.table.evict_stalled(self.memory.waiting());
    }

    /// Returns the memory for requests that are being received.
    pub(super) fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    fn close_all_idle(&self, reason: CloseReason) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            min_time_in_phase: Duration::ZERO,
            max_connections: 0,
        };
        self.table.close(&filter, reason);
    }

    /// Registers a new request.
    pub(super) fn register_request(self: &Rc<Self>) -> OpenRequest {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        let (sender, responses) = async_channel::bounded(RESPONSE_CAPACITY);
        self.open_requests.borrow_mut().insert(id, sender);
        OpenRequest {
            clients: self.clone(),
            id,
            responses,
        }
    }

    #[cfg(test)]
    pub(super) fn cancel_closing(&self) {
        self.clients_notified_at.set(None);
    }
}

/// A request that awaits its response, which is registered until this value is dropped.
pub(super) struct OpenRequest {
    clients: Rc<ClientConnections>,
    pub(super) id: RequestId,
    pub(super) responses: Receiver<SubmitResponse>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.clients.open_requests.borrow_mut().remove(&self.id);
    }
}

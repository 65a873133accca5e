//! The link between client sessions and the engine: sessions send events, and responses are returned by request id.

use super::connection_table::{CloseFilter, ConnectionTable, Phase};
use super::session_end::CloseReason;
use crate::core::engine::EngineEvent;
use crate::core::{RequestId, SubmitResponse};
use crate::counters::Counters;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While many connections are open, those that have been idle for longer are closed.
const EVICT_IDLE_AFTER: Duration = Duration::from_millis(2050);
/// Many connections are open if they exceed one in this many of the limit: clients that keep idle connections must not
/// use up the slots of those that have a request to send.
const MANY_CONNECTIONS_DIVISOR: usize = 4;
/// The capacity for responses to one request; a submission gets at most two, accepted and its final outcome.
const RESPONSE_CAPACITY: usize = 4;

/// All client connections, and the requests that await a response.
pub struct ClientConnections {
    events: Sender<EngineEvent>,
    /// Where the response to each open request is sent.
    open_requests: RefCell<HashMap<RequestId, Sender<SubmitResponse>>>,
    next_request_id: Cell<u64>,
    /// Set once the shutdown has begun; connections are closed with their next response from then on. After the time
    /// itself all clients are expected to know of the shutdown.
    clients_notified_at: Cell<Option<Instant>>,
    pub(super) table: ConnectionTable,
    max_connections: usize,
    counters: Rc<Counters>,
    /// The response to each request once the engine has ended.
    final_response: Cell<Option<SubmitResponse>>,
    /// Closed once no connection is accepted any more.
    accepting: Sender<()>,
    accepting_receiver: Receiver<()>,
    /// How many listeners still accept connections.
    listeners: Cell<usize>,
    /// Whether operators drain the instance; connections are closed with their next response then.
    draining: Cell<bool>,
}

impl ClientConnections {
    /// No connections yet, and at most `max_connections` at once; their requests become events of the engine.
    pub fn new(
        events: Sender<EngineEvent>,
        max_connections: usize,
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
            counters,
            final_response: Cell::default(),
            accepting,
            accepting_receiver,
            listeners: Cell::default(),
            draining: Cell::default(),
        }
    }

    /// Drains the instance: closes each connection with its next response and idle ones at once, since clients reuse the
    /// connections that are open.
    pub fn drain(&self) {
        self.draining.set(true);
        self.close_all_idle(CloseReason::Drained);
    }

    /// Ends the drain.
    pub fn undrain(&self) {
        self.draining.set(false);
    }

    /// Whether operators drain the instance.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Begins the shutdown: closes each connection with its next response. From `notified_at` on, all clients are
    /// expected to know of the shutdown.
    pub fn begin_closing(&self, notified_at: Instant) {
        self.clients_notified_at.set(Some(notified_at));
    }

    /// The time given to [`ClientConnections::begin_closing`].
    pub fn clients_notified_at(&self) -> Option<Instant> {
        self.clients_notified_at.get()
    }

    /// Whether a connection stays open after its response.
    pub(super) fn keeps_connections(&self) -> bool {
        self.clients_notified_at.get().is_none() && !self.draining.get()
    }

    /// Closes the listeners after the connections in their queues are accepted, which a close would reset.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    pub(super) async fn accepting_stopped(&self) {
        let _ = self.accepting_receiver.recv().await;
    }

    pub(super) fn listener_opened(&self) {
        self.listeners.set(self.listeners.get() + 1);
    }

    pub(super) fn listener_closed(&self) {
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Whether connections are still accepted.
    pub fn is_listening(&self) -> bool {
        self.listeners.get() > 0
    }

    /// Passes the engine's response to the request that awaits it.
    pub fn respond(&self, request: RequestId, response: SubmitResponse) {
        if let Some(responses) = self.open_requests.borrow().get(&request) {
            // Fails where the session has just ended.
            let _ = responses.try_send(response);
        }
    }

    /// Gives the same response to all open requests and to each that is read from now on, as the engine has ended.
    pub fn respond_to_all(&self, response: SubmitResponse) {
        self.final_response.set(Some(response));
        for responses in self.open_requests.borrow().values() {
            let _ = responses.try_send(response);
        }
    }

    /// The response to each submission once the engine has ended.
    pub(super) fn final_response(&self) -> Option<SubmitResponse> {
        self.final_response.get()
    }

    /// Whether any request is being read or awaits its response.
    pub fn has_open_requests(&self) -> bool {
        self.table.has_open_requests()
    }

    /// Queues an event for the engine.
    pub async fn send(&self, event: EngineEvent) {
        let _ = self.events.send(event).await;
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    /// The limit of open connections.
    pub(super) fn max_connections(&self) -> usize {
        self.max_connections
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections() >= self.max_connections
    }

    /// The instance's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Closes the idle connections, for a shutdown.
    pub fn close_idle(&self) {
        self.close_all_idle(CloseReason::ShuttingDown);
    }

    /// Closes the connections that have awaited a request for at least `idle_for`, for a handover. A client that has just
    /// received a response is likely to send its next request at once, and would lose it on a connection that is closed;
    /// its connection is closed with its next response.
    pub fn close_idle_for(&self, idle_for: Duration) {
        let filter = CloseFilter {
            phases: &[Phase::New, Phase::Idle],
            min_time_in_phase: idle_for,
            max_connections: 0,
        };
        self.table.close(&filter, CloseReason::HandedOver);
    }

    /// Closes up to `count` connections without an open request, to free their slots.
    pub(super) fn evict(&self, count: usize) {
        self.table.evict(count);
    }

    /// Closes connections that have been idle for long while many are open.
    pub(super) fn evict_idle(&self) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            min_time_in_phase: EVICT_IDLE_AFTER,
            max_connections: self.max_connections / MANY_CONNECTIONS_DIVISOR,
        };
        self.table.close(&filter, CloseReason::IdleAmongMany);
    }

    fn close_all_idle(&self, reason: CloseReason) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            min_time_in_phase: Duration::ZERO,
            max_connections: 0,
        };
        self.table.close(&filter, reason);
    }

    /// Registers a new request; returns its id, and the receiver of its responses.
    pub(super) fn register_request(&self) -> (RequestId, Receiver<SubmitResponse>) {
        let request = RequestId(self.next_request_id.get());
        self.next_request_id.set(request.0 + 1);
        let (responses, receiver) = async_channel::bounded(RESPONSE_CAPACITY);
        self.open_requests.borrow_mut().insert(request, responses);
        (request, receiver)
    }

    /// Removes a request that awaits no response any more.
    pub(super) fn unregister_request(&self, request: RequestId) {
        self.open_requests.borrow_mut().remove(&request);
    }

    #[cfg(test)]
    pub(super) fn cancel_closing(&self) {
        self.clients_notified_at.set(None);
    }
}

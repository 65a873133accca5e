//! What connects the sessions of clients with the engine: events in, responses back by request.

use super::connection_table::{CloseFilter, ConnectionTable, Phase};
use crate::core::engine::EngineEvent;
use crate::core::{RequestId, SubmitResponse};
use crate::counters::Counters;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where connections become many, those go that have been idle for so long.
const EVICT_IDLE_AFTER: Duration = Duration::from_millis(2050);
/// Many are more than this part of all that there may be: clients that send one request and stay must not use up the
/// connections of those that have a request to send.
const MANY_FRACTION: usize = 4;
/// A submission has at most two responses: accepted, and the final outcome.
const MAX_RESPONSES: usize = 4;

/// All connections of the client side, and the requests that wait for a response.
pub struct ClientConnections {
    events: Sender<EngineEvent>,
    waiting: RefCell<HashMap<RequestId, Sender<SubmitResponse>>>,
    next_request: Cell<u64>,
    /// Set once the process is about to end: connections are then closed with their next response. From this time on
    /// no client is expected that does not know of it.
    clients_notified_at: Cell<Option<Instant>>,
    pub(super) table: ConnectionTable,
    max_connections: usize,
    counters: Rc<Counters>,
    /// What a request is answered once the engine has ended.
    final_response: Cell<Option<SubmitResponse>>,
    /// Closed once no connection is accepted any more.
    accepting: Sender<()>,
    accepting_watch: Receiver<()>,
    /// Listeners that still accept.
    listeners: Cell<usize>,
    /// Whether operators have drained the instance: each connection is closed with its next response.
    draining: Cell<bool>,
}

impl ClientConnections {
    /// Connections whose requests go to a queue of events, at most so many at once.
    pub fn new(
        events: Sender<EngineEvent>,
        max_connections: usize,
        counters: Rc<Counters>,
    ) -> ClientConnections {
        let (accepting, accepting_watch) = async_channel::bounded(1);
        ClientConnections {
            events,
            waiting: RefCell::default(),
            next_request: Cell::default(),
            clients_notified_at: Cell::default(),
            table: ConnectionTable::default(),
            max_connections,
            counters,
            final_response: Cell::default(),
            accepting,
            accepting_watch,
            listeners: Cell::default(),
            draining: Cell::default(),
        }
    }

    /// Closes each connection with its next response, and those without an open request at once, as clients keep using
    /// those that are open.
    pub fn drain(&self) {
        self.draining.set(true);
        self.close_all_idle("drained");
    }

    /// Takes clients again.
    pub fn undrain(&self) {
        self.draining.set(false);
    }

    /// Whether operators have drained the instance.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Closes each connection with its next response. From `from` on, no client is expected that does not know of it.
    pub fn begin_closing(&self, from: Instant) {
        self.clients_notified_at.set(Some(from));
    }

    /// The time given to [`ClientConnections::begin_closing`].
    pub fn clients_notified_at(&self) -> Option<Instant> {
        self.clients_notified_at.get()
    }

    /// Whether a connection stays open after its response.
    pub(super) fn keeps_connections(&self) -> bool {
        self.clients_notified_at.get().is_none() && !self.draining.get()
    }

    /// Closes the listeners, once the connections that wait in their queues are taken: those would be reset.
    pub fn stop_accepting(&self) {
        self.accepting.close();
    }

    pub(super) async fn accepting_stopped(&self) {
        let _ = self.accepting_watch.recv().await;
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

    /// Passes a response of the engine on to the request that waits for it.
    pub fn respond(&self, request: RequestId, response: SubmitResponse) {
        if let Some(waiting) = self.waiting.borrow().get(&request) {
            let _ = waiting.try_send(response);
        }
    }

    /// Gives all requests that wait a response, and from now on each that is read the same: the engine takes none any
    /// more.
    pub fn respond_to_all(&self, response: SubmitResponse) {
        self.final_response.set(Some(response));
        for waiting in self.waiting.borrow().values() {
            let _ = waiting.try_send(response);
        }
    }

    /// The response to a submission that the engine does not take any more.
    pub(super) fn final_response(&self) -> Option<SubmitResponse> {
        self.final_response.get()
    }

    /// Whether a request is being read or waits for its response.
    pub fn has_open_requests(&self) -> bool {
        self.table.has_open_requests()
    }

    /// Queues an event for the engine.
    pub async fn send(&self, event: EngineEvent) {
        let _ = self.events.send(event).await;
    }

    /// How many connections there are.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    /// How many there may be.
    pub(super) fn max_connections(&self) -> usize {
        self.max_connections
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections() >= self.max_connections
    }

    /// What is counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Closes the connections that have no open request, as a process does that is about to end.
    pub fn close_idle(&self) {
        self.close_all_idle("leaving");
    }

    /// Closes the connections that have waited for a request for so long, as a process does that hands over: a client that
    /// has only just been responded to is likely to send another at once, and a connection closed under its request
    /// fails that request. The others are closed with their next response.
    pub fn close_idle_for(&self, idle_for: Duration) {
        let filter = CloseFilter {
            phases: &[Phase::Silent, Phase::Idle],
            idle_for,
            max_connections: 0,
        };
        self.table.close(&filter, "handed-over");
    }

    /// Closes so many connections to make room.
    pub(super) fn evict(&self, count: usize) {
        self.table.evict(count);
    }

    /// Closes connections that have been idle, where there are many.
    pub(super) fn evict_idle(&self) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            idle_for: EVICT_IDLE_AFTER,
            max_connections: self.max_connections / MANY_FRACTION,
        };
        self.table.close(&filter, "idle-among-many");
    }

    fn close_all_idle(&self, code: &'static str) {
        let filter = CloseFilter {
            phases: &[Phase::Idle],
            idle_for: Duration::ZERO,
            max_connections: 0,
        };
        self.table.close(&filter, code);
    }

    /// A new request, and where its responses come from.
    pub(super) fn register_request(&self) -> (RequestId, Receiver<SubmitResponse>) {
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        let (sender, receiver) = async_channel::bounded(MAX_RESPONSES);
        self.waiting.borrow_mut().insert(request, sender);
        (request, receiver)
    }

    /// A request no longer waits.
    pub(super) fn forget_request(&self, request: RequestId) {
        self.waiting.borrow_mut().remove(&request);
    }

    #[cfg(test)]
    pub(super) fn reopen(&self) {
        self.clients_notified_at.set(None);
    }
}

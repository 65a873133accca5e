//! The table of all client connections, and the choice of those that are closed.

use super::session_end::CloseReason;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a connection must have been lingering before it may be evicted.
const MIN_TIME_LINGERING: Duration = Duration::from_millis(100);
/// How long a connection must have been open without a request before it may be evicted. A flood of connections without
/// requests must be evicted faster than it arrives.
const MIN_TIME_NEW: Duration = Duration::from_millis(5);
/// How long a connection must have been idle before it may be evicted.
const MIN_TIME_IDLE: Duration = Duration::from_millis(20);
/// How long a request must have been incomplete before its connection may be evicted.
const MIN_TIME_READING: Duration = Duration::from_millis(500);

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// What a connection is doing. The order is that of eviction: the first phase is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Its last response is sent; what the peer still sends is discarded.
    Lingering,
    /// Nothing has been received on it yet.
    New,
    /// Its last request has been responded to.
    Idle,
    /// A part of a request has been received.
    Reading,
    /// A request awaits its response.
    AwaitingResponse,
}

impl Phase {
    /// Its name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::Lingering => "lingering",
            Phase::New => "new",
            Phase::Idle => "idle",
            Phase::Reading => "reading",
            Phase::AwaitingResponse => "awaiting-response",
        }
    }

    /// How long a connection must have been in the phase before it may be evicted, so that a client that has just
    /// connected can send its request. `None` for phases that are never evicted.
    fn min_time_before_eviction(self) -> Option<Duration> {
        match self {
            Phase::Lingering => Some(MIN_TIME_LINGERING),
            Phase::New => Some(MIN_TIME_NEW),
            Phase::Idle => Some(MIN_TIME_IDLE),
            Phase::Reading => Some(MIN_TIME_READING),
            Phase::AwaitingResponse => None,
        }
    }

    /// Whether received bytes may be a request or the rest of one.
    fn may_receive_request(self) -> bool {
        matches!(self, Phase::New | Phase::Idle | Phase::Reading)
    }

    /// Whether a request is being received or awaits its response.
    fn has_open_request(self) -> bool {
        matches!(self, Phase::Reading | Phase::AwaitingResponse)
    }
}

/// Selects connections to close, those that have been longest in their phase first.
pub(super) struct CloseFilter<'a> {
    /// The phases whose connections are closed.
    pub(super) phases: &'a [Phase],
    /// How long a connection must have been in its phase.
    pub(super) min_time_in_phase: Duration,
    /// No more are closed once only this many connections remain.
    pub(super) max_connections: usize,
}

/// One connection.
pub(super) struct ConnectionEntry {
    pub(super) phase: Phase,
    /// When it entered the phase.
    pub(super) since: Instant,
    close_requests: Sender<CloseReason>,
}

impl ConnectionEntry {
    fn request_close(&self, reason: CloseReason) {
        // Full where a close is requested already.
        let _ = self.close_requests.try_send(reason);
    }
}

/// All client connections, in the order in which they were accepted.
#[derive(Default)]
pub(super) struct ConnectionTable {
    pub(super) connections: RefCell<BTreeMap<ConnectionId, ConnectionEntry>>,
    next_id: Cell<u64>,
}

impl ConnectionTable {
    /// Adds a connection; returns its id, and the receiver of requests to close it.
    pub(super) fn register(&self) -> (ConnectionId, Receiver<CloseReason>) {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (close_requests, receiver) = async_channel::bounded(1);
        let entry = ConnectionEntry {
            phase: Phase::New,
            since: Instant::now(),
            close_requests,
        };
        self.connections.borrow_mut().insert(id, entry);
        (id, receiver)
    }

    /// Removes a connection; returns its last phase.
    pub(super) fn remove(&self, id: ConnectionId) -> Option<Phase> {
        let removed = self.connections.borrow_mut().remove(&id);
        removed.map(|entry| entry.phase)
    }

    pub(super) fn set_phase(&self, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.connections.borrow_mut().get_mut(&id) {
            (entry.phase, entry.since) = (phase, Instant::now());
        }
    }

    /// Whether bytes that are received on a connection may be a request or the rest of one.
    pub(super) fn may_receive_request(&self, id: ConnectionId) -> bool {
        let connections = self.connections.borrow();
        connections
            .get(&id)
            .is_some_and(|entry| entry.phase.may_receive_request())
    }

    /// Whether any connection has a request that is being received or awaits its response.
    pub(super) fn has_open_requests(&self) -> bool {
        let connections = self.connections.borrow();
        connections
            .values()
            .any(|entry| entry.phase.has_open_request())
    }

    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Closes up to `count` connections that may be evicted, by phase and then by time in the phase.
    pub(super) fn evict(&self, count: usize) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let is_evictable = |entry: &&ConnectionEntry| {
            entry
                .phase
                .min_time_before_eviction()
                .is_some_and(|min_time| now - entry.since >= min_time)
        };
        let mut evictable: Vec<&ConnectionEntry> =
            connections.values().filter(is_evictable).collect();
        evictable.sort_by_key(|entry| (entry.phase, entry.since));
        for entry in evictable.into_iter().take(count) {
            entry.request_close(CloseReason::Evicted);
        }
    }

    /// Closes the connections that a filter selects.
    pub(super) fn close(&self, filter: &CloseFilter<'_>, reason: CloseReason) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let is_selected = |entry: &&ConnectionEntry| {
            filter.phases.contains(&entry.phase) && now - entry.since >= filter.min_time_in_phase
        };
        let mut selected: Vec<&ConnectionEntry> =
            connections.values().filter(is_selected).collect();
        selected.sort_by_key(|entry| entry.since);
        let excess = connections.len().saturating_sub(filter.max_connections);
        for entry in selected.into_iter().take(excess) {
            entry.request_close(reason);
        }
    }
}

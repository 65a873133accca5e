//! All connections of the client side, and which of them are closed to make room.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Identifies one connection of the client side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// What a connection is doing. Those without an open request make room for new ones, the least useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// It is done; what the peer still sends is discarded.
    Lingering,
    /// Nothing has come on it yet.
    Silent,
    /// Its last request is responded to.
    Idle,
    /// A part of a request has come.
    Reading,
    /// A request waits for its response.
    AwaitingResponse,
}

impl Phase {
    /// How long a connection must have been in the phase before it makes room, as what has only just come may be about to
    /// send a request. Connections that say nothing must leave faster than they come.
    fn min_time_before_eviction(self) -> Option<Duration> {
        match self {
            Phase::Lingering => Some(Duration::from_millis(100)),
            Phase::Silent => Some(Duration::from_millis(5)),
            Phase::Idle => Some(Duration::from_millis(20)),
            Phase::Reading => Some(Duration::from_millis(500)),
            Phase::AwaitingResponse => None,
        }
    }
}

/// Which connections to close.
pub(super) struct CloseFilter<'a> {
    /// Those in one of these phases ...
    pub(super) phases: &'a [Phase],
    /// ... for at least so long, the longest first ...
    pub(super) idle_for: Duration,
    /// ... as far as there are more connections than this.
    pub(super) max_connections: usize,
}

/// One connection.
pub(super) struct ConnectionEntry {
    pub(super) phase: Phase,
    /// Since when it has been in the phase.
    pub(super) since: Instant,
    /// Takes the reason code for which it is to close.
    close: Sender<&'static str>,
}

/// All connections, by the order in which they came.
#[derive(Default)]
pub(super) struct ConnectionTable {
    pub(super) connections: RefCell<BTreeMap<ConnectionId, ConnectionEntry>>,
    next_id: Cell<u64>,
}

impl ConnectionTable {
    /// Adds a connection; returns its id and where requests to close it come from, each with a reason code.
    pub(super) fn register(&self) -> (ConnectionId, Receiver<&'static str>) {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (close, close_requests) = async_channel::bounded(1);
        let entry = ConnectionEntry {
            phase: Phase::Silent,
            since: Instant::now(),
            close,
        };
        self.connections.borrow_mut().insert(id, entry);
        (id, close_requests)
    }

    /// Removes a connection; returns what it was doing.
    pub(super) fn remove(&self, id: ConnectionId) -> Option<Phase> {
        let removed = self.connections.borrow_mut().remove(&id);
        removed.map(|entry| entry.phase)
    }

    pub(super) fn set_phase(&self, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.connections.borrow_mut().get_mut(&id) {
            (entry.phase, entry.since) = (phase, Instant::now());
        }
    }

    /// Whether bytes that come on a connection may be a request or the rest of one.
    pub(super) fn may_send_request(&self, id: ConnectionId) -> bool {
        let connections = self.connections.borrow();
        let phase = connections.get(&id).map(|entry| entry.phase);
        matches!(phase, Some(Phase::Silent | Phase::Idle | Phase::Reading))
    }

    /// Whether requests are open: a part of one has come, or its response is due.
    pub(super) fn has_open_requests(&self) -> bool {
        let connections = self.connections.borrow();
        connections
            .values()
            .any(|entry| matches!(entry.phase, Phase::Reading | Phase::AwaitingResponse))
    }

    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Closes so many connections that are the least useful and have been so for longest, as far as they may be evicted.
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
            let _ = entry.close.try_send("made-room");
        }
    }

    /// Closes the connections that match, for a reason.
    pub(super) fn close(&self, filter: &CloseFilter<'_>, code: &'static str) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let matches = |entry: &&ConnectionEntry| {
            filter.phases.contains(&entry.phase) && now - entry.since >= filter.idle_for
        };
        let mut matching: Vec<&ConnectionEntry> = connections.values().filter(matches).collect();
        matching.sort_by_key(|entry| entry.since);
        let excess = connections.len().saturating_sub(filter.max_connections);
        for entry in matching.into_iter().take(excess) {
            let _ = entry.close.try_send(code);
        }
    }
}

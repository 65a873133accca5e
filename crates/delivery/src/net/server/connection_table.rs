//! The table of all client connections, and the selection of connections to close.

use super::session_end::CloseReason;
use crate::net::connection::Activity;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum time for which a connection must have been lingering before it may be evicted.
const MIN_TIME_LINGERING: Duration = Duration::from_millis(100);
/// Minimum time for which a connection must have been open without a request before it may be evicted. Connections
/// without requests must be evicted faster than a flood of them arrives.
const MIN_TIME_NEW: Duration = Duration::from_millis(5);
/// Minimum time for which a connection must have been idle before it may be evicted.
const MIN_TIME_IDLE: Duration = Duration::from_millis(20);
/// Minimum time for which a client must have sent no more before its connection may be evicted.
const MIN_TIME_HALF_CLOSED: Duration = Duration::from_millis(100);
/// Minimum time for which a request must have been incomplete before its connection may be evicted.
const MIN_TIME_READING: Duration = Duration::from_millis(500);

/// Minimum time for which a request that holds memory must have stalled before its connection may be evicted.
const MIN_TIME_STALLED: Duration = Duration::from_millis(500);

/// The id of a client connection, unique within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// The phase of a connection. The variants are in the order of eviction, starting with the phase that is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// The last response has been sent. Bytes that the client still sends are discarded.
    Lingering,
    /// Nothing has been received yet.
    New,
    /// The last request has its response, and no further byte has been received.
    Idle,
    /// A request is complete and awaits its response, and its client sends no more. The client may have left.
    HalfClosed,
    /// A part of a request has been received.
    Reading,
    /// A request is complete and awaits its response.
    AwaitingResponse,
}

impl Phase {
    /// Returns the phase's name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::Lingering => "lingering",
            Phase::New => "new",
            Phase::Idle => "idle",
            Phase::HalfClosed => "half-closed",
            Phase::Reading => "reading",
            Phase::AwaitingResponse => "awaiting-response",
        }
    }

    /// Returns the minimum time that a connection must have been in the phase before it may be evicted, or `None` for a
    /// phase that is never evicted. The time lets a client that has just connected send its request.
    fn min_time_before_eviction(self) -> Option<Duration> {
        match self {
            Phase::Lingering => Some(MIN_TIME_LINGERING),
            Phase::New => Some(MIN_TIME_NEW),
            Phase::Idle => Some(MIN_TIME_IDLE),
            Phase::HalfClosed => Some(MIN_TIME_HALF_CLOSED),
            Phase::Reading => Some(MIN_TIME_READING),
            Phase::AwaitingResponse => None,
        }
    }

    /// Returns whether bytes received in this phase may be a request or the rest of a request.
    fn may_receive_request(self) -> bool {
        matches!(self, Phase::New | Phase::Idle | Phase::Reading)
    }

    /// Returns whether a request is being received or awaits its response.
    fn has_open_request(self) -> bool {
        matches!(
            self,
            Phase::Reading | Phase::HalfClosed | Phase::AwaitingResponse
        )
    }
}

/// The number of connections in each phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PhaseCounts(BTreeMap<Phase, usize>);

impl fmt::Display for PhaseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (phase, connections) in &self.0 {
            write!(f, "{}={connections} ", phase.name())?;
        }
        Ok(())
    }
}

/// A filter that selects connections to close, starting with those that have been in their phase longest.
pub(super) struct CloseFilter<'a> {
    /// The phases whose connections are closed.
    pub(super) phases: &'a [Phase],
    /// Minimum time that a connection must have been in its phase.
    pub(super) min_time_in_phase: Duration,
    /// The number of connections, of any phase, that may stay open. At most the connections in excess of it are closed.
    pub(super) max_connections: usize,
}

/// The table's entry for one connection.
pub(super) struct ConnectionEntry {
    pub(super) phase: Phase,
    /// The time at which the connection entered the phase.
    pub(super) since: Instant,
    close_requests: Sender<CloseReason>,
    /// The reads of the connection; `None` until its session begins.
    activity: Option<Rc<Activity>>,
}

impl ConnectionEntry {
    /// Returns the time for which an incomplete request that holds memory has stalled, if the connection has one.
    fn stalled_time(&self) -> Option<Duration> {
        let activity = self.activity.as_ref()?;
        let holds_memory = self.phase == Phase::Reading && activity.granted() > 0;
        holds_memory.then(|| activity.idle_time())
    }

    fn request_close(&self, reason: CloseReason) {
        // Fails if the channel already holds a close request.
        let _ = self.close_requests.try_send(reason);
    }
}

/// The table of all client connections, in the order in which they were accepted.
#[derive(Default)]
pub(super) struct ConnectionTable {
    pub(super) connections: RefCell<BTreeMap<ConnectionId, ConnectionEntry>>,
    next_id: Cell<u64>,
}

impl ConnectionTable {
    /// Adds a connection. Returns its id and the receiver of requests to close it.
    pub(super) fn register(&self) -> (ConnectionId, Receiver<CloseReason>) {
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (close_requests, receiver) = async_channel::bounded(1);
        let entry = ConnectionEntry {
            phase: Phase::New,
            since: Instant::now(),
            close_requests,
            activity: None,
        };
        self.connections.borrow_mut().insert(id, entry);
        (id, receiver)
    }

    /// Sets the reads of a connection.
    pub(super) fn set_activity(&self, id: ConnectionId, activity: Rc<Activity>) {
        if let Some(entry) = self.connections.borrow_mut().get_mut(&id) {
            entry.activity = Some(activity);
        }
    }

    /// Removes a connection and returns its last phase.
    pub(super) fn remove(&self, id: ConnectionId) -> Option<Phase> {
        let removed = self.connections.borrow_mut().remove(&id);
        removed.map(|entry| entry.phase)
    }

    pub(super) fn set_phase(&self, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.connections.borrow_mut().get_mut(&id) {
            (entry.phase, entry.since) = (phase, Instant::now());
        }
    }

    /// Returns whether bytes received on a connection may be a request or the rest of a request.
    pub(super) fn may_receive_request(&self, id: ConnectionId) -> bool {
        let connections = self.connections.borrow();
        connections
            .get(&id)
            .is_some_and(|entry| entry.phase.may_receive_request())
    }

    /// Returns whether any connection has a request that is being received or awaits its response.
    pub(super) fn has_open_requests(&self) -> bool {
        let connections = self.connections.borrow();
        connections
            .values()
            .any(|entry| entry.phase.has_open_request())
    }

    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(super) fn phase_counts(&self) -> PhaseCounts {
        let mut counts = PhaseCounts::default();
        for entry in self.connections.borrow().values() {
            *counts.0.entry(entry.phase).or_default() += 1;
        }
        counts
    }

    /// Requests to close up to `count` evictable connections, ordered by phase and then by the time spent in it.
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

    /// Requests to close up to `count` connections whose requests hold memory and have stalled, the longest first.
    pub(super) fn evict_stalled(&self, count: usize) {
        let connections = self.connections.borrow();
        let mut stalled: Vec<(Duration, &ConnectionEntry)> = connections
            .values()
            .filter_map(|entry| Some((entry.stalled_time()?, entry)))
            .filter(|(time, _)| *time >= MIN_TIME_STALLED)
            .collect();
        stalled.sort_by_key(|(time, _)| std::cmp::Reverse(*time));
        for (_, entry) in stalled.into_iter().take(count) {
            entry.request_close(CloseReason::Stalled);
        }
    }

    /// Requests to close the connections that a filter selects.
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

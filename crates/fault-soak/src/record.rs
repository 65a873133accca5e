//! What clients, endpoints, discovery and the owner of the processes recorded, on the machine's monotonic clock.

use crate::schedule::Interval;
use marblefall_process_harness::Micros;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A class of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be executed any number of times.
    Idempotent,
    /// A repeat within [`DEDUPLICATION_WINDOW_MS`] is dropped by its key.
    Keyed,
    /// Must not be executed twice.
    NonIdempotent,
}

/// How long endpoints recognise a key, in milliseconds.
pub const DEDUPLICATION_WINDOW_MS: i64 = 4000;

impl Class {
    /// All classes.
    pub const ALL: [Class; 3] = [Class::Idempotent, Class::Keyed, Class::NonIdempotent];

    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Idempotent => "status",
            Class::Keyed => "order",
            Class::NonIdempotent => "payment",
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// A response with this status.
    Response(u16),
    /// The connection was closed in order before any response: the whole request had been read.
    Closed,
    /// The connection was reset before any response.
    Reset,
    /// Nothing was received until the client gave up.
    TimedOut,
}

/// A request whose last byte was sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// The message's id.
    pub id: String,
    /// The process that it was sent to.
    pub process: usize,
    /// Its class.
    pub class: Class,
    /// Its destination.
    pub destination: usize,
    /// When its last byte was sent.
    pub sent_at: Micros,
    /// When the message expires.
    pub expires_at: Micros,
    /// How it ended.
    pub result: ClientResult,
    /// When it ended.
    pub ended_at: Micros,
}

impl Request {
    /// Whether the message was accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self.result, ClientResult::Response(200 | 202))
    }
}

/// How a call ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint responded.
    Response {
        /// The status.
        status: u16,
        /// The response's Retry-After in milliseconds.
        retry_after_ms: Option<i64>,
    },
    /// The connection ended before a response.
    Broken,
}

/// A call whose last byte an endpoint read.
#[derive(Clone, Debug)]
pub struct Call {
    /// The message's id.
    pub id: String,
    /// The endpoint.
    pub endpoint: usize,
    /// When its first byte was read.
    pub first_byte_at: Micros,
    /// When its last byte was read.
    pub last_byte_at: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// How it ended.
    pub result: CallResult,
}

impl Call {
    /// Whether the message was delivered.
    pub fn is_delivered(&self) -> bool {
        matches!(self.result, CallResult::Response { status: 200, .. })
    }

    /// Whether the message may have been executed: always, unless the call was rejected.
    pub fn is_possibly_executed(&self) -> bool {
        !matches!(
            self.result,
            CallResult::Response {
                status: 429 | 503,
                ..
            }
        )
    }
}

/// A notice of a final outcome.
#[derive(Clone, Debug)]
pub struct Notice {
    /// The message's id.
    pub id: String,
    /// When it was received.
    pub received_at: Micros,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The endpoint that changed.
    pub endpoint: usize,
    /// Whether it takes new calls since.
    pub is_active: bool,
    /// When it changed.
    pub at: Micros,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// It was started.
    Started,
    /// It reported that it is ready.
    Ready,
    /// It got SIGTERM.
    Terminated,
    /// It was killed, by this program or by its shim.
    Killed,
    /// It ended by itself after SIGTERM.
    Ended,
    /// It ended without a signal.
    Crashed,
    /// It was suspended for a moment.
    Suspended,
}

/// An event of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEvent {
    /// The process.
    pub process: usize,
    /// When it happened.
    pub at: Micros,
    /// What happened.
    pub kind: ProcessEventKind,
}

/// A time in which something held for a process, an endpoint or a destination.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// The number of the process, endpoint or destination.
    pub subject: usize,
    /// When it held.
    pub interval: Interval,
}

/// All that was recorded.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Calls at endpoints.
    pub calls: Vec<Call>,
    /// Notices at discovery.
    pub notices: Vec<Notice>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Times in which discovery of a process was down or its watch was silent.
    pub discovery_gaps: Vec<Period>,
    /// Events of processes.
    pub process_events: Vec<ProcessEvent>,
    /// Outages of destinations.
    pub outages: Vec<Period>,
    /// Times in which a proxy disturbed connections to an endpoint.
    pub disturbed_endpoints: Vec<Period>,
    /// Times in which the system broke connections of a process.
    pub broken_processes: Vec<Period>,
    /// What was found in a process itself: violations that it counted, panics, use of resources.
    pub process_problems: Vec<String>,
}

/// A record that many threads write to.
#[derive(Clone, Debug, Default)]
pub struct SharedRecord(Arc<Mutex<Record>>);

impl SharedRecord {
    /// Locks the record.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The record of a run: observations of clients, endpoints, discovery and process owners, with times of the machine's
//! monotonic clock.

use crate::schedule::Interval;
use marblefall_process_harness::Micros;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Class of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The message may be executed any number of times.
    Idempotent,
    /// Endpoints drop a repeat within [`DEDUPLICATION_WINDOW_MS`] by its idempotency key.
    Keyed,
    /// The message must not be executed more than once.
    NonIdempotent,
}

/// Deduplication window of the endpoints, in milliseconds.
pub const DEDUPLICATION_WINDOW_MS: i64 = 4000;

impl Class {
    /// All classes.
    pub const ALL: [Class; 3] = [Class::Idempotent, Class::Keyed, Class::NonIdempotent];

    /// Returns the name of the class in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Idempotent => "status",
            Class::Keyed => "order",
            Class::NonIdempotent => "payment",
        }
    }
}

/// End of a request as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// The client received a response with this status.
    Response(u16),
    /// The connection ended before a complete response, after the process had read the whole request.
    Closed,
    /// The connection was reset before the first byte of a response.
    Reset,
    /// The client received nothing before its timeout.
    TimedOut,
}

/// A request that a client sent completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the message.
    pub id: String,
    /// Number of the process that the request was sent to.
    pub process: usize,
    /// Class of the message.
    pub class: Class,
    /// Number of the message's destination.
    pub destination: usize,
    /// Time at which the last byte was sent.
    pub sent_at: Micros,
    /// Time at which the message expires.
    pub expires_at: Micros,
    /// Response, or the failure in place of one.
    pub result: ClientResult,
    /// Time at which the client observed the result.
    pub ended_at: Micros,
}

impl Request {
    /// Returns whether the message was accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self.result, ClientResult::Response(200 | 202))
    }
}

/// End of a call as its endpoint observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint responded.
    Response {
        /// Status of the response.
        status: u16,
        /// Retry-After of the response, in milliseconds, if it has one.
        retry_after_ms: Option<i64>,
    },
    /// The connection ended before the endpoint responded.
    Broken,
}

/// A call that an endpoint read completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the message.
    pub id: String,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// Time at which the first byte was read.
    pub first_byte_at: Micros,
    /// Time at which the last byte was read.
    pub last_byte_at: Micros,
    /// Time at which the endpoint responded or the connection ended.
    pub ended_at: Micros,
    /// Response, or the failure in place of one.
    pub result: CallResult,
}

impl Call {
    /// Returns whether the message was delivered.
    pub fn is_delivered(&self) -> bool {
        matches!(self.result, CallResult::Response { status: 200, .. })
    }

    /// Returns whether the message may have been executed, which only a rejection of the call rules out.
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
    /// Id of the message.
    pub id: String,
    /// Time at which discovery received the notice.
    pub received_at: Micros,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Number of the endpoint that changed.
    pub endpoint: usize,
    /// Whether the endpoint takes new calls after the change.
    pub is_active: bool,
    /// Time of the change.
    pub at: Micros,
}

/// Kind of a process event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// The process was started.
    Started,
    /// The process reported that it is ready.
    Ready,
    /// The process was sent SIGTERM.
    Terminated,
    /// The process was killed by this program or by its shim.
    Killed,
    /// The process exited with success after SIGTERM.
    Ended,
    /// The process ended unexpectedly.
    Crashed,
    /// The process was suspended for a short time.
    Suspended,
}

/// An event of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEvent {
    /// Number of the process.
    pub process: usize,
    /// Time of the event.
    pub at: Micros,
    /// Kind of the event.
    pub kind: ProcessEventKind,
}

/// A period in which a fault affects a process, an endpoint or a destination.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// Number of the process, endpoint or destination.
    pub subject: usize,
    /// Interval of the period.
    pub interval: Interval,
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests of correct clients.
    pub requests: Vec<Request>,
    /// Calls that endpoints read.
    pub calls: Vec<Call>,
    /// Notices that discovery received.
    pub notices: Vec<Notice>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Periods in which the discovery of a process was down or its watch was silent.
    pub discovery_gaps: Vec<Period>,
    /// Events of processes.
    pub process_events: Vec<ProcessEvent>,
    /// Outages of destinations.
    pub outages: Vec<Period>,
    /// Periods in which a proxy disturbed connections to an endpoint.
    pub disturbed_endpoints: Vec<Period>,
    /// Periods in which system call faults broke connections of a process.
    pub broken_processes: Vec<Period>,
    /// Number of responses, acknowledgements, lists and requests that were written again.
    pub copies: usize,
    /// Problems of the processes themselves: violated invariants and panics in their logs, crashes, and excessive use of
    /// resources.
    pub process_problems: Vec<String>,
}

/// A record that several threads share.
#[derive(Clone, Debug, Default)]
pub struct SharedRecord(Arc<Mutex<Record>>);

impl SharedRecord {
    /// Locks the record.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What clients, endpoints, discovery and the processes' keeper saw, on the machine's monotonic clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Microseconds of the machine's monotonic clock.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1000;

/// A class of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be executed any number of times.
    Idempotent,
    /// Dropped by its key when it is executed again within [`WINDOW_MS`].
    Keyed,
    /// Must not be executed twice.
    NonIdempotent,
}

/// How long endpoints know a key again.
pub const WINDOW_MS: Micros = 4000;

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

/// How a client's request ended for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// An answer came.
    Answer {
        /// Its status.
        status: u16,
        /// When.
        at: Micros,
    },
    /// The connection was closed before any answer, in order: all that was sent had been read.
    Closed {
        /// When.
        at: Micros,
    },
    /// The connection was reset before any answer.
    Reset {
        /// When.
        at: Micros,
    },
    /// Nothing came for as long as the client waited.
    Silence {
        /// When it stopped to wait.
        at: Micros,
    },
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
    /// Until when it may be delivered.
    pub expires_at: Micros,
    /// How it ended.
    pub heard: Heard,
}

/// How a call ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered.
    Answered {
        /// The status.
        status: u16,
        /// The wait that the answer asks for.
        retry_after_ms: Option<i64>,
    },
    /// The connection ended first.
    Broken,
}

/// A call whose last byte an endpoint read.
#[derive(Clone, Debug)]
pub struct Call {
    /// The message's id.
    pub id: String,
    /// The endpoint.
    pub endpoint: usize,
    /// When its first byte was there.
    pub first_byte_at: Micros,
    /// When its last byte was read.
    pub last_byte_at: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// How.
    pub end: CallEnd,
}

/// A notice of a final outcome.
#[derive(Clone, Debug)]
pub struct Notice {
    /// The message's id.
    pub id: String,
    /// When it came.
    pub at: Micros,
}

/// A change of the list that says that an endpoint takes nothing new, or does again.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The endpoint.
    pub endpoint: usize,
    /// Whether it takes new calls.
    pub is_active: bool,
    /// When it was changed.
    pub at: Micros,
}

/// A time in which the agent of a process was down or its watches were silent.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryGap {
    /// The process.
    pub process: usize,
    /// From when ...
    pub from: Micros,
    /// ... until when what changed is not told.
    pub until: Micros,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It was started.
    Started,
    /// It answered that it is ready.
    Ready,
    /// It was told to end.
    Terminated,
    /// It was killed, by this program or by its own shim.
    Killed,
    /// It ended by itself after it was told to.
    Ended,
    /// It ended though nobody told it to.
    Crashed,
    /// It was stopped for a moment.
    HeldUp,
}

/// What happened to one process, and when.
#[derive(Clone, Copy, Debug)]
pub struct LifeEvent {
    /// The process.
    pub process: usize,
    /// When.
    pub at: Micros,
    /// What.
    pub what: Life,
}

/// An outage of all endpoints of a destination.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The destination.
    pub destination: usize,
    /// When it began.
    pub from: Micros,
    /// When it ended.
    pub until: Micros,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests.
    pub requests: Vec<Request>,
    /// Calls.
    pub calls: Vec<Call>,
    /// Notices.
    pub notices: Vec<Notice>,
    /// Changes of the list.
    pub list_changes: Vec<ListChange>,
    /// Gaps of discovery.
    pub gaps: Vec<DiscoveryGap>,
    /// Lives of processes.
    pub lives: Vec<LifeEvent>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// Times in which a proxy before an endpoint disturbed what passed.
    pub disturbed: Vec<(usize, Micros, Micros)>,
    /// Times in which the system broke connections of a process.
    pub broken: Vec<(usize, Micros, Micros)>,
    /// What was found in a process itself: violations that it counted, panics, resources.
    pub complaints: Vec<String>,
}

/// A record that many threads write to.
#[derive(Clone, Debug, Default)]
pub struct SharedRecord(Arc<Mutex<Record>>);

impl SharedRecord {
    /// The record, for a moment.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What the courier is, without any wire: messages taken on, their legs, their one end, and the journal that
//! outlives the process. Fronts hand in [`Authorisation`]s and get [`Answer`]s; nothing here knows how either
//! travels. Time enters as a [`Stamp`], so that tests can feed the clock by hand.

pub mod directory;
pub mod engine;
pub mod journal;
pub mod lately;
pub mod ledger;
pub mod record;
pub mod snapshot;
pub mod warmth;

use marblefall_scheduler::{ClassId, DestinationId, EndpointId, Time};

/// One moment on both clocks: the monotonic one for what happens in this life, the Unix one for what must
/// be understood by the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Since the process started.
    pub mono: Time,
    /// Unix time in milliseconds.
    pub unix_ms: i64,
}

impl Stamp {
    /// The monotonic moment of a Unix time; it may lie before the start of the process.
    pub fn mono_of(self, unix_ms: i64) -> Time {
        Time(self.mono.0.saturating_add(unix_ms.saturating_sub(self.unix_ms).saturating_mul(1000)))
    }
}

/// What a told wait binds: a destination, or one endpoint of it where its endpoints are routes of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a route of its own.
    pub endpoint: Option<EndpointId>,
}

/// Names one hand-in, for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The courier's own number of a message; never used twice, also across restarts.
pub type Seq = u64;

/// Which front a message came in by, and so which one words its legs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's protocol: its end is owed as a notice.
    Relay,
    /// CloudEvents: its end answers whoever waits, and is remembered.
    Events,
}

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Authorisation {
    /// Which front it came in by.
    pub origin: Origin,
    /// What makes it the same message when it is handed in again.
    pub identity: Vec<u8>,
    /// The key by which its receiver drops repeats.
    pub repeat_key: Option<Vec<u8>>,
    /// Its class.
    pub class: ClassId,
    /// Its destination.
    pub destination: DestinationId,
    /// Unix time in milliseconds until which it may be delivered.
    pub expires_ms: i64,
    /// What else the front needs to word a leg; opaque here.
    pub attributes: Vec<u8>,
    /// The content, unchanged.
    pub body: Vec<u8>,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A leg was answered as delivered.
    Delivered,
    /// Given up; handing it in again is harmless, best after so many milliseconds.
    Returned(u64),
    /// Given up for good.
    Failed,
    /// Its time ran out.
    Expired,
}

/// What the answer to a leg makes of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// What its outcome makes of it.
    Open,
    /// Nothing more is owed for it.
    Over,
    /// It has failed for good: no other attempt could be answered otherwise.
    Failed,
}

/// What a hand-in is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Journalled: from now on its end is owed.
    TakenOn,
    /// Not taken on; come again after so many milliseconds.
    Declined(u64),
    /// Taken on by an earlier hand-in under another repeat key.
    Conflict,
    /// Over.
    Ended(End),
}

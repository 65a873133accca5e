//! The identities of a group: its members, policies, changes, leaders, processes and storages.
//!
//! All of them travel between members and stand in stored files as `postcard`, which goes by the order of fields.

use marblefall_time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A member, by its position among the names in the group's manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// A policy that is or was in force; each is one more than the one before. 0 is none yet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A proposed change, in the order of the log. A withdrawn one leaves its revision to the next.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalId(pub u64);

/// The time in office of one leader; later leaders have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// One incarnation of a member's process, drawn at its start: a response to an earlier one is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIncarnation(pub u64);

/// The identity of a voter's storage. Storage that was lost, or restored from an old copy, gets another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageId(pub u64);

/// A state of a voter's storage: what a voter sends depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StorageVersion {
    /// Which storage.
    pub id: StorageId,
    /// How often it had been written.
    pub write_count: u64,
}

/// A policy's content, which is opaque here.
pub type Policy = Arc<[u8]>;

/// Who proposed a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Author {
    /// The operator and the member, as they are displayed.
    pub by: String,
    /// Drawn by whoever proposed it: the outcome can be asked for by it when a response was lost.
    pub key: u64,
}

/// A point in time or a duration as it is sent, in microseconds.
pub type Micros = i64;

/// One reading of a daemon's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: Time,
    /// The wall clock, in Unix time and milliseconds. Entries of the log are dated with it; nothing is decided by it.
    pub unix_ms: i64,
}

//! The identities of a group: its members, policies, changes, leaders, processes and storages.
//!
//! All of them are sent between members and stored as `postcard`, which depends on the order of fields.

use marblefall_time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A member, by the position of its name in the group's manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// A policy that is or was in force. Each is one more than its predecessor; 0 is before the first policy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A proposed change, in the order of the log. A withdrawn change does not use up a revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalId(pub u64);

/// The term of one leader. Later leaders have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// The random identity of one run of a member's process. Responses to an earlier run are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIncarnation(pub u64);

/// The random identity of a voter's storage. Storage that was lost, or restored from an old copy, receives a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageId(pub u64);

/// A state of a voter's storage, on which the voter's messages depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StorageVersion {
    /// The storage.
    pub id: StorageId,
    /// The number of writes up to this state.
    pub write_count: u64,
}

/// A policy's encoded content.
pub type Policy = Arc<[u8]>;

/// The author of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Author {
    /// The operator and the member, for display.
    pub name: String,
    /// The random key of the change, by which its outcome is requested.
    pub key: u64,
}

/// A point in time or a duration in messages, in microseconds.
pub type Micros = i64;

/// One reading of a daemon's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: Time,
    /// The wall clock, as Unix time in milliseconds. It dates entries of the log, and no decision depends on it.
    pub unix_ms: i64,
}

//! Identifiers used in a group: of its members, policies, changes, leaders, processes and storages.
//!
//! All identifiers are sent between members and stored as `postcard`, whose encoding depends on the order of fields.

use marblefall_time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The identity of a member: the position of its name in the group's manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// The number of a policy that is or was in force. Numbers are consecutive; 0 stands for the time before the first policy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// The number of a proposed change, in the order of the log. A withdrawn change does not use up a revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalId(pub u64);

/// The number of a leader's term. Later leaders have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// The random identity of one process of a member. Leases granted to an earlier process are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIncarnation(pub u64);

/// The random identity of a voter's storage. Storage that was lost or restored from an old copy receives a new identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StorageId(pub u64);

/// One version of a voter's storage. Each message of the voter depends on one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StorageVersion {
    /// The identity of the storage.
    pub id: StorageId,
    /// The number of writes up to this version.
    pub write_count: u64,
}

/// The encoded content of a policy.
pub type Policy = Arc<[u8]>;

/// The author of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Author {
    /// The names of the operator and the member, for display.
    pub name: String,
    /// The random key of the change, with which its outcome can be requested.
    pub key: u64,
}

/// A point in time or a duration, in microseconds, as encoded in messages.
pub type Micros = i64;

/// One reading of a daemon's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: Time,
    /// The wall clock, as Unix time in milliseconds. Used only to date entries of the log; no decision depends on it.
    pub unix_ms: i64,
}

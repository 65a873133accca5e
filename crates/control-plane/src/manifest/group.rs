//! The part of a manifest that makes several daemons a group. As in `spec`, `#[serde(rename)]` keeps the keys of earlier
//! versions.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a network partition means to a member that is cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionPolicy {
    /// Once its lease has run out it accepts and sends nothing; changes go on without it.
    #[default]
    Stop,
    /// It serves on; changes wait for it, or for an operator's word that it is stopped.
    Serve,
}

/// A daemon of the group, with a home of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// Where its link listens, for the other members and for operators.
    pub link: SocketAddr,
    /// The instances that it runs.
    #[serde(default)]
    pub instances: BTreeSet<String>,
    /// Whether it is a voter.
    #[serde(default)]
    pub votes: bool,
}

/// Daemons that change their policy together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Its name: messages of another group are ignored.
    pub name: String,
    /// What a partition means to a member that is cut off.
    #[serde(default, rename = "on_cut")]
    pub partition_policy: PartitionPolicy,
    /// How long a member acts without hearing from the group, in milliseconds, under [`PartitionPolicy::Stop`].
    #[serde(default = "default_lease_ms", rename = "term_ms")]
    pub lease_ms: u64,
    /// How long a change may wait for the members' checks, in milliseconds, under [`PartitionPolicy::Stop`].
    #[serde(default = "default_check_timeout_ms", rename = "check_ms")]
    pub check_timeout_ms: u64,
    /// How long members may be quiesced before a change is withdrawn, in milliseconds.
    #[serde(default = "default_quiesce_timeout_ms", rename = "stop_ms")]
    pub quiesce_timeout_ms: u64,
    /// The members by name.
    pub members: BTreeMap<String, MemberSpec>,
}

pub(super) fn default_lease_ms() -> u64 {
    3000
}

pub(super) fn default_check_timeout_ms() -> u64 {
    5000
}

pub(super) fn default_quiesce_timeout_ms() -> u64 {
    8000
}

impl GroupSpec {
    /// What is allowed, and may still be a mistake.
    pub fn warning(&self) -> Option<String> {
        let voters = self.members.values().filter(|member| member.votes).count();
        match voters {
            1 => Some("one member votes: its folder alone remembers what was agreed, and its loss is not found out".to_owned()),
            _ => (voters % 2 == 0).then(|| {
                format!("{voters} members vote: the loss of half of them stops all changes, as it would with one less")
            }),
        }
    }
}

//! The part of a manifest that makes several daemons a group, as operators write it ([`GroupSection`]) and as it is stored
//! ([`GroupSpec`]). As in `spec`, `#[serde(rename)]` keeps the keys of earlier versions.

#[cfg(test)]
mod tests;

use super::entries::{without_positions, Entries};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const DEFAULT_LEASE_MS: u64 = 3000;
const DEFAULT_CHECK_TIMEOUT_MS: u64 = 5000;
const DEFAULT_QUIESCE_TIMEOUT_MS: u64 = 8000;

/// What a member does while it cannot reach the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionPolicy {
    /// Once its lease has expired it accepts and sends nothing; changes complete without it.
    #[default]
    Stop,
    /// It continues to serve. Changes wait for it, or for an operator to exclude it.
    Serve,
}

/// A daemon of the group, with a home of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// The address at which it listens for other members and for operators.
    pub link: SocketAddr,
    /// The instances that it runs.
    #[serde(default)]
    pub instances: BTreeSet<String>,
    /// Whether it is a voter.
    #[serde(default)]
    pub votes: bool,
}

/// Daemons that change their policy together, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Its name. Connections from another group are closed.
    pub name: String,
    /// What a member does while it cannot reach the leader.
    #[serde(default, rename = "on_cut")]
    pub partition_policy: PartitionPolicy,
    /// The duration of a lease in milliseconds, under [`PartitionPolicy::Stop`].
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

/// The same as operators write it, with the position of each member. Unlike the stored form it rejects unknown keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GroupSection {
    pub name: String,
    #[serde(default, rename = "on_cut")]
    pub partition_policy: PartitionPolicy,
    #[serde(default = "default_lease_ms", rename = "term_ms")]
    pub lease_ms: u64,
    #[serde(default = "default_check_timeout_ms", rename = "check_ms")]
    pub check_timeout_ms: u64,
    #[serde(default = "default_quiesce_timeout_ms", rename = "stop_ms")]
    pub quiesce_timeout_ms: u64,
    #[serde(default, rename = "member")]
    pub members: Entries<MemberSpec>,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

fn default_check_timeout_ms() -> u64 {
    DEFAULT_CHECK_TIMEOUT_MS
}

fn default_quiesce_timeout_ms() -> u64 {
    DEFAULT_QUIESCE_TIMEOUT_MS
}

impl From<GroupSection> for GroupSpec {
    fn from(section: GroupSection) -> GroupSpec {
        GroupSpec {
            name: section.name,
            partition_policy: section.partition_policy,
            lease_ms: section.lease_ms,
            check_timeout_ms: section.check_timeout_ms,
            quiesce_timeout_ms: section.quiesce_timeout_ms,
            members: without_positions(section.members),
        }
    }
}

impl GroupSpec {
    /// A warning about a number of voters that is valid and probably a mistake.
    pub fn warning(&self) -> Option<String> {
        let voters = self.members.values().filter(|member| member.votes).count();
        match voters {
            1 => Some(
                "one member votes: the group's log is in its folder alone, and the loss of that folder is not detected"
                    .to_owned(),
            ),
            _ if voters % 2 == 0 => Some(format!(
                "{voters} members vote: the loss of half of them stops all changes, as it would with one less"
            )),
            _ => None,
        }
    }
}

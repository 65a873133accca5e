//! The part of a manifest that combines several daemons into a group, as operators write it ([`GroupSection`]) and as it
//! is stored ([`GroupSpec`]). As in `spec`, `#[serde(rename)]` preserves the keys of earlier versions.

#[cfg(test)]
mod tests;

use super::entries::{without_positions, Entries};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const DEFAULT_LEASE_MS: u64 = 3000;
const DEFAULT_CHECK_TIMEOUT_MS: u64 = 5000;
const DEFAULT_QUIESCE_TIMEOUT_MS: u64 = 8000;

/// The behaviour of a member while it cannot reach the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionPolicy {
    /// Once the member's lease has expired, the member accepts and sends nothing. Changes complete without the member.
    #[default]
    Stop,
    /// The member continues to serve. Changes wait until the member is reachable or an operator excludes it.
    Serve,
}

/// A member of the group: a daemon with its own home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// The address at which the member listens for other members and for operators.
    pub link: SocketAddr,
    /// The names of the instances that the member runs.
    #[serde(default)]
    pub instances: BTreeSet<String>,
    /// Whether the member is a voter.
    #[serde(default)]
    pub votes: bool,
}

/// A group of daemons that change their policy together, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The group's name. Connections from other groups are closed.
    pub name: String,
    /// The behaviour of a member while it cannot reach the leader.
    #[serde(default, rename = "on_cut")]
    pub partition_policy: PartitionPolicy,
    /// Duration of a lease in milliseconds, under [`PartitionPolicy::Stop`].
    #[serde(default = "default_lease_ms", rename = "term_ms")]
    pub lease_ms: u64,
    /// Maximum time for which a change waits for the members' checks, in milliseconds, under [`PartitionPolicy::Stop`].
    #[serde(default = "default_check_timeout_ms", rename = "check_ms")]
    pub check_timeout_ms: u64,
    /// Maximum time for which members are quiesced before a change is withdrawn, in milliseconds.
    #[serde(default = "default_quiesce_timeout_ms", rename = "stop_ms")]
    pub quiesce_timeout_ms: u64,
    /// The members by name.
    pub members: BTreeMap<String, MemberSpec>,
}

/// A group as operators write it, with the position of each member. Unlike [`GroupSpec`] it rejects unknown keys.
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
    /// Returns whether a member runs an instance.
    pub fn runs(&self, member: &str, instance: &str) -> bool {
        let member = self.members.get(member);
        member.is_some_and(|member| member.instances.contains(instance))
    }

    /// Returns the name of the member that runs an instance.
    pub fn member_of(&self, instance: &str) -> Option<&str> {
        let mut members = self.members.keys();
        members
            .find(|member| self.runs(member, instance))
            .map(String::as_str)
    }

    /// Returns a warning if the number of voters is valid but probably a mistake.
    pub fn warning(&self) -> Option<String> {
        let voters = self.members.values().filter(|member| member.votes).count();
        match voters {
            1 => Some(
                "one member votes: the group's log is stored only in that member's folder, and the loss of the folder is not detected"
                    .to_owned(),
            ),
            _ if voters % 2 == 0 => Some(format!(
                "{voters} members vote: a failure of half of them stops all changes, which is no better than with one voter fewer"
            )),
            _ => None,
        }
    }
}

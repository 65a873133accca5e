//! Messages between members and the leader.
//!
//! They are encoded as `postcard`, also between two versions of the program: the order of variants and fields must not
//! change.

use crate::identifiers::{Epoch, Micros, Policy, ProcessIncarnation, ProposalId, Revision};
use serde::{Deserialize, Serialize};

/// A member's verdict on a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PolicyVerdict {
    /// The member can act under the policy.
    Accepted,
    /// The member cannot act under the policy, for this reason, which operators read.
    Rejected(String),
}

impl<E: ToString> From<Result<(), E>> for PolicyVerdict {
    fn from(result: Result<(), E>) -> PolicyVerdict {
        match result {
            Ok(()) => PolicyVerdict::Accepted,
            Err(error) => PolicyVerdict::Rejected(error.to_string()),
        }
    }
}

/// A member's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The incarnation of the member's process.
    pub incarnation: ProcessIncarnation,
    /// The process's monotonic clock at the request, in microseconds.
    pub sent_at: Micros,
    /// The revision that the member has applied, whose content is not sent again.
    pub applied: Option<Revision>,
}

/// A lease that the leader grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The incarnation that requested it.
    pub incarnation: ProcessIncarnation,
    /// The process's monotonic clock at the request, in microseconds.
    pub sent_at: Micros,
    /// The duration from the request on in microseconds, from which the member subtracts the drift; `None` is without end,
    /// under [`PartitionPolicy::Serve`](crate::settings::PartitionPolicy::Serve).
    pub duration: Option<Micros>,
    /// The revision in force.
    pub committed: Revision,
    /// The policy in force, unless the member has applied it.
    pub policy: Option<Policy>,
    /// The last proposal with a known outcome.
    pub resolved: ProposalId,
}

/// A message from a member to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToLeader {
    /// A request for a lease.
    LeaseRequest(LeaseRequest),
    /// The member's verdict on a proposed policy.
    PolicyChecked(ProposalId, PolicyVerdict),
    /// The member has stopped acting until it receives the outcome of the proposal. Addressed to the leader of this epoch
    /// alone: a confirmation for an earlier leader may be from an earlier process, while a later process of the member
    /// holds a lease.
    Quiesced(ProposalId, Epoch),
}

/// A message from the leader to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToMember {
    /// The member may act under the policy in force.
    LeaseGranted(LeaseGrant),
    /// Check this policy, which is proposed to follow this revision.
    CheckPolicy(ProposalId, Revision, Policy),
    /// Stop acting until the proposal has its outcome.
    Quiesce(ProposalId),
    /// Proposals up to this one have their outcome, so that a lease can be requested again.
    Resolved(ProposalId),
}

//! Messages between members and the leader.
//!
//! The messages are encoded as `postcard`, also between daemons of different versions, so the order of variants and fields
//! must not change.

use crate::identifiers::{Epoch, Micros, Policy, ProcessIncarnation, ProposalId, Revision};
use serde::{Deserialize, Serialize};

/// A member's verdict on a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PolicyVerdict {
    /// The member can act under the policy.
    Accepted,
    /// The member cannot act under the policy, for this reason, which is displayed to operators.
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
    /// Reading of the process's monotonic clock when the request was sent, in microseconds.
    pub sent_at: Micros,
    /// The revision that the member has applied. The leader does not send its content again.
    pub applied: Option<Revision>,
}

/// A lease that the leader grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The incarnation of the process that requested the lease.
    pub incarnation: ProcessIncarnation,
    /// The [`LeaseRequest::sent_at`] of the request.
    pub sent_at: Micros,
    /// The duration of the lease, counted from the request, in microseconds. The member subtracts the possible clock drift.
    /// `None` under [`PartitionPolicy::Serve`](crate::settings::PartitionPolicy::Serve), where leases do not end.
    pub duration: Option<Micros>,
    /// The revision in force.
    pub committed: Revision,
    /// The policy in force; `None` if the member has already applied it.
    pub policy: Option<Policy>,
    /// The last proposal that has an outcome.
    pub resolved: ProposalId,
}

/// A message from a member to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToLeader {
    /// A request for a lease.
    LeaseRequest(LeaseRequest),
    /// The member's verdict on a proposed policy.
    PolicyChecked(ProposalId, PolicyVerdict),
    /// The member has stopped acting until it receives the outcome of the proposal. Only the leader of this epoch accepts
    /// the confirmation. A confirmation for an earlier leader may be from an earlier process, while a later process of the
    /// member holds a lease.
    Quiesced(ProposalId, Epoch),
}

/// A message from the leader to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToMember {
    /// Grants a lease, with which the member may act under the policy in force.
    LeaseGranted(LeaseGrant),
    /// Requests a verdict on this policy, which is proposed to follow this revision.
    CheckPolicy(ProposalId, Revision, Policy),
    /// Requests the member to stop acting until the proposal has its outcome.
    Quiesce(ProposalId),
    /// Reports that all proposals up to this one have their outcome. A member that was quiesced for one of them may request
    /// a lease again.
    Resolved(ProposalId),
}

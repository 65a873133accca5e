//! What members and the leader send each other.
//!
//! Messages travel as `postcard`, also between two versions of the program: neither the order of variants nor that of
//! fields may change.

use crate::identifiers::{Epoch, Micros, Policy, ProcessIncarnation, ProposalId, Revision};
use serde::{Deserialize, Serialize};

/// A member's verdict on a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PolicyVerdict {
    /// It can act under the policy.
    Accepted,
    /// It cannot, for this reason, which operators read.
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
    /// The member's process.
    pub incarnation: ProcessIncarnation,
    /// Its monotonic clock at the request, in microseconds.
    pub sent_at: Micros,
    /// The policy that it has applied: its content is not sent again.
    pub applied: Option<Revision>,
}

/// A lease as the leader grants it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that requested it.
    pub incarnation: ProcessIncarnation,
    /// That process's monotonic clock at the request, in microseconds.
    pub sent_at: Micros,
    /// Microseconds from the request, less the drift; without end under
    /// [`PartitionPolicy::Serve`](crate::settings::PartitionPolicy::Serve).
    pub duration: Option<Micros>,
    /// The revision in force.
    pub committed: Revision,
    /// The policy in force, where the member has not applied it.
    pub policy: Option<Policy>,
    /// The last proposal whose outcome is known.
    pub resolved: ProposalId,
}

/// From a member to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToLeader {
    /// A request for a lease.
    LeaseRequest(LeaseRequest),
    /// The member's verdict on a proposed policy.
    PolicyChecked(ProposalId, PolicyVerdict),
    /// The member does not act any more, and will not before it learns the outcome of the proposal. Responds to the
    /// leader of this epoch alone: a response to an earlier leader may come from an earlier process, while a later
    /// process of the member holds a lease.
    Quiesced(ProposalId, Epoch),
}

/// From the leader to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToMember {
    /// The member may act under the policy in force.
    LeaseGranted(LeaseGrant),
    /// Check this policy, which is to follow this revision.
    CheckPolicy(ProposalId, Revision, Policy),
    /// Stop acting until the outcome is known.
    Quiesce(ProposalId),
    /// Proposals up to this one have their outcome: a lease may be requested again.
    Resolved(ProposalId),
}

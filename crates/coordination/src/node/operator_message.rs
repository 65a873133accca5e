//! Operators' requests to a group, and its leader's replies.
//!
//! Requests and replies are encoded as `postcard`, also between daemons of different versions, so the order of variants and
//! fields must not change.

use crate::identifiers::{Author, MemberId, Micros, Policy, Revision};
use crate::replicated_state::ResolvedChange;
use serde::{Deserialize, Serialize};

/// An operator's request to the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Change the policy.
    Propose {
        /// The revision that the new policy is based on.
        base: Revision,
        /// The new policy.
        policy: Policy,
        /// The author of the change.
        author: Author,
    },
    /// Return the outcome of the change with this key.
    Outcome(u64),
    /// Withdraw the pending change.
    Withdraw,
    /// Stop waiting for this member, which the operator confirms to be stopped.
    Exclude(MemberId),
    /// Return the state of the group.
    Status,
    /// Return the recent changes that have an outcome.
    History,
}

/// The leader's reply to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The proposed change is being appended to the log.
    Proposed,
    /// Another change by this author is already pending.
    Busy(Author),
    /// The change is not based on the revision in force, which is this one.
    Stale(Revision),
    /// The change is pending, in this phase, and waits for these members.
    Pending(ChangePhase, Vec<MemberId>),
    /// The change has an outcome.
    Resolved(ResolvedChange),
    /// The change or the member is unknown.
    Unknown,
    /// The withdrawal or exclusion is being appended to the log.
    Accepted,
    /// No change is pending.
    NothingPending,
    /// The state of the group.
    Status(Box<GroupStatus>),
    /// Recent changes with an outcome, in order of their outcomes.
    History(Vec<ResolvedChange>),
}

/// The phase of a pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangePhase {
    /// Members check the policy.
    Checking,
    /// Members stop acting under the policy in force, or the outcome is being appended to the log.
    Quiescing,
}

/// The state of the group, as known to its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The member that leads the group.
    pub leader: MemberId,
    /// The revision in force.
    pub committed: Revision,
    /// The pending change, if there is one.
    pub pending: Option<PendingStatus>,
    /// The state of each member.
    pub members: Vec<MemberStatus>,
}

/// The state of a pending change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingStatus {
    /// The author of the change.
    pub author: Author,
    /// The phase of the change.
    pub phase: ChangePhase,
    /// The members that the change waits for.
    pub awaited: Vec<MemberId>,
}

/// The state of a member, as known to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The identity of the member.
    pub member: MemberId,
    /// The revision that the member last reported as applied.
    pub applied: Option<Revision>,
    /// Time since the member's last lease request to this leader, in microseconds; `None` before the first one.
    pub since_last_request: Option<Micros>,
    /// Whether the member is a voter.
    pub votes: bool,
    /// Whether an operator has confirmed that the member is stopped.
    pub excluded: bool,
}

//! Operators' requests to a group, and its leader's replies.
//!
//! Both are encoded as `postcard`, also between two versions of the program: the order of variants and fields must not
//! change.

use crate::identifiers::{Author, MemberId, Micros, Policy, Revision};
use crate::replicated_state::ResolvedChange;
use serde::{Deserialize, Serialize};

/// An operator's request to the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Change the policy.
    Propose {
        /// The revision in force when the change was made.
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
    /// Do not wait for this member: the operator confirms that it is stopped.
    Exclude(MemberId),
    /// Return the state of the group.
    Status,
    /// Return the outcomes of earlier changes.
    History,
}

/// The leader's reply to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is being appended to the log.
    Proposed,
    /// Another change is pending, with this author.
    Busy(Author),
    /// The change is based on another revision than this one, which is in force.
    Stale(Revision),
    /// The change is pending: its phase, and the members that it waits for.
    Pending(ChangePhase, Vec<MemberId>),
    /// The change has its outcome.
    Resolved(ResolvedChange),
    /// The change or the member is unknown.
    Unknown,
    /// The request is being appended to the log.
    Accepted,
    /// No change is pending.
    NothingPending,
    /// The state of the group.
    Status(Box<GroupStatus>),
    /// The outcomes of changes, the latest last.
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

/// The state of the group, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The leader.
    pub leader: MemberId,
    /// The revision in force.
    pub committed: Revision,
    /// The pending change, if there is one.
    pub pending: Option<PendingStatus>,
    /// All members.
    pub members: Vec<MemberStatus>,
}

/// The state of a pending change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingStatus {
    /// The author of the change.
    pub author: Author,
    /// Its phase.
    pub phase: ChangePhase,
    /// The members that it waits for.
    pub awaited: Vec<MemberId>,
}

/// The state of a member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// The revision that the member last reported as applied.
    pub applied: Option<Revision>,
    /// Microseconds since the member's last lease request to this leader.
    pub since_last_request: Option<Micros>,
    /// Whether the member is a voter.
    pub votes: bool,
    /// Whether operators have confirmed that the member is stopped.
    pub excluded: bool,
}

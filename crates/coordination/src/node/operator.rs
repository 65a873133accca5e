//! What operators ask of a group, and how its leader responds.
//!
//! Requests and replies travel as `postcard`, also between two versions of the program: neither the order of variants nor
//! that of fields may change.

use super::{Node, NodeAction};
use crate::identifiers::{Author, ClockReading, MemberId, Micros, Policy, Revision};
use crate::leader::{Leader, LeaderAction};
use crate::replicated_state::{KnownChange, LeaderEntry, ReplicatedState, ResolvedChange};
use marblefall_time::Time;
use serde::{Deserialize, Serialize};

/// What an operator asks of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Change the policy.
    Propose {
        /// The revision that the change is based on.
        base: Revision,
        /// The new policy.
        policy: Policy,
        /// Who proposes it.
        author: Author,
    },
    /// What became of the change with this key?
    Outcome(u64),
    /// Withdraw the pending change.
    Withdraw,
    /// This member is stopped, as the operator confirms: do not wait for it.
    Exclude(MemberId),
    /// What is the state of the group?
    Status,
    /// What became of earlier changes?
    History,
}

/// How the leader responds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is on its way into the log.
    Proposed,
    /// Another change has no outcome yet: who proposed it.
    Busy(Author),
    /// The change is based on another revision than the one in force, which is this.
    Stale(Revision),
    /// The change is in this phase, and waits for these members.
    Pending(ChangePhase, Vec<MemberId>),
    /// The change has its outcome.
    Resolved(ResolvedChange),
    /// No such change, or no such member, is known.
    Unknown,
    /// The request is on its way into the log.
    Accepted,
    /// No change is pending.
    NothingPending,
    /// The group as its leader sees it.
    Status(Box<GroupStatus>),
    /// Outcomes of changes, the latest last.
    History(Vec<ResolvedChange>),
}

/// The phase of a pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangePhase {
    /// Members check the policy.
    Checking,
    /// Members stop acting under the policy in force, or the outcome is on its way into the log.
    Quiescing,
}

/// The group as its leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Who leads.
    pub leader: MemberId,
    /// The revision in force.
    pub committed: Revision,
    /// The change that has no outcome.
    pub pending: Option<PendingStatus>,
    /// All members.
    pub members: Vec<MemberStatus>,
}

/// A pending change as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingStatus {
    /// Who proposed it.
    pub author: Author,
    /// Its phase.
    pub phase: ChangePhase,
    /// The members that it waits for.
    pub awaited: Vec<MemberId>,
}

/// A member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Which.
    pub member: MemberId,
    /// The revision that it last reported as applied.
    pub applied: Option<Revision>,
    /// Microseconds since its last request to this leader.
    pub since_last_request: Option<Micros>,
    /// Whether it votes.
    pub votes: bool,
    /// Whether operators confirmed that it is stopped.
    pub excluded: bool,
}

/// What a leader knows that is surely the only one.
struct LeaderView<'a> {
    leader: &'a Leader,
    state: &'a ReplicatedState,
    now: Time,
}

impl LeaderView<'_> {
    fn phase(&self) -> ChangePhase {
        if self.leader.is_past_checking() {
            ChangePhase::Quiescing
        } else {
            ChangePhase::Checking
        }
    }

    /// What became of the change with this key, if it is known.
    fn outcome(&self, key: u64) -> Option<Reply> {
        Some(match self.state.find_change(key)? {
            KnownChange::Resolved(change) => Reply::Resolved(change.clone()),
            KnownChange::Pending(_) => {
                Reply::Pending(self.phase(), self.leader.awaited_members(self.now))
            }
        })
    }

    /// Why a change is not taken into the log, if it is known already or cannot be made now.
    fn objection(&self, base: Revision, author: &Author) -> Option<Reply> {
        if let Some(reply) = self.outcome(author.key) {
            return Some(reply);
        }
        if let Some(pending) = &self.state.pending {
            return Some(Reply::Busy(pending.author.clone()));
        }
        (base != self.state.committed).then_some(Reply::Stale(self.state.committed))
    }

    fn pending(&self) -> Option<PendingStatus> {
        let change = self.state.pending.as_ref()?;
        Some(PendingStatus {
            author: change.author.clone(),
            phase: self.phase(),
            awaited: self.leader.awaited_members(self.now),
        })
    }
}

impl Node {
    /// The leader's reply to an operator; nothing where this daemon does not lead.
    pub(super) fn reply(
        &mut self,
        now: ClockReading,
        request: Request,
        actions: &mut Vec<NodeAction>,
    ) -> Option<Reply> {
        let view = self.leader_view(now.monotonic)?;
        Some(match request {
            Request::Propose {
                base,
                policy,
                author,
            } => match view.objection(base, &author) {
                Some(reply) => reply,
                None => self.reply_to_proposal(now, policy, author, actions),
            },
            Request::Outcome(key) => view.outcome(key).unwrap_or(Reply::Unknown),
            Request::Withdraw => {
                if view.state.pending.is_none() {
                    return Some(Reply::NothingPending);
                }
                self.lead(now, actions, Leader::withdraw_by_operator);
                Reply::Accepted
            }
            Request::Exclude(member) => {
                if !self.setup.members.contains(&member) {
                    return Some(Reply::Unknown);
                }
                let excluded = LeaderAction::Append(LeaderEntry::Excluded(member));
                self.lead(now, actions, |_, actions| actions.push(excluded));
                Reply::Accepted
            }
            Request::Status => Reply::Status(Box::new(self.group_status(&view))),
            Request::History => Reply::History(view.state.history.iter().cloned().collect()),
        })
    }

    /// None where another leader may have followed: what was in force is not reported as what is.
    fn leader_view(&self, now: Time) -> Option<LeaderView<'_>> {
        let leader = self.leader.as_ref()?;
        let state = self.voter.as_ref()?.state();
        leader
            .holds_lease(now)
            .then_some(LeaderView { leader, state, now })
    }

    fn reply_to_proposal(
        &mut self,
        now: ClockReading,
        policy: Policy,
        author: Author,
        actions: &mut Vec<NodeAction>,
    ) -> Reply {
        match &self.proposal_in_flight {
            // An operator who has heard nothing for a while proposes the same change again.
            Some(in_flight) if in_flight.key == author.key => {}
            Some(in_flight) => return Reply::Busy(in_flight.clone()),
            None => self.propose(now, policy, author, actions),
        }
        Reply::Proposed
    }

    fn group_status(&self, view: &LeaderView<'_>) -> GroupStatus {
        let status = |member: &MemberId| {
            let report = self.reports.get(member);
            MemberStatus {
                member: *member,
                applied: report.and_then(|report| report.applied),
                since_last_request: report.map(|report| (view.now - report.received_at).0),
                votes: self.setup.voters.contains(member),
                excluded: view.state.excluded.contains(member),
            }
        };
        GroupStatus {
            leader: self.setup.own_id,
            committed: view.state.committed,
            pending: view.pending(),
            members: self.setup.members.iter().map(status).collect(),
        }
    }
}

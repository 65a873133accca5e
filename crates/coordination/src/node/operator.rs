//! Handling of operators' requests by the leader.

use super::operator_message::{
    ChangePhase, GroupStatus, MemberStatus, PendingStatus, Reply, Request,
};
use super::{Node, NodeAction};
use crate::identifiers::{Author, ClockReading, MemberId, Policy, Revision};
use crate::leader::{Leader, LeaderAction};
use crate::replicated_state::{KnownChange, LeaderEntry, ReplicatedState};
use marblefall_time::Time;

/// A view of the leader's state, valid because the leader holds its own lease.
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

    /// Returns the outcome or the phase of the change with this key, if the change is known.
    fn outcome(&self, key: u64) -> Option<Reply> {
        Some(match self.state.find_change(key)? {
            KnownChange::Resolved(change) => Reply::Resolved(change.clone()),
            KnownChange::Pending(_) => {
                Reply::Pending(self.phase(), self.leader.awaited_members(self.now))
            }
        })
    }

    /// Returns the reply to a proposal that must not be appended to the log, because the change is known already, another
    /// change is pending, or the base is not the revision in force. Returns `None` if the proposal can be appended.
    fn reply_without_appending(&self, base: Revision, author: &Author) -> Option<Reply> {
        if let Some(reply) = self.outcome(author.key) {
            return Some(reply);
        }
        if let Some(pending) = &self.state.pending {
            return Some(Reply::Busy(pending.author.clone()));
        }
        (base != self.state.committed).then_some(Reply::Stale(self.state.committed))
    }

    fn pending_status(&self) -> Option<PendingStatus> {
        let change = self.state.pending.as_ref()?;
        Some(PendingStatus {
            author: change.author.clone(),
            phase: self.phase(),
            awaited: self.leader.awaited_members(self.now),
        })
    }
}

impl Node {
    /// Returns the reply to an operator's request, or `None` if this daemon does not lead or its lease has expired.
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
            } => match view.reply_without_appending(base, &author) {
                Some(reply) => reply,
                None => self.reply_to_proposal(now, policy, author, actions),
            },
            Request::Outcome(key) => view.outcome(key).unwrap_or(Reply::Unknown),
            Request::Withdraw if view.state.pending.is_none() => Reply::NothingPending,
            Request::Withdraw => {
                self.call_leader(now, actions, Leader::withdraw_by_operator);
                Reply::Accepted
            }
            Request::Exclude(member) if !self.setup.members.contains(&member) => Reply::Unknown,
            Request::Exclude(member) => {
                let excluded = LeaderAction::Append(LeaderEntry::Excluded(member));
                self.call_leader(now, actions, |_, actions| actions.push(excluded));
                Reply::Accepted
            }
            Request::Status => Reply::Status(Box::new(self.group_status(&view))),
            Request::History => Reply::History(view.state.history.iter().cloned().collect()),
        })
    }

    /// Returns a view of the leader's state, or `None` if another leader may exist. This leader may then not know the policy
    /// in force.
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
            // An operator's command repeats its proposal until it receives a reply.
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
            pending: view.pending_status(),
            members: self.setup.members.iter().map(status).collect(),
        }
    }
}

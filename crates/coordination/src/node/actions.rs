//! Execution of the actions of a node's member, voter and leader. Each action becomes an action of the node, or a call of
//! another of its state machines.

use super::{Frame, Node, NodeAction};
use crate::identifiers::{Author, ClockReading, Epoch, MemberId, Policy, Revision};
use crate::leader::{Leader, LeaderAction};
use crate::member::MemberAction;
use crate::replicated_state::LeaderEntry;
use crate::voter::VoterAction;
use marblefall_time::Span;

/// Minimum time between two proposals of the initial policy.
const INITIAL_PROPOSAL_INTERVAL: Span = Span(3_000_000);
/// The author of the initial policy, as displayed to operators.
const INITIAL_AUTHOR: &str = "founding";
/// The key of the initial policy's proposal.
const INITIAL_KEY: u64 = 0;

impl Node {
    pub(super) fn execute_member_actions(
        &mut self,
        now: ClockReading,
        member_actions: Vec<MemberAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for action in member_actions {
            match action {
                MemberAction::Send(message) => self.send_to_leader(now, message, actions),
                MemberAction::CheckPolicy(proposal, follows, policy) => {
                    actions.push(NodeAction::CheckPolicy(proposal, follows, policy));
                }
                MemberAction::ApplyPolicy(revision, policy) => {
                    actions.push(NodeAction::ApplyPolicy(revision, policy));
                }
            }
        }
    }

    /// Calls the leader if this daemon is the leader, and executes the resulting actions.
    pub(super) fn call_leader(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<NodeAction>,
        call: impl FnOnce(&mut Leader, &mut Vec<LeaderAction>),
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let epoch = leader.epoch();
        let (mut leader_actions, mut voter_actions) = (Vec::new(), Vec::new());
        call(leader, &mut leader_actions);
        for action in leader_actions {
            match action {
                LeaderAction::Send(to, message) => {
                    actions.push(NodeAction::Send(to, Frame::ToMember(epoch, message)));
                }
                LeaderAction::Append(entry) => {
                    actions.push(NodeAction::Log("log-append", describe_entry(&entry)));
                    if let Some(voter) = &mut self.voter {
                        let at = now.monotonic;
                        voter.append(at, epoch, now.unix_ms, entry, &mut voter_actions);
                    }
                }
            }
        }
        self.execute_voter_actions(now, voter_actions, actions);
    }

    pub(super) fn execute_voter_actions(
        &mut self,
        now: ClockReading,
        voter_actions: Vec<VoterAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for action in voter_actions {
            match action {
                VoterAction::Send(to, message) => {
                    actions.push(NodeAction::Send(to, Frame::Voter(message)));
                }
                VoterAction::Committed(entry) => self.handle_committed(now, entry, actions),
                VoterAction::Elected(epoch) => self.become_leader(now, epoch, actions),
                VoterAction::Deposed => {
                    self.leader = None;
                    let text = "this daemon no longer leads the group".to_owned();
                    actions.push(NodeAction::Log("leader-deposed", text));
                }
                VoterAction::LeaseExtended(until) => {
                    self.call_leader(now, actions, |leader, _| leader.extend_lease(until));
                }
                VoterAction::Log(code, text) => actions.push(NodeAction::Log(code, text)),
            }
        }
    }

    fn handle_committed(
        &mut self,
        now: ClockReading,
        entry: LeaderEntry,
        actions: &mut Vec<NodeAction>,
    ) {
        actions.push(NodeAction::Log("log-commit", describe_entry(&entry)));
        if matches!(entry, LeaderEntry::Proposed(..)) {
            self.proposal_in_flight = None;
        }
        self.call_leader(now, actions, |leader, actions| {
            leader.handle_committed(now.monotonic, entry, actions)
        });
    }

    fn become_leader(&mut self, now: ClockReading, epoch: Epoch, actions: &mut Vec<NodeAction>) {
        let Some(voter) = &self.voter else { return };
        let members: Vec<MemberId> = self.setup.members.iter().copied().collect();
        self.leader = Some(Leader::elected(
            self.setup.settings,
            epoch,
            now.monotonic,
            &members,
            voter.state(),
        ));
        self.proposal_in_flight = None;
        self.next_initial_proposal = now.monotonic;
        self.reports.clear();
        let text = format!("this daemon leads the group, epoch {:x}", epoch.0);
        actions.push(NodeAction::Log("leader-elected", text));
    }

    /// Proposes the initial policy, if this daemon is the leader and the log contains no policy.
    pub(super) fn propose_initial_policy(
        &mut self,
        now: ClockReading,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(leader) = &self.leader else { return };
        let is_empty =
            leader.committed_revision() == Revision(0) && leader.pending_proposal().is_none();
        if !is_empty
            || self.proposal_in_flight.is_some()
            || now.monotonic < self.next_initial_proposal
        {
            return;
        }
        self.next_initial_proposal = now.monotonic + INITIAL_PROPOSAL_INTERVAL;
        if let Some(policy) = self.setup.initial_policy.clone() {
            let author = Author {
                name: INITIAL_AUTHOR.to_owned(),
                key: INITIAL_KEY,
            };
            self.propose(now, policy, author, actions);
        }
    }

    /// Proposes a policy, if this daemon is the leader and no change is pending.
    pub(super) fn propose(
        &mut self,
        now: ClockReading,
        policy: Policy,
        author: Author,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(proposal) = self.leader.as_ref().and_then(Leader::next_proposal) else {
            return;
        };
        self.proposal_in_flight = Some(author.clone());
        let proposed = LeaderAction::Append(LeaderEntry::Proposed(proposal, policy, author));
        self.call_leader(now, actions, |_, actions| actions.push(proposed));
    }
}

/// Returns a description of the entry for log lines.
fn describe_entry(entry: &LeaderEntry) -> String {
    match entry {
        LeaderEntry::Proposed(proposal, _, author) => {
            format!("change {} is proposed by {}", proposal.0, author.name)
        }
        LeaderEntry::InForce(proposal) => format!("change {} is in force", proposal.0),
        LeaderEntry::Withdrawn(proposal, reason) => {
            format!("change {} is withdrawn: {reason}", proposal.0)
        }
        LeaderEntry::Excluded(member) => {
            format!("member {} is excluded, as an operator confirmed", member.0)
        }
        LeaderEntry::Readmitted(member) => format!("member {} is readmitted", member.0),
    }
}

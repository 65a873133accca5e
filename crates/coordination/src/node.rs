//! The state machine of one daemon of a group. Each daemon is a member, may be a voter, and may be the leader.
//!
//! A node receives frames, requests and the time, and returns actions. The driver executes the actions in order. All
//! messages that follow a write depend on it: if the write fails, none of them may be sent.

mod actions;
mod frame;
mod operator;
mod operator_message;

pub use frame::{Frame, NodeAction, RequestNumber};
pub use operator_message::{ChangePhase, GroupStatus, MemberStatus, PendingStatus, Reply, Request};

use crate::identifiers::{
    Author, ClockReading, MemberId, Policy, ProcessIncarnation, ProposalId, Revision,
};
use crate::leader::Leader;
use crate::member::{Lease, Member};
use crate::message::{PolicyVerdict, ToLeader};
use crate::persistent_state::PersistentState;
use crate::settings::CoordinationSettings;
use crate::voter::{Voter, VoterSetup, VotingStatus};
use marblefall_time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The parameters from which a node is created.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// The identity of this member.
    pub own_id: MemberId,
    /// All members, including this one.
    pub members: BTreeSet<MemberId>,
    /// The members that vote.
    pub voters: BTreeSet<MemberId>,
    /// The group's settings.
    pub settings: CoordinationSettings,
    /// The incarnation of this process.
    pub incarnation: ProcessIncarnation,
    /// The content of the voter's storage, if this member votes.
    pub state: Option<PersistentState>,
    /// The initial policy, which the leader of an empty log proposes.
    pub initial_policy: Option<Policy>,
}

/// The sender and time of the last message from a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderContact {
    /// The leader that sent the message.
    pub leader: MemberId,
    /// Time at which the message was received.
    pub received_at: Time,
}

/// The contents of a member's last lease request.
struct MemberReport {
    received_at: Time,
    applied: Option<Revision>,
}

/// The state machine of one daemon of a group.
pub struct Node {
    setup: NodeSetup,
    member: Member,
    /// `None` if this member does not vote.
    voter: Option<Voter>,
    /// `None` while this daemon is not the leader.
    leader: Option<Leader>,
    /// The author of a proposal that this leader has appended and that is not committed yet.
    proposal_in_flight: Option<Author>,
    last_leader: Option<LeaderContact>,
    /// The last report of each member since this node was elected.
    reports: BTreeMap<MemberId, MemberReport>,
    /// Earliest time at which the initial policy may be proposed again.
    next_initial_proposal: Time,
}

impl Node {
    /// Creates the node of a starting process.
    pub fn new(mut setup: NodeSetup, now: Time) -> Node {
        let votes = setup.voters.contains(&setup.own_id);
        let state = setup.state.take().filter(|_| votes);
        let voter_setup = state.map(|state| VoterSetup {
            own_id: setup.own_id,
            voters: setup.voters.clone(),
            lease_duration: setup.settings.lease_duration,
            state,
            seed: setup.incarnation.0,
        });
        Node {
            member: Member::new(setup.settings, setup.incarnation),
            voter: voter_setup.map(|voter_setup| Voter::new(voter_setup, now)),
            setup,
            leader: None,
            proposal_in_flight: None,
            last_leader: None,
            reports: BTreeMap::new(),
            next_initial_proposal: now,
        }
    }

    /// Returns the lease that this member holds at `now`.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.member.lease(now)
    }

    /// Returns whether this member is quiesced for a change, or was recently released and is requesting a lease.
    pub fn is_quiesced(&self, now: Time) -> bool {
        self.member.is_quiesced(now)
    }

    /// Returns the revision of the policy that was last applied.
    pub fn applied(&self) -> Option<Revision> {
        self.member.applied()
    }

    /// Returns the sender and time of the last message from a leader.
    pub fn last_leader(&self) -> Option<LeaderContact> {
        self.last_leader
    }

    /// Returns the status of this member's voter, or `None` if it does not vote.
    pub fn voting_status(&self) -> Option<VotingStatus> {
        self.voter.as_ref().map(Voter::status)
    }

    /// Returns the time at which [`Node::tick`] must be called next.
    pub fn next_wake(&self, now: Time) -> Time {
        let voter = self.voter.iter().map(Voter::next_wake);
        let leader = self
            .leader
            .iter()
            .filter(|leader| leader.pending_proposal().is_some())
            .map(|_| now + self.setup.settings.resend_interval);
        let member = self.member.next_wake(now);
        voter.chain(leader).fold(member, Time::min)
    }

    /// Performs all work that is due at `now`.
    pub fn tick(&mut self, now: ClockReading, actions: &mut Vec<NodeAction>) {
        let mut voter_actions = Vec::new();
        if let Some(voter) = &mut self.voter {
            voter.tick(now.monotonic, &mut voter_actions);
        }
        self.execute_voter_actions(now, voter_actions, actions);
        self.call_leader(now, actions, |leader, actions| {
            leader.tick(now.monotonic, actions)
        });
        let mut member_actions = Vec::new();
        self.member.tick(now.monotonic, &mut member_actions);
        self.execute_member_actions(now, member_actions, actions);
        self.propose_initial_policy(now, actions);
        self.put_write_first(actions);
    }

    /// Handles a new connection to another daemon, which may be the first one or replace an earlier one.
    pub fn handle_connected(
        &mut self,
        now: ClockReading,
        member: MemberId,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut voter_actions = Vec::new();
        if let Some(voter) = &mut self.voter {
            voter.handle_connected(member, &mut voter_actions);
        }
        self.execute_voter_actions(now, voter_actions, actions);
        self.put_write_first(actions);
    }

    /// Handles a frame from a daemon, which may be this one. Frames from daemons that are not members are ignored.
    pub fn handle_frame(
        &mut self,
        now: ClockReading,
        from: MemberId,
        frame: Frame,
        actions: &mut Vec<NodeAction>,
    ) {
        if !self.setup.members.contains(&from) {
            return;
        }
        match frame {
            Frame::Voter(message) => {
                let mut voter_actions = Vec::new();
                if let Some(voter) = &mut self.voter {
                    voter.handle_message(now.monotonic, from, message, &mut voter_actions);
                }
                self.execute_voter_actions(now, voter_actions, actions);
            }
            Frame::ToLeader(message) => self.handle_to_leader(now, from, message, actions),
            Frame::ToMember(epoch, message) => {
                self.last_leader = Some(LeaderContact {
                    leader: from,
                    received_at: now.monotonic,
                });
                let mut member_actions = Vec::new();
                self.member
                    .handle_message(now.monotonic, epoch, message, &mut member_actions);
                self.execute_member_actions(now, member_actions, actions);
            }
            Frame::Request(number, request) => {
                if let Some(reply) = self.reply(now, request, actions) {
                    actions.push(NodeAction::Send(from, Frame::Reply(number, reply)));
                }
            }
            Frame::Reply(number, reply) => actions.push(NodeAction::Reply(number, reply)),
        }
        self.put_write_first(actions);
    }

    /// Handles this member's verdict on a proposed policy.
    pub fn handle_checked(
        &mut self,
        now: ClockReading,
        proposal: ProposalId,
        verdict: PolicyVerdict,
        actions: &mut Vec<NodeAction>,
    ) {
        self.send_to_leader(now, ToLeader::PolicyChecked(proposal, verdict), actions);
        self.put_write_first(actions);
    }

    /// Forwards an operator's request to the leader. If a leader receives the request, its reply is returned later as
    /// [`NodeAction::Reply`].
    pub fn handle_request(
        &mut self,
        now: ClockReading,
        number: RequestNumber,
        request: Request,
        actions: &mut Vec<NodeAction>,
    ) {
        for to in self.possible_leaders(now.monotonic) {
            let frame = Frame::Request(number, request.clone());
            actions.push(NodeAction::Send(to, frame));
        }
    }

    /// Handles the failure of a [`NodeAction::Write`].
    pub fn handle_write_failed(&mut self) {
        if let Some(voter) = &mut self.voter {
            voter.handle_write_failed();
        }
    }

    fn handle_to_leader(
        &mut self,
        now: ClockReading,
        from: MemberId,
        message: ToLeader,
        actions: &mut Vec<NodeAction>,
    ) {
        if let ToLeader::LeaseRequest(request) = &message {
            let report = MemberReport {
                received_at: now.monotonic,
                applied: request.applied,
            };
            self.reports.insert(from, report);
        }
        self.call_leader(now, actions, |leader, actions| {
            leader.handle_message(now.monotonic, from, message, actions)
        });
    }

    /// Returns the members that may be the leader. If a leader's message was received recently this is its sender, otherwise
    /// all voters.
    fn possible_leaders(&self, now: Time) -> Vec<MemberId> {
        let settings = &self.setup.settings;
        let half_lease = Span(settings.lease_duration.0 / 2);
        let recent = settings.resend_interval.max(half_lease);
        match self.last_leader {
            Some(contact) if now - contact.received_at <= recent => vec![contact.leader],
            Some(_) | None => self.setup.voters.iter().copied().collect(),
        }
    }

    fn send_to_leader(&self, now: ClockReading, message: ToLeader, actions: &mut Vec<NodeAction>) {
        for to in self.possible_leaders(now.monotonic) {
            actions.push(NodeAction::Send(to, Frame::ToLeader(message.clone())));
        }
    }

    /// Inserts the write of the voter's state before all other actions, if its state has unsaved changes.
    fn put_write_first(&mut self, actions: &mut Vec<NodeAction>) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::take_unsaved) {
            actions.insert(0, NodeAction::Write(bytes));
        }
    }
}

//! One daemon of a group: a member, perhaps a voter, perhaps the leader.
//!
//! Fed with frames, requests and time; hands out what must be written, sent and done, in this order. All that follows a
//! write depends on it: where the write fails, nothing that follows may be sent.

mod operator;

pub use operator::{ChangePhase, GroupStatus, MemberStatus, PendingStatus, Reply, Request};

use crate::identifiers::{
    Author, ClockReading, Epoch, MemberId, Policy, ProcessIncarnation, ProposalId, Revision,
};
use crate::leader::{Leader, LeaderAction};
use crate::member::{Lease, Member, MemberAction};
use crate::message::{PolicyVerdict, ToLeader, ToMember};
use crate::persistent_state::PersistentState;
use crate::replicated_state::LeaderEntry;
use crate::settings::CoordinationSettings;
use crate::voter::{Voter, VoterAction, VoterMessage, VoterSetup, VotingStatus};
use marblefall_time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long a leader waits before it proposes the initial policy again.
const INITIAL_PROPOSAL_INTERVAL: Span = Span(3_000_000);

/// An operator's request, by a number that the daemon drew to which the operator is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// What one daemon sends another, as `postcard`: the order of variants may not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Between voters.
    Voter(VoterMessage),
    /// From a member to the leader.
    ToLeader(ToLeader),
    /// From the leader of this epoch to a member.
    ToMember(Epoch, ToMember),
    /// An operator's request on its way to the leader.
    Request(RequestNumber, Request),
    /// The leader's reply to it.
    Reply(RequestNumber, Reply),
}

/// What the node's driver must do, in this order.
#[derive(Debug)]
pub enum NodeAction {
    /// Write this file; where that fails, call [`Node::handle_write_failed`] and send nothing of what follows.
    Write(Vec<u8>),
    /// Send this; to this very member, pass it to [`Node::handle_frame`].
    Send(MemberId, Frame),
    /// Check this policy, which is to follow this revision, against the messages that are held, and call
    /// [`Node::handle_checked`].
    CheckPolicy(ProposalId, Revision, Policy),
    /// Store the policy and put it in force.
    ApplyPolicy(Revision, Policy),
    /// Give an operator the reply.
    Reply(RequestNumber, Reply),
    /// Write a log line: a reason code, and what happened.
    Log(&'static str, String),
}

/// What a node starts with.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    /// Which member this is.
    pub own_id: MemberId,
    /// All members.
    pub members: BTreeSet<MemberId>,
    /// The members that vote.
    pub voters: BTreeSet<MemberId>,
    /// The group's settings.
    pub settings: CoordinationSettings,
    /// Drawn for this process.
    pub incarnation: ProcessIncarnation,
    /// What the storage holds, if this member votes.
    pub state: Option<PersistentState>,
    /// The policy that this home was founded with, if any: the leader of an empty log proposes it.
    pub initial_policy: Option<Policy>,
}

/// The last message of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderContact {
    /// Who led.
    pub leader: MemberId,
    /// When the message was received.
    pub received_at: Time,
}

/// What a member last reported to this leader.
struct MemberReport {
    received_at: Time,
    applied: Option<Revision>,
}

/// One daemon of a group.
pub struct Node {
    setup: NodeSetup,
    member: Member,
    voter: Option<Voter>,
    leader: Option<Leader>,
    /// A proposal was appended and is not committed yet.
    proposal_in_flight: Option<Author>,
    last_leader: Option<LeaderContact>,
    /// As leader: what members last reported.
    reports: BTreeMap<MemberId, MemberReport>,
    next_initial_proposal: Time,
}

impl Node {
    /// A daemon that starts.
    pub fn new(mut setup: NodeSetup, now: Time) -> Node {
        let votes = setup.voters.contains(&setup.own_id);
        // The state is the voter's from here on.
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

    /// The lease that this member holds at this moment.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.member.lease(now)
    }

    /// Whether this member is quiesced for a change.
    pub fn is_quiesced(&self, now: Time) -> bool {
        self.member.is_quiesced(now)
    }

    /// The policy that was last applied.
    pub fn applied(&self) -> Option<Revision> {
        self.member.applied()
    }

    /// The last message of a leader.
    pub fn last_leader(&self) -> Option<LeaderContact> {
        self.last_leader
    }

    /// Whether this member participates in voting and in which configuration, if it is a voter.
    pub fn voting_status(&self) -> Option<VotingStatus> {
        self.voter.as_ref().map(Voter::status)
    }

    /// When [`Node::tick`] must be called next.
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

    /// Time has passed.
    pub fn tick(&mut self, now: ClockReading, actions: &mut Vec<NodeAction>) {
        let mut voter_actions = Vec::new();
        if let Some(voter) = &mut self.voter {
            voter.tick(now.monotonic, &mut voter_actions);
        }
        self.execute_voter_actions(now, voter_actions, actions);
        self.lead(now, actions, |leader, actions| {
            leader.tick(now.monotonic, actions)
        });
        let mut member_actions = Vec::new();
        self.member.tick(now.monotonic, &mut member_actions);
        self.execute_member_actions(now, member_actions, actions);
        self.propose_initial_policy(now, actions);
        self.put_write_first(actions);
    }

    /// The connection to another daemon was established anew.
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

    /// A daemon, which may be this one, has sent a frame. One that is not from a member changes nothing.
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

    /// A proposed policy was checked.
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

    /// An operator asks something of the group; the reply comes as [`NodeAction::Reply`], if a leader receives the request.
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

    /// A [`NodeAction::Write`] failed.
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
        self.lead(now, actions, |leader, actions| {
            leader.handle_message(now.monotonic, from, message, actions)
        });
    }

    /// Who may lead: whoever did recently, otherwise any voter.
    fn possible_leaders(&self, now: Time) -> Vec<MemberId> {
        let settings = &self.setup.settings;
        let recent = Span(
            settings
                .resend_interval
                .0
                .max(settings.lease_duration.0 / 2),
        );
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

    fn execute_member_actions(
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

    /// Calls the leader, if this daemon leads, and executes its actions.
    fn lead(
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
                    actions.push(NodeAction::Log("log-append", describe(&entry)));
                    if let Some(voter) = &mut self.voter {
                        let at = now.monotonic;
                        voter.append(at, epoch, now.unix_ms, entry, &mut voter_actions);
                    }
                }
            }
        }
        self.execute_voter_actions(now, voter_actions, actions);
    }

    fn execute_voter_actions(
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
                    let text = "another daemon leads the group, or none".to_owned();
                    actions.push(NodeAction::Log("leader-deposed", text));
                }
                VoterAction::LeaseExtended(until) => {
                    self.lead(now, actions, |leader, _| leader.extend_lease(until));
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
        actions.push(NodeAction::Log("log-commit", describe(&entry)));
        if matches!(entry, LeaderEntry::Proposed(..)) {
            self.proposal_in_flight = None;
        }
        self.lead(now, actions, |leader, actions| {
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

    /// The leader of an empty log proposes what its home was founded with.
    fn propose_initial_policy(&mut self, now: ClockReading, actions: &mut Vec<NodeAction>) {
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
                by: "founding".to_owned(),
                key: 0,
            };
            self.propose(now, policy, author, actions);
        }
    }

    fn propose(
        &mut self,
        now: ClockReading,
        policy: Policy,
        author: Author,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(Ok(proposal)) = self.leader.as_ref().map(Leader::next_proposal) else {
            return;
        };
        self.proposal_in_flight = Some(author.clone());
        let proposed = LeaderAction::Append(LeaderEntry::Proposed(proposal, policy, author));
        self.lead(now, actions, |_, actions| actions.push(proposed));
    }

    /// What must be on disk comes before all that is sent.
    fn put_write_first(&mut self, actions: &mut Vec<NodeAction>) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::take_unsaved) {
            actions.insert(0, NodeAction::Write(bytes));
        }
    }
}

/// An entry, for log lines.
fn describe(entry: &LeaderEntry) -> String {
    match entry {
        LeaderEntry::Proposed(proposal, _, author) => {
            format!("change {} is proposed by {}", proposal.0, author.by)
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

//! Simulation of members, leaders and a log that commits entries in one order.

use super::common::{
    policy_rejected_by, rejects, verdict, InvariantChecker, MemberClock, Trace, MS,
};
use super::mutant::Mutant;
use super::network::Message;
use super::simulated_member::SimulatedMember;
use marblefall_coordination::identifiers::{
    Author, Epoch, MemberId, Policy, ProcessIncarnation, ProposalId, Revision,
};
use marblefall_coordination::leader::{Leader, LeaderAction};
use marblefall_coordination::member::{Member, MemberAction};
use marblefall_coordination::message::{PolicyVerdict, ToLeader};
use marblefall_coordination::replicated_state::LeaderEntry;
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Maximum reading of a clock at the start of the simulation, in microseconds.
pub const MAX_CLOCK_OFFSET: i64 = 1_000_000_000;
/// Number of steps with injected faults.
const STEPS: u32 = 12_000;
/// Number of steps without faults in which the group must recover.
const RECOVERY_STEPS: u32 = 4000;
/// Interval between proposals, in steps.
const STEPS_PER_PROPOSAL: u32 = 20;
/// Interval between steps whose policy a member rejects, in steps.
const STEPS_PER_REJECTED_POLICY: u32 = 5;
/// Number of members that take turns in rejecting such a policy.
const REJECTING_MEMBERS: u32 = 3;
/// Time from the proposal of a change until its entry is committed, in microseconds.
const PROPOSAL_COMMIT_TIME: i64 = 3 * MS;

/// The revision in force and the pending change, as known to the latest leader.
#[derive(Debug, PartialEq)]
pub struct LeaderState {
    pub committed: Revision,
    pub pending: Option<ProposalId>,
}

/// An entry that is appended and not committed yet.
pub struct Appended {
    commits_at: i64,
    epoch: Epoch,
    pub entry: LeaderEntry,
}

pub struct Simulation {
    pub rng: Pcg64,
    pub settings: CoordinationSettings,
    pub mutant: Mutant,
    pub now: i64,
    pub members: BTreeMap<MemberId, SimulatedMember>,
    /// The latest leader, preceded by earlier ones that have not noticed it. Only the latest leader's entries are committed.
    pub leaders: Vec<Leader>,
    /// End of the latest leader's own lease.
    pub leader_lease_end: i64,
    /// Whether the latest leader can no longer commit entries.
    pub is_deposed: bool,
    pub epoch: u64,
    /// The committed entries.
    pub log: Vec<LeaderEntry>,
    pub appended: Vec<Appended>,
    /// Messages in flight, by their time of arrival and then by the order in which they were sent.
    pub in_flight: BTreeMap<(i64, u64), Message>,
    /// Number of messages sent so far.
    pub sent: u64,
    starts: u64,
    pub invariants: InvariantChecker,
    /// Proposals that must not come into force, because a member has rejected them.
    pub rejected: Vec<ProposalId>,
    pub trace: Trace,
    pub faults_enabled: bool,
}

fn settings(partition_policy: PartitionPolicy) -> CoordinationSettings {
    CoordinationSettings {
        partition_policy,
        lease_duration: Span(300 * MS),
        clock_drift_percent: 1,
        check_timeout: Span(900 * MS),
        quiesce_timeout: Span(900 * MS),
        resend_interval: Span(30 * MS),
    }
}

impl Simulation {
    pub fn new(
        seed: u64,
        members: u32,
        partition_policy: PartitionPolicy,
        mutant: Mutant,
    ) -> Simulation {
        let mut rng = Pcg64::seed_from_u64(seed);
        let member = |id| {
            let clock = MemberClock::random(&mut rng, MAX_CLOCK_OFFSET);
            (MemberId(id), SimulatedMember::new(clock))
        };
        let members = (0..members).map(member).collect();
        Simulation {
            rng,
            settings: settings(partition_policy),
            mutant,
            now: 0,
            members,
            leaders: Vec::new(),
            leader_lease_end: 0,
            is_deposed: false,
            epoch: 0,
            log: Vec::new(),
            appended: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            starts: 0,
            invariants: InvariantChecker::default(),
            rejected: Vec::new(),
            trace: Trace::default(),
            faults_enabled: true,
        }
    }

    /// Runs changes with faults and then without. Returns the number of changes that came into force.
    pub fn run(&mut self) -> u64 {
        self.start_all();
        for step in 0..STEPS {
            let policy = match step % STEPS_PER_REJECTED_POLICY {
                0 => policy_rejected_by((step % REJECTING_MEMBERS) as u8),
                _ => Policy::from(format!("policy {step}").into_bytes()),
            };
            let is_proposed = step.is_multiple_of(STEPS_PER_PROPOSAL);
            self.step(is_proposed.then_some(&policy));
        }
        self.faults_enabled = false;
        self.run_steps(RECOVERY_STEPS);
        let LeaderState { committed, pending } = self.leader_state();
        assert_eq!(
            pending, None,
            "a change is still pending after the recovery"
        );
        for member in self.members.keys() {
            let lease = self.lease_of(*member);
            assert_eq!(
                lease,
                Some(committed),
                "{member:?} does not act under the revision in force"
            );
        }
        committed.0
    }

    /// Runs steps without a proposal.
    pub fn run_steps(&mut self, steps: u32) {
        (0..steps).for_each(|_| self.step(None));
    }

    /// Runs one millisecond of simulated time. The policy, if there is one, is proposed at its beginning.
    pub fn step(&mut self, change: Option<&Policy>) {
        self.now += MS;
        self.update_leadership();
        if self.faults_enabled {
            self.inject_fault();
        }
        if let Some(policy) = change {
            self.propose(policy);
        }
        self.commit();
        self.deliver();
        for index in 0..self.leaders.len() {
            self.call_leader(index, Leader::tick);
        }
        let now = self.now;
        let running = self.members.iter();
        let running = running.filter(|(_, member)| member.suspended_until <= now);
        let running: Vec<MemberId> = running.map(|(id, _)| *id).collect();
        for member in running {
            self.call_member(member, Member::tick);
        }
        self.act();
    }

    pub fn start_all(&mut self) {
        let members: Vec<MemberId> = self.members.keys().copied().collect();
        members.into_iter().for_each(|member| self.start(member));
    }

    /// Starts a process of the member. It replaces a running process.
    pub fn start(&mut self, member: MemberId) {
        self.starts += 1;
        let incarnation = ProcessIncarnation(self.starts);
        let state = Member::new(self.settings, incarnation);
        self.member_mut(member).state = Some(state);
    }

    pub fn stop(&mut self, member: MemberId) {
        self.member_mut(member).state = None;
    }

    pub fn leader_state(&self) -> LeaderState {
        let leader = self.leaders.last().unwrap();
        LeaderState {
            committed: leader.committed_revision(),
            pending: leader.pending_proposal(),
        }
    }

    /// Returns the revision under which the member may act, or `None` if it may not act.
    pub fn lease_of(&self, member: MemberId) -> Option<Revision> {
        let member = &self.members[&member];
        let state = member.state.as_ref()?;
        state
            .lease(member.clock.reading(self.now))
            .map(|lease| lease.revision)
    }

    /// Appends an entry of the latest leader. It is committed in the next step.
    pub fn append_now(&mut self, entry: LeaderEntry) {
        self.appended.push(Appended {
            commits_at: self.now,
            epoch: self.leaders.last().unwrap().epoch(),
            entry,
        });
    }

    pub fn log_line(&mut self, text: &str) {
        self.trace.log(self.now, text);
    }

    pub fn member_mut(&mut self, member: MemberId) -> &mut SimulatedMember {
        self.members.get_mut(&member).unwrap()
    }

    /// Calls a leader and executes the resulting actions.
    pub fn call_leader(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Leader, Time, &mut Vec<LeaderAction>),
    ) {
        let mut actions = Vec::new();
        let leader = &mut self.leaders[index];
        call(leader, Time(self.now), &mut actions);
        let epoch = leader.epoch();
        for action in actions {
            match action {
                LeaderAction::Send(to, message) => {
                    self.send(Message::ToMember(to, epoch, message));
                }
                LeaderAction::Append(entry) => {
                    let commits_at = self.now + self.rng.random_range(2..20) * MS;
                    self.appended.push(Appended {
                        commits_at,
                        epoch,
                        entry,
                    });
                }
            }
        }
    }

    /// Calls a member's process and executes the resulting actions.
    pub fn call_member(
        &mut self,
        id: MemberId,
        call: impl FnOnce(&mut Member, Time, &mut Vec<MemberAction>),
    ) {
        let mut actions = Vec::new();
        let simulated_now = self.now;
        let member = self.member_mut(id);
        let now = member.clock.reading(simulated_now);
        let Some(state) = &mut member.state else {
            return;
        };
        call(state, now, &mut actions);
        for action in actions {
            match action {
                MemberAction::Send(message) => self.send(Message::ToLeader(id, message)),
                MemberAction::CheckPolicy(proposal, _, policy) => {
                    let verdict = self.check(id, proposal, &policy);
                    let checked = ToLeader::PolicyChecked(proposal, verdict);
                    self.send(Message::ToLeader(id, checked));
                }
                MemberAction::ApplyPolicy(revision, policy) => {
                    self.member_mut(id).applied = Some(revision);
                    self.log_line(&format!("{id:?} applies {revision:?}"));
                    self.invariants.check_applied(revision, policy);
                }
            }
        }
    }

    fn check(&mut self, member: MemberId, proposal: ProposalId, policy: &Policy) -> PolicyVerdict {
        let rejects = rejects(policy, member);
        if self.mutant != Mutant::IgnoresRejection {
            return verdict(rejects);
        }
        if rejects {
            self.rejected.push(proposal);
        }
        verdict(false)
    }

    fn propose(&mut self, policy: &Policy) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        let Some(proposal) = leader.next_proposal() else {
            return;
        };
        let is_proposed = |appended: &Appended| matches!(appended.entry, LeaderEntry::Proposed(..));
        if !self.appended.iter().any(is_proposed) {
            self.appended.push(Appended {
                commits_at: self.now + PROPOSAL_COMMIT_TIME,
                epoch: leader.epoch(),
                entry: LeaderEntry::Proposed(proposal, policy.clone(), Author::default()),
            });
        }
    }

    fn commit(&mut self) {
        let now = self.now;
        let appended = std::mem::take(&mut self.appended).into_iter();
        let (due, later) = appended.partition::<Vec<_>, _>(|entry| entry.commits_at <= now);
        self.appended = later;
        for Appended { epoch, entry, .. } in due {
            if epoch != Epoch(self.epoch) || self.is_deposed {
                continue;
            }
            self.log_line(&format!("committed: {entry:?}"));
            if let LeaderEntry::InForce(proposal) = &entry {
                assert!(
                    !self.rejected.contains(proposal),
                    "{proposal:?} is in force although a member has rejected it"
                );
            }
            self.log.push(entry.clone());
            let latest = self.leaders.len() - 1;
            self.call_leader(latest, |leader, now, actions| {
                leader.handle_committed(now, entry, actions);
            });
        }
    }

    /// Lets every member act that may act at the current time, and checks the invariants.
    fn act(&mut self) {
        for (id, member) in &self.members {
            if member.suspended_until > self.now {
                continue;
            }
            if let Some(revision) = member.acts_under(self.now, self.mutant) {
                self.invariants.check_act(*id, revision);
            }
        }
    }
}

//! Members, leaders and a log that commits in one order, in simulated time.

use super::common::{policy_rejected_by, rejects, verdict, Guarantees, MemberClock, Trace, MS};
use super::simulated_member::SimulatedMember;
use marblefall_coordination::identifiers::{
    Author, Epoch, MemberId, Policy, ProcessIncarnation, ProposalId, Revision,
};
use marblefall_coordination::leader::{Leader, LeaderAction};
use marblefall_coordination::member::{Member, MemberAction};
use marblefall_coordination::message::{PolicyVerdict, ToLeader, ToMember};
use marblefall_coordination::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// How long a leader's own lease lasts.
const LEADER_LEASE: i64 = 400 * MS;
pub const MAX_CLOCK_OFFSET: i64 = 1_000_000_000;
/// Steps under faults, and then without.
const STEPS: u32 = 12_000;
const RECOVERY_STEPS: u32 = 4000;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    Unmodified,
    /// A member acts after its lease has expired.
    ActsAfterLease,
    /// A member confirms that it is quiesced, and acts on.
    ActsWhileQuiesced,
    /// A member is restored to its state before it was quiesced.
    RestoresEarlierState,
    /// A member's rejection is passed on as an acceptance.
    IgnoresRejection,
    /// A leader grants leases after its own has expired.
    LeadsAfterLease,
    /// A new leader takes the outcome of a change from its own log in place of the one order.
    TrustsOwnLog,
}

/// The latest leader's view of the change.
#[derive(Debug, PartialEq)]
pub struct LeaderState {
    pub committed: Revision,
    pub pending: Option<ProposalId>,
}

enum Message {
    ToLeader(MemberId, ToLeader),
    ToMember(MemberId, Epoch, ToMember),
}

/// An entry that is not committed yet.
pub struct Appended {
    commits_at: i64,
    epoch: Epoch,
    entry: LeaderEntry,
}

pub struct Simulation {
    pub rng: Pcg64,
    settings: CoordinationSettings,
    pub mutant: Mutant,
    pub now: i64,
    pub members: BTreeMap<MemberId, SimulatedMember>,
    /// Those that take themselves for the leader, the latest last; only that one's entries are committed.
    leaders: Vec<Leader>,
    lease_end: i64,
    pub is_deposed: bool,
    epoch: u64,
    /// What is committed.
    pub log: Vec<LeaderEntry>,
    pub appended: Vec<Appended>,
    in_flight: BTreeMap<(i64, u64), Message>,
    sent: u64,
    starts: u64,
    pub guarantees: Guarantees,
    rejected: Vec<ProposalId>,
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
            let clock = MemberClock::draw(&mut rng, MAX_CLOCK_OFFSET);
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
            lease_end: 0,
            is_deposed: false,
            epoch: 0,
            log: Vec::new(),
            appended: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            starts: 0,
            guarantees: Guarantees::default(),
            rejected: Vec::new(),
            trace: Trace::default(),
            faults_enabled: true,
        }
    }

    /// Runs changes under faults, then without faults; returns how many changes came into force.
    pub fn run(&mut self) -> u64 {
        self.start_all();
        for step in 0..STEPS {
            let policy = match step % 5 {
                0 => policy_rejected_by((step % 3) as u8),
                _ => Policy::from(format!("policy {step}").into_bytes()),
            };
            self.step((step % 20 == 0).then_some(&policy));
        }
        self.faults_enabled = false;
        self.run_steps(RECOVERY_STEPS);
        let LeaderState { committed, pending } = self.leader_state();
        assert_eq!(pending, None, "a change has no outcome");
        for member in self.members.keys() {
            let lease = self.lease_of(*member);
            assert_eq!(lease, Some(committed), "{member:?} was left behind");
        }
        committed.0
    }

    /// Steps without a change.
    pub fn run_steps(&mut self, steps: u32) {
        (0..steps).for_each(|_| self.step(None));
    }

    /// One millisecond, at whose beginning a change may be proposed.
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

    /// Starts a process of the member, in place of the one that ran.
    pub fn start(&mut self, member: MemberId) {
        self.starts += 1;
        let incarnation = ProcessIncarnation(self.starts);
        let state = Member::new(self.settings, incarnation);
        self.member(member).state = Some(state);
    }

    pub fn stop(&mut self, member: MemberId) {
        self.member(member).state = None;
    }

    pub fn leader_state(&self) -> LeaderState {
        let leader = self.leaders.last().unwrap();
        LeaderState {
            committed: leader.committed_revision(),
            pending: leader.pending_proposal(),
        }
    }

    /// What the member may act under.
    pub fn lease_of(&self, member: MemberId) -> Option<Revision> {
        let member = &self.members[&member];
        let state = member.state.as_ref()?;
        state
            .lease(member.clock.reading(self.now))
            .map(|lease| lease.revision)
    }

    /// Appends an entry of the latest leader.
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

    pub fn member(&mut self, member: MemberId) -> &mut SimulatedMember {
        self.members.get_mut(&member).unwrap()
    }

    fn send(&mut self, message: Message) {
        let member = match &message {
            Message::ToLeader(member, _) | Message::ToMember(member, ..) => *member,
        };
        let is_partitioned = self.members[&member].partitioned_until > self.now;
        if is_partitioned || self.faults_enabled && self.rng.random_bool(0.05) {
            return;
        }
        let slow = self.faults_enabled && self.rng.random_bool(0.05);
        let max_ms = if slow { 400 } else { 10 };
        self.sent += 1;
        let arrives_at = self.now + self.rng.random_range(1..max_ms) * MS;
        self.in_flight.insert((arrives_at, self.sent), message);
    }

    fn call_leader(
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

    fn call_member(
        &mut self,
        id: MemberId,
        call: impl FnOnce(&mut Member, Time, &mut Vec<MemberAction>),
    ) {
        let mut actions = Vec::new();
        let simulated_now = self.now;
        let member = self.member(id);
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
                    self.member(id).applied = Some(revision);
                    self.log_line(&format!("{id:?} applies {revision:?}"));
                    self.guarantees.check_applied(revision, policy);
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

    /// A new leader comes once the lease of the one before has surely expired.
    fn update_leadership(&mut self) {
        let has_expired = self.lease_end <= self.now;
        if has_expired && (self.leaders.is_empty() || self.rng.random_bool(0.02)) {
            self.elect();
        } else if !self.is_deposed && !self.leaders.is_empty() {
            self.lease_end = self.now + LEADER_LEASE;
        }
        let latest = self.leaders.len().checked_sub(1);
        for (index, leader) in self.leaders.iter_mut().enumerate() {
            if Some(index) == latest {
                leader.extend_lease(Time(self.lease_end));
            } else if self.mutant == Mutant::LeadsAfterLease {
                leader.extend_lease(Time(self.now + LEADER_LEASE));
            }
        }
    }

    fn elect(&mut self) {
        self.epoch += 1;
        self.is_deposed = false;
        self.log_line(&format!("leader {} is elected", self.epoch));
        // What an earlier leader appended is committed before, or never.
        self.appended.clear();
        // A rejection that only the earlier leader received is asked for again.
        if self.mutant != Mutant::IgnoresRejection {
            self.rejected.clear();
        }
        let members: Vec<MemberId> = self.members.keys().copied().collect();
        let epoch = Epoch(self.epoch);
        let state = self.replicated_state();
        let leader = Leader::elected(self.settings, epoch, Time(self.now), &members, &state);
        self.leaders.push(leader);
        if self.leaders.len() > 2 {
            self.leaders.remove(0);
        }
        self.lease_end = self.now + LEADER_LEASE;
    }

    /// The state that a new leader begins with.
    fn replicated_state(&self) -> ReplicatedState {
        let mut state = ReplicatedState::new(BTreeMap::new());
        for entry in &self.log {
            let is_outcome = matches!(entry, LeaderEntry::InForce(_));
            if is_outcome && self.mutant == Mutant::TrustsOwnLog {
                continue;
            }
            state.apply(LogEntry::Leader {
                epoch: Epoch(0),
                unix_ms: 0,
                entry: entry.clone(),
            });
        }
        state
    }

    fn propose(&mut self, policy: &Policy) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        let Ok(proposal) = leader.next_proposal() else {
            return;
        };
        let is_proposed = |appended: &Appended| matches!(appended.entry, LeaderEntry::Proposed(..));
        if !self.appended.iter().any(is_proposed) {
            self.appended.push(Appended {
                commits_at: self.now + 3 * MS,
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
                    "{proposal:?} is in force though a member rejected it"
                );
            }
            self.log.push(entry.clone());
            let latest = self.leaders.len() - 1;
            self.call_leader(latest, |leader, now, actions| {
                leader.handle_committed(now, entry, actions);
            });
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            match first.remove() {
                Message::ToLeader(member, message) => self.deliver_to_leaders(member, &message),
                Message::ToMember(member, epoch, message) => {
                    self.deliver_to_member(member, epoch, message);
                }
            }
        }
    }

    fn deliver_to_leaders(&mut self, member: MemberId, message: &ToLeader) {
        self.note_rejection(message);
        for index in 0..self.leaders.len() {
            self.call_leader(index, |leader, now, actions| {
                leader.handle_message(now, member, message.clone(), actions);
            });
        }
    }

    fn deliver_to_member(&mut self, id: MemberId, epoch: Epoch, message: ToMember) {
        let now = self.now;
        let member = self.members.get_mut(&id).unwrap();
        if member.suspended_until > now {
            // Waits in the socket.
            self.sent += 1;
            let arrives_at = (member.suspended_until, self.sent);
            let message = Message::ToMember(id, epoch, message);
            self.in_flight.insert(arrives_at, message);
            return;
        }
        if let ToMember::Quiesce(proposal) = &message {
            if self.mutant == Mutant::ActsWhileQuiesced {
                let quiesced = ToLeader::Quiesced(*proposal, epoch);
                return self.send(Message::ToLeader(id, quiesced));
            }
            member.earlier = member.state.clone();
        }
        self.call_member(id, |state, now, actions| {
            state.handle_message(now, epoch, message, actions);
        });
    }

    /// A rejection that the leader receives before it decides must withdraw the change.
    fn note_rejection(&mut self, message: &ToLeader) {
        let ToLeader::PolicyChecked(proposal, PolicyVerdict::Rejected(_)) = message else {
            return;
        };
        let in_force = LeaderEntry::InForce(*proposal);
        let is_decided = |appended: &Appended| appended.entry == in_force;
        let leader = self.leaders.last().filter(|_| !self.is_deposed);
        let is_pending = leader.and_then(Leader::pending_proposal) == Some(*proposal);
        if is_pending && !self.appended.iter().any(is_decided) {
            self.rejected.push(*proposal);
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&mut self) {
        for (id, member) in &self.members {
            if member.suspended_until > self.now {
                continue;
            }
            if let Some(revision) = member.acts_under(self.now, self.mutant) {
                self.guarantees.check_act(*id, revision);
            }
        }
    }
}

//! A group of nodes in simulated time, the changes that operators propose, and the checks.

use super::common::{policy_rejected_by, rejects, verdict, Guarantees, MemberClock, Trace, MS};
use super::daemon::{Daemon, Link};
use marblefall_coordination::identifiers::{
    Author, ClockReading, MemberId, Policy, ProcessIncarnation, Revision, StorageId,
};
use marblefall_coordination::node::{
    Frame, Node, NodeAction, NodeSetup, Reply, Request, RequestNumber,
};
use marblefall_coordination::persistent_state::PersistentState;
use marblefall_coordination::replicated_state::ChangeOutcome;
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::Span;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// One step of the simulation.
const STEP: i64 = 5 * MS;
/// The group's and the members' names, as one number.
pub const OWNER: u64 = 7;
/// How often a node handles the frames that it sends itself within a step.
const ROUNDS_PER_STEP: usize = 6;
/// More often than any voter writes within a test.
pub const WRITES_AHEAD: u64 = 1_000_000;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    Unmodified,
    /// A voter that lost its storage goes on as if it were the same one, with an empty log.
    TrustsLostStorage,
    /// Storage that was restored from an old copy is taken for what it was.
    TrustsRestoredStorage,
    /// A voter sends what is not on disk, and dies.
    SendsBeforeWriting,
    /// A member acts on after its lease.
    ActsAfterLease,
    /// A member acts under the policy that it has stored before it holds a lease.
    TrustsStoredPolicy,
    /// A member confirms that it is quiesced, and acts on.
    ActsWhileQuiesced,
}

/// How many members a group has, the voters first.
#[derive(Clone, Copy, Debug)]
pub struct GroupSize {
    pub members: u32,
    pub voters: u32,
}

pub struct Simulation {
    pub rng: Pcg64,
    settings: CoordinationSettings,
    pub mutant: Mutant,
    pub now: i64,
    pub voters: u32,
    pub daemons: BTreeMap<MemberId, Daemon>,
    pub links: BTreeMap<(MemberId, MemberId), Link>,
    pub guarantees: Guarantees,
    /// Outcomes that operators were answered, by key.
    outcomes: BTreeMap<u64, ChangeOutcome>,
    last_key: u64,
    starts: u64,
    pub trace: Trace,
    pub faults_enabled: bool,
}

fn settings(partition_policy: PartitionPolicy) -> CoordinationSettings {
    CoordinationSettings {
        partition_policy,
        lease_duration: Span(900 * MS),
        clock_drift_percent: 1,
        check_timeout: Span(2000 * MS),
        quiesce_timeout: Span(2000 * MS),
        resend_interval: Span(100 * MS),
    }
}

impl Simulation {
    pub fn new(
        seed: u64,
        size: GroupSize,
        partition_policy: PartitionPolicy,
        mutant: Mutant,
    ) -> Simulation {
        let mut rng = Pcg64::seed_from_u64(seed);
        let members: Vec<MemberId> = (0..size.members).map(MemberId).collect();
        let mut daemon = |member: &MemberId| {
            let clock = MemberClock::draw(&mut rng, 1_000_000);
            (*member, Daemon::new(clock))
        };
        let daemons = members.iter().map(&mut daemon).collect();
        let pairs = members
            .iter()
            .flat_map(|from| members.iter().map(move |to| (*from, *to)));
        let links = pairs
            .filter(|(from, to)| from != to)
            .map(|pair| (pair, Link::new()))
            .collect();
        Simulation {
            rng,
            settings: settings(partition_policy),
            mutant,
            now: 0,
            voters: size.voters,
            daemons,
            links,
            guarantees: Guarantees::default(),
            outcomes: BTreeMap::new(),
            last_key: 0,
            starts: 0,
            trace: Trace::default(),
            faults_enabled: true,
        }
    }

    pub fn log(&mut self, text: &str) {
        self.trace.log(self.now, text);
    }

    pub fn members(&self) -> Vec<MemberId> {
        self.daemons.keys().copied().collect()
    }

    pub fn random_member(&mut self) -> MemberId {
        MemberId(self.rng.random_range(0..self.daemons.len() as u32))
    }

    pub fn daemon(&mut self, member: MemberId) -> &mut Daemon {
        self.daemons.get_mut(&member).unwrap()
    }

    pub fn kill(&mut self, member: MemberId, down: i64) {
        let down_until = self.now + down;
        let daemon = self.daemon(member);
        daemon.node = None;
        daemon.down_until = down_until;
        daemon.inbox.clear();
    }

    /// Runs changes under faults, then without; returns how many changes came into force.
    pub fn run(&mut self, steps: u32) -> u64 {
        for step in 0..steps {
            if step % 60 == 0 {
                let at = self.random_member();
                match step % 360 {
                    0 => self.propose_rejected(at),
                    _ => self.propose_acceptable(at),
                }
            }
            if step % 100 == 50 {
                self.ask_for_outcome();
            }
            self.step();
        }
        let revision = self.recover();
        // With everybody there, one rejection is enough. (`policy_change.rs` checks those that cannot be received.)
        self.propose_rejected(MemberId(0));
        (0..600).for_each(|_| self.step());
        assert_eq!(
            self.common_revision(),
            revision,
            "in force though one member rejected it"
        );
        self.propose_acceptable(MemberId(0));
        (0..600).for_each(|_| self.step());
        assert!(
            self.common_revision() > revision,
            "a change does not come into force without faults"
        );
        revision.unwrap_or_default().0
    }

    /// Runs until all act under this revision; returns how long that took.
    pub fn run_until_common(&mut self, revision: Revision) -> i64 {
        let started_at = self.now;
        while self.common_revision() != Some(revision) {
            self.step();
            assert!(
                self.now - started_at < 20_000 * MS,
                "not all under {revision:?}"
            );
        }
        self.now - started_at
    }

    pub fn propose_acceptable(&mut self, at: MemberId) {
        self.last_key += 1;
        let policy = format!("policy {}", self.last_key).into_bytes();
        self.propose(at, Policy::from(policy));
    }

    /// One of the members will reject it.
    fn propose_rejected(&mut self, at: MemberId) {
        self.last_key += 1;
        let rejecting = self.random_member();
        self.propose(at, policy_rejected_by(rejecting.0 as u8));
    }

    fn propose(&mut self, at: MemberId, policy: Policy) {
        let key = self.last_key;
        let applied = self.daemons[&at].node.as_ref().and_then(Node::applied);
        let request = Request::Propose {
            base: applied.unwrap_or_default(),
            policy,
            author: Author {
                name: "a test".to_owned(),
                key,
            },
        };
        self.call(at, |node, now, actions| {
            node.handle_request(now, RequestNumber(key), request, actions);
        });
    }

    /// What became of an earlier change is asked for anywhere.
    fn ask_for_outcome(&mut self) {
        let at = self.random_member();
        let key = self.rng.random_range(0..=self.last_key);
        self.call(at, |node, now, actions| {
            node.handle_request(now, RequestNumber(key), Request::Outcome(key), actions);
        });
    }

    /// Without faults, all must act under one revision some time.
    fn recover(&mut self) -> Option<Revision> {
        self.faults_enabled = false;
        let mut steps = 0;
        while steps < 6000 {
            self.step();
            steps += 1;
            let participates = |daemon: &Daemon| daemon.participates() == Some(true);
            let recovered = steps > 1200 && self.daemons.values().all(participates);
            if recovered && self.common_revision().is_some() {
                break;
            }
        }
        let revision = self.common_revision();
        let describe = |(member, daemon): (&MemberId, &Daemon)| {
            let node = daemon.node.as_ref()?;
            let (voting, applied) = (node.voting_status(), node.applied());
            Some(format!(
                "{member:?} {voting:?} {applied:?} {:?}",
                node.last_leader()
            ))
        };
        let states: Vec<_> = self.daemons.iter().filter_map(describe).collect();
        assert!(
            revision.is_some(),
            "not all act under one policy after {steps} steps without faults: {states:?}"
        );
        revision
    }

    /// The revision under which all act, if there is one.
    fn common_revision(&self) -> Option<Revision> {
        let lease = |daemon: &Daemon| {
            let node = daemon.node.as_ref()?;
            node.lease(daemon.clock.reading(self.now))
                .map(|lease| lease.revision)
        };
        let mut leases = self.daemons.values().map(lease);
        let first = leases.next()??;
        leases.all(|lease| lease == Some(first)).then_some(first)
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults_enabled {
            self.inject_fault();
        }
        for member in self.members() {
            self.start_or_stop(member);
        }
        let pairs: Vec<(MemberId, MemberId)> = self.links.keys().copied().collect();
        for (from, to) in pairs {
            self.connect(from, to);
            self.deliver(from, to);
        }
        for member in self.members() {
            self.step_node(member);
        }
        self.act();
    }

    fn start_or_stop(&mut self, member: MemberId) {
        let now = self.now;
        let daemon = self.daemon(member);
        if daemon.node.is_none() && daemon.down_until <= now {
            self.start(member);
        } else if now % (700 * MS) < STEP {
            daemon.backups.push(daemon.disk.clone());
        }
        // One that died in its write is stopped here.
        let daemon = &self.daemons[&member];
        if daemon.down_until > now && daemon.node.is_some() {
            self.kill(member, daemon.down_until - now);
        }
    }

    fn start(&mut self, member: MemberId) {
        self.starts += 1;
        let incarnation = ProcessIncarnation(self.starts * 1000 + 1);
        let new_storage = StorageId(self.rng.random_range(1..u64::MAX));
        let members = self.daemons.keys().copied().collect();
        let voters = (0..self.voters).map(MemberId).collect();
        let votes = member.0 < self.voters;
        let (now, settings) = (self.now, self.settings);
        let trusts_stored_policy = self.mutant == Mutant::TrustsStoredPolicy;
        let daemon = self.daemon(member);
        let stored = daemon.disk.as_ref();
        let stored = stored.and_then(|bytes| PersistentState::decode(bytes, OWNER).ok());
        let state = stored.unwrap_or_else(|| PersistentState::new(OWNER, new_storage));
        let setup = NodeSetup {
            own_id: member,
            members,
            voters,
            settings,
            incarnation,
            state: votes.then_some(state),
            initial_policy: Some(Policy::from(&b"founding"[..])),
        };
        daemon.node = Some(Node::new(setup, daemon.clock.reading(now)));
        daemon.last_acted = daemon.applied.filter(|_| trusts_stored_policy);
        self.log(&format!("{member:?} is started"));
        for ((from, to), link) in &mut self.links {
            if *from == member || *to == member {
                link.reconnect(now + 20 * MS);
            }
        }
    }

    fn connect(&mut self, from: MemberId, to: MemberId) {
        let now = self.now;
        let is_up = self.daemons[&to].node.is_some();
        let link = self.links.get_mut(&(from, to)).unwrap();
        if is_up && link.connect(now) && self.daemons[&from].suspended_until <= now {
            self.call(from, |node, now, actions| {
                node.handle_connected(now, to, actions);
            });
        }
    }

    fn deliver(&mut self, from: MemberId, to: MemberId) {
        let link = self.links.get_mut(&(from, to)).unwrap();
        let daemon = self.daemons.get_mut(&to).unwrap();
        while let Some(frame) = link.receive(self.now) {
            if daemon.node.is_some() {
                daemon.inbox.push((from, frame));
            }
        }
    }

    fn step_node(&mut self, member: MemberId) {
        if self.daemons[&member].suspended_until > self.now {
            return;
        }
        for _ in 0..ROUNDS_PER_STEP {
            let inbox = std::mem::take(&mut self.daemon(member).inbox);
            for (from, frame) in inbox {
                self.call(member, |node, now, actions| {
                    node.handle_frame(now, from, frame, actions);
                });
            }
        }
        self.call(member, Node::tick);
    }

    /// Every member that may act does, at this very moment.
    fn act(&mut self) {
        for (member, daemon) in &mut self.daemons {
            if daemon.suspended_until > self.now {
                continue;
            }
            let now = daemon.clock.reading(self.now);
            if let Some(revision) = daemon.acts_under(now, self.mutant) {
                self.guarantees.check_act(*member, revision);
            }
        }
    }

    fn call(
        &mut self,
        member: MemberId,
        call: impl FnOnce(&mut Node, ClockReading, &mut Vec<NodeAction>),
    ) {
        let simulated_now = self.now;
        let daemon = self.daemon(member);
        let now = ClockReading {
            monotonic: daemon.clock.reading(simulated_now),
            unix_ms: 0,
        };
        let Some(node) = &mut daemon.node else { return };
        let mut actions = Vec::new();
        call(node, now, &mut actions);
        self.execute(member, actions);
    }

    fn execute(&mut self, member: MemberId, actions: Vec<NodeAction>) {
        let mut written = true;
        for action in actions {
            match action {
                NodeAction::Write(bytes) => written = self.write(member, bytes),
                NodeAction::Send(..) if !written => {}
                NodeAction::Send(to, frame) => self.send(member, to, frame),
                NodeAction::CheckPolicy(proposal, _, policy) => {
                    let verdict = verdict(rejects(&policy, member));
                    self.call(member, |node, now, actions| {
                        node.handle_checked(now, proposal, verdict, actions);
                    });
                }
                NodeAction::ApplyPolicy(revision, policy) => {
                    self.log(&format!("{member:?} applies {revision:?}"));
                    self.guarantees.check_applied(revision, policy);
                    self.daemon(member).applied = Some(revision);
                }
                NodeAction::Reply(number, reply) => self.check_outcome(number.0, reply),
                NodeAction::Log(code, text) => self.log(&format!("{member:?} {code}: {text}")),
            }
        }
    }

    /// Writes a voter's state; whether what depends on it may be sent.
    fn write(&mut self, member: MemberId, bytes: Vec<u8>) -> bool {
        let now = self.now;
        let daemon = self.daemons.get_mut(&member).unwrap();
        if daemon.disk_full_until > now {
            daemon.node.iter_mut().for_each(Node::handle_write_failed);
            return false;
        }
        if self.mutant == Mutant::SendsBeforeWriting && self.rng.random_bool(0.05) {
            assert!(daemon.node.is_some());
            daemon.lose_write(&bytes);
            daemon.down_until = now + 300 * MS;
            self.log(&format!("{member:?} dies before its write"));
        } else {
            daemon.disk = Some(bytes);
        }
        true
    }

    fn send(&mut self, from: MemberId, to: MemberId, frame: Frame) {
        if to == from {
            return self.daemon(from).inbox.push((from, frame));
        }
        let slow = self.faults_enabled && self.rng.random_bool(0.02);
        let max_ms = if slow { 300 } else { 8 };
        let arrives_at = self.now + self.rng.random_range(1..max_ms) * MS;
        let link = self.links.get_mut(&(from, to)).unwrap();
        link.send(self.now, arrives_at, frame);
    }

    /// A change has one outcome, whoever answers.
    fn check_outcome(&mut self, key: u64, reply: Reply) {
        let Reply::Resolved(change) = reply else {
            return;
        };
        if change.author.key == key {
            let first = self.outcomes.entry(key);
            let first = first.or_insert_with(|| change.outcome.clone());
            assert_eq!(*first, change.outcome, "change {key} has two outcomes");
        }
    }
}

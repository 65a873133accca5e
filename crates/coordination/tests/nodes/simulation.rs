//! Simulation of a group of nodes.

use super::common::{InvariantChecker, MemberClock, Trace, MS};
use super::daemon::Daemon;
use super::link::Link;
use super::mutant::Mutant;
use marblefall_coordination::identifiers::{
    MemberId, Policy, ProcessIncarnation, Revision, StorageId,
};
use marblefall_coordination::node::{Node, NodeSetup};
use marblefall_coordination::persistent_state::PersistentState;
use marblefall_coordination::replicated_state::ChangeOutcome;
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::Span;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Duration of a step, in microseconds.
const STEP: i64 = 5 * MS;
/// Interval between proposals, in steps.
const STEPS_PER_PROPOSAL: u32 = 60;
/// Interval between proposals that a member rejects, in steps.
const STEPS_PER_REJECTED_PROPOSAL: u32 = 360;
/// Interval between requests for an outcome, in steps.
const STEPS_PER_OUTCOME_REQUEST: u32 = 100;
/// The step of the first request for an outcome.
const FIRST_OUTCOME_REQUEST: u32 = 50;
/// Number of steps without faults in which a change must complete.
const CHANGE_STEPS: u32 = 600;
/// Minimum number of steps without faults before the group counts as recovered.
const MIN_RECOVERY_STEPS: u32 = 1200;
/// Maximum number of steps without faults in which the group must recover.
const MAX_RECOVERY_STEPS: u32 = 6000;
/// Time within which all members must act under an expected revision.
const MAX_CHANGE_TIME: i64 = 20_000 * MS;
/// Interval between backups of a disk.
const BACKUP_INTERVAL: i64 = 700 * MS;
/// Time from the start of a node until its connections are established.
const CONNECT_TIME: i64 = 20 * MS;
/// Maximum reading of a clock at the start of the simulation, in microseconds.
const MAX_CLOCK_OFFSET: i64 = 1_000_000;
/// Difference between the incarnations of two successive processes.
const INCARNATION_STEP: u64 = 1000;
/// The owner recorded in all voters' storage.
pub const OWNER: u64 = 7;
/// Number of times per step that a node handles its inbox, including the frames that it has sent to itself.
const ROUNDS_PER_STEP: usize = 6;
/// Number of writes that no voter reaches within a test.
pub const WRITES_AHEAD: u64 = 1_000_000;

/// The size of a group. The first members are the voters.
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
    pub invariants: InvariantChecker,
    /// The first outcome that an operator received for each change, by the key of the change.
    pub outcomes: BTreeMap<u64, ChangeOutcome>,
    pub last_key: u64,
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
            let clock = MemberClock::random(&mut rng, MAX_CLOCK_OFFSET);
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
            invariants: InvariantChecker::default(),
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

    pub fn daemon_mut(&mut self, member: MemberId) -> &mut Daemon {
        self.daemons.get_mut(&member).unwrap()
    }

    /// Kills a member's node, which is restarted after `down` microseconds.
    pub fn kill(&mut self, member: MemberId, down: i64) {
        let down_until = self.now + down;
        let daemon = self.daemon_mut(member);
        daemon.node = None;
        daemon.down_until = down_until;
        daemon.inbox.clear();
    }

    /// Runs changes with faults and then without. Returns the number of changes that came into force.
    pub fn run(&mut self, steps: u32) -> u64 {
        for step in 0..steps {
            self.act_as_operator(step);
            self.step();
        }
        let revision = self.recover();
        // While all members are running, one rejection withdraws the change. Lost rejections are tested by
        // `policy_change.rs`.
        self.propose_rejected(MemberId(0));
        (0..CHANGE_STEPS).for_each(|_| self.step());
        assert_eq!(
            self.common_revision(),
            revision,
            "a change is in force although a member has rejected it"
        );
        self.propose_acceptable(MemberId(0));
        (0..CHANGE_STEPS).for_each(|_| self.step());
        assert!(
            self.common_revision() > revision,
            "a change has not come into force without faults"
        );
        revision.unwrap_or_default().0
    }

    fn act_as_operator(&mut self, step: u32) {
        if step.is_multiple_of(STEPS_PER_PROPOSAL) {
            let at = self.random_member();
            match step % STEPS_PER_REJECTED_PROPOSAL {
                0 => self.propose_rejected(at),
                _ => self.propose_acceptable(at),
            }
        }
        if step % STEPS_PER_OUTCOME_REQUEST == FIRST_OUTCOME_REQUEST {
            self.request_outcome();
        }
    }

    /// Runs until all members act under this revision. Returns the elapsed simulated time, in microseconds.
    pub fn run_until_common(&mut self, revision: Revision) -> i64 {
        let started_at = self.now;
        while self.common_revision() != Some(revision) {
            self.step();
            assert!(
                self.now - started_at < MAX_CHANGE_TIME,
                "not all members act under {revision:?}"
            );
        }
        self.now - started_at
    }

    /// Runs without faults until all members act under the same revision. Returns that revision.
    fn recover(&mut self) -> Option<Revision> {
        self.faults_enabled = false;
        let mut steps = 0;
        while steps < MAX_RECOVERY_STEPS {
            self.step();
            steps += 1;
            let participates = |daemon: &Daemon| daemon.participates() == Some(true);
            let recovered = steps > MIN_RECOVERY_STEPS && self.daemons.values().all(participates);
            if recovered && self.common_revision().is_some() {
                break;
            }
        }
        let revision = self.common_revision();
        assert!(
            revision.is_some(),
            "members do not act under the same policy after {steps} steps without faults: {:?}",
            self.describe_nodes()
        );
        revision
    }

    fn describe_nodes(&self) -> Vec<String> {
        let describe = |(member, daemon): (&MemberId, &Daemon)| {
            let node = daemon.node.as_ref()?;
            let (voting, applied) = (node.voting_status(), node.applied());
            let last_leader = node.last_leader();
            Some(format!("{member:?} {voting:?} {applied:?} {last_leader:?}"))
        };
        self.daemons.iter().filter_map(describe).collect()
    }

    /// Returns the revision under which all members act, if they act under the same one.
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
        let daemon = self.daemon_mut(member);
        if daemon.node.is_none() && daemon.down_until <= now {
            self.start(member);
        } else if now % BACKUP_INTERVAL < STEP {
            daemon.backups.push(daemon.disk.clone());
        }
        // A node that has crashed during a write is stopped here.
        let daemon = &self.daemons[&member];
        if daemon.down_until > now && daemon.node.is_some() {
            self.kill(member, daemon.down_until - now);
        }
    }

    fn start(&mut self, member: MemberId) {
        self.starts += 1;
        let incarnation = ProcessIncarnation(self.starts * INCARNATION_STEP + 1);
        let new_storage = StorageId(self.rng.random_range(1..u64::MAX));
        let members = self.daemons.keys().copied().collect();
        let voters = (0..self.voters).map(MemberId).collect();
        let votes = member.0 < self.voters;
        let (now, settings) = (self.now, self.settings);
        let trusts_stored_policy = self.mutant == Mutant::TrustsStoredPolicy;
        let daemon = self.daemon_mut(member);
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
                link.reconnect(now + CONNECT_TIME);
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
            let inbox = std::mem::take(&mut self.daemon_mut(member).inbox);
            for (from, frame) in inbox {
                self.call(member, |node, now, actions| {
                    node.handle_frame(now, from, frame, actions);
                });
            }
        }
        self.call(member, Node::tick);
    }

    /// Lets every member act that may act at the current time, and checks the invariants.
    fn act(&mut self) {
        for (member, daemon) in &mut self.daemons {
            if daemon.suspended_until > self.now {
                continue;
            }
            let now = daemon.clock.reading(self.now);
            if let Some(revision) = daemon.acts_under(now, self.mutant) {
                self.invariants.check_act(*member, revision);
            }
        }
    }
}

//! Leases and the two-phase policy change, checked over all orders of events in a small group and a short time: messages
//! that arrive late, out of order or never, members that restart, leaders that do not know that they are deposed, and
//! clocks of different speeds.

use marblefall_coordination::identifiers::{
    Author, Epoch, MemberId, Policy, ProcessIncarnation, Revision,
};
use marblefall_coordination::leader::{Leader, LeaderAction};
use marblefall_coordination::member::{Member, MemberAction};
use marblefall_coordination::message::{PolicyVerdict, ToLeader, ToMember};
use marblefall_coordination::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A unit of time.
const UNIT: i64 = 1000;
/// How long a leader's own lease lasts.
const LEADER_LEASE: i64 = 2 * UNIT;

/// What is explored, and within which bounds.
#[derive(Clone)]
struct GroupModel {
    members: u32,
    /// Units of time that pass.
    time: i64,
    /// Restarts of members.
    restarts: u8,
    /// Leaders after the first.
    elections: u8,
    /// Messages that may be in flight at once.
    max_in_flight: usize,
    mutant: Mutant,
}

/// What is broken on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutant {
    Unmodified,
    /// A member acts on after its lease.
    ActsAfterLease,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    ToLeader(MemberId, ToLeader),
    ToMember(MemberId, Epoch, ToMember),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: i64,
    replicated: ReplicatedState,
    /// The latest last: only its entries are committed.
    leaders: Vec<Leader>,
    lease_end: i64,
    /// Entries that are not committed yet.
    appended: Vec<(Epoch, LeaderEntry)>,
    members: Vec<Member>,
    /// What each member last acted under, for the mutant.
    last_acted: Vec<Option<Revision>>,
    starts: u64,
    in_flight: BTreeSet<Message>,
    restarts: u8,
    elections: u8,
    highest: Revision,
    is_broken: bool,
    is_proposed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Deliver(Message),
    Commit,
    Propose,
    AdvanceTime,
    Restart(usize),
    Elect,
}

fn settings() -> CoordinationSettings {
    CoordinationSettings {
        partition_policy: PartitionPolicy::Stop,
        lease_duration: Span(2 * UNIT),
        clock_drift_percent: 10,
        check_timeout: Span(4 * UNIT),
        quiesce_timeout: Span(4 * UNIT),
        resend_interval: Span(2 * UNIT),
    }
}

/// Member 1 has a fast clock, member 2 a slow one; both within the drift that is allowed.
fn clock(member: usize, now: i64) -> Time {
    Time(match member % 3 {
        1 => now * 104 / 100,
        2 => now * 96 / 100,
        _ => now,
    })
}

impl GroupModel {
    fn send(&self, state: &mut ModelState, message: Message) {
        // One that finds no room is lost.
        if state.in_flight.len() < self.max_in_flight {
            state.in_flight.insert(message);
        }
    }

    fn call_leader(
        &self,
        state: &mut ModelState,
        index: usize,
        call: impl FnOnce(&mut Leader, Time, &mut Vec<LeaderAction>),
    ) {
        let (now, mut actions) = (Time(state.now), Vec::new());
        call(&mut state.leaders[index], now, &mut actions);
        let epoch = state.leaders[index].epoch();
        for action in actions {
            match action {
                LeaderAction::Send(to, message) => {
                    self.send(state, Message::ToMember(to, epoch, message));
                }
                LeaderAction::Append(entry) => {
                    let appended = (epoch, entry);
                    if !state.appended.contains(&appended) {
                        state.appended.push(appended);
                    }
                }
            }
        }
    }

    fn call_member(
        &self,
        state: &mut ModelState,
        index: usize,
        call: impl FnOnce(&mut Member, Time, &mut Vec<MemberAction>),
    ) {
        let (now, mut actions) = (clock(index, state.now), Vec::new());
        call(&mut state.members[index], now, &mut actions);
        let member = MemberId(index as u32);
        for action in actions {
            let message = match action {
                MemberAction::Send(message) => message,
                MemberAction::CheckPolicy(proposal, ..) => {
                    ToLeader::PolicyChecked(proposal, PolicyVerdict::Accepted)
                }
                MemberAction::ApplyPolicy(..) => continue,
            };
            self.send(state, Message::ToLeader(member, message));
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&self, state: &mut ModelState) {
        for index in 0..state.members.len() {
            let lease = state.members[index]
                .lease(clock(index, state.now))
                .map(|lease| lease.revision);
            if lease.is_some() {
                state.last_acted[index] = lease;
            }
            let acts = match self.mutant {
                Mutant::Unmodified => lease,
                Mutant::ActsAfterLease => lease.or(state.last_acted[index]),
            };
            let Some(revision) = acts else { continue };
            state.is_broken |= revision < state.highest;
            state.highest = state.highest.max(revision);
        }
    }

    fn elect(&self, state: &mut ModelState) {
        state.lease_end = state.now + LEADER_LEASE;
        state.appended.clear();
        let epoch = Epoch(state.replicated.epoch.0 + 1);
        state.replicated.apply(LogEntry::EpochStarted(epoch));
        let members: Vec<MemberId> = (0..self.members).map(MemberId).collect();
        let now = Time(state.now);
        let mut leader = Leader::elected(settings(), epoch, now, &members, &state.replicated);
        leader.extend_lease(Time(state.lease_end));
        state.leaders.push(leader);
        if state.leaders.len() > 2 {
            state.leaders.remove(0);
        }
    }

    fn deliver(&self, state: &mut ModelState, message: Message) {
        state.in_flight.remove(&message);
        match message {
            Message::ToLeader(member, message) => {
                for index in 0..state.leaders.len() {
                    self.call_leader(state, index, |leader, now, actions| {
                        leader.handle_message(now, member, message.clone(), actions);
                    });
                }
            }
            Message::ToMember(member, epoch, message) => {
                self.call_member(state, member.0 as usize, |member, now, actions| {
                    member.handle_message(now, epoch, message, actions);
                });
            }
        }
    }

    fn commit(&self, state: &mut ModelState) {
        let (epoch, entry) = state.appended.remove(0);
        let entry = LogEntry::Leader {
            epoch,
            unix_ms: 0,
            entry,
        };
        if let Some(entry) = state.replicated.apply(entry) {
            let latest = state.leaders.len() - 1;
            self.call_leader(state, latest, |leader, now, actions| {
                leader.handle_committed(now, entry, actions);
            });
        }
    }

    fn advance_time(&self, state: &mut ModelState) {
        state.now += UNIT;
        // A leader keeps its voters for as long as no other leader is to come.
        if state.elections >= self.elections {
            state.lease_end = state.now + LEADER_LEASE;
            let lease_end = Time(state.lease_end);
            if let Some(leader) = state.leaders.last_mut() {
                leader.extend_lease(lease_end);
            }
        }
        for index in 0..state.leaders.len() {
            self.call_leader(state, index, Leader::tick);
        }
        for index in 0..state.members.len() {
            self.call_member(state, index, Member::tick);
        }
    }

    fn restart(&self, state: &mut ModelState, index: usize) {
        state.restarts += 1;
        state.starts += 1;
        state.members[index] = Member::new(settings(), ProcessIncarnation(state.starts));
        state.last_acted[index] = None;
        self.call_member(state, index, Member::tick);
    }
}

impl ModelState {
    fn propose(&mut self) -> Option<()> {
        self.is_proposed = true;
        let leader = self.leaders.last()?;
        let proposal = leader.next_proposal().ok()?;
        let policy = Policy::from(&b"second"[..]);
        let entry = LeaderEntry::Proposed(proposal, policy, Author::default());
        self.appended.push((leader.epoch(), entry));
        Some(())
    }

    fn all_act_under(&self, revision: Revision) -> bool {
        let mut members = self.members.iter().enumerate();
        members.all(|(index, member)| {
            member
                .lease(clock(index, self.now))
                .map(|lease| lease.revision)
                == Some(revision)
        })
    }
}

impl Model for GroupModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let member = |incarnation| Member::new(settings(), ProcessIncarnation(incarnation));
        let mut state = ModelState {
            now: 0,
            replicated: ReplicatedState::new(BTreeMap::new()),
            leaders: Vec::new(),
            lease_end: 0,
            appended: Vec::new(),
            members: (0..u64::from(self.members)).map(member).collect(),
            last_acted: vec![None; self.members as usize],
            starts: u64::from(self.members),
            in_flight: BTreeSet::new(),
            restarts: 0,
            elections: 0,
            highest: Revision(0),
            is_broken: false,
            is_proposed: false,
        };
        self.elect(&mut state);
        for index in 0..state.members.len() {
            self.call_member(&mut state, index, Member::tick);
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.is_broken {
            return;
        }
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        if !state.appended.is_empty() {
            actions.push(Action::Commit);
        }
        if !state.is_proposed {
            actions.push(Action::Propose);
        }
        if state.now < self.time * UNIT {
            actions.push(Action::AdvanceTime);
        }
        if state.restarts < self.restarts {
            actions.extend((0..self.members as usize).map(Action::Restart));
        }
        if state.elections < self.elections && state.lease_end <= state.now {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, before: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = before.clone();
        match action {
            Action::Deliver(message) => self.deliver(&mut state, message),
            Action::Commit => self.commit(&mut state),
            Action::Propose => state.propose()?,
            Action::AdvanceTime => self.advance_time(&mut state),
            Action::Restart(index) => self.restart(&mut state, index),
            Action::Elect => {
                state.elections += 1;
                self.elect(&mut state);
            }
        }
        self.act(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no mixture", |_, state: &ModelState| !state.is_broken),
            Property::sometimes("all act under the new policy", |_, state: &ModelState| {
                state.all_act_under(Revision(1))
            }),
        ]
    }
}

/// The bounds in CI; `MODEL=large` takes minutes.
fn bounds() -> GroupModel {
    let small = GroupModel {
        members: 2,
        time: 2,
        restarts: 1,
        elections: 1,
        max_in_flight: 3,
        mutant: Mutant::Unmodified,
    };
    match std::env::var("MODEL").as_deref() {
        Ok("large") => GroupModel { time: 3, ..small },
        _ => small,
    }
}

#[test]
fn no_order_of_events_mixes_two_policies() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checked = bounds()
        .checker()
        .threads(threads)
        .target_state_count(12_000_000)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them different, {} deep",
        checked.state_count(),
        checked.unique_state_count(),
        checked.max_depth()
    );
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 20_000,
        "too small a space to tell: {}",
        checked.unique_state_count()
    );
}

#[test]
fn member_acting_after_its_lease_is_detected() {
    let model = GroupModel {
        mutant: Mutant::ActsAfterLease,
        time: 4,
        ..bounds()
    };
    let checked = model
        .checker()
        .target_state_count(3_000_000)
        .spawn_bfs()
        .join();
    assert!(checked.discovery("no mixture").is_some());
}

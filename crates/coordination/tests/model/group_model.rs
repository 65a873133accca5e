//! The model of a group, with the events that lead from one state to the next.

use super::state::{clock, settings, Message, ModelState, LEADER_LEASE, UNIT};
use marblefall_coordination::identifiers::{Epoch, MemberId, ProcessIncarnation, Revision};
use marblefall_coordination::leader::{Leader, LeaderAction};
use marblefall_coordination::member::{Member, MemberAction};
use marblefall_coordination::message::{PolicyVerdict, ToLeader};
use marblefall_coordination::replicated_state::{LogEntry, ReplicatedState};
use marblefall_time::Time;
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Name of the property that no member acts under an earlier revision after any member has acted under a later one.
pub const REVISIONS_DO_NOT_DECREASE: &str = "no member acts under an earlier revision";
/// Maximum number of simulated leaders, including former ones.
const MAX_LEADERS: usize = 2;

/// The group to explore, with the bounds of the exploration.
#[derive(Clone)]
pub struct GroupModel {
    /// Number of members.
    pub members: u32,
    /// Maximum simulated time, in multiples of [`UNIT`].
    pub max_time: i64,
    /// Maximum number of restarts, over all members.
    pub max_restarts: u8,
    /// Maximum number of elections after the first one.
    pub max_elections: u8,
    /// Maximum number of messages in flight.
    pub max_in_flight: usize,
    pub mutant: Mutant,
}

/// A deliberate fault of the members, which the check must detect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    Unmodified,
    /// A member continues to act after its lease has expired.
    ActsAfterLease,
}

/// An event that leads from one state to the next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Deliver(Message),
    Commit,
    Propose,
    AdvanceTime,
    Restart(usize),
    Elect,
}

impl GroupModel {
    fn send(&self, state: &mut ModelState, message: Message) {
        // Messages beyond the bound are lost.
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

    /// Lets every member act that may act at the current time, and checks the order of the revisions.
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
            state.is_violated |= revision < state.highest_revision;
            state.highest_revision = state.highest_revision.max(revision);
        }
    }

    fn elect(&self, state: &mut ModelState) {
        state.leader_lease_end = state.now + LEADER_LEASE;
        state.appended.clear();
        let epoch = Epoch(state.replicated.epoch.0 + 1);
        state.replicated.apply(LogEntry::EpochStarted(epoch));
        let members: Vec<MemberId> = (0..self.members).map(MemberId).collect();
        let now = Time(state.now);
        let mut leader = Leader::elected(settings(), epoch, now, &members, &state.replicated);
        leader.extend_lease(Time(state.leader_lease_end));
        state.leaders.push(leader);
        if state.leaders.len() > MAX_LEADERS {
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
        // The last leader is never deposed: its lease is extended forever.
        if state.elections >= self.max_elections {
            state.leader_lease_end = state.now + LEADER_LEASE;
            let lease_end = Time(state.leader_lease_end);
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

impl Model for GroupModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let member = |incarnation| Member::new(settings(), ProcessIncarnation(incarnation));
        let mut state = ModelState {
            now: 0,
            replicated: ReplicatedState::new(BTreeMap::new()),
            leaders: Vec::new(),
            leader_lease_end: 0,
            appended: Vec::new(),
            members: (0..u64::from(self.members)).map(member).collect(),
            last_acted: vec![None; self.members as usize],
            starts: u64::from(self.members),
            in_flight: BTreeSet::new(),
            restarts: 0,
            elections: 0,
            highest_revision: Revision(0),
            is_violated: false,
            has_proposed: false,
        };
        self.elect(&mut state);
        for index in 0..state.members.len() {
            self.call_member(&mut state, index, Member::tick);
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.is_violated {
            return;
        }
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        if !state.appended.is_empty() {
            actions.push(Action::Commit);
        }
        if !state.has_proposed {
            actions.push(Action::Propose);
        }
        if state.now < self.max_time * UNIT {
            actions.push(Action::AdvanceTime);
        }
        if state.restarts < self.max_restarts {
            actions.extend((0..self.members as usize).map(Action::Restart));
        }
        if state.elections < self.max_elections && state.leader_lease_end <= state.now {
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
            Property::always(REVISIONS_DO_NOT_DECREASE, |_, state: &ModelState| {
                !state.is_violated
            }),
            Property::sometimes("all act under the new policy", |_, state: &ModelState| {
                state.all_act_under(Revision(1))
            }),
        ]
    }
}

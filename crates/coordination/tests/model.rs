//! The code of terms and switch that runs, checked over all orders of what can happen in a small group and a short time:
//! words that arrive late, out of order or never, members that die and begin anew, leaders that do not know that they are none
//! any more, and clocks of different speeds.

use marblefall_coordination::identifiers::{
    Author, Epoch, MemberId, Policy, ProcessIncarnation, Revision,
};
use marblefall_coordination::leader::{Leader, LeaderAction};
use marblefall_coordination::member::{Member, MemberAction};
use marblefall_coordination::message::{PolicyVerdict, ToLeader, ToMember};
use marblefall_coordination::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_scheduler::{Span, Time};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A unit of time.
const UNIT: i64 = 1000;

/// What is tried, and within which bounds.
#[derive(Clone)]
struct Group {
    members: u32,
    /// Units of time that pass.
    time: i64,
    /// Members that die and begin anew.
    restarts: u8,
    /// Leaders after the first.
    elections: u8,
    /// Words that may be on their way at once.
    max_in_flight: usize,
    /// A member acts on after its term: put in on purpose.
    acts_after_lease: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    ToLeader(MemberId, ToLeader),
    ToMember(MemberId, Epoch, ToMember),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Simulation {
    now: i64,
    state: ReplicatedState,
    /// The latest last: only its entries are committed.
    leaders: Vec<Leader>,
    lease_end: i64,
    /// Entries on their way.
    appended: Vec<(Epoch, LeaderEntry)>,
    members: Vec<Member>,
    /// What each last acted under, for those that go wrong.
    last_acted: Vec<Option<Revision>>,
    starts: u64,
    in_flight: BTreeSet<Message>,
    restarts: u8,
    elections: u8,
    highest: Revision,
    is_broken: bool,
    proposed: bool,
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

impl Group {
    fn send(&self, simulation: &mut Simulation, message: Message) {
        // One that finds no room is lost.
        if simulation.in_flight.len() < self.max_in_flight {
            simulation.in_flight.insert(message);
        }
    }

    fn call_leader(
        &self,
        simulation: &mut Simulation,
        which: usize,
        act: impl FnOnce(&mut Leader, Time, &mut Vec<LeaderAction>),
    ) {
        let (now, mut actions) = (Time(simulation.now), Vec::new());
        act(&mut simulation.leaders[which], now, &mut actions);
        let epoch = simulation.leaders[which].epoch();
        for actions in actions {
            match actions {
                LeaderAction::Send(to, message) => {
                    self.send(simulation, Message::ToMember(to, epoch, message))
                }
                LeaderAction::Append(entry)
                    if !simulation.appended.contains(&(epoch, entry.clone())) =>
                {
                    simulation.appended.push((epoch, entry));
                }
                LeaderAction::Append(_) => {}
            }
        }
    }

    fn call_member(
        &self,
        simulation: &mut Simulation,
        which: usize,
        act: impl FnOnce(&mut Member, Time, &mut Vec<MemberAction>),
    ) {
        let (now, mut actions) = (clock(which, simulation.now), Vec::new());
        act(&mut simulation.members[which], now, &mut actions);
        let member = MemberId(which as u32);
        for actions in actions {
            match actions {
                MemberAction::Send(message) => {
                    self.send(simulation, Message::ToLeader(member, message))
                }
                MemberAction::CheckPolicy(proposal, ..) => {
                    self.send(
                        simulation,
                        Message::ToLeader(
                            member,
                            ToLeader::PolicyChecked(proposal, PolicyVerdict::Accepted),
                        ),
                    );
                }
                MemberAction::ApplyPolicy(..) => {}
            }
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&self, simulation: &mut Simulation) {
        for which in 0..simulation.members.len() {
            let may = simulation.members[which].holds_lease(clock(which, simulation.now));
            if may.is_some() {
                simulation.last_acted[which] = may;
            }
            let acts = if self.acts_after_lease {
                may.or(simulation.last_acted[which])
            } else {
                may
            };
            let Some(revision) = acts else { continue };
            simulation.is_broken |= revision < simulation.highest;
            simulation.highest = simulation.highest.max(revision);
        }
    }

    fn elect(&self, simulation: &mut Simulation) {
        simulation.lease_end = simulation.now + 2 * UNIT;
        simulation.appended.clear();
        let epoch = Epoch(simulation.state.epoch.0 + 1);
        simulation.state.apply(LogEntry::EpochStarted(epoch));
        let members: Vec<MemberId> = (0..self.members).map(MemberId).collect();
        let mut leader = Leader::elected(
            settings(),
            epoch,
            Time(simulation.now),
            &members,
            &simulation.state,
        );
        leader.extend_lease(Time(simulation.lease_end));
        simulation.leaders.push(leader);
        if simulation.leaders.len() > 2 {
            simulation.leaders.remove(0);
        }
    }
}

impl Model for Group {
    type State = Simulation;
    type Action = Action;

    fn init_states(&self) -> Vec<Simulation> {
        let member = |life| Member::new(settings(), ProcessIncarnation(life));
        let mut simulation = Simulation {
            now: 0,
            state: ReplicatedState::new(BTreeMap::new()),
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
            proposed: false,
        };
        self.elect(&mut simulation);
        (0..self.members as usize).for_each(|which| {
            self.call_member(&mut simulation, which, |state, now, actions| {
                state.tick(now, actions)
            })
        });
        vec![simulation]
    }

    fn actions(&self, simulation: &Simulation, actions: &mut Vec<Action>) {
        if simulation.is_broken {
            return;
        }
        actions.extend(simulation.in_flight.iter().cloned().map(Action::Deliver));
        if !simulation.appended.is_empty() {
            actions.push(Action::Commit);
        }
        if !simulation.proposed {
            actions.push(Action::Propose);
        }
        if simulation.now < self.time * UNIT {
            actions.push(Action::AdvanceTime);
        }
        if simulation.restarts < self.restarts {
            actions.extend((0..self.members as usize).map(Action::Restart));
        }
        if simulation.elections < self.elections && simulation.lease_end <= simulation.now {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, before: &Simulation, action: Action) -> Option<Simulation> {
        let mut simulation = before.clone();
        let latest = simulation.leaders.len() - 1;
        match action {
            Action::Deliver(message) => {
                simulation.in_flight.remove(&message);
                match message {
                    Message::ToLeader(member, message) => {
                        for which in 0..simulation.leaders.len() {
                            self.call_leader(&mut simulation, which, |leader, now, actions| {
                                leader.handle_message(now, member, message.clone(), actions)
                            });
                        }
                    }
                    Message::ToMember(member, epoch, message) => {
                        self.call_member(
                            &mut simulation,
                            member.0 as usize,
                            |state, now, actions| {
                                state.handle_message(now, epoch, message, actions)
                            },
                        );
                    }
                }
            }
            Action::Commit => {
                let (epoch, entry) = simulation.appended.remove(0);
                if let Some(entry) = simulation.state.apply(LogEntry::Leader {
                    epoch,
                    unix_ms: 0,
                    entry,
                }) {
                    self.call_leader(&mut simulation, latest, |leader, now, actions| {
                        leader.handle_committed(now, entry, actions)
                    });
                }
            }
            Action::Propose => {
                simulation.proposed = true;
                let proposal = simulation.leaders[latest].next_proposal().ok()?;
                let epoch = simulation.leaders[latest].epoch();
                let entry = LeaderEntry::Proposed(
                    proposal,
                    Policy::from(&b"second"[..]),
                    Author::default(),
                );
                simulation.appended.push((epoch, entry));
            }
            Action::AdvanceTime => {
                simulation.now += UNIT;
                // Its voters hear a leader for as long as no other one is to come.
                if simulation.elections >= self.elections {
                    simulation.lease_end = simulation.now + 2 * UNIT;
                    simulation.leaders[latest].extend_lease(Time(simulation.lease_end));
                }
                for which in 0..simulation.leaders.len() {
                    self.call_leader(&mut simulation, which, |leader, now, actions| {
                        leader.tick(now, actions)
                    });
                }
                for which in 0..simulation.members.len() {
                    self.call_member(&mut simulation, which, |state, now, actions| {
                        state.tick(now, actions)
                    });
                }
            }
            Action::Restart(which) => {
                simulation.restarts += 1;
                simulation.starts += 1;
                simulation.members[which] =
                    Member::new(settings(), ProcessIncarnation(simulation.starts));
                simulation.last_acted[which] = None;
                self.call_member(&mut simulation, which, |state, now, actions| {
                    state.tick(now, actions)
                });
            }
            Action::Elect => {
                simulation.elections += 1;
                self.elect(&mut simulation);
            }
        }
        self.act(&mut simulation);
        Some(simulation)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no mixture", |_, simulation: &Simulation| {
                !simulation.is_broken
            }),
            Property::sometimes(
                "all act under the new policy",
                |_, simulation: &Simulation| {
                    let acts = |(which, state): (usize, &Member)| {
                        state.holds_lease(clock(which, simulation.now))
                    };
                    simulation
                        .members
                        .iter()
                        .enumerate()
                        .all(|one| acts(one) == Some(Revision(1)))
                },
            ),
        ]
    }
}

/// The bounds in CI; `MODEL=large` takes minutes.
fn bounds() -> Group {
    let small = Group {
        members: 2,
        time: 2,
        restarts: 1,
        elections: 1,
        max_in_flight: 3,
        acts_after_lease: false,
    };
    match std::env::var("MODEL").as_deref() {
        Ok("large") => Group { time: 3, ..small },
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
fn a_member_that_acts_on_after_its_term_is_found() {
    let checked = Group {
        acts_after_lease: true,
        time: 4,
        ..bounds()
    }
    .checker()
    .target_state_count(3_000_000)
    .spawn_bfs()
    .join();
    assert!(checked.discovery("no mixture").is_some());
}

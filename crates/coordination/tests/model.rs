//! The code of terms and switch that runs, checked over all orders of what can happen in a small group and a short time:
//! words that arrive late, out of order or never, members that die and begin anew, leaders that do not know that they are none
//! any more, and clocks of different speeds.

use marblefall_coordination::book::{Book, Line};
use marblefall_coordination::leader::{self, Leader};
use marblefall_coordination::member::{self, MemberState};
use marblefall_coordination::words::*;
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
    deaths: u8,
    /// Leaders after the first.
    elections: u8,
    /// Words that may be on their way at once.
    flying: usize,
    /// A member acts on after its term: put in on purpose.
    acts_on: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Up(Member, ToLeader),
    Down(Member, Epoch, ToMember),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    book: Book,
    /// The latest last: only its entries are committed.
    leaders: Vec<Leader>,
    leased_until: i64,
    /// Entries on their way.
    appended: Vec<(Epoch, Entry)>,
    members: Vec<MemberState>,
    /// What each last acted under, for those that go wrong.
    acted: Vec<Option<Revision>>,
    lives: u64,
    net: BTreeSet<Word>,
    deaths: u8,
    elections: u8,
    highest: Revision,
    broken: bool,
    proposed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Arrives(Word),
    Commits,
    Proposes,
    Passes,
    Dies(usize),
    Elects,
}

fn terms() -> Terms {
    Terms {
        on_cut: OnCut::Stop,
        term: Span(2 * UNIT),
        drift_percent: 10,
        check_for: Span(4 * UNIT),
        stop_for: Span(4 * UNIT),
        again: Span(2 * UNIT),
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
    fn say(&self, world: &mut World, word: Word) {
        // One that finds no room is lost.
        if world.net.len() < self.flying {
            world.net.insert(word);
        }
    }

    fn lead(
        &self,
        world: &mut World,
        which: usize,
        act: impl FnOnce(&mut Leader, Time, &mut Vec<leader::Do>),
    ) {
        let (now, mut todo) = (Time(world.now), Vec::new());
        act(&mut world.leaders[which], now, &mut todo);
        let epoch = world.leaders[which].epoch();
        for todo in todo {
            match todo {
                leader::Do::Send(to, word) => self.say(world, Word::Down(to, epoch, word)),
                leader::Do::Append(entry) if !world.appended.contains(&(epoch, entry.clone())) => {
                    world.appended.push((epoch, entry));
                }
                leader::Do::Append(_) => {}
            }
        }
    }

    fn live(
        &self,
        world: &mut World,
        which: usize,
        act: impl FnOnce(&mut MemberState, Time, &mut Vec<member::Do>),
    ) {
        let (now, mut todo) = (clock(which, world.now), Vec::new());
        act(&mut world.members[which], now, &mut todo);
        let member = Member(which as u32);
        for todo in todo {
            match todo {
                member::Do::Send(word) => self.say(world, Word::Up(member, word)),
                member::Do::Check(proposal, ..) => {
                    self.say(world, Word::Up(member, ToLeader::Checked(proposal, Ok(()))));
                }
                member::Do::TakeUp(..) => {}
            }
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&self, world: &mut World) {
        for which in 0..world.members.len() {
            let may = world.members[which].may_act(clock(which, world.now));
            if may.is_some() {
                world.acted[which] = may;
            }
            let acts = if self.acts_on {
                may.or(world.acted[which])
            } else {
                may
            };
            let Some(revision) = acts else { continue };
            world.broken |= revision < world.highest;
            world.highest = world.highest.max(revision);
        }
    }

    fn elect(&self, world: &mut World) {
        world.leased_until = world.now + 2 * UNIT;
        world.appended.clear();
        let epoch = Epoch(world.book.epoch.0 + 1);
        world.book.take(Line::Begins(epoch));
        let members: Vec<Member> = (0..self.members).map(Member).collect();
        let mut leader = Leader::elected(terms(), epoch, Time(world.now), &members, &world.book);
        leader.leased(Time(world.leased_until));
        world.leaders.push(leader);
        if world.leaders.len() > 2 {
            world.leaders.remove(0);
        }
    }
}

impl Model for Group {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let member = |life| MemberState::new(terms(), Life(life));
        let mut world = World {
            now: 0,
            book: Book::new(BTreeMap::new()),
            leaders: Vec::new(),
            leased_until: 0,
            appended: Vec::new(),
            members: (0..u64::from(self.members)).map(member).collect(),
            acted: vec![None; self.members as usize],
            lives: u64::from(self.members),
            net: BTreeSet::new(),
            deaths: 0,
            elections: 0,
            highest: Revision(0),
            broken: false,
            proposed: false,
        };
        self.elect(&mut world);
        (0..self.members as usize).for_each(|which| {
            self.live(&mut world, which, |state, now, todo| state.tick(now, todo))
        });
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.broken {
            return;
        }
        actions.extend(world.net.iter().cloned().map(Action::Arrives));
        if !world.appended.is_empty() {
            actions.push(Action::Commits);
        }
        if !world.proposed {
            actions.push(Action::Proposes);
        }
        if world.now < self.time * UNIT {
            actions.push(Action::Passes);
        }
        if world.deaths < self.deaths {
            actions.extend((0..self.members as usize).map(Action::Dies));
        }
        if world.elections < self.elections && world.leased_until <= world.now {
            actions.push(Action::Elects);
        }
    }

    fn next_state(&self, before: &World, action: Action) -> Option<World> {
        let mut world = before.clone();
        let latest = world.leaders.len() - 1;
        match action {
            Action::Arrives(word) => {
                world.net.remove(&word);
                match word {
                    Word::Up(member, word) => {
                        for which in 0..world.leaders.len() {
                            self.lead(&mut world, which, |leader, now, todo| {
                                leader.hear(now, member, word.clone(), todo)
                            });
                        }
                    }
                    Word::Down(member, epoch, word) => {
                        self.live(&mut world, member.0 as usize, |state, now, todo| {
                            state.hear(now, epoch, word, todo)
                        });
                    }
                }
            }
            Action::Commits => {
                let (epoch, entry) = world.appended.remove(0);
                if let Some(entry) = world.book.take(Line::Says(epoch, 0, entry)) {
                    self.lead(&mut world, latest, |leader, now, todo| {
                        leader.committed(now, entry, todo)
                    });
                }
            }
            Action::Proposes => {
                world.proposed = true;
                let proposal = world.leaders[latest].next_proposal().ok()?;
                let epoch = world.leaders[latest].epoch();
                let entry =
                    Entry::Proposed(proposal, Policy::from(&b"second"[..]), Author::default());
                world.appended.push((epoch, entry));
            }
            Action::Passes => {
                world.now += UNIT;
                // Its voters hear a leader for as long as no other one is to come.
                if world.elections >= self.elections {
                    world.leased_until = world.now + 2 * UNIT;
                    world.leaders[latest].leased(Time(world.leased_until));
                }
                for which in 0..world.leaders.len() {
                    self.lead(&mut world, which, |leader, now, todo| {
                        leader.tick(now, todo)
                    });
                }
                for which in 0..world.members.len() {
                    self.live(&mut world, which, |state, now, todo| state.tick(now, todo));
                }
            }
            Action::Dies(which) => {
                world.deaths += 1;
                world.lives += 1;
                world.members[which] = MemberState::new(terms(), Life(world.lives));
                world.acted[which] = None;
                self.live(&mut world, which, |state, now, todo| state.tick(now, todo));
            }
            Action::Elects => {
                world.elections += 1;
                self.elect(&mut world);
            }
        }
        self.act(&mut world);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no mixture", |_, world: &World| !world.broken),
            Property::sometimes("all act under the new policy", |_, world: &World| {
                let acts =
                    |(which, state): (usize, &MemberState)| state.may_act(clock(which, world.now));
                world
                    .members
                    .iter()
                    .enumerate()
                    .all(|one| acts(one) == Some(Revision(1)))
            }),
        ]
    }
}

/// The bounds in CI; `MODEL=large` takes minutes.
fn bounds() -> Group {
    let small = Group {
        members: 2,
        time: 2,
        deaths: 1,
        elections: 1,
        flying: 3,
        acts_on: false,
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
        acts_on: true,
        time: 4,
        ..bounds()
    }
    .checker()
    .target_state_count(3_000_000)
    .spawn_bfs()
    .join();
    assert!(checked.discovery("no mixture").is_some());
}

//! Whole histories of a group in one clock: members that are cut off, stopped, started anew, leaders that die, words lost,
//! late and twice, clocks of different speeds. Checkers for the guarantees of `docs/design/group.md`, and faults put in on
//! purpose that each of them must find.

use marblefall_coordination::book::{Book, Line};
use marblefall_coordination::leader::{self, Leader};
use marblefall_coordination::member::{self, MemberState};
use marblefall_coordination::words::*;
use marblefall_scheduler::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

const MS: i64 = 1000;
const LEASE: i64 = 400 * MS;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A member acts on after its term has run out.
    ActsOn,
    /// A member confirms that it is still, and is not.
    SaysStill,
    /// A member is set back to what it knew before it was still.
    SetBack,
    /// A member's no is passed on as a yes.
    NoIsYes,
    /// A leader grants on after its lease.
    LeadsOn,
    /// The word on an outcome is taken from whoever says it last.
    TwoOutcomes,
}

fn terms(on_cut: OnCut) -> Terms {
    Terms {
        on_cut,
        term: Span(300 * MS),
        drift_percent: 1,
        check_for: Span(900 * MS),
        stop_for: Span(900 * MS),
        again: Span(30 * MS),
    }
}

/// One member as the world has it.
struct Place {
    state: Option<MemberState>,
    /// Its clock: an offset, and how many hundredths of a percent it runs fast.
    clock: (i64, i64),
    paused_until: i64,
    cut_until: i64,
    /// What it knew a while ago.
    before: Option<MemberState>,
    holds: Option<Revision>,
}

impl Place {
    fn clock(&self, now: i64) -> Time {
        Time(self.clock.0 + now + now * self.clock.1 / 10_000)
    }
}

enum Word {
    Up(Member, ToLeader),
    Down(Member, Epoch, ToMember),
}

struct World {
    rng: Pcg64,
    terms: Terms,
    broken: Broken,
    now: i64,
    places: BTreeMap<Member, Place>,
    /// The leaders that take themselves for one, the latest last; only that one's entries are committed.
    leaders: Vec<Leader>,
    leased_until: i64,
    deposed: bool,
    epoch: u64,
    log: Vec<Entry>,
    /// Entries on their way, with the epoch that appended them and when they are committed.
    appended: Vec<(i64, Epoch, Entry)>,
    flying: BTreeMap<(i64, u64), Word>,
    sent: u64,
    lives: u64,
    highest: Revision,
    policies: BTreeMap<Revision, Policy>,
    refused: Vec<Proposal>,
    acts: BTreeMap<Revision, u64>,
    trace: Vec<String>,
    faults: bool,
}

fn members(count: u32) -> Vec<Member> {
    (0..count).map(Member).collect()
}

impl World {
    fn new(seed: u64, count: u32, on_cut: OnCut, broken: Broken) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let places = members(count).into_iter().map(|member| {
            let clock = (
                rng.random_range(0..1_000_000_000),
                rng.random_range(-45..=45),
            );
            let (state, before, holds) = (None, None, None);
            (
                member,
                Place {
                    state,
                    clock,
                    paused_until: 0,
                    cut_until: 0,
                    before,
                    holds,
                },
            )
        });
        let places = places.collect();
        let (leaders, log, appended, flying, policies, refused, acts, trace) = Default::default();
        World {
            rng,
            terms: terms(on_cut),
            broken,
            now: 0,
            places,
            leaders,
            leased_until: 0,
            deposed: false,
            epoch: 0,
            log,
            appended,
            flying,
            sent: 0,
            lives: 0,
            highest: Revision(0),
            policies,
            refused,
            acts,
            trace,
            faults: true,
        }
    }

    fn note(&mut self, what: String) {
        self.trace
            .push(format!("{:7.1} ms {what}", self.now as f64 / MS as f64));
    }

    fn fly(&mut self, word: Word) {
        let member = match &word {
            Word::Up(member, _) | Word::Down(member, ..) => *member,
        };
        if self.places[&member].cut_until > self.now || self.faults && self.rng.random_bool(0.05) {
            return;
        }
        let slow = if self.faults && self.rng.random_bool(0.05) {
            400
        } else {
            10
        };
        self.sent += 1;
        let at = self.now + self.rng.random_range(1..slow) * MS;
        self.flying.insert((at, self.sent), word);
    }

    fn lead(&mut self, which: usize, mut act: impl FnMut(&mut Leader, Time, &mut Vec<leader::Do>)) {
        let mut todo = Vec::new();
        let now = Time(self.now);
        act(&mut self.leaders[which], now, &mut todo);
        let epoch = self.leaders[which].epoch();
        for todo in todo {
            match todo {
                leader::Do::Send(to, word) => self.fly(Word::Down(to, epoch, word)),
                leader::Do::Append(entry) => {
                    let at = self.now + self.rng.random_range(2..20) * MS;
                    self.appended.push((at, epoch, entry));
                }
            }
        }
    }

    fn live(
        &mut self,
        member: Member,
        act: impl FnOnce(&mut MemberState, Time, &mut Vec<member::Do>),
    ) {
        let mut todo = Vec::new();
        let place = self.places.get_mut(&member).unwrap();
        let now = place.clock(self.now);
        let Some(state) = &mut place.state else {
            return;
        };
        act(state, now, &mut todo);
        for todo in todo {
            match todo {
                member::Do::Send(word) => self.fly(Word::Up(member, word)),
                member::Do::Check(proposal, _, policy) => {
                    // A policy that says so is one that this member cannot take up.
                    let no = policy.starts_with(b"bad") && u32::from(policy[3]) == member.0;
                    if no && self.broken == Broken::NoIsYes {
                        self.refused.push(proposal);
                    }
                    let no = no && self.broken != Broken::NoIsYes;
                    let verdict = if no {
                        Err("it does not fit".to_owned())
                    } else {
                        Ok(())
                    };
                    self.fly(Word::Up(member, ToLeader::Checked(proposal, verdict)));
                }
                member::Do::TakeUp(revision, policy) => {
                    self.places.get_mut(&member).unwrap().holds = Some(revision);
                    self.note(format!("{member:?} takes up {revision:?}"));
                    let known = self
                        .policies
                        .entry(revision)
                        .or_insert_with(|| policy.clone());
                    assert_eq!(*known, policy, "two outcomes of {revision:?}");
                }
            }
        }
    }

    fn elect(&mut self) {
        self.epoch += 1;
        self.deposed = false;
        self.note(format!("leader {} is elected", self.epoch));
        // What an earlier one appended is committed before, or never.
        let mut log = self.log.clone();
        if self.broken == Broken::TwoOutcomes {
            // The new one believes its own log instead of the one order.
            log.retain(|entry| !matches!(entry, Entry::InForce(_)));
        }
        self.appended.clear();
        // A no that died with the leader which heard it is asked for again.
        if self.broken != Broken::NoIsYes {
            self.refused.clear();
        }
        let all: Vec<Member> = self.places.keys().copied().collect();
        let now = Time(self.now);
        let mut book = Book::new(BTreeMap::new());
        log.into_iter()
            .for_each(|entry| drop(book.take(Line::Says(Epoch(0), 0, entry))));
        let leader = Leader::elected(self.terms, Epoch(self.epoch), now, &all, &book);
        self.leaders.push(leader);
        if self.leaders.len() > 2 {
            self.leaders.remove(0);
        }
        self.leased_until = self.now + LEASE;
    }

    fn lease(&mut self) {
        let latest = self.leaders.len().checked_sub(1);
        for which in 0..self.leaders.len() {
            let until = match (Some(which) == latest, self.broken) {
                (true, _) => self.leased_until,
                (false, Broken::LeadsOn) => self.now + LEASE,
                (false, _) => continue,
            };
            self.leaders[which].leased(Time(until));
        }
    }

    fn commit(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.appended)
            .into_iter()
            .partition(|one| one.0 <= now);
        self.appended = later;
        for (_, epoch, entry) in due {
            if epoch != Epoch(self.epoch) || self.deposed {
                continue;
            }
            self.note(format!("committed: {}", told(&entry)));
            if let Entry::InForce(proposal) = &entry {
                assert!(
                    !self.refused.contains(proposal),
                    "{proposal:?} is in force though one said no"
                );
            }
            self.log.push(entry.clone());
            let latest = self.leaders.len() - 1;
            self.lead(latest, |leader, now, todo| {
                leader.committed(now, entry.clone(), todo)
            });
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self
            .flying
            .first_entry()
            .filter(|first| first.key().0 <= self.now)
        {
            match first.remove() {
                Word::Up(member, word) => {
                    self.hear_no(&word);
                    for which in 0..self.leaders.len() {
                        self.lead(which, |leader, now, todo| {
                            leader.hear(now, member, word.clone(), todo)
                        });
                    }
                }
                Word::Down(member, epoch, word) => {
                    let place = &self.places[&member];
                    if place.paused_until > self.now {
                        // Waits in the socket.
                        self.sent += 1;
                        self.flying.insert(
                            (place.paused_until, self.sent),
                            Word::Down(member, epoch, word),
                        );
                        continue;
                    }
                    if let (ToMember::Stop(proposal), Broken::SaysStill) = (&word, self.broken) {
                        self.fly(Word::Up(member, ToLeader::Still(*proposal, epoch)));
                        continue;
                    }
                    if matches!(word, ToMember::Stop(_)) {
                        let place = self.places.get_mut(&member).unwrap();
                        place.before = place.state.clone();
                    }
                    self.live(member, |state, now, todo| {
                        state.hear(now, epoch, word, todo)
                    });
                }
            }
        }
    }

    /// A no that reaches the leader before it decides must withdraw the change.
    fn hear_no(&mut self, word: &ToLeader) {
        let ToLeader::Checked(proposal, Err(_)) = word else {
            return;
        };
        let decided = |(.., entry): &(i64, Epoch, Entry)| *entry == Entry::InForce(*proposal);
        let latest = self.leaders.last().filter(|_| !self.deposed);
        let open = latest.and_then(|leader| leader.standing().1) == Some(*proposal);
        if open && !self.appended.iter().any(decided) {
            self.refused.push(*proposal);
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&mut self) {
        for (member, place) in &self.places {
            let Some(state) = place
                .state
                .as_ref()
                .filter(|_| place.paused_until <= self.now)
            else {
                continue;
            };
            let acts = match self.broken {
                Broken::ActsOn if !state.is_still(place.clock(self.now)) => place.holds,
                _ => state.may_act(place.clock(self.now)),
            };
            let Some(revision) = acts else { continue };
            assert!(
                revision >= self.highest,
                "{member:?} acts under {revision:?} after {:?}",
                self.highest
            );
            self.highest = revision;
            *self.acts.entry(revision).or_default() += 1;
        }
    }

    fn strike(&mut self) {
        let member = Member(self.rng.random_range(0..self.places.len() as u32));
        let (now, long) = (self.now, self.rng.random_range(20..1500) * MS);
        match self.rng.random_range(0..600u32) {
            0 => {
                self.note(format!("{member:?} is started anew"));
                self.lives += 1;
                let (terms, life) = (self.terms, Life(self.lives));
                let place = self.places.get_mut(&member).unwrap();
                (place.state, place.holds) = (Some(MemberState::new(terms, life)), None);
                place.clock.0 = self.rng.random_range(0..1_000_000_000);
            }
            1 => {
                self.note(format!("{member:?} is stopped for {} ms", long / MS));
                self.places.get_mut(&member).unwrap().paused_until = now + long;
            }
            2 => {
                self.note(format!("{member:?} is cut off for {} ms", long / MS));
                self.places.get_mut(&member).unwrap().cut_until = now + long;
            }
            3 if self.broken == Broken::SetBack => {
                let place = self.places.get_mut(&member).unwrap();
                if place.before.is_some() {
                    place.state = place.before.take();
                }
            }
            4 if self.rng.random_bool(0.4) => {
                // Its voters do not hear it any more: another one comes once its lease is surely over.
                self.note("the leader loses its voters".to_owned());
                self.deposed = true;
                self.appended.clear();
            }
            _ => {}
        }
    }

    fn turn(&mut self, change: Option<&Policy>) {
        self.now += MS;
        if self.leased_until <= self.now && (self.leaders.is_empty() || self.rng.random_bool(0.02))
        {
            self.elect();
        } else if !self.deposed && !self.leaders.is_empty() {
            self.leased_until = self.now + LEASE;
        }
        self.lease();
        if self.faults {
            self.strike();
        }
        if let (Some(policy), Some(latest)) = (change, self.leaders.len().checked_sub(1)) {
            if let Ok(proposal) = self.leaders[latest].next_proposal() {
                let epoch = self.leaders[latest].epoch();
                if !self
                    .appended
                    .iter()
                    .any(|(.., entry)| matches!(entry, Entry::Proposed(..)))
                {
                    self.appended.push((
                        self.now + 3 * MS,
                        epoch,
                        Entry::Proposed(proposal, policy.clone(), Author::default()),
                    ));
                }
            }
        }
        self.commit();
        self.deliver();
        for which in 0..self.leaders.len() {
            self.lead(which, |leader, now, todo| leader.tick(now, todo));
        }
        let ready: Vec<Member> = self
            .places
            .iter()
            .filter(|(_, place)| place.paused_until <= self.now)
            .map(|(member, _)| *member)
            .collect();
        for member in ready {
            self.live(member, |state, now, todo| state.tick(now, todo));
        }
        self.act();
    }

    /// Plays changes under faults, then lets all heal; gives how many changes came into force.
    fn play(&mut self) -> u64 {
        for member in members(self.places.len() as u32) {
            self.lives += 1;
            let state = MemberState::new(self.terms, Life(self.lives));
            self.places.get_mut(&member).unwrap().state = Some(state);
        }
        for turn in 0..12_000u32 {
            let mut policy = format!("policy {turn}").into_bytes();
            if turn % 5 == 0 {
                policy = vec![b'b', b'a', b'd', (turn % 3) as u8];
            }
            let policy = Policy::from(policy);
            self.turn((turn % 20 == 0).then_some(&policy));
        }
        self.faults = false;
        for _ in 0..4000 {
            self.turn(None);
        }
        let (holds, open) = self.leaders.last().unwrap().standing();
        assert_eq!(open, None, "a change has no outcome");
        for (member, place) in &self.places {
            let acts = place
                .state
                .as_ref()
                .and_then(|state| state.may_act(place.clock(self.now)));
            assert_eq!(acts, Some(holds), "{member:?} was left behind");
        }
        holds.0
    }
}

fn told(entry: &Entry) -> String {
    match entry {
        Entry::Proposed(proposal, ..) => format!("{proposal:?} is proposed"),
        Entry::InForce(proposal) => format!("{proposal:?} is in force"),
        Entry::Withdrawn(proposal, reason) => format!("{proposal:?} is withdrawn, {reason}"),
        Entry::Without(member) => format!("without {member:?}"),
        Entry::Back(member) => format!("{member:?} is back"),
    }
}

/// Plays a seed; what went wrong, with the trace, or how many changes came into force and how often members acted.
fn played(seed: u64, count: u32, on_cut: OnCut, broken: Broken) -> Result<(u64, u64), String> {
    let mut world = World::new(seed, count, on_cut, broken);
    let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.play()));
    let acts = world.acts.values().sum();
    done.map(|in_force| (in_force, acts)).map_err(|_| {
        let from = world.trace.len().saturating_sub(60);
        format!(
            "seed {seed}, {count} members, {on_cut:?}:\n{}",
            world.trace[from..].join("\n")
        )
    })
}

#[test]
fn no_history_breaks_a_guarantee() {
    let (mut in_force, mut acts) = (0, 0);
    // 47 and 1776 found words of a life that was over taken for a later one's.
    for seed in (0..200).chain([1776]) {
        for on_cut in [OnCut::Stop, OnCut::Serve] {
            match played(seed, 3 + (seed % 3) as u32, on_cut, Broken::Nothing) {
                Ok((changes, acted)) => (in_force, acts) = (in_force + changes, acts + acted),
                Err(trace) => panic!("{trace}"),
            }
        }
    }
    assert!(in_force > 2000, "too few changes to tell: {in_force}");
    assert!(acts > 5_000_000, "members hardly acted: {acts}");
}

#[test]
fn every_fault_put_in_on_purpose_is_found() {
    let faults = [
        Broken::ActsOn,
        Broken::SaysStill,
        Broken::SetBack,
        Broken::NoIsYes,
        Broken::LeadsOn,
        Broken::TwoOutcomes,
    ];
    std::panic::set_hook(Box::new(|_| {}));
    let missed: Vec<Broken> = faults
        .into_iter()
        .filter(|broken| !(0..40).any(|seed| played(seed, 4, OnCut::Stop, *broken).is_err()))
        .collect();
    let _ = std::panic::take_hook();
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn a_member_that_operators_say_is_stopped_is_not_waited_for_and_is_let_in_again() {
    let mut world = World::new(1, 3, OnCut::Serve, Broken::Nothing);
    world.faults = false;
    for member in members(3) {
        let state = MemberState::new(world.terms, Life(u64::from(member.0) + 1));
        world.places.get_mut(&member).unwrap().state = Some(state);
    }
    (0..500).for_each(|_| world.turn(None));
    let policy = Policy::from(&b"second"[..]);
    // Stopped, and it stays so: the change waits for it.
    world.places.get_mut(&Member(2)).unwrap().state = None;
    world.turn(Some(&policy));
    (0..3000).for_each(|_| world.turn(None));
    assert_eq!(
        world.leaders.last().unwrap().standing(),
        (Revision(0), Some(Proposal(1)))
    );
    assert_eq!(
        world.acts.keys().copied().collect::<Vec<_>>(),
        [Revision(0)],
        "the others serve on"
    );
    let epoch = world.leaders.last().unwrap().epoch();
    world
        .appended
        .push((world.now, epoch, Entry::Without(Member(2))));
    (0..200).for_each(|_| world.turn(None));
    assert_eq!(
        world.leaders.last().unwrap().standing(),
        (Revision(1), None)
    );
    let state = MemberState::new(world.terms, Life(99));
    world.places.get_mut(&Member(2)).unwrap().state = Some(state);
    (0..300).for_each(|_| world.turn(None));
    let place = &world.places[&Member(2)];
    let acts = place
        .state
        .as_ref()
        .unwrap()
        .may_act(place.clock(world.now));
    assert_eq!(acts, Some(Revision(1)));
    assert!(world.log.contains(&Entry::Back(Member(2))));
}

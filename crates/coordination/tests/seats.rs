//! Whole daemons of a group in one clock: the log by the consensus library, terms, the switch, and what is on disk. Links that
//! break or go one way only, daemons that are killed, stopped or lose their folders, folders put back to an older copy, disks
//! that do not take a writing; and faults put in on purpose that the checkers must find. A failure names its seed and ends
//! with its trace.

use marblefall_coordination::book::Incarnation;
use marblefall_coordination::seat::{fresh, Do, Frame, Reply, Request, Seat, Setup};
use marblefall_coordination::store::Kept;
use marblefall_coordination::words::*;
use marblefall_scheduler::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};

const MS: i64 = 1000;
/// One turn of the world.
const TURN: i64 = 5 * MS;
const NAME: u64 = 7;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A voter that lost its folder goes on as if it were the same one, with an empty log.
    TrustsLostFolder,
    /// A folder that was put back is taken for what it was.
    TrustsOldFolder,
    /// A voter says things before they are on disk, and dies.
    SpeaksBeforeWriting,
    /// A member acts on after its term.
    ServesOn,
    /// A member goes on under the policy that its folder has, before it hears the group.
    TrustsOldPolicy,
    /// A member says that it is still, and acts on.
    SaysStill,
}

/// A word on its way along one link, in the order in which it was said.
struct Link {
    words: VecDeque<(i64, Frame)>,
    cut_until: i64,
    /// The sender hears that the link is open then.
    opens: Option<i64>,
}

struct Place {
    seat: Option<Seat>,
    disk: Option<Vec<u8>>,
    /// Copies of the folder that were made at times.
    copies: Vec<Option<Vec<u8>>>,
    /// The policy in its folder.
    applied: Option<Revision>,
    down_until: i64,
    paused_until: i64,
    full_until: i64,
    /// Its clock: an offset, and how many hundredths of a percent it runs fast.
    clock: (i64, i64),
    inbox: Vec<(Member, Frame)>,
    /// What it last acted under, for those that go wrong.
    acted: Option<Revision>,
}

struct World {
    rng: Pcg64,
    terms: Terms,
    broken: Broken,
    now: i64,
    voters: u32,
    places: BTreeMap<Member, Place>,
    links: BTreeMap<(Member, Member), Link>,
    highest: Revision,
    policies: BTreeMap<Revision, Policy>,
    /// Outcomes as operators were told them, by key.
    told: BTreeMap<u64, Result<Revision, String>>,
    keys: u64,
    lives: u64,
    acts: u64,
    trace: Vec<String>,
    faults: bool,
}

fn terms(on_cut: OnCut) -> Terms {
    Terms {
        on_cut,
        term: Span(900 * MS),
        drift_percent: 1,
        check_for: Span(2000 * MS),
        stop_for: Span(2000 * MS),
        again: Span(100 * MS),
    }
}

impl World {
    fn new(seed: u64, count: u32, voters: u32, on_cut: OnCut, broken: Broken) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let members: Vec<Member> = (0..count).map(Member).collect();
        let place = |rng: &mut Pcg64| Place {
            seat: None,
            disk: None,
            copies: Vec::new(),
            applied: None,
            down_until: 0,
            paused_until: 0,
            full_until: 0,
            clock: (rng.random_range(0..1_000_000), rng.random_range(-45..=45)),
            inbox: Vec::new(),
            acted: None,
        };
        let places = members
            .iter()
            .map(|member| (*member, place(&mut rng)))
            .collect();
        let pairs = members
            .iter()
            .flat_map(|from| members.iter().map(move |to| (*from, *to)));
        let link = || Link {
            words: VecDeque::new(),
            cut_until: 0,
            opens: Some(0),
        };
        let links = pairs
            .filter(|(from, to)| from != to)
            .map(|pair| (pair, link()))
            .collect();
        let (policies, told, trace) = Default::default();
        World {
            rng,
            terms: terms(on_cut),
            broken,
            now: 0,
            voters,
            places,
            links,
            highest: Revision(0),
            policies,
            told,
            keys: 0,
            lives: 0,
            acts: 0,
            trace,
            faults: true,
        }
    }

    fn note(&mut self, what: String) {
        self.trace
            .push(format!("{:8.1} ms {what}", self.now as f64 / MS as f64));
    }

    fn clock(&self, member: Member) -> Time {
        let clock = self.places[&member].clock;
        Time(clock.0 + self.now + self.now * clock.1 / 10_000)
    }

    fn start(&mut self, member: Member) {
        self.lives += 1;
        let (life, draw) = (
            Life(self.lives * 1000 + 1),
            self.rng.random_range(1..u64::MAX),
        );
        let votes = member.0 < self.voters;
        let kept = self.places[&member]
            .disk
            .as_ref()
            .and_then(|bytes| Kept::decode(bytes, NAME).ok());
        let setup = Setup {
            me: member,
            members: (0..self.places.len() as u32)
                .map(|at| (Member(at), at < self.voters))
                .collect(),
            terms: self.terms,
            life,
            kept: votes.then(|| kept.unwrap_or_else(|| fresh(NAME, draw))),
            founding: Some(Policy::from(&b"founding"[..])),
        };
        let now = self.clock(member);
        let trusts = self.broken == Broken::TrustsOldPolicy;
        let place = self.places.get_mut(&member).unwrap();
        place.seat = Some(Seat::new(setup, now));
        place.acted = place.applied.filter(|_| trusts);
        self.note(format!("{member:?} is started"));
        for ((from, to), link) in &mut self.links {
            if *from == member || *to == member {
                link.words.clear();
                link.opens = Some(self.now + 20 * MS);
            }
        }
    }

    fn kill(&mut self, member: Member, down: i64) {
        let now = self.now;
        let place = self.places.get_mut(&member).unwrap();
        (place.seat, place.down_until) = (None, now + down);
        place.inbox.clear();
    }

    fn with(&mut self, member: Member, act: impl FnOnce(&mut Seat, Time, &mut Vec<Do>)) {
        let (now, mut todo) = (self.clock(member), Vec::new());
        let Some(seat) = self
            .places
            .get_mut(&member)
            .and_then(|place| place.seat.as_mut())
        else {
            return;
        };
        act(seat, now, &mut todo);
        self.carry_out(member, todo);
    }

    fn carry_out(&mut self, member: Member, todo: Vec<Do>) {
        let mut written = true;
        for step in todo {
            match step {
                Do::Write(bytes) => {
                    let now = self.now;
                    let place = self.places.get_mut(&member).unwrap();
                    if place.full_until > now {
                        written = false;
                        place.seat.iter_mut().for_each(Seat::not_written);
                    } else if self.broken == Broken::SpeaksBeforeWriting
                        && self.rng.random_bool(0.05)
                    {
                        // Its folder forgets the writing, and how often it was written.
                        let seat = &self.places[&member].seat;
                        assert!(seat.is_some());
                        self.stale(member, &bytes);
                        self.note(format!("{member:?} dies before its writing"));
                        self.places.get_mut(&member).unwrap().down_until = now + 300 * MS;
                    } else {
                        place.disk = Some(bytes);
                    }
                }
                Do::Send(..) if !written => {}
                Do::Send(to, frame) if to == member => {
                    self.places
                        .get_mut(&member)
                        .unwrap()
                        .inbox
                        .push((member, frame));
                }
                Do::Send(to, frame) => {
                    let slow = if self.faults && self.rng.random_bool(0.02) {
                        300
                    } else {
                        8
                    };
                    let at = self.now + self.rng.random_range(1..slow) * MS;
                    let link = self.links.get_mut(&(member, to)).unwrap();
                    if link.cut_until <= self.now && link.opens.is_none() {
                        let last = link.words.back().map_or(0, |last| last.0);
                        link.words.push_back((at.max(last), frame));
                    }
                }
                Do::Check(proposal, _, policy) => {
                    let no = policy.starts_with(b"bad") && u32::from(policy[3]) == member.0;
                    let verdict = if no {
                        Err("it does not fit".to_owned())
                    } else {
                        Ok(())
                    };
                    self.with(member, |seat, now, todo| {
                        seat.checked(now, proposal, verdict, todo)
                    });
                }
                Do::TakeUp(revision, policy) => {
                    self.note(format!("{member:?} takes up {revision:?}"));
                    let known = self
                        .policies
                        .entry(revision)
                        .or_insert_with(|| policy.clone());
                    assert_eq!(*known, policy, "two outcomes of {revision:?}");
                    self.places.get_mut(&member).unwrap().applied = Some(revision);
                }
                Do::Reply(key, reply) => self.heard(key, reply),
                Do::Note(code, what) => self.note(format!("{member:?} {code}: {what}")),
            }
        }
    }

    /// A folder that does not have a writing which was spoken of, and cannot tell.
    fn stale(&mut self, member: Member, spoken: &[u8]) {
        let place = self.places.get_mut(&member).unwrap();
        let (Some(old), Ok(new)) = (&place.disk, Kept::decode(spoken, NAME)) else {
            return;
        };
        let Ok(mut old) = Kept::decode(old, NAME) else {
            return;
        };
        old.stand = new.stand + 1_000_000;
        place.disk = Some(old.encode());
    }

    fn heard(&mut self, key: u64, reply: Reply) {
        if let Reply::Done(past) = reply {
            if past.author.key == key {
                let first = self.told.entry(key).or_insert_with(|| past.outcome.clone());
                assert_eq!(*first, past.outcome, "change {key} was told two outcomes");
            }
        }
    }

    /// Every member that may act does, at this very moment.
    fn act(&mut self) {
        let members: Vec<Member> = self.places.keys().copied().collect();
        for member in members {
            let now = self.clock(member);
            let place = &self.places[&member];
            let Some(seat) = place
                .seat
                .as_ref()
                .filter(|_| place.paused_until <= self.now)
            else {
                continue;
            };
            let may = seat.may_act(now);
            let acts = match self.broken {
                Broken::ServesOn if !seat.is_still(now) => may.or(place.acted),
                Broken::TrustsOldPolicy | Broken::SaysStill => may.or(place.acted),
                _ => may,
            };
            if self.broken == Broken::SaysStill && may.is_none() && !seat.is_still(now) {
                self.places.get_mut(&member).unwrap().acted = None;
            }
            if may.is_some() && self.broken != Broken::TrustsOldPolicy {
                self.places.get_mut(&member).unwrap().acted = may;
            } else if may.is_some() {
                self.places.get_mut(&member).unwrap().acted = None;
            }
            let Some(revision) = acts else { continue };
            assert!(
                revision >= self.highest,
                "{member:?} acts under {revision:?} after {:?}",
                self.highest
            );
            (self.highest, self.acts) = (revision, self.acts + 1);
        }
    }

    fn strike(&mut self) {
        let member = Member(self.rng.random_range(0..self.places.len() as u32));
        let voter = Member(self.rng.random_range(0..self.voters));
        let (now, long) = (self.now, self.rng.random_range(50..3000) * MS);
        match self.rng.random_range(0..2600u32) {
            0..=3 => {
                self.note(format!("{member:?} is killed for {} ms", long / MS));
                self.kill(member, long);
            }
            4..=5 => {
                self.note(format!("{member:?} is stopped for {} ms", long / MS));
                self.places.get_mut(&member).unwrap().paused_until = now + long;
            }
            6..=8 => {
                let other = Member(self.rng.random_range(0..self.places.len() as u32));
                let one_way = self.rng.random_bool(0.5);
                self.note(format!(
                    "{member:?} to {other:?} is cut for {} ms, one way {one_way}",
                    long / MS
                ));
                for pair in [(member, other), (other, member)]
                    .into_iter()
                    .take(if one_way { 1 } else { 2 })
                {
                    if let Some(link) = self.links.get_mut(&pair) {
                        (link.cut_until, link.opens) = (now + long, Some(now + long));
                        link.words.clear();
                    }
                }
            }
            9 => {
                self.note(format!(
                    "{member:?} is cut off from all for {} ms",
                    long / MS
                ));
                for ((from, to), link) in &mut self.links {
                    if *from == member || *to == member {
                        (link.cut_until, link.opens) = (now + long, Some(now + long));
                        link.words.clear();
                    }
                }
            }
            10 => {
                self.note(format!(
                    "the disk of {voter:?} is full for {} ms",
                    long / MS
                ));
                self.places.get_mut(&voter).unwrap().full_until = now + long;
            }
            11 | 12 => self.lose_folder(voter, long),
            13 => {
                let down = self.rng.random_range(50..600) * MS;
                self.note(format!("all are killed for {} ms", down / MS));
                let all: Vec<Member> = self.places.keys().copied().collect();
                for member in all {
                    let extra = self.rng.random_range(0..400) * MS;
                    self.kill(member, down + extra);
                }
            }
            _ => {}
        }
    }

    /// One folder at a time may be lost or set back: with most of them gone nobody could know.
    fn lose_folder(&mut self, voter: Member, down: i64) {
        let sound = |(member, place): (&Member, &Place)| {
            let takes_part = place
                .seat
                .as_ref()
                .and_then(Seat::votes)
                .is_some_and(|(part, _)| part);
            member.0 >= self.voters || *member == voter || takes_part
        };
        // Of one that votes alone nobody else knows what it acknowledged.
        if self.voters == 1
            || !self.places.iter().all(sound)
            || self.links.values().any(|link| link.cut_until > self.now)
        {
            return;
        }
        let lost = self.rng.random_bool(0.5);
        let place = self.places.get_mut(&voter).unwrap();
        let copy = match place.copies.len() {
            0 => None,
            many => place.copies[self.rng.random_range(0..many)].clone(),
        };
        let had = place
            .disk
            .as_ref()
            .and_then(|bytes| Kept::decode(bytes, NAME).ok());
        let trusted = had.map(|had| {
            let old = copy
                .as_ref()
                .and_then(|bytes| Kept::decode(bytes, NAME).ok());
            let mut kept = match lost {
                true => Kept::new(NAME, had.incarnation),
                false => old.unwrap_or_else(|| had.clone()),
            };
            if lost {
                (kept.config, kept.base, kept.seen) = (had.config, had.base, had.seen);
            }
            kept.stand = had.stand + 1_000_000;
            kept
        });
        place.disk = match (self.broken, lost) {
            (Broken::TrustsLostFolder, true) | (Broken::TrustsOldFolder, false) => {
                trusted.map(|kept| kept.encode())
            }
            (_, true) => None,
            (_, false) => copy,
        };
        place.copies.clear();
        self.note(format!(
            "{voter:?} dies, its folder is {}",
            if lost { "lost" } else { "an old copy" }
        ));
        // Back while those still run that know what it acknowledged.
        self.kill(voter, down.min(200 * MS));
    }

    fn turn(&mut self) {
        self.now += TURN;
        if self.faults {
            self.strike();
        }
        let now = self.now;
        let members: Vec<Member> = self.places.keys().copied().collect();
        for member in &members {
            let place = self.places.get_mut(member).unwrap();
            if place.seat.is_none() && place.down_until <= now {
                self.start(*member);
            } else if now % (700 * MS) < TURN {
                place.copies.push(place.disk.clone());
            }
            // One that died in its writing is seen to be dead here.
            let place = self.places.get_mut(member).unwrap();
            if place.down_until > now && place.seat.is_some() {
                self.kill(*member, place_down(&self.places[member], now));
            }
        }
        let pairs: Vec<(Member, Member)> = self.links.keys().copied().collect();
        for pair in pairs {
            let link = self.links.get_mut(&pair).unwrap();
            if link.opens.is_some_and(|at| at <= now) && self.places[&pair.1].seat.is_some() {
                link.opens = None;
                if self.places[&pair.0].paused_until <= now {
                    self.with(pair.0, |seat, now, todo| seat.linked(now, 0, pair.1, todo));
                }
            }
            while let Some(word) = self
                .links
                .get_mut(&pair)
                .unwrap()
                .words
                .pop_front_if(|word| word.0 <= now)
            {
                if self.places[&pair.1].seat.is_some() {
                    self.places
                        .get_mut(&pair.1)
                        .unwrap()
                        .inbox
                        .push((pair.0, word.1));
                }
            }
        }
        for member in members {
            if self.places[&member].paused_until > now {
                continue;
            }
            for _ in 0..6 {
                for (from, frame) in
                    std::mem::take(&mut self.places.get_mut(&member).unwrap().inbox)
                {
                    self.with(member, |seat, now, todo| {
                        seat.hear(now, 0, from, frame, todo)
                    });
                }
            }
            self.with(member, |seat, now, todo| seat.tick(now, 0, todo));
        }
        self.act();
    }

    fn propose(&mut self, at: Member, bad: bool) {
        self.keys += 1;
        let key = self.keys;
        let base = self.places[&at]
            .seat
            .as_ref()
            .and_then(|seat| seat.view().0)
            .unwrap_or_default();
        let text = match bad {
            true => vec![
                b'b',
                b'a',
                b'd',
                self.rng.random_range(0..self.places.len() as u32) as u8,
            ],
            false => format!("policy {key}").into_bytes(),
        };
        let author = Author {
            by: "a test".to_owned(),
            key,
        };
        let request = Request::Propose {
            base,
            policy: Policy::from(text),
            author,
        };
        self.with(at, |seat, now, todo| seat.request(now, key, request, todo));
    }

    /// Plays changes under faults, then lets all heal; gives how many changes came into force.
    fn play(&mut self, turns: u32) -> u64 {
        for turn in 0..turns {
            if turn % 60 == 0 {
                let at = Member(self.rng.random_range(0..self.places.len() as u32));
                self.propose(at, turn % 360 == 0);
            }
            if turn % 100 == 50 {
                // What became of an earlier one is asked for anywhere.
                let at = Member(self.rng.random_range(0..self.places.len() as u32));
                let key = self.rng.random_range(0..=self.keys);
                self.with(at, |seat, now, todo| {
                    seat.request(now, key, Request::Outcome(key), todo)
                });
            }
            self.turn();
        }
        self.faults = false;
        let mut calm = 0;
        while calm < 6000 {
            self.turn();
            calm += 1;
            let all = |place: &Place| {
                place
                    .seat
                    .as_ref()
                    .is_some_and(|seat| seat.votes().is_none_or(|(part, _)| part))
            };
            if calm > 1200 && self.places.values().all(all) && self.in_step().is_some() {
                break;
            }
        }
        let holds = self.in_step();
        let stand = |(member, place): (&Member, &Place)| {
            let seat = place.seat.as_ref()?;
            Some(format!("{member:?} {:?} {:?}", seat.votes(), seat.view()))
        };
        let stands: Vec<_> = self.places.iter().filter_map(stand).collect();
        assert!(
            holds.is_some(),
            "not all act under one policy after {calm} calm turns: {stands:?}"
        );
        // With everybody there, one no is enough. (Of one that could not be heard `switch.rs` tells.)
        self.propose(Member(0), true);
        (0..600).for_each(|_| self.turn());
        assert_eq!(self.in_step(), holds, "in force though one said no");
        self.propose(Member(0), false);
        (0..600).for_each(|_| self.turn());
        assert!(
            self.in_step() > holds,
            "a change does not come into force without faults"
        );
        holds.unwrap_or_default().0
    }

    /// The revision under which all act, if there is one.
    fn in_step(&self) -> Option<Revision> {
        let acts = |member: &Member| {
            self.places[member]
                .seat
                .as_ref()?
                .may_act(self.clock(*member))
        };
        let first = acts(&Member(0))?;
        self.places
            .keys()
            .all(|member| acts(member) == Some(first))
            .then_some(first)
    }
}

fn place_down(place: &Place, now: i64) -> i64 {
    place.down_until - now
}

/// Plays a seed; what went wrong, with the trace, or how many changes came into force and how often members acted.
fn played(
    seed: u64,
    count: u32,
    voters: u32,
    on_cut: OnCut,
    broken: Broken,
    turns: u32,
) -> Result<(u64, u64), String> {
    let mut world = World::new(seed, count, voters, on_cut, broken);
    let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.play(turns)));
    done.map(|in_force| (in_force, world.acts)).map_err(|why| {
        let why = why.downcast_ref::<String>().cloned().unwrap_or_default();
        let from = world.trace.len().saturating_sub(70);
        format!(
            "seed {seed}, {count} members, {voters} voters, {on_cut:?}: {why}\n{}",
            world.trace[from..].join("\n")
        )
    })
}

#[test]
fn no_life_of_a_group_breaks_a_guarantee() {
    let (mut in_force, mut acts) = (0, 0);
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(24u64);
    let from = std::env::var("FROM")
        .ok()
        .and_then(|from| from.parse().ok())
        .unwrap_or(0u64);
    for seed in from..from + seeds {
        let (count, voters) = [(3, 3), (5, 3), (6, 5), (2, 1)][(seed % 4) as usize];
        let on_cut = if seed % 3 == 0 {
            OnCut::Serve
        } else {
            OnCut::Stop
        };
        match played(seed, count, voters, on_cut, Broken::Nothing, 8000) {
            Ok((changes, acted)) => (in_force, acts) = (in_force + changes, acts + acted),
            Err(trace) => panic!("{trace}"),
        }
    }
    assert!(in_force > 10 * seeds, "too few changes to tell: {in_force}");
    assert!(acts > 10_000 * seeds, "members hardly acted: {acts}");
}

/// In virtual time, so that it is the same on any machine: words take 1 to 8 ms one way, writings none.
#[test]
fn three_hundred_members_take_a_change_up_within_a_second() {
    let mut world = World::new(3, 300, 5, OnCut::Stop, Broken::Nothing);
    world.faults = false;
    let until = |world: &mut World, revision: u64| {
        let began = world.now;
        while world.in_step() != Some(Revision(revision)) {
            world.turn();
            assert!(
                world.now - began < 20_000 * MS,
                "not all under revision {revision}"
            );
        }
        (world.now - began) / MS
    };
    until(&mut world, 1);
    world.propose(Member(299), false);
    let took = until(&mut world, 2);
    println!("300 members: {took} ms of virtual time from proposed to acting under it everywhere");
    assert!(took < 1000, "{took} ms");
}

#[test]
fn every_fault_put_in_on_purpose_is_found() {
    let faults = [
        Broken::TrustsLostFolder,
        Broken::TrustsOldFolder,
        Broken::SpeaksBeforeWriting,
        Broken::ServesOn,
        Broken::TrustsOldPolicy,
        Broken::SaysStill,
    ];
    std::panic::set_hook(Box::new(|_| {}));
    let found = |broken: Broken| {
        (0..400).find(|seed| played(*seed, 4, 3, OnCut::Stop, broken, 8000).is_err())
    };
    let missed: Vec<Broken> = faults
        .into_iter()
        .filter(|broken| found(*broken).is_none())
        .collect();
    let _ = std::panic::take_hook();
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn a_folder_of_another_name_a_later_version_or_torn_is_told_from_its_own() {
    use marblefall_coordination::store::Unreadable;
    let bytes = Kept::new(NAME, Incarnation(3)).encode();
    assert_eq!(
        Kept::decode(&bytes, NAME),
        Ok(Kept::new(NAME, Incarnation(3)))
    );
    assert_eq!(Kept::decode(&bytes, 8), Err(Unreadable::Another));
    assert_eq!(
        Kept::decode(b"something else", NAME),
        Err(Unreadable::Foreign)
    );
    for cut in 8..bytes.len() {
        assert_eq!(
            Kept::decode(&bytes[..cut], NAME),
            Err(Unreadable::Torn),
            "cut at {cut}"
        );
    }
    let mut later = bytes.clone();
    later[7] = 9;
    assert_eq!(Kept::decode(&later, NAME), Err(Unreadable::Newer));
    for at in 8..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1;
        assert_eq!(
            Kept::decode(&flipped, NAME),
            Err(Unreadable::Torn),
            "byte {at}"
        );
    }
}

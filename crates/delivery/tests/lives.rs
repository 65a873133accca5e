//! Two lives of the core over one folder, beside each other, with a clock fed by hand: what one takes over from the
//! other, and whole random histories of starts, hand-overs and deaths.

mod common;

use common::{caps, ended, folder, host, setup, START_MS};
use marblefall_delivery::core::engine::{
    AttemptRequest, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::journal::{latest, segments, Generation};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const DISK: u64 = 3_000_000;
/// A class whose repeats receivers drop by key, one that may be repeated freely, and one that may never be.
const KEYED: usize = 0;
const FREE: usize = 1;
const NEVER: usize = 2;

fn classes() -> Vec<String> {
    ["keyed", "free", "never"].map(String::from).to_vec()
}

fn engine_setup() -> EngineSettings {
    setup(
        &[
            common::KEYED,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
        ],
        caps(200),
    )
}

fn list(hosts: &[&str]) -> EngineEvent {
    EngineEvent::EndpointsReplaced(hosts.iter().map(|name| host(name)).collect())
}

/// One life.
struct Life {
    engine: Engine,
    generation: Generation,
    born_ms: i64,
}

impl Life {
    /// One that begins alone.
    fn alone(dir: &Path, ms: i64) -> (Life, Vec<EngineCommand>) {
        let store = MessageStore::open(dir, DISK, classes()).unwrap();
        let generation = latest(dir).unwrap();
        let mut orders = Vec::new();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let mut life = Life {
            engine: Engine::new(engine_setup(), store, now, &mut orders),
            generation,
            born_ms: ms,
        };
        orders.extend(life.step(ms, vec![list(&["h"])]));
        (life, orders)
    }

    /// One that comes up beside others.
    fn beside(dir: &Path, ms: i64) -> Life {
        let generation = latest(dir).unwrap().next();
        let store = MessageStore::begin(dir, DISK, classes(), generation).unwrap();
        let mut life = Life {
            engine: Engine::standby(engine_setup(), store),
            generation,
            born_ms: ms,
        };
        life.step(ms, vec![list(&["h"])]);
        life
    }

    fn step(&mut self, ms: i64, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = Timestamp {
            monotonic: Time((ms - self.born_ms) * 1000),
            unix_ms: START_MS + ms,
        };
        let mut orders = Vec::new();
        self.engine.step(now, inputs, &mut orders);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut orders);
        }
        orders
    }

    fn offer(&mut self, ms: i64, name: &str, class: usize) -> Vec<EngineCommand> {
        let ticket = RequestId(
            name.bytes()
                .fold(0, |sum, byte| sum * 257 + u64::from(byte)),
        );
        self.step(
            ms,
            vec![EngineEvent::Submitted(ticket, message(name, class, ms, 10))],
        )
    }

    fn hand_over(&mut self, ms: i64) -> Vec<EngineCommand> {
        let by = Time((ms - self.born_ms) * 1000 + 3_400_000);
        self.step(
            ms,
            vec![EngineEvent::Shutdown {
                deadline: by,
                hand_over: true,
            }],
        )
    }

    fn take_up(
        &mut self,
        ms: i64,
        living: &[Generation],
        beside: Generation,
    ) -> Vec<EngineCommand> {
        self.step(
            ms,
            vec![EngineEvent::TakeOver {
                running: living.to_vec(),
                first_concurrent: Some(beside),
            }],
        )
    }
}

fn message(name: &str, class: usize, ms: i64, body: usize) -> Message {
    Message {
        origin: Origin::Platform,
        identity: name.into(),
        idempotency_key: (class == KEYED).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + ms + 20_000,
        attributes: Vec::new(),
        body: vec![b'x'; body],
    }
}

/// The legs that are ordered: number, copy, and the name of the message.
fn legs(orders: &[EngineCommand]) -> Vec<(MessageId, u32, String)> {
    let leg = |order: &EngineCommand| match order {
        EngineCommand::StartAttempt(AttemptRequest {
            message_id: seq,
            attempt: copy,
            message,
            ..
        }) => Some((
            *seq,
            *copy,
            String::from_utf8(message.identity.clone()).unwrap(),
        )),
        _ => None,
    };
    orders.iter().filter_map(leg).collect()
}

fn taken_on(orders: &[EngineCommand]) -> bool {
    orders
        .iter()
        .any(|order| matches!(order, EngineCommand::Respond(_, SubmitResponse::Accepted)))
}

#[test]
fn what_is_held_goes_on_at_once_and_what_is_out_only_when_its_leg_is_over() {
    let dir = folder("goes-on");
    let (mut old, _) = Life::alone(&dir, 0);
    // A route that has not answered yet is given two calls: the third message waits.
    let out: Vec<_> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| legs(&old.offer(10, name, FREE)))
        .collect();
    assert_eq!(out.len(), 2);
    let mut new = Life::beside(&dir, 100);
    assert!(
        taken_on(&new.offer(110, "d", FREE)),
        "taken on beside the old life"
    );
    old.hand_over(200);
    assert!(
        taken_on(&old.offer(210, "e", FREE)),
        "a client that has not moved yet is still served"
    );
    let first = new.take_up(220, &[old.generation], old.generation);
    assert_eq!(
        legs(&first),
        [],
        "two calls are out already, whoever made them"
    );
    // The old life's legs end: one is delivered, the other is turned away and may go out again.
    old.step(300, vec![ended(out[0].0, out[0].1, Outcome::Delivered)]);
    old.step(310, vec![ended(out[1].0, out[1].1, Outcome::Error)]);
    let mut names = Vec::new();
    let mut inputs = vec![EngineEvent::FollowPredecessors];
    for ms in 320..600 {
        for (seq, copy, name) in legs(&new.step(ms, std::mem::take(&mut inputs))) {
            inputs.push(ended(seq, copy, Outcome::Delivered));
            names.push(name);
        }
    }
    names.sort_unstable();
    assert_eq!(
        names,
        ["b", "c", "d", "e"],
        "what was delivered is not sent again, the others are once"
    );
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn a_wait_that_the_old_life_was_told_binds_the_one_beside_it_but_not_one_after_it() {
    for dies in [false, true] {
        let dir = folder(&format!("wait-{dies}"));
        let (mut old, _) = Life::alone(&dir, 0);
        let (seq, copy, _) = legs(&old.offer(10, "a", FREE))[0].clone();
        let mut new = Life::beside(&dir, 50);
        let wait = Outcome::Rejected {
            retry_after: Some(Span::from_ms(4000.0)),
        };
        let mut first = Vec::new();
        if dies {
            // Killed in the step after it was told.
            old.step(100, vec![ended(seq, copy, wait)]);
            first.extend(new.take_up(110, &[], old.generation));
        } else {
            // Told only after it has handed over.
            old.hand_over(60);
            first.extend(new.take_up(70, &[old.generation], old.generation));
            old.step(100, vec![ended(seq, copy, wait)]);
            first.extend(new.step(110, vec![EngineEvent::FollowPredecessors]));
            first.extend(new.step(120, vec![EngineEvent::PredecessorExited(old.generation)]));
        }
        first.extend(new.offer(130, "b", FREE));
        let mut at = None;
        for ms in (130..8000).step_by(10) {
            first.extend(new.step(ms, vec![]));
            if at.is_none() && !legs(&first).is_empty() {
                at = Some(ms);
            }
        }
        assert!(
            at.is_some_and(|at| at >= 4100),
            "sent within the wait, or never: {at:?}"
        );
        // A plain restart ends it.
        let _ = fs::remove_dir_all(&dir);
        let (mut old, _) = Life::alone(&dir, 9000);
        let (seq, copy, _) = legs(&old.offer(9010, "c", FREE)).pop().unwrap();
        old.step(9100, vec![ended(seq, copy, wait)]);
        let (mut next, mut orders) = Life::alone(&dir, 9200);
        orders.extend(next.step(9210, vec![]));
        assert!(!legs(&orders).is_empty(), "a restart ends a wait");
        let _ = fs::remove_dir_all(&dir);
    }
}

#[test]
fn a_leg_whose_host_is_gone_from_the_list_is_not_sent_a_second_time_while_it_is_out() {
    let dir = folder("gone");
    let (mut old, _) = Life::alone(&dir, 0);
    let (seq, copy, _) = legs(&old.offer(10, "a", FREE))[0].clone();
    let mut new = Life::beside(&dir, 50);
    new.step(60, vec![list(&["other"])]);
    old.hand_over(70);
    let mut orders = new.take_up(80, &[old.generation], old.generation);
    orders.extend(
        (90..1000)
            .step_by(10)
            .flat_map(|ms| new.step(ms, vec![EngineEvent::FollowPredecessors])),
    );
    assert_eq!(legs(&orders), []);
    old.step(1000, vec![ended(seq, copy, Outcome::Error)]);
    let mut orders = new.step(1010, vec![EngineEvent::FollowPredecessors]);
    orders.extend((1020..3000).step_by(10).flat_map(|ms| new.step(ms, vec![])));
    assert_eq!(legs(&orders).len(), 1, "then it goes on");
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn two_lives_keep_to_the_disk_and_a_full_journal_is_taken_up_whole() {
    let dir = folder("disk");
    let size = || -> u64 {
        let len = |file: fs::DirEntry| file.metadata().unwrap().len().div_ceil(512) * 512;
        fs::read_dir(&dir)
            .unwrap()
            .map(|file| len(file.unwrap()))
            .sum()
    };
    let (mut old, _) = Life::alone(&dir, 0);
    // Nothing is listed for it, so all is held.
    let mut held = 0;
    let mut fill = |life: &mut Life, name: &str, ms: i64| {
        let mut taken = 0;
        for n in 0..150 {
            let ticket = RequestId(n);
            let message = message(&format!("{name}-{n}"), FREE, ms, 20_000);
            taken += usize::from(taken_on(
                &life.step(ms, vec![EngineEvent::Submitted(ticket, message)]),
            ));
        }
        held += taken;
        taken
    };
    assert!(fill(&mut old, "old", 10) > 60, "the old life uses its part");
    let mut new = Life::beside(&dir, 100);
    assert!(
        fill(&mut new, "new", 110) > 5,
        "there is room for another beside it"
    );
    old.hand_over(120);
    fill(&mut old, "late", 130);
    assert!(size() <= DISK, "{}", size());
    let taken = new.take_up(140, &[old.generation], old.generation);
    let took = |orders: &[EngineCommand]| {
        orders.iter().find_map(|order| match order {
            EngineCommand::TookOver(count) => Some(*count),
            _ => None,
        })
    };
    new.step(150, vec![EngineEvent::FollowPredecessors]);
    new.step(160, vec![EngineEvent::PredecessorExited(old.generation)]);
    assert_eq!(took(&taken), Some(held));
    drop(old);
    for ms in 170..400 {
        let more = vec![EngineEvent::Submitted(
            RequestId(1),
            message(&format!("more-{ms}"), FREE, ms, 1000),
        )];
        new.step(ms, more);
        assert!(size() <= DISK, "{} at {ms}", size());
    }
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn a_journal_that_cannot_be_read_to_its_end_is_taken_up_as_far_as_it_can_be() {
    let dir = folder("unreadable");
    let (mut old, _) = Life::alone(&dir, 0);
    assert_eq!(legs(&old.offer(10, "a", FREE)).len(), 1);
    let mut new = Life::beside(&dir, 50);
    let first = *segments(&dir)
        .unwrap()
        .iter()
        .find(|n| Generation::of(**n) == old.generation)
        .unwrap();
    // A folder in the place of a segment cannot be read.
    fs::create_dir(dir.join(format!("journal-{:010}", first + 7))).unwrap();
    let mut orders = new.take_up(60, &[], old.generation);
    assert!(
        orders
            .iter()
            .any(|order| matches!(order, EngineCommand::Log(_))),
        "it is said"
    );
    // What was read goes on: its leg may have run, and it ends here once.
    let mut open = Vec::new();
    for ms in 70..400 {
        open.extend(
            legs(&orders)
                .into_iter()
                .map(|(seq, copy, _)| ended(seq, copy, Outcome::Delivered)),
        );
        orders = new.step(ms, std::mem::take(&mut open));
    }
    assert_eq!(new.engine.load(), (0, 0));
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn one_that_has_handed_over_declines_what_its_last_room_does_not_take_and_rests() {
    let dir = folder("last-room");
    let (mut old, _) = Life::alone(&dir, 0);
    old.hand_over(10);
    let (mut taken, mut declined) = (0, 0);
    for n in 0..20 {
        let offer =
            EngineEvent::Submitted(RequestId(n), message(&format!("m{n}"), FREE, 20, 20_000));
        let mut orders = Vec::new();
        let now = Timestamp {
            monotonic: Time(20_000),
            unix_ms: START_MS + 20,
        };
        old.engine.step(now, vec![offer], &mut orders);
        taken += usize::from(taken_on(&orders));
        declined += orders
            .iter()
            .filter(|o| {
                matches!(
                    o,
                    EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
                )
            })
            .count();
        assert!(
            !old.engine.has_backlog(),
            "it would be stepped again and again"
        );
        assert_eq!(old.engine.next_wake(), None);
    }
    assert!(
        taken > 2 && declined > 2 && taken + declined == 20,
        "{taken} taken on, {declined} declined"
    );
    let _ = fs::remove_dir_all(&dir);
}

/// A world of one partner and one courier, whose lives come and go by a seed. The partner and the clients know the truth.
struct World {
    dir: PathBuf,
    rng: fastrand::Rng,
    /// The old life and the new one beside it.
    old: Option<Life>,
    new: Option<Life>,
    new_serves: bool,
    ms: i64,
    /// Legs that are out: number, copy, message, whether the old life has it, and when it ends.
    out: Vec<(MessageId, u32, String, bool, i64)>,
    /// Runs at the partner, by message, with when.
    runs: BTreeMap<String, Vec<i64>>,
    owed: BTreeMap<String, usize>,
    notices: BTreeMap<String, FinalOutcome>,
    wait_until: i64,
    next: usize,
    trace: Vec<String>,
}

impl World {
    fn note(&mut self, what: impl Into<String>) {
        self.trace.push(format!("{:5} {}", self.ms, what.into()));
    }

    /// Carries out what a life orders; breaches of the rules are panics that show the trace.
    fn carry_out(&mut self, orders: Vec<EngineCommand>, by_old: bool) {
        for order in orders {
            match order {
                EngineCommand::StartAttempt(AttemptRequest {
                    message_id: seq,
                    attempt: copy,
                    message,
                    ..
                }) => {
                    let name = String::from_utf8(message.identity.clone()).unwrap();
                    self.note(format!(
                        "leg of {name} copy {copy} by {}",
                        if by_old { "old" } else { "new" }
                    ));
                    assert!(
                        !self.out.iter().any(|out| out.2 == name),
                        "two legs out of {name}"
                    );
                    assert!(self.ms >= self.wait_until, "sent within a told wait");
                    let took = self.rng.i64(5..400);
                    self.out.push((seq, copy, name, by_old, self.ms + took));
                }
                EngineCommand::SendNotice {
                    message,
                    outcome: end,
                    ..
                } => {
                    let name = String::from_utf8(message.identity.clone()).unwrap();
                    self.note(format!("notice of {name}: {end:?}"));
                    self.notices.insert(name, end);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, of_old: bool, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let life = if of_old {
            self.old.as_mut()
        } else {
            self.new.as_mut()
        };
        life.map_or_else(Vec::new, |life| life.step(self.ms, inputs))
    }

    fn run(&mut self, of_old: bool, inputs: Vec<EngineEvent>) {
        let orders = self.step(of_old, inputs);
        self.carry_out(orders, of_old);
    }

    /// The life that serves clients alone becomes the old one as soon as its predecessor has ended.
    fn settle(&mut self) {
        if self.old.is_none() && self.new.is_some() && self.new_serves {
            self.old = self.new.take();
            self.new_serves = false;
            self.out.iter_mut().for_each(|out| out.3 = true);
        }
    }

    fn kill_old(&mut self) {
        let Some(old) = self.old.take() else { return };
        self.note("the old one is killed");
        self.partner_after(true);
        let generation = old.generation;
        drop(old);
        match (self.new.is_some(), self.new_serves) {
            (true, true) => self.run(false, vec![EngineEvent::PredecessorExited(generation)]),
            (true, false) => {
                self.new_serves = true;
                self.run(
                    false,
                    vec![EngineEvent::TakeOver {
                        running: vec![],
                        first_concurrent: Some(generation),
                    }],
                );
            }
            (false, _) => {
                let (life, orders) = Life::alone(&self.dir, self.ms);
                self.note("another one starts alone");
                // A restart ends a wait.
                self.wait_until = 0;
                self.old = Some(life);
                self.carry_out(orders, true);
            }
        }
        self.settle();
    }

    /// Legs of a life that died run on at the partner, or never came there; nobody hears of it.
    fn partner_after(&mut self, of_old: bool) {
        let (gone, kept) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|out| out.3 == of_old);
        self.out = kept;
        let gone: Vec<(MessageId, u32, String, bool, i64)> = gone;
        for (_, _, name, ..) in gone {
            if self.rng.bool() {
                self.runs.entry(name).or_default().push(self.ms);
            }
        }
    }

    fn kill_new(&mut self) {
        if self.new.is_none() {
            return;
        }
        self.note("the new one is killed");
        self.partner_after(false);
        let took_over = std::mem::take(&mut self.new_serves);
        self.new = None;
        if took_over {
            // The old one has handed over and ends; a third life finds what both left.
            self.partner_after(true);
            self.old = None;
            let (life, orders) = Life::alone(&self.dir, self.ms);
            self.note("a third one starts alone");
            self.wait_until = 0;
            self.old = Some(life);
            self.carry_out(orders, true);
        } else {
            let renewed = latest(&self.dir).unwrap().next();
            self.run(true, vec![EngineEvent::StandbyExited(renewed)]);
            self.old.iter_mut().for_each(|old| old.generation = renewed);
        }
    }

    fn answer_legs(&mut self) {
        let ms = self.ms;
        while let Some(at) = self.out.iter().position(|out| out.4 <= ms) {
            let (seq, copy, name, by_old, _) = self.out.remove(at);
            let outcome = match self.rng.u8(0..10) {
                0 => Outcome::Error,
                1 => Outcome::Reset,
                2 => Outcome::Rejected {
                    retry_after: Some(Span::from_ms(self.rng.i64(100..900) as f64)),
                },
                3 => Outcome::ConnectFailed,
                _ => Outcome::Delivered,
            };
            let ran = match outcome {
                Outcome::Delivered => true,
                Outcome::Error | Outcome::Reset => self.rng.bool(),
                _ => false,
            };
            if ran {
                self.runs.entry(name.clone()).or_default().push(ms);
            }
            if let Outcome::Rejected {
                retry_after: Some(wait),
            } = outcome
            {
                self.wait_until = self.wait_until.max(ms + wait.0 / 1000);
            }
            self.note(format!("leg of {name} ends: {outcome:?}, ran {ran}"));
            self.run(by_old, vec![ended(seq, copy, outcome)]);
            if by_old && self.new_serves {
                // Heard within a look of the new life, before anything else happens here.
                self.run(false, vec![EngineEvent::FollowPredecessors]);
            }
        }
    }

    fn hand_in(&mut self) {
        let (name, class) = (format!("m{}", self.next), self.next % 3);
        self.next += 1;
        let to_old = self.new.is_none() || self.old.is_some() && self.rng.bool();
        let input = EngineEvent::Submitted(
            RequestId(self.next as u64),
            message(&name, class, self.ms, 50),
        );
        let orders = self.step(to_old, vec![input]);
        if taken_on(&orders) {
            self.owed.insert(name.clone(), class);
            self.note(format!(
                "{name} taken on by the {} one",
                if to_old { "old" } else { "new" }
            ));
        }
        self.carry_out(orders, to_old);
        if to_old && self.new_serves {
            self.run(false, vec![EngineEvent::FollowPredecessors]);
        }
    }

    fn turn(&mut self) {
        self.ms += 10;
        self.answer_legs();
        if self.ms < 8000 && self.rng.u8(0..3) == 0 {
            self.hand_in();
        }
        if self.ms < 9000 {
            match self.rng.u16(0..600) {
                0..=5 if self.new.is_none() => {
                    self.note("a new one comes up beside");
                    self.new = Some(Life::beside(&self.dir, self.ms));
                }
                6..=25 if self.new.is_some() && !self.new_serves => {
                    self.note("hands over");
                    let orders = self.old.as_mut().unwrap().hand_over(self.ms);
                    self.carry_out(orders, true);
                    let generation = self.old.as_ref().unwrap().generation;
                    self.new_serves = true;
                    let orders =
                        self.new
                            .as_mut()
                            .unwrap()
                            .take_up(self.ms, &[generation], generation);
                    self.carry_out(orders, false);
                }
                26..=28 => self.kill_old(),
                29..=31 => self.kill_new(),
                _ => {}
            }
        }
        if self.new_serves && !self.out.iter().any(|out| out.3) && self.rng.u8(0..20) == 0 {
            self.note("the old one ends");
            let generation = self.old.take().unwrap().generation;
            self.run(false, vec![EngineEvent::PredecessorExited(generation)]);
            self.settle();
        }
        self.run(true, vec![]);
        self.run(
            false,
            if self.new_serves {
                vec![EngineEvent::FollowPredecessors]
            } else {
                vec![]
            },
        );
    }

    fn check(&self) {
        for (name, class) in &self.owed {
            let none = Vec::new();
            let runs = self.runs.get(name).unwrap_or(&none);
            let noticed = self.notices.get(name);
            assert!(!runs.is_empty() || noticed.is_some(), "{name} is lost");
            match *class {
                NEVER => assert!(runs.len() <= 1, "{name} ran {} times", runs.len()),
                KEYED => {
                    let spread = runs.last().unwrap_or(&0) - runs.first().unwrap_or(&0);
                    assert!(spread < 6000 + 400, "{name} ran again after its window");
                }
                _ => {}
            }
        }
    }
}

/// Whole histories of lives that come up, hand over and die at any moment: every message has an end, none is out twice,
/// none runs more often than its class allows, nothing is sent within a wait that binds.
#[test]
fn no_history_of_lives_breaks_a_rule() {
    for seed in 0..150 {
        let dir = folder(&format!("history-{seed}"));
        let (old, _) = Life::alone(&dir, 0);
        let (out, runs, owed, notices, trace) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let mut world = World {
            dir: dir.clone(),
            rng,
            old: Some(old),
            new: None,
            new_serves: false,
            ms: 0,
            out,
            runs,
            owed,
            notices,
            wait_until: 0,
            next: 0,
            trace,
        };
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while world.ms < 40_000 {
                world.turn();
            }
            world.check();
        }));
        if played.is_err() {
            panic!("seed {seed}:\n{}", world.trace.join("\n"));
        }
        assert!(world.owed.len() > 100, "too little was taken on to tell");
        let _ = fs::remove_dir_all(&dir);
    }
}

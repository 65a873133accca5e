//! A voter: its part of the log by the consensus library, which leader it may be and until when, and whether its folder
//! remembers what it once acknowledged. Free of I/O: what must be on disk is handed out before what rests on it.
//!
//! Three things are ours. *Who leads alone*: a leader asks the other voters whether they have promised anyone else since;
//! a majority that has not proves that a later leader begins only after the asking. *Whose lines count*: a leader's first
//! line marks where it begins, and lines that an earlier one had under way are void from there on. *What a folder
//! remembers*: everything that leaves a voter tells how often its file had been written by then, the others keep the
//! highest that they were shown, and a voter that starts takes part only once enough others were shown no more than it has.

mod folder;

use crate::book::{Book, Incarnation, Line};
use crate::store::{Kept, Store};
use crate::words::*;
use marblefall_scheduler::{Span, Time};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The library counts time in these.
const TICK: Span = Span(100_000);
/// Ticks of one round of heartbeats.
const ROUND: u64 = 4;
/// Ticks after which what was lost is said again.
const RESEND: u64 = 8;
/// A log of so many lines is cut by beginning another configuration of the same voters.
const LINES: usize = 96;
/// A voter that does not take part asks the others again after this.
const ASK: Span = Span(400_000);

/// What voters say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Among {
    /// A voter that starts shows its folder and asks what others know of it.
    Hello {
        /// Which folder.
        incarnation: Incarnation,
        /// How often it was written.
        stand: u64,
        /// Its configuration; 0 is none.
        config: u32,
    },
    /// What is known of a folder, from another one.
    Known {
        /// The folder of the one that answers.
        incarnation: Incarnation,
        /// Its configuration.
        config: u32,
        /// The asking member's folder as it was last shown.
        of: (Incarnation, u64),
    },
    /// A voter whose folder does not remember asks to be let in as new.
    LetIn(Incarnation),
    /// The configuration that holds, and what its log began with.
    Base(u32, Box<Book>),
    /// The library's own.
    Paxos {
        /// In which configuration.
        config: u32,
        /// How often the sender's file had been written.
        stand: u64,
        /// What it says.
        message: Message<Line>,
    },
    /// Has it promised to nobody else than the leader of this epoch?
    Confirm(Epoch, u64),
    /// It has not, at the time of this asking.
    Confirmed(Epoch, u64),
}

/// What a voter hands out.
#[derive(Debug)]
pub enum Out {
    /// Say this to another voter.
    Send(Member, Among),
    /// A line of the log that counts.
    Committed(Entry),
    /// This voter leads from now on: all that was committed before is in its book.
    Elected(Epoch),
    /// It leads no more.
    Deposed,
    /// It is the only leader until then.
    Leased(Time),
    /// A line for those on call: a reason code, and what happened.
    Note(&'static str, String),
}

/// Whether it takes part.
#[derive(Clone, Debug, PartialEq)]
enum Part {
    /// It asks what others know of its folder; these have answered.
    Asking(BTreeSet<Member>),
    /// It does.
    In,
    /// Its folder does not remember; it asks to be let in.
    Out,
}

/// A leader's asking whether it leads alone.
struct Asked {
    round: u64,
    at: Time,
    said: BTreeSet<Member>,
}

/// A voter.
pub struct Voter {
    me: Member,
    voters: BTreeSet<Member>,
    term: Span,
    store: Store,
    part: Part,
    paxos: Option<OmniPaxos<Line, Store>>,
    /// A voter that is alone decides what it has written.
    alone: bool,
    book: Book,
    applied: usize,
    next_tick: Time,
    next_ask: Time,
    /// The epoch in which it has marked its beginning, and whether that stands in the log.
    begun: Option<(Epoch, bool)>,
    asked: Vec<Asked>,
    rounds: u64,
    next_confirm: Time,
    /// When others were last given the configuration.
    based: BTreeMap<Member, Time>,
    /// For the incarnation that follows one which is out.
    draw: u64,
}

fn epoch_of(ballot: Ballot) -> Epoch {
    Epoch(u64::from(ballot.config_id) << 44 | u64::from(ballot.n) << 8 | (ballot.pid & 0xff))
}

impl Voter {
    /// One that starts with what its folder holds; `draw` is drawn anew for each life.
    pub fn new(
        me: Member,
        voters: BTreeSet<Member>,
        term: Span,
        kept: Kept,
        draw: u64,
        now: Time,
    ) -> Voter {
        let alone = voters.len() == 1;
        let mut voter = Voter {
            me,
            voters,
            term,
            book: kept.book(),
            store: Store::new(kept),
            part: Part::Asking(BTreeSet::new()),
            paxos: None,
            alone,
            applied: 0,
            next_tick: now,
            next_ask: now,
            begun: None,
            asked: Vec::new(),
            rounds: 0,
            next_confirm: now,
            based: BTreeMap::new(),
            draw,
        };
        // The first writing binds the folder to its incarnation before anybody hears of it.
        voter.store.dirty.set(true);
        if alone {
            voter.enough(now, &mut Vec::new());
        }
        voter
    }

    /// What the log says.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Whether it takes part, and in which configuration.
    pub fn part(&self) -> (bool, u32) {
        (self.part == Part::In, self.store.kept.borrow().config)
    }

    /// The bytes that must be on disk before anything that was handed out since is said. Counted as written.
    pub fn unwritten(&mut self) -> Option<Vec<u8>> {
        if !self.store.dirty.get() {
            return None;
        }
        self.store.dirty.set(false);
        let mut kept = self.store.kept.borrow_mut();
        kept.stand += 1;
        Some(kept.encode())
    }

    /// The disk did not take what [`Voter::unwritten`] gave.
    pub fn not_written(&mut self) {
        self.store.dirty.set(true);
    }

    fn others(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters
            .iter()
            .copied()
            .filter(|member| *member != self.me)
    }

    fn pid(&self, member: Member) -> Option<u64> {
        self.voters
            .iter()
            .position(|other| *other == member)
            .map(|at| at as u64 + 1)
    }

    fn hello(&self) -> Among {
        let kept = self.store.kept.borrow();
        Among::Hello {
            incarnation: kept.incarnation,
            stand: kept.stand,
            config: kept.config,
        }
    }

    /// The link to another voter has come up anew: what was said on the old one may be lost.
    pub fn linked(&mut self, member: Member, out: &mut Vec<Out>) {
        let pid = self.pid(member);
        if let (Some(paxos), Some(pid)) = (&mut self.paxos, pid) {
            paxos.reconnected(pid);
        }
        if self.voters.contains(&member) {
            out.push(Out::Send(member, self.hello()));
        }
    }

    /// When it wants to be woken.
    pub fn wakes(&self) -> Time {
        match self.part {
            Part::In if self.alone => self.next_confirm,
            Part::In => self.next_tick,
            Part::Asking(_) | Part::Out => self.next_ask,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Out>) {
        match &self.part {
            Part::In => {
                if self.next_tick <= now {
                    self.next_tick = now + TICK;
                    self.paxos.iter_mut().for_each(OmniPaxos::tick);
                }
                self.confirm(now, out);
            }
            part if self.next_ask <= now => {
                self.next_ask = now + ASK;
                let word = match part {
                    Part::Out => Among::LetIn(self.store.kept.borrow().incarnation),
                    _ => self.hello(),
                };
                out.extend(self.others().map(|other| Out::Send(other, word.clone())));
            }
            _ => {}
        }
        self.pump(now, out);
    }

    /// Another voter has spoken.
    pub fn hear(&mut self, now: Time, from: Member, word: Among, out: &mut Vec<Out>) {
        if !self.voters.contains(&from) || from == self.me {
            return;
        }
        match word {
            Among::Hello {
                incarnation,
                stand,
                config,
            } => self.heard_hello(now, from, incarnation, stand, config, out),
            Among::Known {
                incarnation,
                config,
                of,
            } => self.heard_known(now, from, incarnation, config, of, out),
            Among::LetIn(incarnation) => self.let_in(now, from, incarnation, out),
            Among::Base(config, book) => self.take_base(now, config, *book, out),
            Among::Paxos {
                config,
                stand,
                message,
            } => {
                let here = self.store.kept.borrow().config;
                if config < here {
                    self.give_base(now, from, out);
                } else if config == here && self.part == Part::In {
                    self.note_stand(from, stand, &message);
                    let (sender, to) = (message.get_sender(), message.get_receiver());
                    let fits = Some(sender) == self.pid(from) && Some(to) == self.pid(self.me);
                    if let Some(paxos) = self.paxos.as_mut().filter(|_| fits) {
                        paxos.handle_incoming(message);
                    }
                }
            }
            Among::Confirm(epoch, round) => {
                let promised = self
                    .paxos
                    .as_ref()
                    .map(|paxos| epoch_of(paxos.get_promise()));
                if self.part == Part::In
                    && promised == Some(epoch)
                    && !self.store.kept.borrow().is_ending()
                {
                    out.push(Out::Send(from, Among::Confirmed(epoch, round)));
                }
            }
            Among::Confirmed(epoch, round) => {
                let leads = self.begun == Some((epoch, true));
                let half = self.voters.len() / 2;
                if let Some(asked) = self
                    .asked
                    .iter_mut()
                    .find(|asked| leads && asked.round == round)
                {
                    asked.said.insert(from);
                    if asked.said.len() >= half {
                        let until = asked.at + self.term;
                        self.asked.retain(|asked| asked.round > round);
                        out.push(Out::Leased(until));
                    }
                }
            }
        }
        self.pump(now, out);
    }

    /// Puts the library over what is kept.
    fn build(&mut self, now: Time) {
        let kept = self.store.kept.borrow();
        let config = kept.config;
        self.book = kept.book();
        drop(kept);
        (self.applied, self.begun, self.next_tick, self.next_confirm) = (0, None, now, now);
        self.asked.clear();
        if self.alone {
            return;
        }
        let cluster = ClusterConfig {
            configuration_id: config,
            nodes: (1..=self.voters.len() as u64).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: self.pid(self.me).unwrap_or(1),
            election_tick_timeout: ROUND,
            resend_message_tick_timeout: RESEND,
            buffer_size: 64,
            ..ServerConfig::default()
        };
        self.paxos = cluster.build_for_server(server, self.store.clone()).ok();
    }

    fn reconfigure(&mut self, voters: BTreeMap<Member, Incarnation>) -> bool {
        let leads = self.begun.is_some_and(|(_, stands)| stands);
        let may = leads && self.part == Part::In && !self.store.kept.borrow().is_ending();
        if may {
            self.put(Line::Ends(voters));
        }
        may
    }

    /// Appends to the log what the leader of this epoch says.
    pub fn append(
        &mut self,
        now: Time,
        epoch: Epoch,
        at_ms: i64,
        entry: Entry,
        out: &mut Vec<Out>,
    ) {
        self.put(Line::Says(epoch, at_ms, entry));
        self.pump(now, out);
    }

    fn put(&mut self, line: Line) {
        if self.alone {
            self.store.put(line);
        } else if let Some(paxos) = &mut self.paxos {
            // One that is ending this configuration takes nothing more; who proposed it will ask again.
            let _ = paxos.append(line);
        }
    }

    fn confirm(&mut self, now: Time, out: &mut Vec<Out>) {
        let Some((epoch, true)) = self.begun else {
            return;
        };
        if now < self.next_confirm {
            return;
        }
        self.next_confirm = now + Span(self.term.0 / 4);
        if self.alone {
            return out.push(Out::Leased(now + self.term));
        }
        self.rounds += 1;
        self.asked.retain(|asked| now - asked.at < self.term);
        self.asked.push(Asked {
            round: self.rounds,
            at: now,
            said: BTreeSet::new(),
        });
        let word = Among::Confirm(epoch, self.rounds);
        out.extend(self.others().map(|other| Out::Send(other, word.clone())));
    }

    /// Takes what the library has decided and wants to say.
    fn pump(&mut self, now: Time, out: &mut Vec<Out>) {
        if self.part != Part::In {
            return;
        }
        if self.alone {
            // What an earlier life left comes before this one's beginning.
            self.apply(now, out);
        }
        self.lead(out);
        self.apply(now, out);
        let Some(paxos) = &mut self.paxos else { return };
        let mut said = Vec::new();
        paxos.take_outgoing_messages(&mut said);
        // The writing that these rest on is the next one, if there is one to come.
        let dirty = self.store.dirty.get();
        let kept = self.store.kept.borrow();
        let (config, stand) = (kept.config, kept.stand + u64::from(dirty));
        for message in said {
            let to = self
                .voters
                .iter()
                .nth(message.get_receiver().saturating_sub(1) as usize);
            out.extend(to.map(|to| {
                Out::Send(
                    *to,
                    Among::Paxos {
                        config,
                        stand,
                        message,
                    },
                )
            }));
        }
    }

    /// Whether this voter leads, by the library.
    fn lead(&mut self, out: &mut Vec<Out>) {
        let leads = match &self.paxos {
            None => Some(
                self.begun
                    .map_or(Epoch(self.book.epoch.0 + 1), |(epoch, _)| epoch),
            ),
            Some(paxos) => {
                let me = self.pid(self.me);
                let leads = paxos
                    .get_current_leader()
                    .is_some_and(|(pid, accepts)| Some(pid) == me && accepts);
                leads.then(|| epoch_of(paxos.get_promise()))
            }
        };
        match (leads, self.begun) {
            (Some(epoch), Some((had, _))) if epoch == had => {}
            (None, None) => {}
            (leads, had) => {
                if had.is_some_and(|(_, stands)| stands) {
                    out.push(Out::Deposed);
                }
                self.begun = leads.map(|epoch| (epoch, false));
                self.asked.clear();
                leads
                    .into_iter()
                    .for_each(|epoch| self.put(Line::Begins(epoch)));
            }
        }
    }

    fn apply(&mut self, now: Time, out: &mut Vec<Out>) {
        let decided: Vec<Line> = match &self.paxos {
            None => self.store.kept.borrow().since(self.applied),
            Some(paxos) => {
                let read = paxos.read_decided_suffix(self.applied).unwrap_or_default();
                // Nothing but lines is ever put into this log.
                let line = |entry| match entry {
                    LogEntry::Decided(line) => Some(line),
                    _ => None,
                };
                read.into_iter().filter_map(line).collect()
            }
        };
        for line in decided {
            self.applied += 1;
            let (began, ends) = match &line {
                Line::Begins(epoch) => (Some(*epoch), false),
                Line::Says(..) => (None, false),
                Line::Ends(_) => (None, true),
            };
            out.extend(self.book.take(line).map(Out::Committed));
            if ends {
                return self.follow(now, out);
            }
            if let (Some(epoch), Some((mine, false))) = (began, self.begun) {
                if epoch == mine {
                    self.begun = Some((epoch, true));
                    self.next_confirm = now;
                    out.push(Out::Elected(epoch));
                    self.confirm(now, out);
                }
            }
        }
        let long = self.store.kept.borrow().length() >= LINES;
        if long && self.book.open.is_none() {
            let voters = self.book.voters.clone();
            self.reconfigure(voters);
        }
    }

    /// Begins the configuration that follows the one that has ended, and tells the others.
    fn follow(&mut self, now: Time, out: &mut Vec<Out>) {
        let config = self.store.kept.borrow().config + 1;
        self.begin(now, config, self.book.clone(), out);
        let others: Vec<Member> = self.others().collect();
        for other in others {
            self.based.remove(&other);
            self.give_base(now, other, out);
        }
    }
}

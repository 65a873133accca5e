//! One daemon's place in a group: a member, perhaps a voter, perhaps the leader. Fed with frames, requests and time; hands
//! out what is to be written, said and done. What stands behind a writing rests on it: where the disk does not take it,
//! nothing of what follows is said.

use crate::book::{Incarnation, Past};
use crate::leader::{self, Leader};
use crate::member::{self, MemberState};
use crate::store::Kept;
use crate::voter::{Among, Out, Voter};
use crate::words::*;
use marblefall_scheduler::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one daemon says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Between voters.
    Among(Among),
    /// To the leader.
    Up(ToLeader),
    /// From the leader.
    Down(Epoch, ToMember),
    /// An operator's request on its way to the leader, with a number for its answer.
    Request(u64, Request),
    /// What the leader answers.
    Reply(u64, Reply),
}

/// What an operator asks of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A change against a revision.
    Propose {
        /// What it stands on.
        base: Revision,
        /// What it says.
        policy: Policy,
        /// Whose it is.
        author: Author,
    },
    /// What became of the change with this key?
    Outcome(u64),
    /// Take the open change back.
    Withdraw,
    /// This member is stopped, by an operator's word.
    Without(Member),
    /// How does the group stand?
    Status,
    /// What became of changes?
    History,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is on its way into the log.
    Proposed,
    /// Another change has no outcome yet: who made it.
    Busy(Author),
    /// The change stands on another revision than the one in force.
    Stale(Revision),
    /// The change is open; so far, and these members' word is waited for.
    Open(Progress, Vec<Member>),
    /// The change has its outcome.
    Done(Past),
    /// No such change is known.
    Unknown,
    /// It is done.
    Taken,
    /// No change is open.
    NothingOpen,
    /// The group as its leader sees it.
    Status(Box<Standing>),
    /// What became of changes, the latest last.
    History(Vec<Past>),
}

/// How far an open change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Members check it.
    Checking,
    /// Members stop acting under the policy in force.
    Stopping,
}

/// The group as its leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Who leads.
    pub leader: Member,
    /// The revision in force.
    pub holds: Revision,
    /// The change that has no outcome: who made it, how far it is, and whose word it waits for.
    pub open: Option<(Author, Progress, Vec<Member>)>,
    /// Its members.
    pub members: Vec<Place>,
}

/// A member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Which.
    pub member: Member,
    /// The revision that it last said it has.
    pub has: Option<Revision>,
    /// Microseconds since it was last heard by this leader.
    pub heard: Option<Micros>,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it is stopped, by an operator's word.
    pub without: bool,
}

/// What is to be done outside, in this order.
#[derive(Debug)]
pub enum Do {
    /// Put these bytes on disk; where that fails, call [`Seat::not_written`] and say nothing of what follows.
    Write(Vec<u8>),
    /// Say this; to this very member, hand it to [`Seat::hear`].
    Send(Member, Frame),
    /// Check a proposed policy, which is to follow this revision, against what is held, and answer with [`Seat::checked`].
    Check(Proposal, Revision, Policy),
    /// Take a policy up: it is the one in force.
    TakeUp(Revision, Policy),
    /// Answer an operator.
    Reply(u64, Reply),
    /// A line for those on call: a reason code, and what happened.
    Note(&'static str, String),
}

/// Who sits where.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Which member this is.
    pub me: Member,
    /// All members; each says whether it votes.
    pub members: BTreeMap<Member, bool>,
    /// The group's figures.
    pub terms: Terms,
    /// Drawn for this life.
    pub life: Life,
    /// What the folder holds of the log, if this member votes.
    pub kept: Option<Kept>,
    /// The policy with which this home was founded, if any: a leader of an empty log proposes it.
    pub founding: Option<Policy>,
}

/// How long a leader waits before it proposes the founding policy again.
const FOUND_AGAIN: Span = Span(3_000_000);

/// One daemon's place.
pub struct Seat {
    setup: Setup,
    member: MemberState,
    voter: Option<Voter>,
    leader: Option<Leader>,
    /// Appended, and not in the log yet.
    proposed: bool,
    /// Who led when it was last heard, and when that was.
    heard: Option<(Member, Time)>,
    /// As leader: when members were last heard, and what they have.
    places: BTreeMap<Member, (Time, Option<Revision>)>,
    found_at: Time,
}

impl Seat {
    /// One life of a daemon in a group.
    pub fn new(mut setup: Setup, now: Time) -> Seat {
        let member = MemberState::new(setup.terms, setup.life);
        let voters: BTreeSet<Member> = setup
            .members
            .iter()
            .filter(|(_, votes)| **votes)
            .map(|(member, _)| *member)
            .collect();
        // What is kept is the voter's from here on.
        let voter = setup.kept.take().filter(|_| voters.contains(&setup.me));
        let voter = voter
            .map(|kept| Voter::new(setup.me, voters, setup.terms.term, kept, setup.life.0, now));
        let (leader, proposed, heard, places) = Default::default();
        Seat {
            setup,
            member,
            voter,
            leader,
            proposed,
            heard,
            places,
            found_at: now,
        }
    }

    /// The policy under which it may act at this moment.
    pub fn may_act(&self, now: Time) -> Option<Revision> {
        self.member.may_act(now)
    }

    /// Until when it may act, if it may: `Some(None)` is without end.
    pub fn until(&self) -> Option<Option<Time>> {
        self.member.until()
    }

    /// Whether it is held still by a change under way.
    pub fn is_still(&self, now: Time) -> bool {
        self.member.is_still(now)
    }

    /// The policy that it last took up, who led when it was last heard, and when that was.
    pub fn view(&self) -> (Option<Revision>, Option<(Member, Time)>) {
        (self.member.holds(), self.heard)
    }

    /// Whether it takes part in voting, if it is to, and in which configuration.
    pub fn votes(&self) -> Option<(bool, u32)> {
        self.voter.as_ref().map(Voter::part)
    }

    /// When it wants to be woken.
    pub fn wakes(&self, now: Time) -> Time {
        let voter = self.voter.iter().map(Voter::wakes);
        let leader = self
            .leader
            .iter()
            .filter(|leader| leader.standing().1.is_some());
        let leader = leader.map(|_| now + self.setup.terms.again);
        voter
            .chain(leader)
            .chain([self.member.wakes(now)])
            .min()
            .unwrap_or(now)
    }

    /// Time has passed. `unix_ms` is what the log is dated with.
    pub fn tick(&mut self, now: Time, unix_ms: i64, todo: &mut Vec<Do>) {
        let mut out = Vec::new();
        self.voter
            .iter_mut()
            .for_each(|voter| voter.tick(now, &mut out));
        self.take_out(now, unix_ms, out, todo);
        self.lead(now, unix_ms, todo, |leader, words| leader.tick(now, words));
        let mut words = Vec::new();
        self.member.tick(now, &mut words);
        self.obey(now, words, todo);
        self.found(now, unix_ms, todo);
        self.settle(todo);
    }

    /// The link to another daemon has come up anew.
    pub fn linked(&mut self, now: Time, unix_ms: i64, member: Member, todo: &mut Vec<Do>) {
        let mut out = Vec::new();
        self.voter
            .iter_mut()
            .for_each(|voter| voter.linked(member, &mut out));
        self.take_out(now, unix_ms, out, todo);
        self.settle(todo);
    }

    /// Another daemon, or this one, has spoken. What is no member's word changes nothing.
    pub fn hear(
        &mut self,
        now: Time,
        unix_ms: i64,
        from: Member,
        frame: Frame,
        todo: &mut Vec<Do>,
    ) {
        if !self.setup.members.contains_key(&from) {
            return;
        }
        match frame {
            Frame::Among(word) => {
                let mut out = Vec::new();
                if let Some(voter) = &mut self.voter {
                    voter.hear(now, from, word, &mut out);
                }
                self.take_out(now, unix_ms, out, todo);
            }
            Frame::Up(word) => {
                if let ToLeader::Ask { has, .. } = &word {
                    self.places.insert(from, (now, *has));
                }
                self.lead(now, unix_ms, todo, |leader, words| {
                    leader.hear(now, from, word, words)
                });
            }
            Frame::Down(epoch, word) => {
                self.heard = Some((from, now));
                let mut words = Vec::new();
                self.member.hear(now, epoch, word, &mut words);
                self.obey(now, words, todo);
            }
            Frame::Request(token, request) => {
                if let Some(reply) = self.answer(now, unix_ms, request, todo) {
                    todo.push(Do::Send(from, Frame::Reply(token, reply)));
                }
            }
            Frame::Reply(token, reply) => todo.push(Do::Reply(token, reply)),
        }
        self.settle(todo);
    }

    /// What was held was checked against a proposed policy.
    pub fn checked(
        &mut self,
        now: Time,
        proposal: Proposal,
        verdict: Result<(), String>,
        todo: &mut Vec<Do>,
    ) {
        self.say(now, ToLeader::Checked(proposal, verdict), todo);
        self.settle(todo);
    }

    /// An operator here asks something of the group; the answer comes as [`Do::Reply`], if a leader hears of it.
    pub fn request(&mut self, now: Time, token: u64, request: Request, todo: &mut Vec<Do>) {
        for to in self.leaders(now) {
            todo.push(Do::Send(to, Frame::Request(token, request.clone())));
        }
    }

    /// The disk did not take what was to be written.
    pub fn not_written(&mut self) {
        self.voter.iter_mut().for_each(Voter::not_written);
    }

    /// Who may lead: the one that was heard of late, else all that vote.
    fn leaders(&self, now: Time) -> Vec<Member> {
        let late = Span(self.setup.terms.again.0.max(self.setup.terms.term.0 / 2));
        match self.heard {
            Some((leader, at)) if now - at <= late => vec![leader],
            _ => {
                let voters = self.setup.members.iter().filter(|(_, votes)| **votes);
                voters.map(|(member, _)| *member).collect()
            }
        }
    }

    fn say(&self, now: Time, word: ToLeader, todo: &mut Vec<Do>) {
        for to in self.leaders(now) {
            todo.push(Do::Send(to, Frame::Up(word.clone())));
        }
    }

    fn obey(&mut self, now: Time, words: Vec<member::Do>, todo: &mut Vec<Do>) {
        for word in words {
            match word {
                member::Do::Send(word) => self.say(now, word, todo),
                member::Do::Check(proposal, follows, policy) => {
                    todo.push(Do::Check(proposal, follows, policy))
                }
                member::Do::TakeUp(revision, policy) => todo.push(Do::TakeUp(revision, policy)),
            }
        }
    }

    /// Lets the leader act, if this daemon leads, and carries out what it orders.
    fn lead(
        &mut self,
        now: Time,
        unix_ms: i64,
        todo: &mut Vec<Do>,
        act: impl FnOnce(&mut Leader, &mut Vec<leader::Do>),
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let epoch = leader.epoch();
        let (mut words, mut out) = (Vec::new(), Vec::new());
        act(leader, &mut words);
        for word in words {
            match word {
                leader::Do::Send(to, word) => todo.push(Do::Send(to, Frame::Down(epoch, word))),
                leader::Do::Append(entry) => {
                    todo.push(Do::Note("appends", told(&entry)));
                    self.voter.iter_mut().for_each(|voter| {
                        voter.append(now, epoch, unix_ms, entry.clone(), &mut out)
                    });
                }
            }
        }
        self.take_out(now, unix_ms, out, todo);
    }

    fn take_out(&mut self, now: Time, unix_ms: i64, out: Vec<Out>, todo: &mut Vec<Do>) {
        for out in out {
            match out {
                Out::Send(to, word) => todo.push(Do::Send(to, Frame::Among(word))),
                Out::Committed(entry) => {
                    todo.push(Do::Note("committed", told(&entry)));
                    if matches!(entry, Entry::Proposed(..)) {
                        self.proposed = false;
                    }
                    self.lead(now, unix_ms, todo, |leader, words| {
                        leader.committed(now, entry, words)
                    });
                }
                Out::Elected(epoch) => {
                    let Some(voter) = &self.voter else { continue };
                    let members: Vec<Member> = self.setup.members.keys().copied().collect();
                    self.leader = Some(Leader::elected(
                        self.setup.terms,
                        epoch,
                        now,
                        &members,
                        voter.book(),
                    ));
                    (self.proposed, self.found_at) = (false, now);
                    self.places.clear();
                    todo.push(Do::Note(
                        "leads",
                        format!("this daemon leads the group, epoch {:x}", epoch.0),
                    ));
                }
                Out::Deposed => {
                    self.leader = None;
                    todo.push(Do::Note(
                        "leads-no-more",
                        "another daemon leads the group, or none".to_owned(),
                    ));
                }
                Out::Leased(until) => {
                    self.lead(now, unix_ms, todo, |leader, _| leader.leased(until));
                }
                Out::Note(code, what) => todo.push(Do::Note(code, what)),
            }
        }
    }

    /// A leader of an empty log proposes what its home was founded with.
    fn found(&mut self, now: Time, unix_ms: i64, todo: &mut Vec<Do>) {
        let Some(leader) = &self.leader else { return };
        if leader.standing() != (Revision(0), None) || self.proposed || now < self.found_at {
            return;
        }
        self.found_at = now + FOUND_AGAIN;
        if let Some(policy) = self.setup.founding.clone() {
            let author = Author {
                by: "founding".to_owned(),
                key: 0,
            };
            self.propose(now, unix_ms, policy, author, todo);
        }
    }

    fn propose(
        &mut self,
        now: Time,
        unix_ms: i64,
        policy: Policy,
        author: Author,
        todo: &mut Vec<Do>,
    ) {
        let Some(Ok(proposal)) = self.leader.as_ref().map(Leader::next_proposal) else {
            return;
        };
        self.proposed = true;
        let entry = Entry::Proposed(proposal, policy, author);
        self.lead(now, unix_ms, todo, |_, words| {
            words.push(leader::Do::Append(entry))
        });
    }

    /// What the leader answers an operator; nothing where this daemon does not lead.
    fn answer(
        &mut self,
        now: Time,
        unix_ms: i64,
        request: Request,
        todo: &mut Vec<Do>,
    ) -> Option<Reply> {
        // One that may have been followed by another must not tell what was in force for what is.
        let leader = self
            .leader
            .as_ref()
            .filter(|leader| leader.is_leased(now))?;
        let book = self.voter.as_ref()?.book();
        let progress = || match leader.is_stopping() {
            true => Progress::Stopping,
            false => Progress::Checking,
        };
        let outcome = |key| match book.of_key(key)? {
            Some(past) => Some(Reply::Done(past.clone())),
            None => Some(Reply::Open(progress(), leader.waits_for(now))),
        };
        Some(match request {
            Request::Propose {
                base,
                policy,
                author,
            } => {
                if let Some(reply) = outcome(author.key) {
                    return Some(reply);
                }
                if let Some(open) = &book.open {
                    return Some(Reply::Busy(open.author.clone()));
                }
                if base != book.holds {
                    return Some(Reply::Stale(book.holds));
                }
                if !self.proposed {
                    self.propose(now, unix_ms, policy, author, todo);
                    return Some(Reply::Proposed);
                }
                Reply::Busy(Author {
                    by: "another operator".to_owned(),
                    key: 0,
                })
            }
            Request::Outcome(key) => outcome(key).unwrap_or(Reply::Unknown),
            Request::Withdraw => {
                if book.open.is_none() {
                    return Some(Reply::NothingOpen);
                }
                self.lead(now, unix_ms, todo, |leader, words| {
                    leader.withdraw_by_operator(words)
                });
                Reply::Taken
            }
            Request::Without(member) => {
                if !self.setup.members.contains_key(&member) {
                    return Some(Reply::Unknown);
                }
                self.lead(now, unix_ms, todo, |_, words| {
                    words.push(leader::Do::Append(Entry::Without(member)))
                });
                Reply::Taken
            }
            Request::Status => {
                let place = |(member, votes): (&Member, &bool)| {
                    let heard = self.places.get(member);
                    Place {
                        member: *member,
                        has: heard.and_then(|heard| heard.1),
                        heard: heard.map(|heard| (now - heard.0).0),
                        votes: *votes,
                        without: book.without.contains(member),
                    }
                };
                let open = book.open.as_ref();
                let open =
                    open.map(|open| (open.author.clone(), progress(), leader.waits_for(now)));
                let members = self.setup.members.iter().map(place).collect();
                Reply::Status(Box::new(Standing {
                    leader: self.setup.me,
                    holds: book.holds,
                    open,
                    members,
                }))
            }
            Request::History => Reply::History(book.past.iter().cloned().collect()),
        })
    }

    /// What must be on disk comes before all that is said.
    fn settle(&mut self, todo: &mut Vec<Do>) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::unwritten) {
            todo.insert(0, Do::Write(bytes));
        }
    }
}

fn told(entry: &Entry) -> String {
    match entry {
        Entry::Proposed(proposal, _, author) => {
            format!("change {} is proposed by {}", proposal.0, author.by)
        }
        Entry::InForce(proposal) => format!("change {} is in force", proposal.0),
        Entry::Withdrawn(proposal, reason) => {
            format!("change {} is withdrawn: {reason}", proposal.0)
        }
        Entry::Without(member) => format!("member {} is stopped, by an operator's word", member.0),
        Entry::Back(member) => format!("member {} is back", member.0),
    }
}

/// A folder for a voter that has none.
pub fn fresh(name: u64, draw: u64) -> Kept {
    Kept::new(name, Incarnation(draw))
}

//! Drives a daemon's place in its group: clock, disk and link around [`Seat`], and the gate of its instances.

use super::link::{self, Event, Local, Told, Way};
use super::{file, read, same_group, Membership, VOTES};
use crate::manifest::Manifest;
use crate::plan::{Applied, APPLIED_FILE};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use marblefall_coordination::seat::{fresh, Do, Frame, Reply, Seat, Setup};
use marblefall_coordination::store::Kept;
use marblefall_coordination::words::{Life, Member, Policy, Proposal, Revision};
use marblefall_delivery::core::Timestamp;
use marblefall_delivery::instance::Clock;
use marblefall_delivery::lease_guard::{GuardState, LeaseGuard};
use marblefall_delivery::net::server::Spawner;
use marblefall_delivery::say;
use marblefall_scheduler::Time;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What comes in waits in a queue of so many; beyond that the link waits.
const QUEUE: usize = 1024;
/// A leader that does not answer an operator within this is none.
const ANSWER: Duration = Duration::from_millis(800);

/// What those who run the instances hear.
pub enum News {
    /// Another policy is in force, and stands in the folder.
    TakenUp,
    /// Whether instances may act has changed.
    Look,
    /// Has this policy room for what is held?
    Check(Box<Manifest>, Sender<Result<(), String>>),
}

/// Something that happened.
enum Input {
    Event(Event),
    Checked(Proposal, Result<(), String>),
    Woken,
}

struct Driver {
    membership: Membership,
    home: PathBuf,
    seat: Seat,
    clock: Clock,
    gate: Arc<LeaseGuard>,
    shown: Option<(u64, GuardState)>,
    ways: BTreeMap<Member, Way>,
    events: Sender<Event>,
    checks: Sender<(Proposal, Result<(), String>)>,
    news: Sender<News>,
    tasks: Spawner,
    draw: fastrand::Rng,
    asked: BTreeMap<u64, (Instant, Sender<Told>)>,
    tokens: u64,
    /// What another one was founded with is not taken up without a word.
    founding: Option<Policy>,
    /// The disk did not take what was last written.
    failing: bool,
    /// A policy in force that the folder did not take yet.
    untaken: Option<(Revision, Policy)>,
}

impl Membership {
    /// Begins this daemon's part; gives what those who run its instances are to hear. Its link listens at `listen`, where
    /// others reach it by the file's address through something between.
    ///
    /// # Errors
    /// Where its link cannot be listened at.
    pub fn start(
        self,
        home: &Path,
        listen: Option<SocketAddr>,
        gate: Arc<LeaseGuard>,
        tasks: &Spawner,
    ) -> Result<Receiver<News>, String> {
        if let Some(warning) = self.group.warning() {
            say!(code = "even-voters", "{warning}");
        }
        let at = listen.unwrap_or(self.group.members[&self.name].link);
        let listener =
            TcpListener::bind(at).map_err(|error| format!("the group's link, {at}: {error}"))?;
        let (events, heard) = async_channel::bounded(QUEUE);
        let (news, told) = async_channel::unbounded();
        let (checks, checked) = async_channel::unbounded();
        let (group, members) = (self.group.name.clone(), self.group.members.len() as u32);
        say!("group {group}: member {}, link at {at}", self.name);
        tasks.spawn(link::listen(
            listener,
            group,
            members,
            events.clone(),
            tasks.clone(),
        ));
        let mut draw = fastrand::Rng::new();
        let life = Life(draw.u64(1..));
        let founding = self.founding.clone().map(Policy::from);
        let setup = Setup {
            me: self.me,
            members: self
                .group
                .members
                .values()
                .enumerate()
                .map(|(at, m)| (Member(at as u32), m.votes))
                .collect(),
            terms: self.terms(),
            life,
            kept: self.kept(home, draw.u64(1..))?,
            founding: founding.clone(),
        };
        let driver = Driver {
            seat: Seat::new(setup, Time(0)),
            membership: self,
            home: home.to_owned(),
            clock: Clock::start(),
            gate,
            shown: None,
            ways: BTreeMap::new(),
            events,
            checks,
            news,
            tasks: tasks.clone(),
            draw,
            asked: BTreeMap::new(),
            tokens: 0,
            founding,
            failing: false,
            untaken: None,
        };
        tasks.spawn(driver.run(heard, checked));
        Ok(told)
    }

    /// What the home's voter keeps; a new folder where there is none or it cannot be read: the group then lets it in as new.
    fn kept(&self, home: &Path, draw: u64) -> Result<Option<Kept>, String> {
        if !self.group.members[&self.name].votes {
            return Ok(None);
        }
        let path = file(home, VOTES);
        let name =
            crate::manifest::destination_number(&format!("{}/{}", self.group.name, self.name));
        let kept = match read(&path)? {
            None => None,
            Some(bytes) => match Kept::decode(&bytes, name) {
                Ok(kept) => Some(kept),
                Err(why) => {
                    say!(
                        code = "votes-unreadable",
                        "{}: {why}; this voter asks to be let in as new",
                        path.display()
                    );
                    let _ = std::fs::rename(&path, path.with_extension("unreadable"));
                    None
                }
            },
        };
        Ok(Some(kept.unwrap_or_else(|| fresh(name, draw))))
    }
}

impl Driver {
    async fn run(
        mut self,
        heard: Receiver<Event>,
        checked: Receiver<(Proposal, Result<(), String>)>,
    ) {
        loop {
            let (now, mut todo) = (self.clock.now(), Vec::new());
            self.seat.tick(now.monotonic, now.unix_ms, &mut todo);
            self.carry_out(todo);
            self.forget_unanswered();
            if let Some((revision, policy)) = self.untaken.take() {
                self.take_up(revision, &policy);
            }
            let wake = self
                .clock
                .instant(self.seat.wakes(self.clock.now().monotonic));
            let wake = self
                .asked
                .values()
                .map(|(since, _)| *since + ANSWER)
                .chain([wake])
                .min()
                .unwrap_or(wake);
            let event = async { heard.recv().await.map_or(Input::Woken, Input::Event) };
            let check = async {
                checked
                    .recv()
                    .await
                    .map_or(Input::Woken, |(proposal, verdict)| {
                        Input::Checked(proposal, verdict)
                    })
            };
            let timer = async {
                Timer::at(wake).await;
                Input::Woken
            };
            let input = future::or(event, future::or(check, timer)).await;
            self.take(input);
            // All that has come by now is taken before anything is asked for again.
            while let Ok(event) = heard.try_recv() {
                self.take(Input::Event(event));
            }
        }
    }

    fn take(&mut self, input: Input) {
        let Timestamp {
            monotonic: now,
            unix_ms,
        } = self.clock.now();
        let mut todo = Vec::new();
        match input {
            Input::Event(Event::Frame(from, frame)) => {
                self.seat.hear(now, unix_ms, from, frame, &mut todo)
            }
            Input::Event(Event::Linked(to)) => self.seat.linked(now, unix_ms, to, &mut todo),
            Input::Event(Event::Operator(request, answer)) => {
                self.tokens += 1;
                self.asked.insert(self.tokens, (Instant::now(), answer));
                self.seat.request(now, self.tokens, request, &mut todo);
            }
            Input::Checked(proposal, verdict) => {
                self.seat.checked(now, proposal, verdict, &mut todo)
            }
            Input::Woken => {}
        }
        self.carry_out(todo);
    }

    /// The gate first: what is said below may rest on nobody acting any more.
    fn show(&mut self) {
        let now = self.clock.now().monotonic;
        let standing = match (self.seat.may_act(now), self.seat.until()) {
            (Some(_), Some(until)) => GuardState::Open(until.map(|at| self.clock.instant(at))),
            _ if self.seat.is_still(now) => GuardState::Suspended,
            _ => GuardState::Closed,
        };
        let revision = self.seat.view().0.unwrap_or_default().0;
        if self.shown == Some((revision, standing)) {
            return;
        }
        let kind = |standing: GuardState| matches!(standing, GuardState::Open(_));
        let news = self
            .shown
            .is_none_or(|(had, was)| had != revision || kind(was) != kind(standing));
        self.gate.set(revision, standing);
        self.shown = Some((revision, standing));
        if news {
            say!(
                code = "gate",
                "{} under revision {revision}",
                self.standing()
            );
            let _ = self.news.try_send(News::Look);
        }
    }

    fn standing(&self) -> &'static str {
        match self.shown {
            Some((_, GuardState::Open(until)))
                if until.is_none_or(|until| Instant::now() < until) =>
            {
                "acts"
            }
            Some((_, GuardState::Suspended)) => "still",
            _ => "shut",
        }
    }

    fn carry_out(&mut self, todo: Vec<Do>) {
        let mut own = Vec::new();
        let mut written = true;
        // A policy is in the folder before the gate opens for it.
        for step in &todo {
            if let Do::TakeUp(revision, policy) = step {
                self.take_up(*revision, policy);
            }
        }
        self.show();
        for step in todo {
            match step {
                Do::Write(bytes) => written = self.write(&bytes),
                // What rests on a writing that was not done is not said.
                Do::Send(..) if !written => {}
                Do::Send(to, frame) if to == self.membership.me => own.push(frame),
                Do::Send(to, frame) => self.send(to, &frame),
                Do::Check(proposal, follows, policy) => self.check(proposal, follows, &policy),
                Do::TakeUp(..) => {}
                Do::Reply(token, reply) => self.answer(token, Some(reply)),
                Do::Note(code, what) => say!(code, "group: {what}"),
            }
        }
        for frame in own {
            let (now, mut todo) = (self.clock.now(), Vec::new());
            self.seat.hear(
                now.monotonic,
                now.unix_ms,
                self.membership.me,
                frame,
                &mut todo,
            );
            self.carry_out(todo);
        }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        let path = file(&self.home, VOTES);
        let done = LocalDisk.create_folder(path.parent().unwrap_or(&self.home));
        let done = done.and_then(|()| replace(&LocalDisk, &path, bytes, Durability::PowerLoss));
        match done {
            Ok(()) if std::mem::take(&mut self.failing) => {
                say!(code = "votes-kept", "the disk takes votes again")
            }
            Ok(()) => {}
            Err(error) => {
                self.seat.not_written();
                if !std::mem::replace(&mut self.failing, true) {
                    say!(
                        code = "votes-not-kept",
                        "{}: {error}; this voter says nothing until it works",
                        path.display()
                    );
                }
                return false;
            }
        }
        true
    }

    fn send(&mut self, to: Member, frame: &Frame) {
        let Some(at) = self
            .membership
            .group
            .members
            .values()
            .nth(to.0 as usize)
            .map(|member| member.link)
        else {
            return;
        };
        let (me, events, tasks) = (self.membership.me, &self.events, &self.tasks);
        let (group, draw) = (&self.membership.group.name, &mut self.draw);
        let way = self
            .ways
            .entry(to)
            .or_insert_with(|| Way::open(group, me, (to, at), events.clone(), draw.u64(..), tasks));
        way.send(link::encode(frame));
    }

    /// Whether a proposed policy can be read, is one that this member could take up, and has room for what is held.
    fn check(&self, proposal: Proposal, follows: Revision, policy: &[u8]) {
        let refuse = |why: String| drop(self.checks.try_send((proposal, Err(why))));
        let member = &self.membership;
        let fleet: Manifest = match serde_json::from_slice(policy) {
            Ok(fleet) => fleet,
            Err(error) => {
                return refuse(format!(
                    "member {}: the policy cannot be read: {error}",
                    member.name
                ))
            }
        };
        if let Err(why) = same_group(&member.group, fleet.group.as_ref()) {
            return refuse(format!("member {}: {why}", member.name));
        }
        if follows == Revision(0) && self.founding.as_deref().is_some_and(|own| own != policy) {
            return refuse(format!(
                "member {}: its home was founded with another file",
                member.name
            ));
        }
        let (answer, said) = async_channel::bounded(1);
        let _ = self.news.try_send(News::Check(Box::new(fleet), answer));
        let (checks, name) = (self.checks.clone(), member.name.clone());
        self.tasks.spawn(async move {
            if let Ok(verdict) = said.recv().await {
                let verdict = verdict.map_err(|why| format!("member {name}: {why}"));
                let _ = checks.try_send((proposal, verdict));
            }
        });
    }

    fn take_up(&mut self, revision: Revision, policy: &Policy) {
        if revision == Revision(0) {
            return;
        }
        let fleet: Manifest = match serde_json::from_slice(policy) {
            Ok(fleet) => fleet,
            Err(error) => {
                return say!(
                    code = "policy-unreadable",
                    "group: revision {} cannot be read: {error}",
                    revision.0
                )
            }
        };
        let applied = Applied {
            revision: revision.0,
            manifest: fleet,
        };
        if Applied::read(&self.home).is_ok_and(|had| had == applied) {
            return;
        }
        let text = serde_json::to_vec_pretty(&applied).unwrap_or_default();
        if let Err(error) = replace(
            &LocalDisk,
            &self.home.join(APPLIED_FILE),
            &text,
            Durability::PowerLoss,
        ) {
            // Until it does, instances stay under the policy that they have, which the gate shuts out.
            self.untaken = Some((revision, policy.clone()));
            return say!(
                code = "policy-not-kept",
                "group: revision {}: {error}",
                revision.0
            );
        }
        say!(
            code = "policy",
            "group: revision {} is in force",
            revision.0
        );
        let _ = self.news.try_send(News::TakenUp);
    }

    fn answer(&mut self, token: u64, reply: Option<Reply>) {
        let Some((_, answer)) = self.asked.remove(&token) else {
            return;
        };
        let names = self.membership.names();
        let (has, leader) = self.seat.view();
        let leader = leader.and_then(|(member, at)| {
            Some((
                names.get(member.0 as usize)?.clone(),
                (self.clock.now().monotonic - at).0.max(0) as u64 / 1000,
            ))
        });
        let local = Local {
            member: self.membership.name.clone(),
            has: has.map(|has| has.0),
            standing: self.standing().to_owned(),
            leader,
            votes: self.seat.votes(),
        };
        let _ = answer.try_send(Told { local, reply });
    }

    fn forget_unanswered(&mut self) {
        let late: Vec<u64> = self
            .asked
            .iter()
            .filter(|(_, (since, _))| since.elapsed() >= ANSWER)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.answer(token, None);
        }
    }
}

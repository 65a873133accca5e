//! The leader: grants terms, and takes a proposed policy through the switch: check, stop, decide. It decides only once every
//! member has confirmed that it is still, or has surely stopped by itself because its term has run out.

use crate::book::Book;
use crate::words::*;
use marblefall_scheduler::{Span, Time};
use std::collections::BTreeMap;

/// A member that was asked so often for its word on a change, and has not answered, gets no further term before it does.
const ASKED: i64 = 3;

/// What the leader is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    /// Say this to a member.
    Send(Member, ToMember),
    /// Put this into the log.
    Append(Entry),
}

/// What is known of a member in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    /// Its last term has surely run out by then; `None` is never.
    expires: Option<Time>,
    /// By the operators' word it is stopped.
    without: bool,
    checked: Option<Proposal>,
    still: Option<Proposal>,
    said: Option<Time>,
}

impl Known {
    /// Whether it has surely stopped by itself.
    fn ran_out(&self, now: Time) -> bool {
        self.without || self.expires.is_some_and(|expires| expires <= now)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Checking,
    Stopping,
    /// An outcome is in the log, and not committed yet.
    Deciding,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open {
    proposal: Proposal,
    policy: Policy,
    stage: Stage,
    since: Time,
}

/// One epoch of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    terms: Terms,
    epoch: Epoch,
    lease: Time,
    members: BTreeMap<Member, Known>,
    holds: (Revision, Policy),
    resolved: Proposal,
    open: Option<Open>,
}

impl Leader {
    /// A leader that has just been elected, of a log that says this. What its predecessors granted may last for a whole term
    /// from now.
    pub fn elected(
        terms: Terms,
        epoch: Epoch,
        now: Time,
        members: &[Member],
        book: &Book,
    ) -> Leader {
        let known = |member: &Member| {
            let without = book.without.contains(member);
            (
                *member,
                Known {
                    expires: furthest(&terms, now),
                    without,
                    ..Known::default()
                },
            )
        };
        let members = members.iter().map(known).collect();
        let open = book.open.as_ref().map(|open| Open {
            proposal: open.proposal,
            policy: open.policy.clone(),
            stage: Stage::Checking,
            since: now,
        });
        let (holds, resolved) = ((book.holds, book.policy.clone()), book.resolved);
        Leader {
            terms,
            epoch,
            lease: now,
            members,
            holds,
            resolved,
            open,
        }
    }

    /// Which epoch it leads.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The revision in force, and the proposal that is open.
    pub fn standing(&self) -> (Revision, Option<Proposal>) {
        (self.holds.0, self.open.as_ref().map(|open| open.proposal))
    }

    /// Whether the open change is past the members' word on it, if there is one.
    pub fn is_stopping(&self) -> bool {
        self.open
            .as_ref()
            .is_some_and(|open| open.stage != Stage::Checking)
    }

    /// Members whose word the open change waits for.
    pub fn waits_for(&self, now: Time) -> Vec<Member> {
        let Some(open) = &self.open else {
            return Vec::new();
        };
        let said = |known: &Known| match open.stage {
            Stage::Checking => known.checked == Some(open.proposal),
            Stage::Stopping => known.still == Some(open.proposal),
            Stage::Deciding => true,
        };
        let waits = self
            .members
            .iter()
            .filter(|(_, known)| !said(known) && !known.ran_out(now));
        waits.map(|(member, _)| *member).collect()
    }

    /// Whether it is surely the only leader just now.
    pub fn is_leased(&self, now: Time) -> bool {
        now < self.lease
    }

    /// It is the only leader until then.
    pub fn leased(&mut self, until: Time) {
        self.lease = self.lease.max(until);
    }

    /// The number that a change proposed now would have, or the one that is in its way.
    ///
    /// # Errors
    /// The proposal that is open.
    pub fn next_proposal(&self) -> Result<Proposal, Proposal> {
        self.open
            .as_ref()
            .map_or(Ok(Proposal(self.resolved.0 + 1)), |open| Err(open.proposal))
    }

    /// An entry of the log is committed. The first outcome of a proposal is its outcome; what comes after changes nothing.
    pub fn committed(&mut self, now: Time, entry: Entry, todo: &mut Vec<Do>) {
        match entry {
            Entry::Proposed(proposal, policy, _)
                if self.open.is_none() && proposal > self.resolved =>
            {
                self.open = Some(Open {
                    proposal,
                    policy,
                    stage: Stage::Checking,
                    since: now,
                });
                self.members
                    .values_mut()
                    .for_each(|known| known.said = None);
            }
            Entry::InForce(proposal) => {
                if let Some(open) = self.open.take_if(|open| open.proposal == proposal) {
                    self.holds = (Revision(self.holds.0 .0 + 1), open.policy);
                    self.resolve(proposal, todo);
                }
            }
            Entry::Withdrawn(proposal, _) => {
                if self
                    .open
                    .take_if(|open| open.proposal == proposal)
                    .is_some()
                {
                    self.resolve(proposal, todo);
                }
            }
            Entry::Without(member) => {
                self.members
                    .get_mut(&member)
                    .into_iter()
                    .for_each(|known| known.without = true);
            }
            Entry::Back(member) => {
                let expires = furthest(&self.terms, now);
                if let Some(known) = self.members.get_mut(&member) {
                    (known.without, known.expires) = (false, expires);
                }
            }
            Entry::Proposed(..) => {}
        }
        self.tick(now, todo);
    }

    fn resolve(&mut self, proposal: Proposal, todo: &mut Vec<Do>) {
        self.resolved = proposal;
        todo.extend(
            self.members
                .keys()
                .map(|member| Do::Send(*member, ToMember::Resolved(proposal))),
        );
    }

    /// A member has spoken.
    pub fn hear(&mut self, now: Time, from: Member, word: ToLeader, todo: &mut Vec<Do>) {
        let Some(known) = self.members.get_mut(&from) else {
            return;
        };
        match word {
            ToLeader::Ask { life, asked, has } => {
                // One that was still and asks may have been started anew: only the outcome lets it go on.
                let stage = self.open.as_ref().map(|open| open.stage);
                let proposal = self.open.as_ref().map(|open| open.proposal);
                let unchecked = stage == Some(Stage::Checking) && known.checked != proposal;
                // One that is heard and does not answer may hear nothing itself: its term must run out some time.
                let asked_long = self.open.as_ref().is_some_and(|open| {
                    now - open.since >= Span(self.terms.again.0 * ASKED)
                        && self.terms.on_cut == OnCut::Stop
                });
                let ran_out = known.ran_out(now) || asked_long;
                if known.without {
                    // The next leader must know as well.
                    return todo.push(Do::Append(Entry::Back(from)));
                }
                if matches!(stage, Some(Stage::Stopping | Stage::Deciding)) || unchecked && ran_out
                {
                    // Said again what it waits for: it may not have heard, or have come back only now.
                    known.said = None;
                    todo.push(Do::Send(from, ToMember::Resolved(self.resolved)));
                } else if let Some(length) = self.grant(now, from) {
                    let (revision, policy) = &self.holds;
                    let holds = (*revision, (has != Some(*revision)).then(|| policy.clone()));
                    let (length, resolved) = (length.map(|length| length.0), self.resolved);
                    todo.push(Do::Send(
                        from,
                        ToMember::Term {
                            life,
                            asked,
                            length,
                            holds,
                            resolved,
                        },
                    ));
                }
            }
            // A no counts for as long as nothing is decided, also from one that was not waited for.
            ToLeader::Checked(proposal, verdict) => match verdict {
                _ if self
                    .open
                    .as_ref()
                    .is_none_or(|open| open.proposal != proposal) => {}
                Ok(()) => known.checked = Some(proposal),
                Err(reason) => self.withdraw(reason, todo),
            },
            // From its first word to be still on, this leader grants nothing until the outcome: whichever life of the member
            // answers that word, it and all after it have no term.
            ToLeader::Still(proposal, epoch) if epoch == self.epoch => known.still = Some(proposal),
            ToLeader::Still(..) => {}
        }
        self.tick(now, todo);
    }

    /// How long a term it may grant now, if any; notes it. Beyond its lease another one may lead.
    fn grant(&mut self, now: Time, to: Member) -> Option<Option<Span>> {
        let left = self.lease - now;
        if left.0 <= 0 {
            return None;
        }
        let known = self.members.get_mut(&to)?;
        match self.terms.on_cut {
            OnCut::Serve => {
                known.expires = None;
                Some(None)
            }
            OnCut::Stop => {
                let length = self.terms.term.min(left);
                // It counts from when it asked, which was before now.
                known.expires = known.expires.max(Some(now + self.terms.longest(length)));
                Some(Some(length))
            }
        }
    }

    fn withdraw(&mut self, reason: String, todo: &mut Vec<Do>) {
        if let Some(open) = self
            .open
            .as_mut()
            .filter(|open| open.stage != Stage::Deciding)
        {
            open.stage = Stage::Deciding;
            todo.push(Do::Append(Entry::Withdrawn(open.proposal, reason)));
        }
    }

    /// Operators take an open change back.
    pub fn withdraw_by_operator(&mut self, todo: &mut Vec<Do>) {
        self.withdraw("withdrawn by an operator".to_owned(), todo);
    }

    /// Time has passed: moves the change on, and says again what was not answered.
    pub fn tick(&mut self, now: Time, todo: &mut Vec<Do>) {
        let Some(open) = self.open.as_mut() else {
            return;
        };
        let proposal = open.proposal;
        let waited = now - open.since;
        match open.stage {
            Stage::Checking => {
                let done = |known: &Known| known.checked == Some(proposal) || known.ran_out(now);
                if self.members.values().all(done) {
                    (open.stage, open.since) = (Stage::Stopping, now);
                    self.members
                        .values_mut()
                        .for_each(|known| known.said = None);
                    return self.tick(now, todo);
                }
                if self.terms.on_cut == OnCut::Stop && waited >= self.terms.check_for {
                    return self.withdraw("not every member has answered in time".to_owned(), todo);
                }
            }
            Stage::Stopping => {
                let done = |known: &Known| known.still == Some(proposal) || known.ran_out(now);
                if self.members.values().all(done) {
                    open.stage = Stage::Deciding;
                    return todo.push(Do::Append(Entry::InForce(proposal)));
                }
                if waited >= self.terms.stop_for {
                    return self.withdraw("not every member has stopped in time".to_owned(), todo);
                }
            }
            Stage::Deciding => return,
        }
        for (member, known) in &mut self.members {
            let due = known.said.is_none_or(|said| now - said >= self.terms.again);
            let word = match open.stage {
                Stage::Checking if known.checked != Some(proposal) => {
                    ToMember::Check(proposal, self.holds.0, open.policy.clone())
                }
                Stage::Stopping if known.still != Some(proposal) => ToMember::Stop(proposal),
                _ => continue,
            };
            if due {
                known.said = Some(now);
                todo.push(Do::Send(*member, word));
            }
        }
    }
}

/// Until when a member may act that some leader granted a term up to now. A term ends with its leader's lease, so a new
/// leader finds all run out where the leases hold; that they do is its driver's promise, and this does not lean on it.
fn furthest(terms: &Terms, now: Time) -> Option<Time> {
    match terms.on_cut {
        OnCut::Stop => Some(now + terms.longest(terms.term)),
        OnCut::Serve => None,
    }
}

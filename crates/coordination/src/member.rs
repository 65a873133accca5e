//! A member: whether it may act, and under which policy. It starts not knowing what holds, and acts only on a term that
//! it asked for in this life. Once it has confirmed that it is still, only a word on the outcome lets it go on.

use crate::words::*;
use marblefall_scheduler::{Span, Time};

/// What the member is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Say this to the leader.
    Send(ToLeader),
    /// Check a proposed policy, which is to follow this revision, against what is held, and answer with [`ToLeader::Checked`].
    Check(Proposal, Revision, Policy),
    /// Write the policy down and take it up: it is the one in force.
    TakeUp(Revision, Policy),
}

/// One that was let go has its term after one asking; if it has not after so many, it is cut off.
const ASKED: i64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Standing {
    /// It does not know what holds; it was let go on from being still then, if it was.
    Learning(Option<Time>),
    /// It may act until then; without end under [`OnCut::Serve`].
    Acting(Option<Time>),
    /// It is still, for a proposal.
    Still(Proposal),
}

/// One life of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberState {
    terms: Terms,
    life: Life,
    standing: Standing,
    holds: Option<Revision>,
    /// The latest leader heard.
    epoch: Epoch,
    resolved: Proposal,
    asked: Option<Time>,
}

impl MemberState {
    /// A life that begins.
    pub fn new(terms: Terms, life: Life) -> MemberState {
        let (standing, holds, epoch) = (Standing::Learning(None), None, Epoch(0));
        MemberState {
            terms,
            life,
            standing,
            holds,
            epoch,
            resolved: Proposal(0),
            asked: None,
        }
    }

    /// The policy under which it may act at this moment. To be asked directly before each act: a process may have been
    /// stopped since anything else was.
    pub fn may_act(&self, now: Time) -> Option<Revision> {
        match self.standing {
            Standing::Acting(until) if until.is_none_or(|until| now < until) => self.holds,
            _ => None,
        }
    }

    /// Whether it is held still by a change that is under way, or has only just been let go and asks what holds: what is
    /// handed in is held, not declined.
    pub fn is_still(&self, now: Time) -> bool {
        match self.standing {
            Standing::Still(_) => true,
            Standing::Learning(Some(since)) => now - since < Span(self.terms.again.0 * ASKED),
            Standing::Learning(None) | Standing::Acting(_) => false,
        }
    }

    /// Until when it may act, if it may: `Some(None)` is without end.
    pub fn until(&self) -> Option<Option<Time>> {
        match self.standing {
            Standing::Acting(until) if self.holds.is_some() => Some(until),
            _ => None,
        }
    }

    /// The policy that it last took up.
    pub fn holds(&self) -> Option<Revision> {
        self.holds
    }

    /// When it wants to be woken.
    pub fn wakes(&self, now: Time) -> Time {
        self.asked.map_or(now, |asked| asked + self.pace())
    }

    /// It asks three times in a term, so that two answers may be lost.
    fn pace(&self) -> Span {
        match self.standing {
            Standing::Acting(_) => Span(self.terms.term.0 / 3),
            Standing::Learning(_) | Standing::Still(_) => self.terms.again,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, todo: &mut Vec<Do>) {
        if self.wakes(now) <= now {
            self.asked = Some(now);
            todo.push(Do::Send(ToLeader::Ask {
                life: self.life,
                asked: now.0,
                has: self.holds,
            }));
        }
    }

    /// A leader has spoken. What comes late, from a leader that is none any more or to an earlier life, changes nothing.
    pub fn hear(&mut self, now: Time, epoch: Epoch, word: ToMember, todo: &mut Vec<Do>) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        match word {
            ToMember::Check(proposal, follows, policy) if proposal > self.resolved => {
                todo.push(Do::Check(proposal, follows, policy));
            }
            ToMember::Stop(proposal) if proposal > self.resolved => {
                self.standing = Standing::Still(proposal);
                todo.push(Do::Send(ToLeader::Still(proposal, epoch)));
            }
            ToMember::Resolved(proposal) => {
                self.resolved = self.resolved.max(proposal);
                if matches!(self.standing, Standing::Still(still) if still <= self.resolved) {
                    self.standing = Standing::Learning(Some(now));
                    self.asked = None;
                    self.tick(now, todo);
                }
            }
            ToMember::Term {
                life,
                asked,
                length,
                holds,
                resolved,
            } if life == self.life => {
                // One that was granted before it was told to be still is void.
                let void = matches!(self.standing, Standing::Still(still) if resolved < still);
                let until = length.map(|length| Time(asked) + self.terms.shortest(Span(length)));
                if void || resolved < self.resolved || until.is_some_and(|until| until <= now) {
                    return;
                }
                let (revision, policy) = holds;
                if self.holds != Some(revision) {
                    // One that is not told what it says asks again.
                    let Some(policy) = policy else { return };
                    self.holds = Some(revision);
                    todo.push(Do::TakeUp(revision, policy));
                    // Says at once that it has it: whoever applied the change waits for that.
                    self.asked = None;
                    self.tick(now, todo);
                }
                self.resolved = resolved;
                self.standing = Standing::Acting(match self.standing {
                    // Answers may overtake each other.
                    Standing::Acting(had) => had.max(until),
                    _ => until,
                });
            }
            ToMember::Check(..) | ToMember::Stop(_) | ToMember::Term { .. } => {}
        }
    }
}

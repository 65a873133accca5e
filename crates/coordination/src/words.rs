//! What members and the leader say to each other, and what stands in the log.

use marblefall_scheduler::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A member, by its place in the group's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// A policy that is or was in force; each is one more than the one before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A proposed change, in the order of the log. One that was withdrawn leaves its revision to the next.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Proposal(pub u64);

/// Which leader; later ones have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// One life of a member's process, drawn at its start: an answer to an earlier life is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// What a policy says is nobody's affair here.
pub type Policy = Arc<[u8]>;

/// Who proposed a change, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Author {
    /// The member and the operator, as they are shown.
    pub by: String,
    /// Drawn by whoever proposed it, so that the outcome can be asked for when an answer was lost.
    pub key: u64,
}

/// A moment or a span as it travels, in microseconds.
pub type Micros = i64;

/// What a cut costs, by the operators' choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnCut {
    /// A member that has lost the group for longer than its term does not act; changes go through without it then.
    Stop,
    /// It acts on; changes wait for it.
    Serve,
}

/// The figures of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// What a cut costs.
    pub on_cut: OnCut,
    /// How long a term lasts, under [`OnCut::Stop`].
    pub term: Span,
    /// Part by which two clocks may differ in speed, in hundredths.
    pub drift_percent: i64,
    /// How long a change may wait for the members' word on it, under [`OnCut::Stop`].
    pub check_for: Span,
    /// How long members may be held still before the change is withdrawn.
    pub stop_for: Span,
    /// What was not answered is said again after this.
    pub again: Span,
}

impl Terms {
    /// At most so much passes on one clock while a span passes on another.
    pub fn longest(&self, span: Span) -> Span {
        Span(span.0 + span.0 * self.drift_percent / 100 + 1)
    }

    /// At least so much does.
    pub fn shortest(&self, span: Span) -> Span {
        Span(span.0 - span.0 * self.drift_percent / 100 - 1)
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Entry {
    /// The policy that follows the one in force.
    Proposed(Proposal, Policy, Author),
    /// The proposed one is in force.
    InForce(Proposal),
    /// It never will be, and why.
    Withdrawn(Proposal, String),
    /// Operators say of a member that it is stopped.
    Without(Member),
    /// It has asked again, and counts as one that may act from now on.
    Back(Member),
}

/// From a member to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToLeader {
    /// May it act? Says which life asks and when by its own clock, which the answer repeats.
    Ask {
        /// Its life.
        life: Life,
        /// Its clock, in microseconds.
        asked: Micros,
        /// The policy that it has: its content is not said again.
        has: Option<Revision>,
    },
    /// Its word on a proposed policy, or why not.
    Checked(Proposal, Result<(), String>),
    /// It does not act any more, and will not before it hears what became of the proposal. Answers this leader's word: what
    /// an earlier one was told may come from a life that is over, while a later one has a term.
    Still(Proposal, Epoch),
}

/// From the leader to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ToMember {
    /// It may act under the policy in force.
    Term {
        /// The life that asked.
        life: Life,
        /// Its clock when it did, in microseconds.
        asked: Micros,
        /// For so many microseconds from then, less the drift; without end under [`OnCut::Serve`].
        length: Option<Micros>,
        /// The policy in force, and what it says where the member does not have it.
        holds: (Revision, Option<Policy>),
        /// The last proposal of which the outcome is known.
        resolved: Proposal,
    },
    /// What does it say of this policy, which is to follow this revision?
    Check(Proposal, Revision, Policy),
    /// It is not to act any more until it hears the outcome.
    Stop(Proposal),
    /// Proposals up to this one have their outcome: it may ask again.
    Resolved(Proposal),
}

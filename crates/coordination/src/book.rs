//! What the log says so far: the policy in force, the change that is open, and what became of earlier ones. The same
//! entries in the same order make the same book at every voter; it is also what a new configuration of voters begins with.

use crate::words::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that are remembered at most.
const PAST: usize = 256;

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Line {
    /// A leader begins: what others append from here on is void, also what an earlier one had under way.
    Begins(Epoch),
    /// What a leader says, and when by its clock, in Unix time and milliseconds.
    Says(Epoch, i64, Entry),
    /// This configuration ends here, and the next one has these voters: what comes after in this log never counts.
    Ends(BTreeMap<Member, Incarnation>),
}

/// A change that has no outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Open {
    /// Its number.
    pub proposal: Proposal,
    /// What it says.
    pub policy: Policy,
    /// Who proposed it.
    pub author: Author,
    /// When, in Unix time and milliseconds.
    pub at_ms: i64,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    pub proposal: Proposal,
    /// Who proposed it.
    pub author: Author,
    /// When, in Unix time and milliseconds.
    pub proposed_ms: i64,
    /// When it had its outcome, in Unix time and milliseconds.
    pub resolved_ms: i64,
    /// The revision that it became, or why it was withdrawn.
    pub outcome: Result<Revision, String>,
}

/// One incarnation of a voter's folder. A folder that was lost, or is an old copy of itself, becomes another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The log so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Book {
    /// The leader whose lines count.
    pub epoch: Epoch,
    /// The revision in force; 0 is none yet.
    pub holds: Revision,
    /// What it says.
    pub policy: Policy,
    /// The last change that has its outcome.
    pub resolved: Proposal,
    /// The one that has none.
    pub open: Option<Open>,
    /// Members that are stopped by the operators' word.
    pub without: BTreeSet<Member>,
    /// What became of changes, the latest last.
    pub past: VecDeque<Past>,
    /// Who votes, by the folder that it had when it was let in.
    pub voters: BTreeMap<Member, Incarnation>,
}

impl Book {
    /// An empty log of these voters; revision 0 is a policy that says nothing.
    pub fn new(voters: BTreeMap<Member, Incarnation>) -> Book {
        let policy = Policy::from(&b""[..]);
        let (epoch, holds, resolved, open) = Default::default();
        let (without, past) = Default::default();
        Book {
            epoch,
            holds,
            policy,
            resolved,
            open,
            without,
            past,
            voters,
        }
    }

    /// Takes the next line; gives its entry if it counts. The first outcome of a change is its outcome.
    pub fn take(&mut self, line: Line) -> Option<Entry> {
        let (epoch, at_ms, entry) = match line {
            Line::Begins(epoch) => {
                self.epoch = self.epoch.max(epoch);
                return None;
            }
            Line::Says(epoch, at_ms, entry) => (epoch, at_ms, entry),
            Line::Ends(voters) => {
                self.voters = voters;
                return None;
            }
        };
        if epoch != self.epoch {
            return None;
        }
        match &entry {
            Entry::Proposed(proposal, policy, author) => {
                if self.open.is_some() || *proposal <= self.resolved {
                    return None;
                }
                let (proposal, policy, author) = (*proposal, policy.clone(), author.clone());
                self.open = Some(Open {
                    proposal,
                    policy,
                    author,
                    at_ms,
                });
            }
            Entry::InForce(proposal) => {
                let open = self.open.take_if(|open| open.proposal == *proposal)?;
                self.holds = Revision(self.holds.0 + 1);
                self.policy = open.policy.clone();
                self.close(open, at_ms, Ok(self.holds));
            }
            Entry::Withdrawn(proposal, reason) => {
                let open = self.open.take_if(|open| open.proposal == *proposal)?;
                self.close(open, at_ms, Err(reason.clone()));
            }
            Entry::Without(member) => drop(self.without.insert(*member)),
            Entry::Back(member) => drop(self.without.remove(member)),
        }
        Some(entry)
    }

    fn close(&mut self, open: Open, resolved_ms: i64, outcome: Result<Revision, String>) {
        self.resolved = open.proposal;
        let Open {
            proposal,
            author,
            at_ms,
            ..
        } = open;
        self.past.push_back(Past {
            proposal,
            author,
            proposed_ms: at_ms,
            resolved_ms,
            outcome,
        });
        if self.past.len() > PAST {
            self.past.pop_front();
        }
    }

    /// The change that was proposed with this key: what became of it, or nothing yet.
    pub fn of_key(&self, key: u64) -> Option<Option<&Past>> {
        let past = self.past.iter().rev().find(|past| past.author.key == key);
        let open = self.open.as_ref().filter(|open| open.author.key == key);
        past.map(Some).or_else(|| open.map(|_| None))
    }
}

//! The state that the replicated log leads to: the policy in force, the pending change, and the outcomes of earlier ones.
//! The same entries in the same order lead to the same state at every voter; the state is also what the log of a new
//! configuration of voters begins with.
//!
//! Entries and state are stored and sent as `postcard`: neither the order of variants nor that of fields may change.

use crate::identifiers::{Author, Epoch, MemberId, Policy, ProposalId, Revision, StorageId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Resolved changes that are kept at most.
const MAX_HISTORY: usize = 256;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogEntry {
    /// A leader begins: what earlier leaders append from here on is void.
    EpochStarted(Epoch),
    /// What a leader appended.
    Leader {
        /// Which leader.
        epoch: Epoch,
        /// Its wall clock, in Unix time and milliseconds.
        unix_ms: i64,
        /// What it appended.
        entry: LeaderEntry,
    },
    /// The configuration ends here, and the next one has these voters: what follows in this log is void.
    ConfigurationEnded(BTreeMap<MemberId, StorageId>),
}

/// What a leader appends to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaderEntry {
    /// A policy is proposed to follow the one in force.
    Proposed(ProposalId, Policy, Author),
    /// The proposed policy is in force.
    InForce(ProposalId),
    /// The proposed policy never will be in force, and why.
    Withdrawn(ProposalId, String),
    /// Operators confirm that this member is stopped: changes do not wait for it.
    Excluded(MemberId),
    /// The member has requested a lease again, and counts as one that may act from now on.
    Readmitted(MemberId),
}

/// A change that has no outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// Its number.
    pub proposal: ProposalId,
    /// The proposed policy.
    pub policy: Policy,
    /// Who proposed it.
    pub author: Author,
    /// When, in Unix time and milliseconds.
    pub proposed_ms: i64,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The policy came into force as this revision.
    InForce(Revision),
    /// The change was withdrawn for this reason, which operators read.
    Withdrawn(String),
}

/// A change that has its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResolvedChange {
    /// Its number.
    pub proposal: ProposalId,
    /// Who proposed it.
    pub author: Author,
    /// When, in Unix time and milliseconds.
    pub proposed_ms: i64,
    /// When it had its outcome, in Unix time and milliseconds.
    pub resolved_ms: i64,
    /// Its outcome.
    pub outcome: ChangeOutcome,
}

/// A change that was looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownChange<'a> {
    /// It has no outcome yet.
    Pending(&'a PendingChange),
    /// It has one.
    Resolved(&'a ResolvedChange),
}

/// The state after all entries that were applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The leader whose entries count.
    pub epoch: Epoch,
    /// The revision in force; 0 is none yet.
    pub committed: Revision,
    /// The policy in force.
    pub policy: Policy,
    /// The last change that has its outcome.
    pub resolved: ProposalId,
    /// The change that has none.
    pub pending: Option<PendingChange>,
    /// Members that are stopped, as operators confirmed.
    pub excluded: BTreeSet<MemberId>,
    /// Outcomes of changes, the latest last.
    pub history: VecDeque<ResolvedChange>,
    /// Who votes, with the storage that each had when it was admitted.
    pub voters: BTreeMap<MemberId, StorageId>,
}

impl ReplicatedState {
    /// The state of an empty log of these voters; the policy of revision 0 is empty.
    pub fn new(voters: BTreeMap<MemberId, StorageId>) -> ReplicatedState {
        ReplicatedState {
            epoch: Epoch::default(),
            committed: Revision::default(),
            policy: Policy::from(&b""[..]),
            resolved: ProposalId::default(),
            pending: None,
            excluded: BTreeSet::new(),
            history: VecDeque::new(),
            voters,
        }
    }

    /// Applies the next entry of the log; returns what a leader appended if it counts. The first outcome of a change is
    /// its outcome.
    pub fn apply(&mut self, entry: LogEntry) -> Option<LeaderEntry> {
        match entry {
            LogEntry::EpochStarted(epoch) => {
                self.epoch = self.epoch.max(epoch);
                None
            }
            LogEntry::Leader {
                epoch,
                unix_ms,
                entry,
            } => (epoch == self.epoch && self.apply_leader_entry(unix_ms, &entry)).then_some(entry),
            LogEntry::ConfigurationEnded(voters) => {
                self.voters = voters;
                None
            }
        }
    }

    /// The change that was proposed with this key, if it is known.
    pub fn find_change(&self, key: u64) -> Option<KnownChange<'_>> {
        let resolved = self.history.iter().rev();
        let pending = self.pending.iter();
        resolved
            .map(KnownChange::Resolved)
            .chain(pending.map(KnownChange::Pending))
            .find(|change| change.author().key == key)
    }

    /// Applies what the current leader appended; whether it counts.
    fn apply_leader_entry(&mut self, unix_ms: i64, entry: &LeaderEntry) -> bool {
        match entry {
            LeaderEntry::Proposed(proposal, policy, author) => {
                if self.pending.is_some() || *proposal <= self.resolved {
                    return false;
                }
                self.pending = Some(PendingChange {
                    proposal: *proposal,
                    policy: policy.clone(),
                    author: author.clone(),
                    proposed_ms: unix_ms,
                });
            }
            LeaderEntry::InForce(proposal) => {
                let Some(change) = self.take_pending(*proposal) else {
                    return false;
                };
                self.committed = Revision(self.committed.0 + 1);
                self.policy = change.policy.clone();
                self.resolve(change, unix_ms, ChangeOutcome::InForce(self.committed));
            }
            LeaderEntry::Withdrawn(proposal, reason) => {
                let Some(change) = self.take_pending(*proposal) else {
                    return false;
                };
                self.resolve(change, unix_ms, ChangeOutcome::Withdrawn(reason.clone()));
            }
            LeaderEntry::Excluded(member) => {
                self.excluded.insert(*member);
            }
            LeaderEntry::Readmitted(member) => {
                self.excluded.remove(member);
            }
        }
        true
    }

    fn take_pending(&mut self, proposal: ProposalId) -> Option<PendingChange> {
        self.pending.take_if(|change| change.proposal == proposal)
    }

    fn resolve(&mut self, change: PendingChange, resolved_ms: i64, outcome: ChangeOutcome) {
        self.resolved = change.proposal;
        self.history.push_back(ResolvedChange {
            proposal: change.proposal,
            author: change.author,
            proposed_ms: change.proposed_ms,
            resolved_ms,
            outcome,
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

impl KnownChange<'_> {
    fn author(&self) -> &Author {
        match self {
            KnownChange::Pending(change) => &change.author,
            KnownChange::Resolved(change) => &change.author,
        }
    }
}

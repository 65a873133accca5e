//! The state machine that is replicated by the log: the policy in force, the pending change, and the outcomes of earlier
//! changes. Applying the same entries in the same order leads to the same state at every voter. The log of a new
//! configuration of voters starts from this state.
//!
//! Entries and state are stored and sent as `postcard`: the order of variants and fields must not change.

use crate::identifiers::{Author, Epoch, MemberId, Policy, ProposalId, Revision, StorageId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of resolved changes in the history.
const MAX_HISTORY: usize = 256;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogEntry {
    /// A leader's epoch begins. Entries of earlier leaders that follow in the log are void.
    EpochStarted(Epoch),
    /// An entry that a leader has appended.
    Leader {
        /// The leader's epoch.
        epoch: Epoch,
        /// The leader's wall clock, as Unix time in milliseconds.
        unix_ms: i64,
        /// The entry.
        entry: LeaderEntry,
    },
    /// The configuration ends, and these are the voters of the next one. Later entries of this log are void.
    ConfigurationEnded(BTreeMap<MemberId, StorageId>),
}

/// An entry that a leader appends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaderEntry {
    /// A policy is proposed to follow the one in force.
    Proposed(ProposalId, Policy, Author),
    /// The proposed policy is in force.
    InForce(ProposalId),
    /// The proposed policy will never be in force, for this reason.
    Withdrawn(ProposalId, String),
    /// An operator has confirmed that this member is stopped. Changes do not wait for it.
    Excluded(MemberId),
    /// An excluded member has requested a lease. Changes wait for it again.
    Readmitted(MemberId),
}

/// A change without an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// The number of the change.
    pub proposal: ProposalId,
    /// The proposed policy.
    pub policy: Policy,
    /// The author of the change.
    pub author: Author,
    /// Time of the proposal, as Unix time in milliseconds.
    pub proposed_ms: i64,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The policy came into force as this revision.
    InForce(Revision),
    /// The change was withdrawn for this reason, which is displayed to operators.
    Withdrawn(String),
}

/// A change with an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResolvedChange {
    /// The number of the change.
    pub proposal: ProposalId,
    /// The author of the change.
    pub author: Author,
    /// Time of the proposal, as Unix time in milliseconds.
    pub proposed_ms: i64,
    /// Time at which the outcome was appended to the log, as Unix time in milliseconds.
    pub resolved_ms: i64,
    /// The outcome.
    pub outcome: ChangeOutcome,
}

/// A change found by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownChange<'a> {
    /// The change has no outcome.
    Pending(&'a PendingChange),
    /// The change has an outcome.
    Resolved(&'a ResolvedChange),
}

/// The replicated state after applying a prefix of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The current epoch. Leaders' entries of other epochs are void.
    pub epoch: Epoch,
    /// The revision in force; 0 before the first policy.
    pub committed: Revision,
    /// The policy in force.
    pub policy: Policy,
    /// The last change with an outcome.
    pub resolved: ProposalId,
    /// The change without an outcome, if there is one.
    pub pending: Option<PendingChange>,
    /// Members that operators have confirmed to be stopped.
    pub excluded: BTreeSet<MemberId>,
    /// Recent changes with an outcome, in order of their outcomes.
    pub history: VecDeque<ResolvedChange>,
    /// The voters of the current configuration, each with the storage with which it was admitted.
    pub voters: BTreeMap<MemberId, StorageId>,
}

impl ReplicatedState {
    /// Creates the state before the first entry of these voters' log. The policy of revision 0 is empty.
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

    /// Applies the next entry of the log. Returns the leader's entry that it contains, unless that entry is void. The first
    /// outcome of a change is final.
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

    /// Looks up the change with this key.
    pub fn find_change(&self, key: u64) -> Option<KnownChange<'_>> {
        let resolved = self.history.iter().rev();
        let pending = self.pending.iter();
        resolved
            .map(KnownChange::Resolved)
            .chain(pending.map(KnownChange::Pending))
            .find(|change| change.author().key == key)
    }

    /// Applies an entry of the current leader. Returns whether the entry is valid.
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

//! The consensus library's access to a voter's persistent state. No operation fails, because the state is in memory.
//! Messages that depend on a change of the state are sent only after the file is written.

use crate::persistent_state::PersistentState;
use crate::replicated_state::LogEntry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::rc::Rc;

impl Entry for LogEntry {
    type Snapshot = NoSnapshot;
}

/// A voter's persistent state, shared with the consensus library.
#[derive(Clone)]
pub(crate) struct LogStorage {
    state: Rc<RefCell<PersistentState>>,
    /// Whether there is a change that must be on disk before messages that depend on it are sent.
    unsaved: Rc<Cell<bool>>,
}

impl LogStorage {
    /// Creates the shared access to this state.
    pub(crate) fn new(state: PersistentState) -> LogStorage {
        LogStorage {
            state: Rc::new(RefCell::new(state)),
            unsaved: Rc::default(),
        }
    }

    /// Borrows the state.
    pub(crate) fn state(&self) -> Ref<'_, PersistentState> {
        self.state.borrow()
    }

    /// Borrows the state mutably. After a change that must be on disk, [`LogStorage::mark_unsaved`] must be called.
    pub(crate) fn state_mut(&self) -> RefMut<'_, PersistentState> {
        self.state.borrow_mut()
    }

    /// Returns whether there is a change that must be on disk before messages that depend on it are sent.
    pub(crate) fn is_unsaved(&self) -> bool {
        self.unsaved.get()
    }

    /// Records that there is a change that must be written.
    pub(crate) fn mark_unsaved(&self) {
        self.unsaved.set(true);
    }

    /// Records that all changes are written.
    pub(crate) fn mark_saved(&self) {
        self.unsaved.set(false);
    }

    /// Appends an entry without the consensus library, in a group with a single voter.
    pub(crate) fn append_as_only_voter(&self, entry: LogEntry) {
        self.state_mut().log.push(entry);
        self.mark_unsaved();
    }

    fn update(&self, apply: impl FnOnce(&mut PersistentState)) -> StorageResult<()> {
        apply(&mut self.state_mut());
        self.mark_unsaved();
        Ok(())
    }
}

impl Storage<LogEntry> for LogStorage {
    fn write_atomically(&mut self, operations: Vec<StorageOp<LogEntry>>) -> StorageResult<()> {
        for operation in operations {
            match operation {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(decided) => self.set_decided_idx(decided)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                // A configuration ends with an entry of this crate, which also truncates the log. The library's own stop
                // sign is not used, because the library miscounts it if the leader changes before it is decided.
                StorageOp::SetStopsign(_) => {}
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: LogEntry) -> StorageResult<()> {
        self.update(|state| state.log.push(entry))
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) -> StorageResult<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.update(|state| state.log.extend(entries))
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<LogEntry>) -> StorageResult<()> {
        self.update(|state| {
            state.log.truncate(from);
            state.log.extend(entries);
        })
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        let unchanged = self.state().promise == Some(promise);
        if unchanged || promise == Ballot::default() {
            return Ok(());
        }
        self.update(|state| state.promise = Some(promise))
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        // This index need not be on disk, because the other voters send it again.
        self.state_mut().decided = decided;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.state().decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        if self.state().accepted_round == Some(round) {
            return Ok(());
        }
        self.update(|state| state.accepted_round = Some(round))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<LogEntry>> {
        let state = self.state();
        let entries = state.log.get(from..to);
        Ok(entries.map_or_else(Vec::new, <[LogEntry]>::to_vec))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.state().log_length())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<LogEntry>> {
        Ok(self.state().entries_from(from))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().promise)
    }

    fn set_stopsign(&mut self, _stop_sign: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

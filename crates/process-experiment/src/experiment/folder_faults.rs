//! Faults of the folders of voters.

use super::driver::{Driver, DueReversal, Reversal};
use crate::schedule::FolderFault;
use marblefall_process_harness::HarnessError;
use std::fs;
use std::path::{Path, PathBuf};

/// Bytes that are removed from a torn file.
const TORN_BYTES: usize = 5;
/// Voters of which one may lose its votes while a majority of the others remains.
const MIN_VOTERS_FOR_FOLDER_FAULT: usize = 3;

impl Driver<'_> {
    /// Whether a voter's folder may be damaged now. Only one is at a time, and only while all voters run, vote and reach
    /// each other: otherwise it could not be known what a majority has acknowledged.
    pub(super) fn may_inject_folder_fault(&self, member: usize) -> bool {
        let is_harmless = |due: &DueReversal| {
            matches!(
                due.reversal,
                Reversal::Start(_, FolderFault::None) | Reversal::Continue(_)
            )
        };
        let votes = |voter: usize| self.group.status(voter)["votes"]["takes_part"] == true;
        let mut voters = 0..self.schedule.processes.voters;
        voters.len() >= MIN_VOTERS_FOR_FOLDER_FAULT
            && self.reversals.iter().all(is_harmless)
            && self.suspended.is_empty()
            && voters.all(|voter| voter == member || votes(voter))
            && votes(member)
    }

    /// Damages the folder of a member that is down.
    pub(super) fn inject_folder_fault(
        &mut self,
        member: usize,
        fault: FolderFault,
    ) -> Result<(), HarnessError> {
        let votes = self.group.vote_file(member);
        match fault {
            FolderFault::None => Ok(()),
            FolderFault::Lost => self.lose_folder(member),
            FolderFault::Old => match self.initial_votes.get(&member) {
                Some(initial) => write(&votes, initial),
                None => Ok(()),
            },
            FolderFault::Torn => {
                let bytes = fs::read(&votes);
                let bytes = bytes.map_err(HarnessError::io(votes.display().to_string()))?;
                let torn = &bytes[..bytes.len().saturating_sub(TORN_BYTES)];
                write(&votes, torn)
            }
        }
    }

    /// Removes the group's part of a home, and founds it again. The journal stays: messages that an instance accepted are
    /// another matter than what a voter acknowledged.
    fn lose_folder(&mut self, member: usize) -> Result<(), HarnessError> {
        let home = PathBuf::from(self.group.home(member));
        // What is not there need not be removed.
        let _ = fs::remove_dir_all(home.join("group"));
        let _ = fs::remove_file(home.join("applied.json"));
        self.group.found_member(member, &self.founding_manifest)
    }
}

/// The file that a voter writes before it replaces its votes.
pub(super) fn new_vote_file(votes: &Path) -> PathBuf {
    votes.with_file_name("votes.new")
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), HarnessError> {
    fs::write(path, bytes).map_err(HarnessError::io(path.display().to_string()))
}

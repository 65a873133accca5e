//! Folder faults: loss or damage of the files of a voter that is down.

use super::driver::{Driver, DueReversal, Reversal};
use crate::schedule::FolderFault;
use marblefall_process_harness::HarnessError;
use std::fs;
use std::path::{Path, PathBuf};

/// Number of bytes that are removed from the end of a torn file.
const TORN_BYTES: usize = 5;
/// Minimum number of voters of a group for one voter to lose its votes while the other voters are still a majority.
const MIN_VOTERS_FOR_FOLDER_FAULT: usize = 3;

impl Driver<'_> {
    /// Returns whether the folder of a voter may be damaged now. At most one folder is damaged at a time, and only while
    /// all voters run, vote and can reach each other. Otherwise it could not be determined what a majority has
    /// acknowledged.
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

    /// Applies a folder fault to a member that is down.
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

    /// Removes the files of the group from a home and founds the group there again. The journal stays, because the fault
    /// is the loss of what a voter has acknowledged, not of messages that an instance has accepted.
    fn lose_folder(&mut self, member: usize) -> Result<(), HarnessError> {
        let home = PathBuf::from(self.group.home(member));
        // The folder and the file may not exist.
        let _ = fs::remove_dir_all(home.join("group"));
        let _ = fs::remove_file(home.join("applied.json"));
        self.group.found_member(member, &self.founding_manifest)
    }
}

/// Returns the path of the temporary file that a voter writes before it replaces its votes.
pub(super) fn new_vote_file(votes: &Path) -> PathBuf {
    votes.with_file_name("votes.new")
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), HarnessError> {
    fs::write(path, bytes).map_err(HarnessError::io(path.display().to_string()))
}

//! The file that contains the persistent state of the member's voter.

use crate::group::{group_file, read_if_present, GroupError, Membership, VOTER_STATE_FILE};
use crate::manifest::name_hash;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use marblefall_coordination::identifiers::StorageId;
use marblefall_coordination::persistent_state::PersistentState;
use marblefall_delivery::log_line;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The extension to which a state file is renamed if it cannot be decoded.
const UNREADABLE_EXTENSION: &str = "unreadable";

/// The file that contains the persistent state of the member's voter.
pub(super) struct VoterStateFile {
    path: PathBuf,
    /// Whether the last write failed.
    last_write_failed: bool,
}

impl VoterStateFile {
    /// Refers to the file in a home. The file need not exist.
    pub fn new(home: &Path) -> VoterStateFile {
        VoterStateFile {
            path: group_file(home, VOTER_STATE_FILE),
            last_write_failed: false,
        }
    }

    /// Reads the state of a member's voter; `None` if the member does not vote. If the file does not exist or cannot be
    /// decoded, returns the state of a new storage. The group then admits the voter as a new one.
    ///
    /// # Errors
    /// The file exists but cannot be read.
    pub fn read(
        &self,
        membership: &Membership,
        new_storage: StorageId,
    ) -> Result<Option<PersistentState>, GroupError> {
        let (group, name) = (&membership.group, &membership.name);
        if !group.members[name].votes {
            return Ok(None);
        }
        let owner = name_hash(&format!("{}/{name}", group.name));
        let new = || PersistentState::new(owner, new_storage);
        let Some(bytes) = read_if_present(&self.path)? else {
            return Ok(Some(new()));
        };
        let state = PersistentState::decode(&bytes, owner).unwrap_or_else(|error| {
            log_line!(
                code = "voter-state-unreadable",
                "{}: {error}; this voter requests admission as a new one",
                self.path.display()
            );
            // The file is preserved for analysis. If it cannot be renamed, the next write replaces it.
            let _ = fs::rename(&self.path, self.path.with_extension(UNREADABLE_EXTENSION));
            new()
        });
        Ok(Some(state))
    }

    /// Replaces the file and returns whether the state is on disk. Of several failures in a row only the first is logged.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        match replace_in_folder(&self.path, bytes) {
            Ok(()) => {
                if std::mem::take(&mut self.last_write_failed) {
                    log_line!(
                        code = "voter-state-written",
                        "the voter's state can be written again"
                    );
                }
                true
            }
            Err(error) => {
                if !std::mem::replace(&mut self.last_write_failed, true) {
                    log_line!(
                        code = "voter-state-not-written",
                        "{}: {error}; this voter sends nothing until it can be written",
                        self.path.display()
                    );
                }
                false
            }
        }
    }
}

/// Replaces a file, and creates its folder if it does not exist.
fn replace_in_folder(path: &Path, bytes: &[u8]) -> io::Result<()> {
    if let Some(folder) = path.parent() {
        LocalDisk.create_folder(folder)?;
    }
    replace(&LocalDisk, path, bytes, Durability::PowerLoss)
}

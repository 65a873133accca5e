//! The status file, which contains the state of all endpoint lists after the last scan. The operators' commands read it.
//! `#[serde(rename)]` preserves its keys.

use super::LISTS_FOLDER;
use crate::json_file::{self, JsonFileError};
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the status file in the folder of the last good lists.
const STATUS_FILE: &str = "status.json";

/// The state of an endpoint list's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum FileState {
    /// The file's list is in force.
    InForce,
    /// The file's list is invalid. The last good list stays in force.
    #[serde(rename = "refused")]
    Rejected {
        /// Report for operators with the location of the fault, its description and a remedy.
        report: String,
    },
    /// The file cannot be read.
    Unreadable {
        /// Description of the error, for operators.
        cause: String,
    },
    /// The file does not exist. Its last good list stays in force.
    Missing,
}

/// The state of an endpoint list's file, and the revision of its list in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileStatus {
    /// The file's state.
    #[serde(flatten)]
    pub state: FileState,
    /// The revision of the file's list in force; `None` if no list of the file is in force.
    pub revision: Option<u64>,
}

/// The state of all endpoint lists after the last scan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The endpoint lists' files by name.
    pub files: BTreeMap<String, FileStatus>,
    /// Destinations that have no endpoints in the manifest and are not in any list in force. Nothing is sent to them.
    pub unlisted: Vec<String>,
}

impl ListStatus {
    /// Returns the path of the status file in the folder of the last good lists.
    pub(super) fn path(folder: &Path) -> PathBuf {
        folder.join(STATUS_FILE)
    }

    /// Reads the status that the home's watcher wrote last. Returns an empty status if no watcher has run yet.
    ///
    /// # Errors
    /// The file cannot be read, or is not a valid status file.
    pub fn read(home: &Path) -> Result<ListStatus, JsonFileError> {
        json_file::read_or_default(&ListStatus::path(&home.join(LISTS_FOLDER)))
    }

    /// Replaces the status file, and creates its folder if it does not exist.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        LocalDisk.create_folder(path.parent().unwrap_or(Path::new(".")))?;
        let text = serde_json::to_vec_pretty(self)?;
        replace(&LocalDisk, path, &text, Durability::ProcessDeath)
    }
}

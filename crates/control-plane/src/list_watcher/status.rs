//! The state of all endpoint lists after the last scan, as a file that the operators' commands read. `#[serde(rename)]`
//! keeps its keys.

use super::LISTS_FOLDER;
use crate::json_file::{self, JsonFileError};
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// The status file's name in the lists' folder.
const STATUS_FILE: &str = "status.json";

/// The state of an endpoint list's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum FileState {
    /// Its list is in force.
    InForce,
    /// Its list is invalid; the last good one stays in force.
    #[serde(rename = "refused")]
    Rejected {
        /// The report for operators: place, fault and remedy.
        report: String,
    },
    /// It cannot be read.
    Unreadable {
        /// The cause, for operators.
        cause: String,
    },
    /// It does not exist; its last good list stays in force.
    Missing,
}

/// The state of an endpoint list's file, and its list in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileStatus {
    /// The file's state.
    #[serde(flatten)]
    pub state: FileState,
    /// The revision of its list in force, if there is one.
    pub revision: Option<u64>,
}

/// The state of all endpoint lists after the last scan.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The endpoint lists' files by name.
    pub files: BTreeMap<String, FileStatus>,
    /// Destinations without endpoints in the manifest that no list in force names. Nothing is sent to them.
    pub unlisted: Vec<String>,
}

impl ListStatus {
    /// The path of the status file in the lists' folder.
    pub(super) fn path(folder: &Path) -> PathBuf {
        folder.join(STATUS_FILE)
    }

    /// Reads the status that the watcher of this home last wrote; an empty status where no watcher has run yet.
    ///
    /// # Errors
    /// The file cannot be read, or is not a status.
    pub fn read(home: &Path) -> Result<ListStatus, JsonFileError> {
        json_file::read_or_default(&ListStatus::path(&home.join(LISTS_FOLDER)))
    }

    /// Replaces the file.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        LocalDisk.create_folder(path.parent().unwrap_or(Path::new(".")))?;
        let text = serde_json::to_vec_pretty(self)?;
        replace(&LocalDisk, path, &text, Durability::ProcessDeath)
    }
}

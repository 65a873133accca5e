//! What the watcher last found, as a file for those who show it. Its names are those of earlier versions.

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
    /// What it says is in force.
    InForce,
    /// It is wrong; what was in force before still is.
    #[serde(rename = "refused")]
    Rejected {
        /// Where, what and what to do, for people.
        report: String,
    },
    /// It cannot be read.
    Unreadable {
        /// Why.
        cause: String,
    },
    /// It is not there.
    Missing,
}

/// What operators are shown of an endpoint list's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileStatus {
    /// The file's state.
    #[serde(flatten)]
    pub state: FileState,
    /// The revision in force of what it said, if any is.
    pub revision: Option<u64>,
}

/// What the watcher last found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The endpoint lists' files by name.
    pub files: BTreeMap<String, FileStatus>,
    /// Destinations without endpoints in the manifest that no list in force names: they are served nothing.
    pub unlisted: Vec<String>,
}

impl ListStatus {
    /// Where the status of a lists' folder is.
    pub(super) fn path(folder: &Path) -> PathBuf {
        folder.join(STATUS_FILE)
    }

    /// Reads what a watcher of this home last wrote; an empty status where none has run yet.
    ///
    /// # Errors
    /// Where the file cannot be read, or holds something else.
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

//! Plan and apply. A plan is the change from the applied manifest to an operator's manifest. It is applied atomically, or
//! rejected as stale if another change was applied after the plan was made.

mod changes;

use crate::json_file::{self, JsonFileError};
use crate::manifest::Manifest;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The file in a home that contains the applied manifest.
pub const APPLIED_FILE: &str = "applied.json";
/// The file that is locked while a plan is applied.
const LOCK_FILE: &str = "lock";

/// Why a plan is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another change was applied after the plan was made.
    #[error("the plan is stale: it was made against revision {base}, applied is revision {applied}; plan again")]
    Stale {
        /// The revision that the plan was made against.
        base: u64,
        /// The revision that is applied.
        applied: u64,
    },
    /// The applied manifest cannot be read.
    #[error(transparent)]
    Applied(#[from] JsonFileError),
    /// The home cannot be written to.
    #[error("{}: {source}", home.display())]
    Home {
        /// The home folder.
        home: PathBuf,
        /// Why.
        source: io::Error,
    },
}

/// The applied manifest and its revision, as stored. `#[serde(rename)]` keeps the keys of earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Grows by one with each apply.
    pub revision: u64,
    /// The manifest.
    #[serde(rename = "fleet")]
    pub manifest: Manifest,
}

impl Applied {
    /// Reads the applied manifest of a home; an empty manifest of revision 0 if none is applied.
    ///
    /// # Errors
    /// The file cannot be read, or has other content.
    pub fn read(home: &Path) -> Result<Applied, JsonFileError> {
        json_file::read_or_default(&home.join(APPLIED_FILE))
    }

    /// Replaces the applied manifest of a home.
    pub(crate) fn write(&self, home: &Path) -> io::Result<()> {
        let text = serde_json::to_vec_pretty(self)?;
        replace(
            &LocalDisk,
            &home.join(APPLIED_FILE),
            &text,
            Durability::PowerLoss,
        )
    }
}

/// A change from the applied manifest to another one. Displayed, it lists the changed entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The applied manifest when the plan was made.
    pub base: Applied,
    /// The manifest to apply.
    pub target: Manifest,
}

impl Plan {
    /// The change from the applied manifest to `target`.
    pub fn new(base: Applied, target: Manifest) -> Plan {
        Plan { base, target }
    }

    /// Whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.base.manifest == self.target
    }

    /// Applies the plan atomically.
    ///
    /// # Errors
    /// The plan is stale, or the home cannot be read or written to.
    pub fn apply(&self, home: &Path) -> Result<Applied, ApplyError> {
        let home_error = |source| ApplyError::Home {
            home: home.to_owned(),
            source,
        };
        fs::create_dir_all(home).map_err(home_error)?;
        // Of two operators who apply at the same time, the second must see the first one's change.
        let lock = File::create(home.join(LOCK_FILE)).map_err(home_error)?;
        lock.lock().map_err(home_error)?;
        let current = Applied::read(home)?;
        if current != self.base {
            return Err(ApplyError::Stale {
                base: self.base.revision,
                applied: current.revision,
            });
        }
        let applied = Applied {
            revision: current.revision + 1,
            manifest: self.target.clone(),
        };
        applied.write(home).map_err(home_error)?;
        Ok(applied)
    }
}

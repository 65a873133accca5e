//! Plan and apply: what an operator's manifest would change against what is applied, kept as a plan. A plan is then
//! applied as it is, at once and whole, or rejected as stale if something else was applied since.

mod changes;

use crate::json_file::{self, JsonFileError};
use crate::manifest::Manifest;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The file in a home that holds what is applied.
pub const APPLIED_FILE: &str = "applied.json";
/// Locked for as long as a plan is applied.
const LOCK_FILE: &str = "lock";

/// Why a plan is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Something else was applied since.
    #[error("the plan is stale: it was made against revision {base}, applied is revision {applied}; plan again")]
    Stale {
        /// The revision that the plan was made against.
        base: u64,
        /// The revision that is applied.
        applied: u64,
    },
    /// What is applied cannot be read.
    #[error(transparent)]
    Applied(#[from] JsonFileError),
    /// It cannot be written.
    #[error("{0}")]
    Encode(#[from] serde_json::Error),
    /// The home cannot be written to.
    #[error("{}: {source}", home.display())]
    Home {
        /// The home folder.
        home: PathBuf,
        /// Why.
        source: io::Error,
    },
}

/// What is applied: the manifest and how many applies led to it. Stored; its names are those of earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Grows by one with each apply.
    pub revision: u64,
    /// The manifest.
    #[serde(rename = "fleet")]
    pub manifest: Manifest,
}

impl Applied {
    /// Reads what is applied in a home; an empty manifest of revision 0 where nothing is.
    ///
    /// # Errors
    /// Where the file cannot be read, or holds something else.
    pub fn read(home: &Path) -> Result<Applied, JsonFileError> {
        json_file::read_or_default(&home.join(APPLIED_FILE))
    }
}

/// A change that was worked out, with what it was worked out against. Shown, it lists the changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What was applied when it was made.
    pub base: Applied,
    /// What will be.
    pub target: Manifest,
}

impl Plan {
    /// What leads from what is applied to a manifest.
    pub fn new(base: Applied, target: Manifest) -> Plan {
        Plan { base, target }
    }

    /// Whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.base.manifest == self.target
    }

    /// Puts the plan in force. Readers see what was applied before or all of the plan, never a part.
    ///
    /// # Errors
    /// Where the plan is stale, or the home cannot be read or written to.
    pub fn apply(&self, home: &Path) -> Result<Applied, ApplyError> {
        let home_error = |source| ApplyError::Home {
            home: home.to_owned(),
            source,
        };
        fs::create_dir_all(home).map_err(home_error)?;
        // Of two operators who apply at once, the second must see what the first applied.
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
        let text = serde_json::to_vec_pretty(&applied)?;
        replace(
            &LocalDisk,
            &home.join(APPLIED_FILE),
            &text,
            Durability::PowerLoss,
        )
        .map_err(home_error)?;
        Ok(applied)
    }
}

//! Planning and applying changes. A plan is the change from the applied manifest to an operator's manifest. It is applied
//! atomically, or rejected as stale if another change was applied after the plan was made.

mod changes;

use crate::json_file::{self, JsonFileError};
use crate::manifest::Manifest;
use crate::removed_instances;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Name of the file in a home that contains the applied manifest.
pub const APPLIED_FILE: &str = "applied.json";
/// Name of the file that is locked while a plan is applied.
const LOCK_FILE: &str = "lock";

/// An error that prevents a plan from being applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another change was applied after the plan was made.
    #[error("the plan is stale: it was made against revision {base}, but revision {applied} is applied; plan again")]
    Stale {
        /// The revision on which the plan is based.
        base: u64,
        /// The currently applied revision.
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
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The applied manifest and its revision, as stored. `#[serde(rename)]` preserves the keys that earlier versions wrote.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// The revision, which increases by one with each applied plan.
    pub revision: u64,
    /// The applied manifest.
    #[serde(rename = "fleet")]
    pub manifest: Manifest,
}

impl Applied {
    /// Reads the applied manifest of a home. Returns an empty manifest with revision 0 if none is applied.
    ///
    /// # Errors
    /// The file cannot be read, or is not a valid applied manifest.
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

/// Locks a home against plans, if no plan is being applied and `revision` is still applied. The lock is released when the file
/// is dropped.
pub(crate) fn try_lock_revision(home: &Path, revision: u64) -> Result<Option<File>, ApplyError> {
    let home_error = |source| ApplyError::Home {
        home: home.to_owned(),
        source,
    };
    let lock = File::create(home.join(LOCK_FILE)).map_err(home_error)?;
    match lock.try_lock() {
        Ok(()) => Ok((Applied::read(home)?.revision == revision).then_some(lock)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(home_error(error)),
    }
}

/// The change from the applied manifest to another one. Its `Display` output lists the changed entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The manifest that was applied when the plan was made.
    pub base: Applied,
    /// The manifest to apply.
    pub target: Manifest,
}

impl Plan {
    /// Creates the plan that changes the applied manifest `base` to `target`.
    pub fn new(base: Applied, target: Manifest) -> Plan {
        Plan { base, target }
    }

    /// Returns whether the plan changes nothing.
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
        // Serializes concurrent applies: the second operator's plan must be compared with the first one's result.
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
        // Stored first: if this process ends in between, the files concern declared instances and have no effect.
        let runs_here =
            |manifest: &Manifest, instance: &str| manifest.instances.contains_key(instance);
        removed_instances::store(home, &current.manifest, &self.target, runs_here)
            .map_err(home_error)?;
        applied.write(home).map_err(home_error)?;
        Ok(applied)
    }
}

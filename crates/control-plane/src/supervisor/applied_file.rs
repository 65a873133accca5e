//! The applied manifest's file, which is read again when it has changed.

use crate::endpoint_directory::CompactApplied;
use crate::json_file::JsonFileError;
use crate::plan::APPLIED_FILE;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The applied manifest's file in a home.
pub(super) struct AppliedFile {
    home: PathBuf,
    /// What was read before the supervisor started, until its first round.
    preloaded: Option<Preloaded>,
    /// The modification time at the last read; `None` to read the file again in any case.
    last_modified: Option<SystemTime>,
}

struct Preloaded {
    modified: Option<SystemTime>,
    applied: CompactApplied,
}

impl AppliedFile {
    /// Reads the file of a home. The first [`AppliedFile::read_if_changed`] returns this content, unless the file has
    /// changed by then.
    ///
    /// # Errors
    /// The file cannot be read, or has other content.
    pub fn preload(home: &Path) -> Result<AppliedFile, JsonFileError> {
        let preloaded = Preloaded {
            modified: modification_time(home),
            applied: CompactApplied::read(home)?,
        };
        Ok(AppliedFile {
            home: home.to_owned(),
            preloaded: Some(preloaded),
            last_modified: None,
        })
    }

    /// Reads the file at the next call of [`AppliedFile::read_if_changed`], even if its modification time is the same.
    pub fn invalidate(&mut self) {
        self.last_modified = None;
    }

    /// Reads the file if it has changed since it was last read.
    pub fn read_if_changed(&mut self) -> Option<Result<CompactApplied, JsonFileError>> {
        let modified = modification_time(&self.home);
        if modified == self.last_modified {
            return None;
        }
        self.last_modified = modified;
        let preloaded = self.preloaded.take();
        let result = match preloaded.filter(|preloaded| preloaded.modified == modified) {
            Some(preloaded) => Ok(preloaded.applied),
            None => CompactApplied::read(&self.home),
        };
        if matches!(result, Err(JsonFileError::Read { .. })) {
            // The failure may pass without another change of the file.
            self.invalidate();
        }
        Some(result)
    }
}

/// The modification time of the applied manifest's file; `None` if it does not exist.
fn modification_time(home: &Path) -> Option<SystemTime> {
    fs::metadata(home.join(APPLIED_FILE))
        .and_then(|file| file.modified())
        .ok()
}

//! The file of the applied manifest, which is reloaded when it has changed.

use crate::endpoint_directory::CompactApplied;
use crate::json_file::JsonFileError;
use crate::plan::APPLIED_FILE;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file of the applied manifest in a home.
pub(super) struct AppliedFile {
    home: PathBuf,
    /// Content that was read before the supervisor started; `None` after its first round.
    preloaded: Option<Preloaded>,
    /// Modification time at the last read; `None` if the file must be read regardless of its modification time.
    last_modified: Option<SystemTime>,
}

struct Preloaded {
    modified: Option<SystemTime>,
    applied: CompactApplied,
}

impl AppliedFile {
    /// Reads the file of a home. The first call of [`AppliedFile::read_if_changed`] returns this content, unless the file
    /// has changed in the meantime.
    ///
    /// # Errors
    /// The file cannot be read, or is not a valid applied manifest.
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

    /// Makes the next call of [`AppliedFile::read_if_changed`] read the file, even if its modification time is unchanged.
    pub fn invalidate(&mut self) {
        self.last_modified = None;
    }

    /// Reads the file if it has changed since the last read; `None` if it has not.
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
            // The error may be transient and disappear without a change of the file.
            self.invalidate();
        }
        Some(result)
    }
}

/// Returns the modification time of the file, or `None` if it cannot be determined.
fn modification_time(home: &Path) -> Option<SystemTime> {
    fs::metadata(home.join(APPLIED_FILE))
        .and_then(|file| file.modified())
        .ok()
}

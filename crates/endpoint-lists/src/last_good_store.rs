//! Byte-for-byte copies of the last good lists on disk. A restarted process can use them even if the operators' file is
//! invalid or missing by then.

use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// File name extension of stored lists.
const EXTENSION: &str = "good";

/// A list could not be stored, removed or read back.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct StoreError {
    /// Path of the file or folder.
    pub path: PathBuf,
    /// The error of the operating system.
    #[source]
    pub cause: io::Error,
}

/// A stored list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredList {
    /// Name of the operators' file.
    pub file: String,
    /// Content of the operators' file when its list was stored.
    pub bytes: Vec<u8>,
}

/// A folder that stores the last good lists.
#[derive(Clone, Debug)]
pub struct LastGoodStore(PathBuf);

impl LastGoodStore {
    /// Creates a store in a folder. The folder is created when the first list is stored.
    pub fn at(folder: &Path) -> LastGoodStore {
        LastGoodStore(folder.to_owned())
    }

    /// Replaces the stored list of a file atomically. The new list is guaranteed to survive a loss of power only after
    /// [`LastGoodStore::sync`]; callers need not delay traffic until then.
    ///
    /// # Errors
    /// The folder cannot be created, or the list cannot be written.
    pub fn write(&self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.path_of(file);
        let written = LocalDisk
            .create_folder(&self.0)
            .and_then(|()| replace(&LocalDisk, &path, bytes, Durability::Atomic));
        written.map_err(|cause| StoreError { path, cause })
    }

    /// Syncs the folder: replacements and removals survive a loss of power once this returns.
    ///
    /// # Errors
    /// The folder cannot be synced.
    pub fn sync(&self) -> Result<(), StoreError> {
        LocalDisk.sync_folder(&self.0).map_err(|cause| StoreError {
            path: self.0.clone(),
            cause,
        })
    }

    /// Removes the stored list of a file, if any.
    ///
    /// # Errors
    /// The stored list cannot be removed.
    pub fn remove(&self, file: &str) -> Result<(), StoreError> {
        let path = self.path_of(file);
        match fs::remove_file(&path) {
            Err(cause) if cause.kind() != io::ErrorKind::NotFound => {
                Err(StoreError { path, cause })
            }
            _ => Ok(()),
        }
    }

    /// Reads all stored lists, sorted by file name. Temporary files that a crashed process left behind are ignored.
    ///
    /// # Errors
    /// The folder or a list cannot be read.
    pub fn read(&self) -> Result<Vec<StoredList>, StoreError> {
        let store_error = |path: &Path| {
            let path = path.to_owned();
            move |cause| StoreError { path, cause }
        };
        let entries = match fs::read_dir(&self.0) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries.map_err(store_error(&self.0))?,
        };
        let mut stored = Vec::new();
        for entry in entries {
            let path = entry.map_err(store_error(&self.0))?.path();
            if let Some(file) = source_file_name(&path) {
                let bytes = fs::read(&path).map_err(store_error(&path))?;
                stored.push(StoredList {
                    file: file.to_owned(),
                    bytes,
                });
            }
        }
        stored.sort();
        Ok(stored)
    }

    fn path_of(&self, file: &str) -> PathBuf {
        self.0.join(format!("{file}.{EXTENSION}"))
    }
}

/// Returns the name of the operators' file whose list is stored at a path; `None` if the path is not that of a stored list.
fn source_file_name(path: &Path) -> Option<&str> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(EXTENSION)?.strip_suffix('.')
}

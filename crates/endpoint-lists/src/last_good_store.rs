//! Copies of the last good lists on disk, byte for byte. They survive the process, even if the operators' file is invalid
//! or missing when it starts again.

use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The extension of stored lists.
const EXTENSION: &str = "good";

/// A list could not be stored, removed or read back.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct StoreError {
    /// The file or folder.
    pub path: PathBuf,
    /// The system's error.
    #[source]
    pub cause: io::Error,
}

/// A stored list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredList {
    /// The name of the operators' file.
    pub file: String,
    /// The content of the file when its list was stored.
    pub bytes: Vec<u8>,
}

/// A folder of last good lists.
#[derive(Clone, Debug)]
pub struct LastGoodStore(PathBuf);

impl LastGoodStore {
    /// The store in a folder, which is created with the first list.
    pub fn at(folder: &Path) -> LastGoodStore {
        LastGoodStore(folder.to_owned())
    }

    /// Replaces the list of a file atomically. Only after [`LastGoodStore::sync`] is the new one sure to survive a loss of
    /// power; callers need not delay traffic for that.
    ///
    /// # Errors
    /// The list cannot be written.
    pub fn write(&self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.path_of(file);
        let written = LocalDisk
            .create_folder(&self.0)
            .and_then(|()| replace(&LocalDisk, &path, bytes, Durability::Atomic));
        written.map_err(|cause| StoreError { path, cause })
    }

    /// Returns once replaced and removed lists survive a loss of power.
    ///
    /// # Errors
    /// The folder cannot be synced.
    pub fn sync(&self) -> Result<(), StoreError> {
        LocalDisk.sync_folder(&self.0).map_err(|cause| StoreError {
            path: self.0.clone(),
            cause,
        })
    }

    /// Removes the list of a file.
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

    /// All stored lists, by file name. Incomplete files of a process that crashed are ignored.
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

/// The name of the operators' file whose list is stored at a path; `None` for other paths.
fn source_file_name(path: &Path) -> Option<&str> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(EXTENSION)?.strip_suffix('.')
}

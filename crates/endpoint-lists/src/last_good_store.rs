//! The last good lists on disk, byte for byte as they were found good: they survive the process, also where the file itself
//! is bad or missing by then.

use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A list that cannot be stored or read back.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct StoreError {
    /// The file.
    pub path: PathBuf,
    /// The cause.
    #[source]
    pub cause: io::Error,
}

/// A folder of last good lists.
#[derive(Clone, Debug)]
pub struct LastGoodStore(PathBuf);

/// The extension of stored lists.
const EXTENSION: &str = "good";

impl LastGoodStore {
    /// The lists in a folder, which is created with the first list.
    pub fn at(folder: &Path) -> LastGoodStore {
        LastGoodStore(folder.to_owned())
    }

    /// Replaces a list: at every moment of a crash the old or the new one is there whole. Which one a loss of power leaves is
    /// sure after [`LastGoodStore::sync`]: a disk may take its time for that, and traffic must not wait.
    ///
    /// # Errors
    /// The disk does not take it.
    pub fn write(&self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.0.join(format!("{file}.{EXTENSION}"));
        let written = LocalDisk
            .create_folder(&self.0)
            .and_then(|()| replace(&LocalDisk, &path, bytes, Durability::Atomic));
        written.map_err(|cause| StoreError { path, cause })
    }

    /// Returns once what was replaced or removed stays so through a loss of power.
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
        let path = self.0.join(format!("{file}.{EXTENSION}"));
        match fs::remove_file(&path) {
            Err(cause) if cause.kind() != io::ErrorKind::NotFound => {
                Err(StoreError { path, cause })
            }
            _ => Ok(()),
        }
    }

    /// All stored lists, by file name. What was still being written when a process died is ignored.
    ///
    /// # Errors
    /// The folder or a list cannot be read.
    pub fn read(&self) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
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
            let name = path
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or_default();
            if let Some(file) = name.strip_suffix(&format!(".{EXTENSION}")) {
                stored.push((
                    file.to_owned(),
                    fs::read(&path).map_err(store_error(&path))?,
                ));
            }
        }
        stored.sort();
        Ok(stored)
    }
}

//! The last good lists on disk, byte for byte as they were found good: they outlast the process, also where the
//! file itself is bad or missing by then.

use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What cannot be kept or read back.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct KeepError {
    /// The file.
    pub path: PathBuf,
    /// Why.
    pub cause: io::Error,
}

/// A folder of last good lists.
#[derive(Clone, Debug)]
pub struct Keep(PathBuf);

const GOOD: &str = "good";

impl Keep {
    /// The one in a folder, which is made with the first list.
    pub fn at(folder: &Path) -> Keep {
        Keep(folder.to_owned())
    }

    /// Puts a list in the place of the earlier one: at every moment of a crash one of the two is there whole. Which one
    /// a loss of power leaves is sure after [`Keep::settle`]: a disk may take its time for that, and traffic must not.
    pub fn write(&self, file: &str, bytes: &[u8]) -> Result<(), KeepError> {
        let path = self.0.join(format!("{file}.{GOOD}"));
        let written = LocalDisk
            .create_folder(&self.0)
            .and_then(|()| replace(&LocalDisk, &path, bytes, Durability::Atomic));
        written.map_err(|cause| KeepError { path, cause })
    }

    /// Returns once what was put in place or forgotten stays so through a loss of power.
    pub fn settle(&self) -> Result<(), KeepError> {
        LocalDisk.sync_folder(&self.0).map_err(|cause| KeepError {
            path: self.0.clone(),
            cause,
        })
    }

    /// Forgets the list of a file.
    pub fn remove(&self, file: &str) -> Result<(), KeepError> {
        let path = self.0.join(format!("{file}.{GOOD}"));
        match fs::remove_file(&path) {
            Err(cause) if cause.kind() != io::ErrorKind::NotFound => Err(KeepError { path, cause }),
            _ => Ok(()),
        }
    }

    /// All lists that are kept, by file name. What was still being written when a process died is passed over.
    pub fn read(&self) -> Result<Vec<(String, Vec<u8>)>, KeepError> {
        let fault = |path: &Path| {
            let path = path.to_owned();
            move |cause| KeepError { path, cause }
        };
        let entries = match fs::read_dir(&self.0) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries.map_err(fault(&self.0))?,
        };
        let mut kept = Vec::new();
        for entry in entries {
            let path = entry.map_err(fault(&self.0))?.path();
            let name = path
                .file_name()
                .and_then(|name| name.to_str())
                .unwrap_or_default();
            if let Some(file) = name.strip_suffix(&format!(".{GOOD}")) {
                kept.push((file.to_owned(), fs::read(&path).map_err(fault(&path))?));
            }
        }
        kept.sort();
        Ok(kept)
    }
}

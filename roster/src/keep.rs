//! The last good lists on disk, byte for byte as they were found good: they outlast the process, also where the
//! file itself is bad or missing by then.

use std::fs::{self, File};
use std::io::{self, Write};
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

const NEW: &str = "new";
const GOOD: &str = "good";

impl Keep {
    /// The one in a folder, which is made with the first list.
    pub fn at(folder: &Path) -> Keep {
        Keep(folder.to_owned())
    }

    /// Writes a list beside the earlier one, makes sure of it, and renames it over: at every moment of a crash one
    /// of the two is there whole.
    pub fn write(&self, file: &str, bytes: &[u8]) -> Result<(), KeepError> {
        let path = self.0.join(format!("{file}.{GOOD}"));
        let fault = |cause| KeepError { path: path.clone(), cause };
        fs::create_dir_all(&self.0).map_err(fault)?;
        let beside = self.0.join(format!("{file}.{NEW}"));
        let mut new = File::create(&beside).map_err(fault)?;
        new.write_all(bytes).and_then(|()| new.sync_all()).map_err(fault)?;
        fs::rename(&beside, &path).map_err(fault)?;
        // The rename itself is on disk only with its folder.
        File::open(&self.0).and_then(|folder| folder.sync_all()).map_err(fault)
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
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if let Some(file) = name.strip_suffix(&format!(".{GOOD}")) {
                kept.push((file.to_owned(), fs::read(&path).map_err(fault(&path))?));
            }
        }
        kept.sort();
        Ok(kept)
    }
}

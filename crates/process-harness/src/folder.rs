//! Temporary folders.

use crate::HarnessError;
use std::fs;
use std::path::{Path, PathBuf};

/// A file system in memory, where the machine has one.
const MEMORY_FILE_SYSTEM: &str = "/dev/shm";

/// A folder of this process, removed when it is dropped.
#[derive(Debug)]
pub struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates an empty folder.
    ///
    /// # Errors
    /// It cannot be created.
    pub fn new(name: &str) -> Result<TemporaryFolder, HarnessError> {
        TemporaryFolder::under(&std::env::temp_dir(), name)
    }

    /// Creates an empty folder in memory, where no sync of a disk delays a process, if the machine has such a place.
    ///
    /// # Errors
    /// It cannot be created.
    pub fn in_memory(name: &str) -> Result<TemporaryFolder, HarnessError> {
        let memory = Path::new(MEMORY_FILE_SYSTEM);
        if memory.is_dir() {
            TemporaryFolder::under(memory, name)
        } else {
            TemporaryFolder::new(name)
        }
    }

    fn under(root: &Path, name: &str) -> Result<TemporaryFolder, HarnessError> {
        let path = root.join(format!("marblefall-{}-{name}", std::process::id()));
        // An earlier process with this id may have left one behind.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).map_err(HarnessError::io(path.display().to_string()))?;
        Ok(TemporaryFolder { path })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file in it, and returns its path.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, HarnessError> {
        let path = self.path.join(name);
        fs::write(&path, text).map_err(HarnessError::io(path.display().to_string()))?;
        Ok(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // What cannot be removed stays in the machine's folder for temporary files.
        let _ = fs::remove_dir_all(&self.path);
    }
}

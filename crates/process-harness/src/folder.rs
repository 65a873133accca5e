//! Temporary folders of tests.

use crate::HarnessError;
use std::fs;
use std::path::{Path, PathBuf};

/// The mount point of a file system in memory, on machines that have one.
const MEMORY_FILE_SYSTEM: &str = "/dev/shm";

/// A temporary folder of the test process. It is removed on drop.
#[derive(Debug)]
pub struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates an empty folder in the system's folder for temporary files.
    ///
    /// # Errors
    /// The folder cannot be created.
    pub fn new(name: &str) -> Result<TemporaryFolder, HarnessError> {
        TemporaryFolder::under(&std::env::temp_dir(), name)
    }

    /// Creates an empty folder in memory, where syncs to disk do not delay the process under test. On a machine without
    /// a file system in memory, the same as [`new`](TemporaryFolder::new).
    ///
    /// # Errors
    /// The folder cannot be created.
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
        // An earlier process with the same id may have left this folder behind.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).map_err(HarnessError::io(path.display().to_string()))?;
        Ok(TemporaryFolder { path })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file in the folder and returns the path of the file.
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
        // A failure only leaves files behind in a folder for temporary files.
        let _ = fs::remove_dir_all(&self.path);
    }
}

//! Reading of stored JSON files. A file that does not exist yet is read as the default value.

use serde::de::DeserializeOwned;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// An error of reading a stored file.
#[derive(Debug, thiserror::Error)]
pub enum JsonFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading the file.
        source: io::Error,
    },
    /// The content of the file is not valid.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The path of the file.
        path: PathBuf,
        /// The fault and its position.
        source: serde_json::Error,
    },
}

/// Reads a file. Returns the default value if the file does not exist.
pub(crate) fn read_or_default<T>(path: &Path) -> Result<T, JsonFileError>
where
    T: DeserializeOwned + Default,
{
    match read(path) {
        Err(JsonFileError::Read { source, .. }) if source.kind() == io::ErrorKind::NotFound => {
            Ok(T::default())
        }
        result => result,
    }
}

/// Reads a file that must exist.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, JsonFileError> {
    let text = fs::read(path).map_err(|source| JsonFileError::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| JsonFileError::Parse {
        path: path.to_owned(),
        source,
    })
}

//! Stored JSON files, whose absence means that nothing is stored yet.

use serde::de::DeserializeOwned;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Why a stored file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JsonFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file has other content.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The fault and its position.
        source: serde_json::Error,
    },
}

/// Reads a file; the default value if it does not exist.
pub(crate) fn read_or_default<T>(path: &Path) -> Result<T, JsonFileError>
where
    T: DeserializeOwned + Default,
{
    match fs::read(path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|source| JsonFileError::Parse {
            path: path.to_owned(),
            source,
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(T::default()),
        Err(source) => Err(JsonFileError::Read {
            path: path.to_owned(),
            source,
        }),
    }
}

//! Errors that prevent an instance from running.

use super::platform_config::ConfigError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

/// An error that prevents an instance from running.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address in the configuration cannot be parsed.
    #[error("invalid address {text:?}")]
    Address {
        /// Text of the address.
        text: String,
        /// The parser's error.
        #[source]
        source: AddrParseError,
    },
    /// A listener cannot be opened.
    #[error("cannot listen at {address}")]
    Bind {
        /// Address of the listener.
        address: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// A listener cannot be used.
    #[error("cannot use a listener")]
    Listener(#[source] io::Error),
    /// The state folder cannot be used.
    #[error("cannot use the state folder {}", path.display())]
    StateFolder {
        /// Path of the folder.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The memory limit is lower than the instance needs for itself.
    #[error("memory_mb is {limit_mb}, but the instance needs at least {least_mb}")]
    TooLittleMemory {
        /// The limit in megabytes.
        limit_mb: u64,
        /// The least limit in megabytes.
        least_mb: u64,
    },
    /// Signals cannot be registered.
    #[error("cannot register the signals")]
    Signals(#[source] io::Error),
}

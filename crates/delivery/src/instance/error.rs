//! Why an instance cannot run.

use super::platform_config::ConfigError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

/// Why an instance cannot run.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address in the configuration cannot be parsed.
    #[error("{text}")]
    Address {
        /// The text.
        text: String,
        /// Why it cannot be parsed.
        #[source]
        source: AddrParseError,
    },
    /// A listener cannot be opened.
    #[error("{address}")]
    Bind {
        /// The address.
        address: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// A listener cannot be used.
    #[error("a listener cannot be used")]
    Listener(#[source] io::Error),
    /// The state folder cannot be used.
    #[error("{}", path.display())]
    StateFolder {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// Signals cannot be registered.
    #[error("signals cannot be watched")]
    Signals(#[source] io::Error),
}

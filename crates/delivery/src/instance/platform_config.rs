//! The configuration of an instance on the platform: environment variables, and the JSON file that one of them names.

use crate::net::discovery::EndpointList;
use crate::system_error::is_transient;
use marblefall_settings::InstanceSettings;
use serde::Deserialize;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable with the path of the state folder.
const STATE_FOLDER_VARIABLE: &str = "RELAY_STATE";
/// Environment variable that overrides the address for clients.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable that overrides the address for operators' calls.
const ADMIN_LISTEN_VARIABLE: &str = "RELAY_MGMT";

/// The reason for which the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file cannot be parsed.
    #[error("cannot parse {path}")]
    Unparsable {
        /// Path of the file.
        path: String,
        /// The parser's error, with its position.
        #[source]
        source: serde_json::Error,
    },
    /// The address of discovery cannot be parsed.
    #[error("invalid address of discovery {text:?}")]
    DiscoveryAddress {
        /// Text of the address.
        text: String,
        /// The parser's error.
        #[source]
        source: AddrParseError,
    },
}

impl ConfigError {
    /// Returns whether the error may disappear without a change of the configuration.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { source, .. } if is_transient(source))
    }
}

/// Maximum memory if the platform sets none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

/// The limits that the platform sets.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformLimits {
    /// Maximum number of file descriptors that the process may use.
    pub sockets: usize,
    /// Maximum memory that the processes and the files of the instance may use together, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Maximum size of the state folder, in megabytes.
    pub disk_mb: f64,
}

/// The platform's configuration file, with the platform's keys.
#[derive(Debug, Deserialize)]
pub struct PlatformConfig {
    /// Name of the instance.
    pub name: String,
    /// Address for clients.
    pub listen: String,
    /// Address of discovery.
    pub discovery: String,
    /// Address for operators' calls, if they are accepted. `RELAY_MGMT` overrides it.
    #[serde(default, rename = "mgmt")]
    pub admin_listen: Option<String>,
    /// The seed of random numbers, in hexadecimal.
    pub seed: String,
    /// Limits of the instance's resources.
    pub limits: PlatformLimits,
    /// The last known endpoint list; `None` if there is none.
    #[serde(rename = "known")]
    pub last_list: Option<EndpointList>,
    /// The scheduler's settings.
    pub settings: InstanceSettings,
    /// Path of the state folder, which is set only by the environment.
    #[serde(skip)]
    pub state_folder: PathBuf,
}

impl PlatformConfig {
    /// Reads the file that `RELAY_CONFIG` names, and the other environment variables.
    ///
    /// # Errors
    /// A variable is missing, or the file cannot be read or parsed.
    pub fn from_env() -> Result<PlatformConfig, ConfigError> {
        let path = variable(CONFIG_VARIABLE)?;
        let mut config = PlatformConfig::from_file(path)?;
        config.state_folder = variable(STATE_FOLDER_VARIABLE)?.into();
        // No variable overrides the address of discovery: the file may be replaced while the process is running, and the
        // environment cannot.
        if let Ok(listen) = variable(LISTEN_VARIABLE) {
            config.listen = listen;
        }
        if let Ok(listen) = variable(ADMIN_LISTEN_VARIABLE) {
            config.admin_listen = Some(listen);
        }
        Ok(config)
    }

    fn from_file(path: String) -> Result<PlatformConfig, ConfigError> {
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_slice(&text).map_err(|source| ConfigError::Unparsable { path, source })
    }

    /// Parses the address of discovery.
    ///
    /// # Errors
    /// The address cannot be parsed.
    pub fn discovery_address(&self) -> Result<SocketAddr, ConfigError> {
        self.discovery
            .parse()
            .map_err(|source| ConfigError::DiscoveryAddress {
                text: self.discovery.clone(),
                source,
            })
    }
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::MissingVariable(name))
}

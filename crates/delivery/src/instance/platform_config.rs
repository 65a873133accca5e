//! The configuration of an instance on the platform: the environment, and the JSON file that it names.

use crate::net::discovery::EndpointList;
use marblefall_settings::InstanceSettings;
use serde::Deserialize;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("{path}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file cannot be parsed.
    #[error("{path}")]
    Unparsable {
        /// The file.
        path: String,
        /// Where and why.
        #[source]
        source: serde_json::Error,
    },
    /// Discovery's address is none.
    #[error("{text}")]
    DiscoveryAddress {
        /// What stands there.
        text: String,
        /// Why it is none.
        #[source]
        source: AddrParseError,
    },
}

/// The limits that the platform sets.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformLimits {
    /// File descriptors of the process.
    pub sockets: usize,
    /// Size of the state folder.
    pub disk_mb: f64,
}

/// The platform's file. The keys are the platform's.
#[derive(Debug, Deserialize)]
pub struct PlatformConfig {
    /// The instance's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery is.
    pub discovery: String,
    /// Where operators call, if anywhere; `RELAY_MGMT` goes before it.
    #[serde(default, rename = "mgmt")]
    pub admin_listen: Option<String>,
    /// For random numbers, in hexadecimal.
    pub seed: String,
    /// What it may use.
    pub limits: PlatformLimits,
    /// The endpoint list as it was last.
    #[serde(rename = "known")]
    pub last_list: Option<EndpointList>,
    /// The scheduler's settings.
    pub settings: InstanceSettings,
    /// The state folder; given by the environment only.
    #[serde(skip)]
    pub state_folder: PathBuf,
}

impl PlatformConfig {
    /// Reads the file that `RELAY_CONFIG` names and what else the environment gives.
    ///
    /// # Errors
    /// A variable is missing, or the file cannot be read or parsed.
    pub fn from_env() -> Result<PlatformConfig, ConfigError> {
        let path = variable("RELAY_CONFIG")?;
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let mut config: PlatformConfig = match serde_json::from_slice(&text) {
            Ok(config) => config,
            Err(source) => return Err(ConfigError::Unparsable { path, source }),
        };
        config.state_folder = variable("RELAY_STATE")?.into();
        // The environment stays as it was when the process started, while the file may be replaced under it: where
        // discovery is, the file says.
        if let Ok(listen) = variable("RELAY_LISTEN") {
            config.listen = listen;
        }
        if let Ok(listen) = variable("RELAY_MGMT") {
            config.admin_listen = Some(listen);
        }
        Ok(config)
    }

    /// Where discovery is.
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

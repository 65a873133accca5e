//! What a platform's instance is told, by the environment and the JSON file that it names.

use crate::net::discovery::List;
use marblefall_settings::InstanceSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The limits that the platform sets.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors of the process.
    pub sockets: usize,
    /// Size of the folder that lasts.
    pub disk_mb: f64,
}

/// The platform's file.
#[derive(Debug, Deserialize)]
pub struct PlatformConfig {
    /// The instance's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery is.
    pub discovery: String,
    /// Where operators call, if anywhere; `RELAY_MGMT` goes before it.
    #[serde(default)]
    pub mgmt: Option<String>,
    /// For random numbers, in hexadecimal.
    pub seed: String,
    /// What it may use.
    pub limits: Limits,
    /// The list as it was last.
    pub known: Option<List>,
    /// What the decision module is told.
    pub settings: InstanceSettings,
    /// The folder that lasts; told by the environment only.
    #[serde(skip)]
    pub state: PathBuf,
}

impl PlatformConfig {
    /// Reads the file that `RELAY_CONFIG` names and what else the environment tells.
    pub fn from_env() -> Result<PlatformConfig, String> {
        let var = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
        let path = var("RELAY_CONFIG")?;
        let text = std::fs::read(&path).map_err(|error| format!("{path}: {error}"))?;
        let mut told: PlatformConfig =
            serde_json::from_slice(&text).map_err(|error| format!("{path}: {error}"))?;
        told.state = var("RELAY_STATE")?.into();
        // The environment stays as it was when the process started, while the file may be replaced under it:
        // where discovery is, the file says.
        if let Ok(listen) = var("RELAY_LISTEN") {
            told.listen = listen;
        }
        if let Ok(mgmt) = var("RELAY_MGMT") {
            told.mgmt = Some(mgmt);
        }
        Ok(told)
    }

    /// Where discovery is.
    pub fn discovery_address(&self) -> Result<SocketAddr, String> {
        self.discovery
            .parse()
            .map_err(|error| format!("{}: {error}", self.discovery))
    }
}

//! The configuration of an instance, from whatever source.

use crate::core::engine::{EngineEvent, EngineSettings, PolicyChange};
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::platform::PlatformFrontend;
use crate::lease_guard::LeaseGuard;
use crate::net::discovery::{fetch_list, ListWatch};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The configuration of an instance.
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// Its state folder.
    pub state_folder: StateFolder,
    /// How many file descriptors it may use.
    pub max_sockets: usize,
    /// The engine's settings.
    pub engine: EngineSettings,
    /// The names of the classes, in their order.
    pub class_names: Vec<String>,
    /// How long a connection to an endpoint may take to be established.
    pub connect_timeout: Duration,
    /// How long a connection may be idle before an endpoint closes it.
    pub idle_timeout: Duration,
    /// The event with the endpoints that are known at the start.
    pub endpoints: EngineEvent,
    /// The platform's frontend, if it is enabled.
    pub platform: Option<PlatformFrontendConfig>,
    /// The CloudEvents frontend, if it is enabled.
    pub cloudevents: Option<CloudEventsFrontendConfig>,
    /// The listener for operators' calls, if there is one.
    pub admin_listener: Option<TcpListener>,
    /// The lease that it needs, where a group decides on the policy.
    pub lease: Option<LeaseConfig>,
}

impl InstanceConfig {
    /// Replaces the configured endpoint list by that of discovery, if it responds.
    pub(super) async fn refresh_configured_list(&mut self) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        let Some(watch) = &mut platform.watch else {
            return;
        };
        if let Some(list) = fetch_list(platform.discovery).await {
            watch.since_revision = list.revision;
            self.endpoints = list.into_event(&watch.names);
        }
    }
}

/// The folder in which an instance stores its state.
pub struct StateFolder {
    /// Its path.
    pub path: PathBuf,
    /// The maximum size of the journal, in bytes.
    pub max_bytes: u64,
}

/// The lease under which an instance acts.
pub struct LeaseConfig {
    /// The guard that the instances of a process share.
    pub guard: Arc<LeaseGuard>,
    /// The revision of the policy in the configuration.
    pub revision: u64,
}

/// The platform's frontend of an instance.
pub struct PlatformFrontendConfig {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The parser of their requests.
    pub frontend: PlatformFrontend,
    /// The address of discovery, which also receives notices of final outcomes.
    pub discovery: SocketAddr,
    /// The endpoint list to watch there; without it, the configured endpoints remain in force.
    pub watch: Option<ListWatch>,
}

/// The CloudEvents frontend of an instance.
pub struct CloudEventsFrontendConfig {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The parser of their requests.
    pub frontend: CloudEventsFrontend,
}

/// Another policy for a running instance. Its listeners, its folder and its network do not change.
pub struct PolicyUpdate {
    /// The engine's part.
    pub change: PolicyChange,
    /// The platform's frontend, if it is enabled.
    pub platform: Option<PlatformFrontend>,
    /// The CloudEvents frontend, if it is enabled.
    pub cloudevents: Option<CloudEventsFrontend>,
}

//! What an instance is made of, whoever describes it.

use crate::core::engine::{EngineEvent, EngineSettings, PolicyChange};
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::platform::PlatformFrontend;
use crate::lease_guard::LeaseGuard;
use crate::net::discovery::{fetch_list, ListWatch};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What an instance is made of.
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// Where its state lasts.
    pub state_folder: StateFolder,
    /// How many file descriptors it may hold.
    pub max_sockets: usize,
    /// The engine's settings.
    pub engine: EngineSettings,
    /// The names of the classes, in their order.
    pub class_names: Vec<String>,
    /// A connection to an endpoint that takes longer to be established has failed.
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for so long.
    pub idle_timeout: Duration,
    /// The endpoints that are known at the start.
    pub endpoints: EngineEvent,
    /// The platform's frontend, if it is enabled.
    pub platform: Option<PlatformFrontendConfig>,
    /// The CloudEvents frontend, if it is enabled.
    pub cloudevents: Option<CloudEventsFrontendConfig>,
    /// Where operators call, if anywhere.
    pub admin_listener: Option<TcpListener>,
    /// The lease that it needs to act, where a group decides on the policy.
    pub lease: Option<LeaseConfig>,
}

impl InstanceConfig {
    /// Replaces the list of the configuration by what discovery has, if it responds.
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

/// The folder in which an instance's state lasts.
pub struct StateFolder {
    /// Where it is.
    pub path: PathBuf,
    /// How many bytes the journal may hold.
    pub max_bytes: u64,
}

/// The lease under which an instance acts.
pub struct LeaseConfig {
    /// The guard, which the instances of a process share.
    pub guard: Arc<LeaseGuard>,
    /// The revision of the policy in the configuration.
    pub revision: u64,
}

/// The platform's frontend of an instance.
pub struct PlatformFrontendConfig {
    /// Where clients connect.
    pub listener: TcpListener,
    /// What parses their requests.
    pub frontend: PlatformFrontend,
    /// Where discovery is, which takes notices of final outcomes.
    pub discovery: SocketAddr,
    /// The endpoint list to watch there; otherwise the endpoints are those of the configuration.
    pub watch: Option<ListWatch>,
}

/// The CloudEvents frontend of an instance.
pub struct CloudEventsFrontendConfig {
    /// Where clients connect.
    pub listener: TcpListener,
    /// What parses their requests.
    pub frontend: CloudEventsFrontend,
}

/// Another policy for a running instance; its listeners, its folder and its network stay.
pub struct PolicyUpdate {
    /// The engine's part.
    pub change: PolicyChange,
    /// The platform's frontend, if it is enabled.
    pub platform: Option<PlatformFrontend>,
    /// The CloudEvents frontend, if it is enabled.
    pub cloudevents: Option<CloudEventsFrontend>,
}

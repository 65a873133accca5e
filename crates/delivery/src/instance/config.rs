//! The configuration of an instance, independent of its source.

use super::MemoryLimit;
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
    /// Name of the instance.
    pub name: String,
    /// State folder of the instance.
    pub state_folder: StateFolder,
    /// Maximum number of file descriptors that the instance may use.
    pub max_sockets: usize,
    /// Memory that the instance may use.
    pub memory: MemoryLimit,
    /// Settings of the engine.
    pub engine: EngineSettings,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Time-out for establishing a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Idle time after which an endpoint closes a connection.
    pub idle_timeout: Duration,
    /// Event that gives the engine the endpoints that are known at the start.
    pub endpoints: EngineEvent,
    /// The platform's frontend; `None` if it is disabled.
    pub platform: Option<PlatformFrontendConfig>,
    /// The CloudEvents frontend; `None` if it is disabled.
    pub cloudevents: Option<CloudEventsFrontendConfig>,
    /// The listener for operators' calls; `None` if they are not accepted.
    pub admin_listener: Option<TcpListener>,
    /// The lease under which the instance acts; `None` unless a group decides on the policy.
    pub lease: Option<LeaseConfig>,
}

impl InstanceConfig {
    /// Replaces the configured endpoint list by the present list of discovery, if discovery responds.
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
    /// Path of the folder.
    pub path: PathBuf,
    /// The maximum size of the journal, in bytes.
    pub max_bytes: u64,
}

/// The lease under which an instance acts.
pub struct LeaseConfig {
    /// The guard that the instances of a process share.
    pub guard: Arc<LeaseGuard>,
    /// Revision of the policy in the configuration.
    pub revision: u64,
}

/// The configuration of an instance's platform frontend.
pub struct PlatformFrontendConfig {
    /// The listener for clients; `None` for an instance that is removed and only sends notices.
    pub listener: Option<TcpListener>,
    /// The frontend that parses clients' requests.
    pub frontend: PlatformFrontend,
    /// The address of discovery, which also receives notices of final outcomes.
    pub discovery: SocketAddr,
    /// The watch of the endpoint list; `None` if the configured endpoints remain in force.
    pub watch: Option<ListWatch>,
}

/// The configuration of an instance's CloudEvents frontend.
pub struct CloudEventsFrontendConfig {
    /// The listener for clients; `None` for an instance that is removed.
    pub listener: Option<TcpListener>,
    /// The frontend that parses clients' requests.
    pub frontend: CloudEventsFrontend,
}

/// The changes by which another policy is put in force in a running instance. The listeners, the state folder and the
/// network settings do not change.
pub struct PolicyUpdate {
    /// The change of the engine's policy.
    pub change: PolicyChange,
    /// The platform's new frontend; `None` if it is disabled.
    pub platform: Option<PlatformFrontend>,
    /// The new CloudEvents frontend; `None` if it is disabled.
    pub cloudevents: Option<CloudEventsFrontend>,
}

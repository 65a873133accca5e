//! What an instance is made of.

use crate::core::engine::{EngineEvent, EngineSettings, PolicyChange};
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::platform::PlatformFrontend;
use crate::lease_guard::LeaseGuard;
use crate::net::discovery::Names;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What an instance is made of, whoever describes it.
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// The folder that lasts, and how many bytes it may hold.
    pub state: (PathBuf, u64),
    /// Descriptors it may hold.
    pub sockets: usize,
    /// For the module.
    pub setup: EngineSettings,
    /// The names of the classes, in their order.
    pub classes: Vec<String>,
    /// A connection that takes longer to come up has failed.
    pub dial: Duration,
    /// Endpoints close a connection that has been idle for so long.
    pub idle: Duration,
    /// The endpoints as far as they are known.
    pub hosts: EngineEvent,
    /// The platform's front, if it is on.
    pub relay: Option<PlatformFrontendConfig>,
    /// The events front, if it is on.
    pub events: Option<(TcpListener, CloudEventsFrontend)>,
    /// Where operators call, if anywhere.
    pub mgmt: Option<TcpListener>,
    /// What it may act under, where others decide on the policy as well: the gate, and the revision that this is of.
    pub held: Option<(Arc<LeaseGuard>, u64)>,
}

/// Another policy for an instance that runs; its listeners, its folder and its network stay.
pub struct PolicyUpdate {
    /// What the core takes up.
    pub change: PolicyChange,
    /// The terms of the platform's front, if that is on.
    pub relay: Option<PlatformFrontend>,
    /// The terms of the events front, if that is on.
    pub events: Option<CloudEventsFrontend>,
}

/// The platform's front of an instance.
pub struct PlatformFrontendConfig {
    /// Where clients connect.
    pub listener: TcpListener,
    /// What reads their requests.
    pub front: PlatformFrontend,
    /// Where ends are told.
    pub notices: SocketAddr,
    /// The names by which the list is watched there, and from which version on; otherwise the list is the one
    /// given.
    pub watch: Option<(Names, u64)>,
}

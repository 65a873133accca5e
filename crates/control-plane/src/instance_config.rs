//! Builds an instance's configuration from its manifest: the complete configuration for the start, and an update for each
//! policy that comes into force while the instance runs.

mod class_table;
mod engine_settings;

pub use class_table::ClassTable;

use crate::endpoint_directory::EndpointDirectory;
use crate::manifest::{name_hash, ClassSpec, IdempotencySpec, InstanceManifest};
use marblefall_delivery::core::engine::{EngineEvent, PolicyChange};
use marblefall_delivery::frontend::cloudevents::{CloudEventsFrontend, Destinations, EventClass};
use marblefall_delivery::frontend::platform::{PlatformClass, PlatformFrontend};
use marblefall_delivery::instance::{
    CloudEventsFrontendConfig, InstanceConfig, LeaseConfig, MemoryLimit, PlatformFrontendConfig,
    PolicyUpdate, StateFolder,
};
use marblefall_scheduler::DestinationId;
use std::cell::RefCell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

const BYTES_PER_MB: f64 = 1e6;
/// Memory of an instance beside others in one process, without what peers send, in bytes.
const PROGRAM_BYTES: u64 = 4_000_000;

/// The listeners of an instance's frontends.
#[derive(Default)]
pub struct InstanceListeners {
    /// The listener of the CloudEvents frontend; `None` if the frontend is disabled, or the instance is removed.
    pub events: Option<TcpListener>,
    /// The listener of the platform's frontend; `None` if the frontend is disabled, or the instance is removed.
    pub platform: Option<TcpListener>,
}

/// Builds an instance's configuration.
#[derive(Clone, Copy)]
pub struct InstanceConfigBuilder<'a> {
    /// The part of the manifest that concerns the instance.
    pub manifest: &'a InstanceManifest,
    /// The instance's classes.
    pub classes: &'a ClassTable,
    /// The destinations with their endpoints.
    pub directory: &'a EndpointDirectory,
}

impl InstanceConfigBuilder<'_> {
    /// Returns the complete configuration for a start. In a group, `lease` is the lease under which the instance acts.
    pub fn config(
        self,
        folder: PathBuf,
        lease: Option<LeaseConfig>,
        listeners: InstanceListeners,
    ) -> InstanceConfig {
        let limits = &self.manifest.limits;
        let destination_table = self.directory.destination_table.clone();
        InstanceConfig {
            name: self.manifest.name.clone(),
            state_folder: StateFolder {
                path: folder,
                max_bytes: (limits.disk_mb * BYTES_PER_MB) as u64,
            },
            max_sockets: limits.max_sockets,
            memory: MemoryLimit {
                bytes: (limits.memory_mb * BYTES_PER_MB) as u64,
                program_bytes: PROGRAM_BYTES,
                file_bytes: 0,
                processes: 1,
            },
            engine: self.engine_settings(),
            class_names: self.classes.names(),
            connect_timeout: Duration::from_millis(limits.connect_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            endpoints: EngineEvent::DestinationTableReplaced(destination_table),
            platform: self.platform_config(listeners.platform),
            cloudevents: self.events_config(listeners.events),
            admin_listener: None,
            lease,
        }
    }

    /// Returns the update that changes a running instance to this policy.
    pub fn policy_update(self, revision: u64) -> PolicyUpdate {
        PolicyUpdate {
            change: PolicyChange {
                revision,
                settings: self.engine_settings(),
                classes: self.classes.names(),
                destination_table: Some(self.directory.destination_table.clone()),
            },
            platform: self.platform_frontend(),
            cloudevents: self.events_frontend(),
        }
    }

    fn platform_config(self, listener: Option<TcpListener>) -> Option<PlatformFrontendConfig> {
        Some(PlatformFrontendConfig {
            listener,
            frontend: self.platform_frontend()?,
            discovery: self.manifest.platform.as_ref()?.notice_address,
            watch: None,
        })
    }

    fn events_config(self, listener: Option<TcpListener>) -> Option<CloudEventsFrontendConfig> {
        Some(CloudEventsFrontendConfig {
            listener,
            frontend: self.events_frontend()?,
        })
    }

    fn events_frontend(self) -> Option<CloudEventsFrontend> {
        let spec = self.manifest.events.as_ref()?;
        let types = spec
            .class_by_type
            .iter()
            .filter_map(|(event_type, class)| Some((event_type.clone(), self.classes.id(class)?)));
        let event_class = |class: &ClassSpec| EventClass {
            default_time_to_live_ms: class.deadline_ms as i64,
            requires_key: class.idempotency == IdempotencySpec::IdempotencyKey,
        };
        let EndpointDirectory {
            destination_table,
            targets,
        } = self.directory.clone();
        Some(CloudEventsFrontend {
            path: spec.path.clone(),
            destination_attribute: spec.destination_attribute.clone(),
            class_by_type: types.collect(),
            classes: self.classes.classes().map(event_class).collect(),
            destinations: RefCell::new(Destinations {
                table: destination_table,
                targets,
            }),
            destination_number: Some(name_hash),
        })
    }

    fn platform_frontend(self) -> Option<PlatformFrontend> {
        let spec = self.manifest.platform.as_ref()?;
        let destination = |name: &str| DestinationId(name_hash(name));
        let numbers = spec
            .destination_by_number
            .iter()
            .filter_map(|(number, name)| Some((number.parse().ok()?, destination(name))));
        // A class that was removed from the manifest has no name for clients, so that they cannot use it.
        let accepted_name =
            |name: String| Some(name).filter(|name| self.manifest.classes.contains_key(name));
        let is_keyed = |class: &ClassSpec| class.idempotency == IdempotencySpec::IdempotencyKey;
        let names = self.classes.names().into_iter().map(accepted_name);
        Some(PlatformFrontend {
            classes: names
                .zip(self.classes.classes())
                .map(|(name, class)| PlatformClass {
                    name,
                    requires_key: is_keyed(class),
                })
                .collect(),
            destinations_by_number: Some(numbers.collect()),
        })
    }
}

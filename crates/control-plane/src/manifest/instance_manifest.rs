//! The part of a manifest that concerns one instance.

use super::{ClassSpec, EventsFrontendSpec, InstanceLimits, Manifest, PlatformFrontendSpec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The part of a manifest that concerns one instance. The instance applies a change of it in place or by a restart.
///
/// It does not contain the destinations, which are in the endpoint directory and change while an instance runs. Nor does it
/// contain the source of the endpoint lists and the group, which concern only the supervisor. It is stored while an instance
/// that was removed still holds messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceManifest {
    /// The instance's name.
    pub name: String,
    /// The CloudEvents frontend; `None` if it is disabled.
    pub events: Option<EventsFrontendSpec>,
    /// The platform's frontend; `None` if it is disabled.
    pub platform: Option<PlatformFrontendSpec>,
    /// The instance's limits.
    pub limits: InstanceLimits,
    /// Classes by name.
    pub classes: BTreeMap<String, ClassSpec>,
    /// Number of instances, including external ones, that serve the same destinations and share their rates.
    pub total_instances: usize,
}

impl Manifest {
    /// Returns the part of the manifest that concerns an instance; `None` if the manifest does not contain the instance.
    pub fn instance_manifest(&self, name: &str) -> Option<InstanceManifest> {
        let instance = self.instances.get(name)?;
        Some(InstanceManifest {
            name: name.to_owned(),
            events: instance.events.clone(),
            platform: instance.platform.clone(),
            limits: instance.limits.as_ref().unwrap_or(&self.limits).clone(),
            classes: self.classes.clone(),
            total_instances: self.total_instances(),
        })
    }

    fn total_instances(&self) -> usize {
        self.instances.len() + self.external_instances
    }
}

impl InstanceManifest {
    /// Returns whether a running instance can apply `new` without a restart, which requires that the settings of its
    /// listeners, its state folder and its connections are unchanged.
    pub fn can_update_in_place(&self, new: &InstanceManifest) -> bool {
        self.events_address() == new.events_address()
            && self.platform_addresses() == new.platform_addresses()
            && self.limits.max_sockets == new.limits.max_sockets
            && self.limits.memory_mb.to_bits() == new.limits.memory_mb.to_bits()
            && self.limits.disk_mb.to_bits() == new.limits.disk_mb.to_bits()
            && self.limits.connect_timeout_ms == new.limits.connect_timeout_ms
            && self.limits.idle_timeout_ms == new.limits.idle_timeout_ms
    }

    /// Returns the manifest of this instance, which is removed, under the manifest in force. It keeps its frontends and its
    /// limits, which its messages were accepted under, and the classes that are no longer declared. The removed instances
    /// are not among the total number of instances yet.
    pub fn removed_under(&self, manifest: &Manifest) -> InstanceManifest {
        let mut classes = self.classes.clone();
        classes.extend(manifest.classes.clone());
        InstanceManifest {
            classes,
            total_instances: manifest.total_instances(),
            ..self.clone()
        }
    }

    fn events_address(&self) -> Option<SocketAddr> {
        self.events.as_ref().map(|events| events.listen_address)
    }

    fn platform_addresses(&self) -> Option<(SocketAddr, SocketAddr)> {
        let platform = self.platform.as_ref()?;
        Some((platform.listen_address, platform.notice_address))
    }
}

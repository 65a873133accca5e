//! The listening sockets of instances' frontends. The supervisor owns them, so that they stay open while an instance
//! restarts.

use crate::instance_config::InstanceListeners;
use crate::manifest::{InstanceManifest, InstanceSpec};
use marblefall_delivery::net::listener::bind_exclusive;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The error of opening a listener at an address.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}")]
pub(super) struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FrontendKind {
    Events,
    Platform,
}

/// Identifies a listener by its instance, its frontend and its address. The instance is part of the key because several
/// instances may declare port 0, and each of them gets its own port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ListenerKey {
    instance: String,
    frontend: FrontendKind,
    address: SocketAddr,
}

impl ListenerKey {
    /// Returns the keys of an instance's frontends.
    pub fn all_of(name: &str, instance: &InstanceSpec) -> Vec<ListenerKey> {
        let events = instance.events.iter().map(|events| ListenerKey {
            instance: name.to_owned(),
            frontend: FrontendKind::Events,
            address: events.listen_address,
        });
        let platform = instance.platform.iter().map(|platform| ListenerKey {
            instance: name.to_owned(),
            frontend: FrontendKind::Platform,
            address: platform.listen_address,
        });
        events.chain(platform).collect()
    }
}

/// All listeners of a supervisor.
#[derive(Default)]
pub(super) struct FrontendListeners(BTreeMap<ListenerKey, TcpListener>);

impl FrontendListeners {
    /// Closes listeners that are not in `used`.
    pub fn retain(&mut self, used: &BTreeSet<ListenerKey>) {
        self.0.retain(|key, _| used.contains(key));
    }

    /// Opens an instance's listeners, or duplicates those that are already open. A new listener refuses connections until
    /// its instance listens.
    ///
    /// # Errors
    /// A listener cannot be opened or duplicated.
    pub fn open(&mut self, manifest: &InstanceManifest) -> Result<InstanceListeners, ListenError> {
        let events = manifest.events.as_ref().map(|events| events.listen_address);
        let platform = manifest
            .platform
            .as_ref()
            .map(|platform| platform.listen_address);
        let mut open = |frontend, address: Option<SocketAddr>| {
            address
                .map(|address| {
                    self.open_one(ListenerKey {
                        instance: manifest.name.clone(),
                        frontend,
                        address,
                    })
                })
                .transpose()
        };
        Ok(InstanceListeners {
            events: open(FrontendKind::Events, events)?,
            platform: open(FrontendKind::Platform, platform)?,
        })
    }

    fn open_one(&mut self, key: ListenerKey) -> Result<TcpListener, ListenError> {
        let address = key.address;
        let failed = |source| ListenError { address, source };
        let listener = match self.0.entry(key) {
            Entry::Occupied(open) => open.into_mut(),
            Entry::Vacant(vacant) => vacant.insert(bind_exclusive(address).map_err(failed)?),
        };
        listener.try_clone().map_err(failed)
    }
}

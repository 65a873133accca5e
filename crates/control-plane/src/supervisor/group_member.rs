//! The group member that a supervisor runs: its name, the lease guard of the instances, and the group's events.

use crate::group::{GroupError, GroupEvent, Membership};
use crate::manifest::Manifest;
use async_channel::Receiver;
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::net::spawner::Spawner;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// An error that prevents a supervisor from joining its group.
#[derive(Debug, thiserror::Error)]
pub enum CoordinationError {
    /// The history file cannot be opened.
    #[error("{}: {source}", path.display())]
    History {
        /// The path of the history file.
        path: PathBuf,
        /// The error of opening the file.
        source: io::Error,
    },
    /// The member's coordination node cannot be started.
    #[error(transparent)]
    Member(#[from] GroupError),
}

/// The group member that a supervisor runs.
pub(super) struct GroupMember {
    name: String,
    lease_guard: Arc<LeaseGuard>,
    /// Events of the member's coordination node.
    pub events: Receiver<GroupEvent>,
}

impl GroupMember {
    /// Starts the member's coordination node. All actions that instances take under a lease are written to `history`, if
    /// given.
    ///
    /// # Errors
    /// The history file cannot be opened, or the node cannot be started.
    pub fn start(
        membership: Membership,
        home: &Path,
        history: Option<&Path>,
        listen: Option<SocketAddr>,
        tasks: &Spawner,
    ) -> Result<GroupMember, CoordinationError> {
        let history = history.map(open_history).transpose()?;
        let lease_guard = Arc::new(LeaseGuard::new(history));
        let name = membership.name.clone();
        let events = membership.start(home, listen, lease_guard.clone(), tasks)?;
        Ok(GroupMember {
            name,
            lease_guard,
            events,
        })
    }

    /// Returns the lease guard that all instances of this supervisor share.
    pub fn lease_guard(&self) -> Arc<LeaseGuard> {
        self.lease_guard.clone()
    }

    /// Returns whether the manifest assigns an instance to this member.
    pub fn runs(&self, manifest: &Manifest, instance: &str) -> bool {
        let group = manifest.group.as_ref();
        group.is_some_and(|group| group.runs(&self.name, instance))
    }
}

fn open_history(path: &Path) -> Result<File, CoordinationError> {
    let mut options = File::options();
    let opened = options.create(true).append(true).open(path);
    opened.map_err(|source| CoordinationError::History {
        path: path.to_owned(),
        source,
    })
}

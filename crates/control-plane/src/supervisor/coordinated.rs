//! What a supervisor has in common with others of its group: its member's name, the lease under which its instances
//! act, and the group's events.

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

/// Why a supervisor cannot take part in its group.
#[derive(Debug, thiserror::Error)]
pub enum CoordinationError {
    /// The history cannot be opened.
    #[error("{}: {source}", path.display())]
    History {
        /// Its file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The member's node cannot be started.
    #[error(transparent)]
    Member(#[from] GroupError),
}

/// A supervisor's part in its group.
pub(super) struct Coordinated {
    member: String,
    lease_guard: Arc<LeaseGuard>,
    /// What the group says to those who run the instances.
    pub events: Receiver<GroupEvent>,
}

impl Coordinated {
    /// Starts the member's node.
    pub fn join(
        membership: Membership,
        home: &Path,
        history: Option<&Path>,
        link: Option<SocketAddr>,
        tasks: &Spawner,
    ) -> Result<Coordinated, CoordinationError> {
        let history = history.map(open_history).transpose()?;
        let lease_guard = Arc::new(LeaseGuard::new(history));
        let member = membership.name.clone();
        let events = membership.start(home, link, lease_guard.clone(), tasks)?;
        Ok(Coordinated {
            member,
            lease_guard,
            events,
        })
    }

    pub fn lease_guard(&self) -> Arc<LeaseGuard> {
        self.lease_guard.clone()
    }

    /// Whether the manifest gives an instance to this member.
    pub fn runs(&self, manifest: &Manifest, instance: &str) -> bool {
        let group = manifest.group.as_ref();
        let member = group.and_then(|group| group.members.get(&self.member));
        member.is_some_and(|member| member.instances.contains(instance))
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

//! The supervisor runs the instances of the manifest that is applied in a home folder, each on its own thread, and applies
//! later changes of the manifest.
//!
//! The supervisor is a single loop. Each round handles the group's events, reloads the applied manifest, handles commands
//! and sends changes to the running instances. It then reconciles the set of instances with the manifest: failed instances
//! are restarted after a backoff, instances that were removed or that cannot apply a change in place are shut down, and
//! missing instances are started. A round begins every `POLL_INTERVAL`, or earlier after an event of the group or a change
//! of an endpoint list.
//!
//! After a shutdown command no instance is started, and the loop ends when the last instance has ended.

mod applied_file;
mod desired_state;
mod group_member;
mod home;
mod instance_handle;
mod instance_set;
mod listeners;
mod policy_check;

pub use group_member::CoordinationError;

use crate::endpoint_directory::CompactApplied;
use crate::group::{GroupError, GroupEvent};
use crate::json_file::JsonFileError;
use crate::list_watcher::ListWatcher;
use crate::manifest::Manifest;
use applied_file::AppliedFile;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use desired_state::DesiredState;
use futures_lite::future;
use group_member::GroupMember;
use home::OpenedHome;
use instance_set::InstanceSet;
use marblefall_coordination::message::PolicyVerdict;
use marblefall_delivery::instance::{self, InstanceCommand, InstanceError};
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use std::fs::TryLockError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time between two rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a failed start of the list watcher is retried.
const LIST_WATCHER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents the supervisor from running.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// The handlers of the process's signals cannot be installed.
    #[error("{}", error_reporter::Report::new(.0))]
    Signals(#[from] InstanceError),
    /// The applied manifest cannot be read.
    #[error(transparent)]
    Applied(#[from] JsonFileError),
    /// The home's membership in its group cannot be read.
    #[error(transparent)]
    Membership(#[from] GroupError),
    /// The home's lock file cannot be created or locked.
    #[error("{0}")]
    LockFile(#[source] io::Error),
    /// Another process supervises the same home.
    #[error("{}: another daemon already runs this fleet ({source})", home.display())]
    AlreadyRunning {
        /// The home folder.
        home: PathBuf,
        /// The error of acquiring the lock.
        source: TryLockError,
    },
    /// The group cannot be joined.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

/// Runs the instances of a home until the process receives a signal to shut down. If the home is a member of a group, all
/// actions that its instances take under a lease are written to `history`, if given. The member listens at `link`, if
/// given, instead of its address in the manifest.
///
/// # Errors
/// The home cannot be read, another process supervises it, or its group cannot be joined.
pub fn run(
    home: &Path,
    history: Option<&Path>,
    link: Option<SocketAddr>,
) -> Result<(), SupervisorError> {
    let signals = instance::register_signals()?;
    let (command_sender, commands) = async_channel::unbounded();
    let tasks = Rc::new(LocalExecutor::new());
    let _signal_task = tasks.spawn(instance::watch_signals(signals, command_sender));
    let spawner = Spawner::new(&tasks);
    let supervising = async {
        let Some(opened) = OpenedHome::open(home, &commands).await? else {
            return Ok(());
        };
        let start = |membership| GroupMember::start(membership, home, history, link, &spawner);
        let group_member = opened.membership.map(start).transpose()?;
        let _lock = opened.lock;
        let supervisor = Supervisor::new(home, commands.clone(), opened.applied_file, group_member);
        supervisor.run().await;
        Ok(())
    };
    async_io::block_on(tasks.run(supervising))
}

/// The phase of the supervisor. Instances are started only in [`Phase::Running`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    ShuttingDown,
}

/// The cause of a new round.
enum Wakeup {
    Poll,
    GroupEvent(GroupEvent),
    ListsChanged,
}

/// Owns all instances of a home.
struct Supervisor {
    commands: Receiver<InstanceCommand>,
    /// The group event that woke the supervisor and is not handled yet.
    pending_event: Option<GroupEvent>,
    phase: Phase,
    applied_file: AppliedFile,
    desired: DesiredState,
    /// Whether the manifest, an endpoint list or the number of instances has changed since changes were last sent to the
    /// instances.
    has_unpushed_changes: bool,
    list_watcher: Option<ListWatcher>,
    /// The earliest time at which the list watcher is started.
    list_watcher_start_at: Instant,
    instances: InstanceSet,
}

impl Supervisor {
    fn new(
        home: &Path,
        commands: Receiver<InstanceCommand>,
        applied_file: AppliedFile,
        group_member: Option<GroupMember>,
    ) -> Supervisor {
        Supervisor {
            commands,
            pending_event: None,
            phase: Phase::Running,
            applied_file,
            desired: DesiredState {
                home: home.to_owned(),
                applied: CompactApplied::default(),
                group_member,
                removed_instances: 0,
            },
            has_unpushed_changes: false,
            list_watcher: None,
            list_watcher_start_at: Instant::now(),
            instances: InstanceSet::default(),
        }
    }

    /// Runs until the last instance has ended after a shutdown command.
    async fn run(mut self) {
        self.reload_applied();
        loop {
            self.handle_group_events().await;
            self.reload_applied();
            self.start_list_watcher_if_due();
            self.handle_commands();
            self.push_changes();
            self.instances.reap(&self.desired.home);
            match self.phase {
                Phase::ShuttingDown if self.instances.is_empty() => return,
                Phase::ShuttingDown => {}
                Phase::Running => self.instances.reconcile(&self.desired),
            }
            self.wait_for_wakeup().await;
        }
    }

    async fn handle_group_events(&mut self) {
        while let Some(event) = self.next_group_event() {
            match event {
                // The policy was stored in the home before the event was sent.
                GroupEvent::PolicyInForce => self.applied_file.invalidate(),
                GroupEvent::LeaseChanged => {
                    self.instances.broadcast(&InstanceCommand::LeaseChanged);
                }
                GroupEvent::CheckPolicy(proposed, verdicts) => {
                    self.check_policy(&proposed, &verdicts).await;
                }
            }
        }
    }

    fn next_group_event(&mut self) -> Option<GroupEvent> {
        let received = || self.desired.group_member.as_ref()?.events.try_recv().ok();
        self.pending_event.take().or_else(received)
    }

    async fn check_policy(&self, proposed: &Manifest, verdicts: &Sender<PolicyVerdict>) {
        let verdict = self.instances.check_policy(proposed, &self.desired).await;
        // Fails if the receiver no longer waits for the verdict.
        let _ = verdicts.try_send(verdict);
    }

    fn reload_applied(&mut self) {
        if self.phase == Phase::ShuttingDown {
            return;
        }
        match self.applied_file.read_if_changed() {
            Some(Ok(applied)) => self.adopt(applied),
            Some(Err(error)) => {
                log_line!("manifest not reloaded, the previous one stays in force: {error}")
            }
            None => {}
        }
    }

    fn adopt(&mut self, applied: CompactApplied) {
        let (revision, instances) = (applied.revision, applied.manifest.instances.len());
        log_line!("manifest: revision {revision}, {instances} instances");
        self.desired.applied = applied;
        self.has_unpushed_changes = true;
        let manifest = &self.desired.applied.manifest;
        if let Some(watcher) = &self.list_watcher {
            watcher.set_manifest(manifest);
        }
    }

    /// Starts the list watcher if the manifest has endpoint lists. A failed start is retried after a delay.
    fn start_list_watcher_if_due(&mut self) {
        let manifest = &self.desired.applied.manifest;
        let is_due = self.list_watcher.is_none()
            && manifest.list_source.is_some()
            && self.phase == Phase::Running
            && self.list_watcher_start_at <= Instant::now();
        if !is_due {
            return;
        }
        match ListWatcher::start(&self.desired.home, manifest) {
            Ok(watcher) => {
                self.list_watcher = Some(watcher);
                self.has_unpushed_changes = true;
            }
            Err(error) => {
                log_line!(
                    code = "list-watcher-not-started",
                    "endpoint lists are not watched, retrying: {error}"
                );
                self.list_watcher_start_at = Instant::now() + LIST_WATCHER_RETRY_INTERVAL;
            }
        }
    }

    fn handle_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                InstanceCommand::ReloadConfig => self.reload(),
                InstanceCommand::Shutdown { timeout, reason: _ } => {
                    self.instances.shut_down(timeout);
                    self.phase = Phase::ShuttingDown;
                }
                InstanceCommand::PrintCounters
                | InstanceCommand::DiscoveryMoved(_)
                | InstanceCommand::ReplaceDestinations(..)
                | InstanceCommand::UpdatePolicy(_)
                | InstanceCommand::CheckPolicy(..)
                | InstanceCommand::LeaseChanged => self.instances.broadcast(&command),
            }
        }
    }

    fn reload(&mut self) {
        self.applied_file.invalidate();
        if let Some(watcher) = &self.list_watcher {
            watcher.rescan();
        }
    }

    /// Sends a changed manifest, endpoint list or number of instances to the running instances.
    fn push_changes(&mut self) {
        let removed_instances = self.instances.removed_count();
        self.has_unpushed_changes |= removed_instances != self.desired.removed_instances;
        self.desired.removed_instances = removed_instances;
        self.has_unpushed_changes |= self
            .list_watcher
            .as_ref()
            .is_some_and(|watcher| watcher.changes.try_recv().is_ok());
        if !std::mem::take(&mut self.has_unpushed_changes) {
            return;
        }
        self.merge_endpoint_lists();
        self.instances.push_changes(&self.desired);
    }

    fn merge_endpoint_lists(&mut self) {
        let Some(watcher) = &self.list_watcher else {
            return;
        };
        let directory = &self.desired.applied.directory;
        match watcher.with_lists(|lists| directory.with_endpoint_lists(lists)) {
            Ok(directory) => self.desired.applied.directory = directory,
            Err(error) => log_line!(
                code = "destination-table-full",
                "endpoint lists not applied, the previous destinations stay in force: {error}"
            ),
        }
    }

    /// Waits until the next round is due.
    async fn wait_for_wakeup(&mut self) {
        let poll = async {
            Timer::after(POLL_INTERVAL).await;
            Wakeup::Poll
        };
        let group_event = async {
            match &self.desired.group_member {
                Some(member) => Wakeup::GroupEvent(receive_or_wait(&member.events).await),
                None => future::pending().await,
            }
        };
        let lists_changed = async {
            match &self.list_watcher {
                Some(watcher) => {
                    receive_or_wait(&watcher.changes).await;
                    Wakeup::ListsChanged
                }
                None => future::pending().await,
            }
        };
        match future::or(future::or(poll, group_event), lists_changed).await {
            Wakeup::Poll => {}
            Wakeup::GroupEvent(event) => self.pending_event = Some(event),
            Wakeup::ListsChanged => self.has_unpushed_changes = true,
        }
    }
}

/// Receives the next message of a channel. Never completes if the sender's thread has panicked; the supervisor then relies
/// on its poll interval.
async fn receive_or_wait<T>(channel: &Receiver<T>) -> T {
    match channel.recv().await {
        Ok(message) => message,
        Err(_) => future::pending().await,
    }
}

#[cfg(test)]
mod tests;

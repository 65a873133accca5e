//! The supervisor: runs the instances of the manifest that is applied in a home folder, each on a thread of its own
//! with nothing shared, and follows what is applied later.
//!
//! It is one loop. Each round handles the group's events, reads what was applied since, handles commands, passes
//! changes on to the instances that run, and then brings the set of instances to what the manifest wants: those that
//! ended are started again after a pause, those that left or that cannot change as they run are shut down, and
//! missing ones are started. A round begins every `POLL_INTERVAL`, or earlier when the group or an endpoint list
//! has news.
//!
//! There is one way out: after a shutdown command nothing is started, and the loop ends with the last instance.

mod coordinated;
mod instance_handle;
mod listeners;
mod policy_check;

pub use coordinated::CoordinationError;

use crate::endpoint_directory::{CompactApplied, EndpointDirectory};
use crate::group::{GroupError, GroupEvent, Membership};
use crate::json_file::JsonFileError;
use crate::list_watcher::ListWatcher;
use crate::manifest::Manifest;
use crate::plan::APPLIED_FILE;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use coordinated::Coordinated;
use futures_lite::future;
use instance_handle::{InstanceHandle, StartContext};
use listeners::{FrontendListeners, ListenerKey};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_delivery::instance::{self, InstanceCommand, InstanceError, SHUTDOWN_TIMEOUT};
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// How often the home folder is polled for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// An instance that ended by itself, or that could not be started, is started again after this.
const RESTART_BACKOFF: Duration = Duration::from_secs(1);
/// How long an instance that is restarted for a change lets its attempts finish.
const RESTART_TIMEOUT: Duration = Duration::from_secs(8);
/// The file that the one supervisor of a home holds locked.
const LOCK_FILE: &str = "run.lock";

/// Why a supervisor does not run.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// The process's signals cannot be watched.
    #[error("{}", error_reporter::Report::new(.0))]
    Signals(#[from] InstanceError),
    /// What is applied cannot be read.
    #[error(transparent)]
    Applied(#[from] JsonFileError),
    /// The home's place in its group cannot be read.
    #[error(transparent)]
    Membership(#[from] GroupError),
    /// The lock file cannot be created.
    #[error("{0}")]
    LockFile(#[source] io::Error),
    /// Another process supervises the same home.
    #[error("{}: another daemon runs this fleet ({source})", home.display())]
    AlreadyRunning {
        /// The home folder.
        home: PathBuf,
        /// What the lock said.
        source: TryLockError,
    },
    /// The group cannot be joined.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

/// Runs what is applied in a home until the process is told to end. In a home that is a member of a group, all that
/// its instances do under a policy is written to `history`, if that is given, and its link listens at `link` instead
/// of the manifest's address.
///
/// # Errors
/// Where the home cannot be read, is supervised already, or its group cannot be joined.
pub fn run(
    home: &Path,
    history: Option<&Path>,
    link: Option<SocketAddr>,
) -> Result<(), SupervisorError> {
    let signals = instance::signals()?;
    let preloaded = Preloaded {
        modified: applied_modified(home),
        applied: CompactApplied::read(home)?,
    };
    let membership = Membership::read(home)?;
    let _lock = lock_home(home)?;
    let (command_sender, commands) = async_channel::unbounded();
    let tasks = Rc::new(LocalExecutor::new());
    let _signal_task = tasks.spawn(instance::watch_signals(signals, command_sender));
    let join = |member| Coordinated::join(member, home, history, link, &Spawner::new(&tasks));
    let coordinated = membership.map(join).transpose()?;
    let supervisor = Supervisor::new(home, commands, preloaded, coordinated);
    async_io::block_on(tasks.run(supervisor.run()));
    Ok(())
}

/// Two supervisors over one home would write into each other's journals.
fn lock_home(home: &Path) -> Result<File, SupervisorError> {
    let lock = File::create(home.join(LOCK_FILE)).map_err(SupervisorError::LockFile)?;
    lock.try_lock()
        .map_err(|source| SupervisorError::AlreadyRunning {
            home: home.to_owned(),
            source,
        })?;
    Ok(lock)
}

/// When what is applied last changed; `None` where nothing is.
fn applied_modified(home: &Path) -> Option<SystemTime> {
    std::fs::metadata(home.join(APPLIED_FILE))
        .and_then(|file| file.modified())
        .ok()
}

/// What was read before the supervisor started, and when it had changed by then.
struct Preloaded {
    modified: Option<SystemTime>,
    applied: CompactApplied,
}

/// Whether instances are still started.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    ShuttingDown,
}

/// What ends the pause between two rounds.
enum Wakeup {
    Poll,
    GroupEvent(Option<GroupEvent>),
    ListsChanged,
}

/// The owner of all instances of a home.
struct Supervisor {
    home: PathBuf,
    commands: Receiver<InstanceCommand>,
    coordinated: Option<Coordinated>,
    preloaded: Option<Preloaded>,
    /// A group's event that ended the last pause.
    pending_event: Option<GroupEvent>,
    phase: Phase,
    /// When the applied file had last changed at its last reading; `None` to read it again in any case.
    applied_modified: Option<SystemTime>,
    revision: u64,
    manifest: Manifest,
    directory: EndpointDirectory,
    /// Whether the manifest or an endpoint list changed since the instances were last notified.
    changed: bool,
    list_watcher: Option<ListWatcher>,
    instances: BTreeMap<String, InstanceHandle>,
    /// Instances that are not started before then.
    restart_at: BTreeMap<String, Instant>,
    listeners: FrontendListeners,
}

impl Supervisor {
    fn new(
        home: &Path,
        commands: Receiver<InstanceCommand>,
        preloaded: Preloaded,
        coordinated: Option<Coordinated>,
    ) -> Supervisor {
        Supervisor {
            home: home.to_owned(),
            commands,
            coordinated,
            preloaded: Some(preloaded),
            pending_event: None,
            phase: Phase::Running,
            applied_modified: None,
            revision: 0,
            manifest: Manifest::default(),
            directory: EndpointDirectory::default(),
            changed: false,
            list_watcher: None,
            instances: BTreeMap::new(),
            restart_at: BTreeMap::new(),
            listeners: FrontendListeners::default(),
        }
    }

    /// Runs until a shutdown command came and the last instance has ended.
    async fn run(mut self) {
        loop {
            self.handle_group_events().await;
            self.reload_applied();
            self.handle_commands();
            self.push_changes();
            self.reap_instances();
            match self.phase {
                Phase::ShuttingDown if self.instances.is_empty() => return,
                Phase::ShuttingDown => {}
                Phase::Running => {
                    self.shut_down_outdated();
                    self.close_unused_listeners();
                    self.start_missing();
                }
            }
            self.pause().await;
        }
    }

    async fn handle_group_events(&mut self) {
        while let Some(event) = self.next_group_event() {
            match event {
                // The policy is read from the folder, where it was just put.
                GroupEvent::PolicyInForce => self.applied_modified = None,
                GroupEvent::LeaseChanged => self.broadcast(&InstanceCommand::LeaseChanged),
                GroupEvent::CheckPolicy(proposed, answer) => {
                    self.check_policy(&proposed, &answer).await
                }
            }
        }
    }

    fn next_group_event(&mut self) -> Option<GroupEvent> {
        let received = || self.coordinated.as_ref()?.events.try_recv().ok();
        self.pending_event.take().or_else(received)
    }

    async fn check_policy(&self, proposed: &Manifest, answer: &Sender<PolicyVerdict>) {
        let expected: Vec<&str> = self.own_instances().collect();
        let verdict = policy_check::check_policy(proposed, &self.instances, &expected).await;
        // One that no longer waits has withdrawn the proposal.
        let _ = answer.try_send(verdict.into());
    }

    fn broadcast(&self, command: &InstanceCommand) {
        for instance in self.instances.values() {
            instance.send(command.clone());
        }
    }

    /// Reads what is applied if that changed since.
    fn reload_applied(&mut self) {
        let modified = applied_modified(&self.home);
        if modified == self.applied_modified || self.phase == Phase::ShuttingDown {
            return;
        }
        self.applied_modified = modified;
        let preloaded = self.preloaded.take();
        let applied = match preloaded.filter(|preloaded| preloaded.modified == modified) {
            Some(preloaded) => Ok(preloaded.applied),
            None => CompactApplied::read(&self.home),
        };
        match applied {
            Ok(applied) => self.adopt(applied),
            Err(error) => {
                log_line!("manifest: kept as it was, {error}");
                if matches!(error, JsonFileError::Read { .. }) {
                    // What could not be read now may be in a moment, and is not changed again for that.
                    self.applied_modified = None;
                }
            }
        }
    }

    fn adopt(&mut self, applied: CompactApplied) {
        let instance_count = applied.manifest.instances.len();
        log_line!(
            "manifest: revision {}, {instance_count} instances",
            applied.revision
        );
        self.revision = applied.revision;
        self.manifest = applied.manifest;
        self.directory = applied.directory;
        self.changed = true;
        match &self.list_watcher {
            Some(watcher) => watcher.set_manifest(&self.manifest),
            None if self.manifest.list_source.is_some() => self.start_list_watcher(),
            None => {}
        }
    }

    fn start_list_watcher(&mut self) {
        match ListWatcher::start(&self.home, &self.manifest) {
            Ok(watcher) => self.list_watcher = Some(watcher),
            Err(error) => log_line!(
                code = "list-watcher-not-started",
                "endpoint lists are not watched: {error}"
            ),
        }
    }

    fn handle_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                InstanceCommand::ReloadConfig => {
                    // Read again even if its modification time is the same.
                    self.applied_modified = None;
                    if let Some(watcher) = &self.list_watcher {
                        watcher.rescan();
                    }
                }
                InstanceCommand::Shutdown {
                    timeout,
                    restart: _,
                } => {
                    for instance in self.instances.values_mut() {
                        instance.shut_down(timeout);
                    }
                    self.phase = Phase::ShuttingDown;
                }
                InstanceCommand::PrintCounters
                | InstanceCommand::DiscoveryMoved(_)
                | InstanceCommand::ReplaceDestinations(..)
                | InstanceCommand::UpdatePolicy(_)
                | InstanceCommand::CheckPolicy(..)
                | InstanceCommand::LeaseChanged => self.broadcast(&command),
            }
        }
    }

    /// Passes a changed manifest or endpoint list on to the instances that can take it as they run.
    fn push_changes(&mut self) {
        self.changed |= self
            .list_watcher
            .as_ref()
            .is_some_and(|watcher| watcher.changes.try_recv().is_ok());
        if !std::mem::take(&mut self.changed) {
            return;
        }
        self.merge_endpoint_lists();
        // An instance that is shut down is followed by one that starts with all that is in force.
        for (name, instance) in &mut self.instances {
            if instance.is_shutting_down() {
                continue;
            }
            let new_policy = self.coordinated.is_some() && instance.revision() != self.revision;
            let manifest = self.manifest.instance_manifest(name);
            let changed = manifest.filter(|manifest| {
                (new_policy || manifest != instance.manifest())
                    && instance.manifest().can_update_in_place(manifest)
            });
            match changed {
                Some(manifest) => {
                    log_line!("{name}: applies a change in place");
                    instance.update_policy(manifest, self.revision, &self.directory);
                }
                None => instance.replace_destinations(&self.directory),
            }
        }
    }

    fn merge_endpoint_lists(&mut self) {
        let Some(watcher) = &self.list_watcher else {
            return;
        };
        match watcher.with_lists(|lists| self.directory.with_endpoint_lists(lists)) {
            Ok(directory) => self.directory = directory,
            Err(error) => log_line!(
                code = "destination-table-full",
                "destinations kept as they were: {error}"
            ),
        }
    }

    /// Forgets instances that ended; one that ended by itself is to be started again.
    fn reap_instances(&mut self) {
        let ended: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, instance)| instance.has_ended())
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            let Some(instance) = self.instances.remove(&name) else {
                continue;
            };
            if !instance.is_shutting_down() {
                log_line!("{name}: ended by itself, is started again");
                self.back_off(&name);
            }
            instance.join();
        }
    }

    fn back_off(&mut self, name: &str) {
        let restart_at = Instant::now() + RESTART_BACKOFF;
        self.restart_at.insert(name.to_owned(), restart_at);
    }

    /// Shuts down the instances that are not of the manifest any more, or not as they are.
    fn shut_down_outdated(&mut self) {
        for (name, instance) in &mut self.instances {
            if instance.is_shutting_down() {
                continue;
            }
            let own = runs_here(self.coordinated.as_ref(), &self.manifest, name);
            let manifest = self.manifest.instance_manifest(name).filter(|_| own);
            match manifest {
                Some(manifest) if manifest == *instance.manifest() => {}
                Some(_) => {
                    log_line!("{name}: applies a change by a restart");
                    instance.end_for_restart(RESTART_TIMEOUT);
                }
                None => {
                    log_line!("{name}: leaves the manifest");
                    instance.shut_down(SHUTDOWN_TIMEOUT);
                }
            }
        }
    }

    /// A listener outlives the instance behind it: who connects during a restart waits instead of being rejected.
    fn close_unused_listeners(&mut self) {
        let used: BTreeSet<ListenerKey> = self
            .own_instances()
            .filter_map(|name| Some((name, self.manifest.instances.get(name)?)))
            .flat_map(|(name, instance)| ListenerKey::all_of(name, instance))
            .collect();
        self.listeners.retain(&used);
    }

    fn start_missing(&mut self) {
        let now = Instant::now();
        let missing: Vec<String> = self
            .own_instances()
            .filter(|name| !self.instances.contains_key(*name))
            .filter(|name| self.restart_at.get(*name).is_none_or(|at| *at <= now))
            .map(str::to_owned)
            .collect();
        for name in missing {
            let Some(manifest) = self.manifest.instance_manifest(&name) else {
                continue;
            };
            let context = StartContext {
                home: &self.home,
                directory: &self.directory,
                lease_guard: self.coordinated.as_ref().map(Coordinated::lease_guard),
                revision: self.revision,
            };
            match InstanceHandle::start(manifest, context, &mut self.listeners) {
                Ok(instance) => drop(self.instances.insert(name, instance)),
                Err(error) => {
                    log_line!("{name}: not started, {error}");
                    self.back_off(&name);
                }
            }
        }
    }

    /// The manifest's instances that this supervisor runs.
    fn own_instances(&self) -> impl Iterator<Item = &str> {
        let names = self.manifest.instances.keys().map(String::as_str);
        names.filter(|name| runs_here(self.coordinated.as_ref(), &self.manifest, name))
    }

    /// Waits for the next round.
    async fn pause(&mut self) {
        let poll = async {
            Timer::after(POLL_INTERVAL).await;
            Wakeup::Poll
        };
        let group_event = async {
            match &self.coordinated {
                Some(coordinated) => Wakeup::GroupEvent(coordinated.events.recv().await.ok()),
                None => future::pending().await,
            }
        };
        let lists_changed = async {
            match &self.list_watcher {
                Some(watcher) => match watcher.changes.recv().await {
                    Ok(()) => Wakeup::ListsChanged,
                    Err(_) => Wakeup::Poll,
                },
                None => future::pending().await,
            }
        };
        match future::or(future::or(poll, group_event), lists_changed).await {
            Wakeup::Poll => {}
            Wakeup::GroupEvent(event) => self.pending_event = event,
            Wakeup::ListsChanged => self.changed = true,
        }
    }
}

/// Whether this supervisor runs an instance: all of them, unless it is one of a group.
fn runs_here(coordinated: Option<&Coordinated>, manifest: &Manifest, instance: &str) -> bool {
    coordinated.is_none_or(|coordinated| coordinated.runs(manifest, instance))
}

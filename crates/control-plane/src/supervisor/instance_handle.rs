//! An instance that runs on its own thread.

use super::listeners::{FrontendListeners, ListenError};
use crate::endpoint_directory::EndpointDirectory;
use crate::instance_config::{ClassTable, InstanceConfigBuilder, InstanceListeners};
use crate::manifest::InstanceManifest;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use marblefall_delivery::instance::{
    self, InstanceCommand, InstanceConfig, InstanceError, LeaseConfig, ShutdownReason,
};
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::log_line;
use marblefall_delivery::net::spawner::Spawner;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Name of the folder in a home that contains each instance's state folder.
const INSTANCES_FOLDER: &str = "instances";
/// Maximum time for which an instance that is removed delivers its messages. Events live for seven days at most.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(8 * 24 * 3600);

/// An error that prevents an instance from starting.
#[derive(Debug, thiserror::Error)]
pub(super) enum StartError {
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("{0}")]
    Thread(#[from] io::Error),
}

/// The parameters of an instance's start, besides its manifest.
pub(super) struct StartContext<'a> {
    /// The home folder.
    pub home: &'a Path,
    /// The destinations with their endpoints.
    pub directory: &'a EndpointDirectory,
    /// The lease guard that permits the instance to act; `None` outside a group.
    pub lease_guard: Option<Arc<LeaseGuard>>,
    /// The revision of the instance's manifest.
    pub revision: u64,
}

/// An instance and its thread.
pub(super) struct InstanceHandle {
    manifest: InstanceManifest,
    /// The revision of the instance's manifest in a group; 0 outside a group.
    revision: u64,
    classes: ClassTable,
    commands: Sender<InstanceCommand>,
    thread: JoinHandle<Result<(), InstanceError>>,
    lifecycle: Lifecycle,
}

/// Whether an instance serves clients, or on which command it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Running,
    /// The instance is removed. It ends once its messages have ended.
    Removed,
    ShuttingDown,
}

impl InstanceHandle {
    /// Opens the instance's listeners and starts its thread.
    ///
    /// # Errors
    /// A listener cannot be opened, or the thread cannot be started.
    pub fn start(
        manifest: InstanceManifest,
        context: StartContext<'_>,
        listeners: &mut FrontendListeners,
    ) -> Result<InstanceHandle, StartError> {
        let listeners = listeners.open(&manifest)?;
        InstanceHandle::start_thread(manifest, context, listeners)
    }

    /// Starts the thread of an instance that is removed, without listeners. It ends once all of its messages have ended.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start_removed(
        manifest: InstanceManifest,
        context: StartContext<'_>,
    ) -> Result<InstanceHandle, StartError> {
        let no_listeners = InstanceListeners::default();
        let mut instance = InstanceHandle::start_thread(manifest, context, no_listeners)?;
        instance.remove();
        Ok(instance)
    }

    fn start_thread(
        manifest: InstanceManifest,
        context: StartContext<'_>,
        listeners: InstanceListeners,
    ) -> Result<InstanceHandle, StartError> {
        let mut classes = ClassTable::default();
        classes.update(&manifest);
        let revision = context.revision;
        let lease = context
            .lease_guard
            .map(|guard| LeaseConfig { guard, revision });
        let revision = lease.as_ref().map_or(0, |lease| lease.revision);
        let builder = InstanceConfigBuilder {
            manifest: &manifest,
            classes: &classes,
            directory: context.directory,
        };
        let folder = context.home.join(INSTANCES_FOLDER).join(&manifest.name);
        let config = builder.config(folder, lease, listeners);
        let (commands, received) = async_channel::unbounded();
        let name = manifest.name.clone();
        let thread = thread::Builder::new()
            .name(name.clone())
            .spawn(move || run_instance(&name, config, received))?;
        Ok(InstanceHandle {
            manifest,
            revision,
            classes,
            commands,
            thread,
            lifecycle: Lifecycle::Running,
        })
    }

    /// Returns the manifest under which the instance runs.
    pub fn manifest(&self) -> &InstanceManifest {
        &self.manifest
    }

    /// Returns the revision of the instance's manifest in a group; 0 outside a group.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the instance serves clients.
    pub fn is_running(&self) -> bool {
        self.lifecycle == Lifecycle::Running
    }

    /// Returns whether the instance is removed, and ends once its messages have ended.
    pub fn is_removed(&self) -> bool {
        self.lifecycle == Lifecycle::Removed
    }

    /// Returns whether the instance ends within a time-out.
    pub fn is_shutting_down(&self) -> bool {
        self.lifecycle == Lifecycle::ShuttingDown
    }

    /// Returns whether the instance's thread has ended, by a return or a panic.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Joins the instance's thread, and returns whether it ended without an error or a panic. Call this only once
    /// [`InstanceHandle::has_ended`] returns true: otherwise it blocks.
    pub fn join(self) -> bool {
        // Both were already logged. The other instances continue.
        matches!(self.thread.join(), Ok(Ok(())))
    }

    /// Sends a command to the instance. The command is lost if the instance has ended.
    pub fn send(&self, command: InstanceCommand) {
        let _ = self.commands.try_send(command);
    }

    /// Shuts the instance down within `timeout`.
    pub fn shut_down(&mut self, timeout: Duration) {
        self.send(InstanceCommand::Shutdown {
            timeout,
            reason: ShutdownReason::Stop,
        });
        self.lifecycle = Lifecycle::ShuttingDown;
    }

    /// Removes the instance. It accepts nothing more, and ends once all of its messages have ended.
    pub fn remove(&mut self) {
        self.send(InstanceCommand::Shutdown {
            timeout: REMOVAL_TIMEOUT,
            reason: ShutdownReason::Removal,
        });
        self.lifecycle = Lifecycle::Removed;
    }

    /// Shuts the instance down within `timeout` for a restart. It starts no further attempts.
    pub fn shut_down_for_restart(&mut self, timeout: Duration) {
        self.send(InstanceCommand::Shutdown {
            timeout,
            reason: ShutdownReason::Restart,
        });
        self.lifecycle = Lifecycle::ShuttingDown;
    }

    /// Updates the policy of the running instance.
    pub fn update_policy(
        &mut self,
        manifest: InstanceManifest,
        revision: u64,
        directory: &EndpointDirectory,
    ) {
        self.classes.update(&manifest);
        self.manifest = manifest.clone();
        self.revision = revision;
        let (classes, directory) = (self.classes.clone(), directory.clone());
        let make_update = move || {
            let builder = InstanceConfigBuilder {
                manifest: &manifest,
                classes: &classes,
                directory: &directory,
            };
            builder.policy_update(revision)
        };
        self.send(InstanceCommand::UpdatePolicy(Arc::new(make_update)));
    }

    /// Replaces the destinations of the running instance, without a change of its policy.
    pub fn replace_destinations(&self, directory: &EndpointDirectory) {
        self.send(InstanceCommand::ReplaceDestinations(
            directory.destination_table.clone(),
            directory.targets.clone(),
        ));
    }
}

/// Runs an instance on the current thread until it ends. Logs its error.
fn run_instance(
    name: &str,
    config: InstanceConfig,
    commands: Receiver<InstanceCommand>,
) -> Result<(), InstanceError> {
    let _span = instance::instance_span(name).entered();
    let tasks = Rc::new(LocalExecutor::new());
    let running = instance::run_instance(config, commands, Spawner::new(&tasks));
    async_io::block_on(tasks.run(running))
        .inspect_err(|error| log_line!(code = "instance-failed", "{error}"))
}

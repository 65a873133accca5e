//! The commands to an instance, and the loop that handles them.

use super::resource_monitor::ResourceMonitor;
use super::shutdown::{Shutdown, Successor};
use super::PolicyUpdate;
use crate::core::destination_table::DestinationTable;
use crate::core::engine::{EngineEvent, PolicyMismatch, ProposedPolicy};
use crate::counters::Counters;
use crate::frontend::cloudevents::{CloudEventsFrontend, Destinations, Target};
use crate::frontend::platform::PlatformFrontend;
use crate::frontend::SwappableFrontend;
use crate::log_line;
use crate::net::server::ClientConnections;
use async_channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A command to a running instance.
#[derive(Clone)]
pub enum InstanceCommand {
    /// Log the counters.
    PrintCounters,
    /// Reload the configuration.
    ReloadConfig,
    /// Use discovery at another address from now on.
    DiscoveryMoved(SocketAddr),
    /// Replace the destinations and the targets that define how events are sent to them.
    ReplaceDestinations(Arc<DestinationTable>, Arc<Vec<Target>>),
    /// Put another policy in force in the frontends and the engine. The update is created on the instance's own thread.
    UpdatePolicy(Arc<dyn Fn() -> PolicyUpdate + Send + Sync>),
    /// Check whether a proposed policy covers the open messages, and send the verdict.
    CheckPolicy(ProposedPolicy, Sender<Result<(), PolicyMismatch>>),
    /// Check the lease again, as its state has changed.
    LeaseChanged,
    /// Shut down.
    Shutdown {
        /// Maximum duration of the shutdown.
        timeout: Duration,
        /// The reason for the shutdown.
        reason: ShutdownReason,
    },
}

/// The reason for a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReason {
    /// The instance is stopped. Open messages are still delivered as far as the time permits.
    Stop,
    /// Another incarnation is started once this one has ended. No further attempt is started.
    Restart,
    /// The instance is removed, and no other incarnation follows. It accepts no message, and ends once every message that it
    /// has accepted has its final outcome and the platform has acknowledged the notices.
    Removal,
}

/// Handles the commands to a running instance.
pub(super) struct CommandLoop {
    pub(super) counters: Rc<Counters>,
    pub(super) resources: Rc<ResourceMonitor>,
    pub(super) clients: Rc<ClientConnections>,
    pub(super) platform: Option<Rc<SwappableFrontend<PlatformFrontend>>>,
    pub(super) cloudevents: Rc<SwappableFrontend<CloudEventsFrontend>>,
    /// Sends events to the engine that it receives before clients' requests.
    pub(super) priority_events: Sender<EngineEvent>,
    /// Send a new address of discovery to the tasks that call it.
    pub(super) discovery_changes: Vec<Sender<SocketAddr>>,
    pub(super) shutdown: Rc<Shutdown>,
}

impl CommandLoop {
    /// Handles commands until their channel is closed, beginning with those that were received while the instance started.
    pub(super) async fn run(
        self,
        early_commands: Vec<InstanceCommand>,
        commands: Receiver<InstanceCommand>,
    ) {
        for command in early_commands {
            self.handle(command).await;
        }
        while let Ok(command) = commands.recv().await {
            self.handle(command).await;
        }
    }

    async fn handle(&self, command: InstanceCommand) {
        match command {
            InstanceCommand::PrintCounters => {
                log_line!("{}", self.counters);
                log_line!("{}", self.resources.usage());
            }
            InstanceCommand::DiscoveryMoved(address) => self.move_discovery(address),
            InstanceCommand::ReplaceDestinations(table, targets) => {
                self.replace_destinations(table, targets).await;
            }
            InstanceCommand::UpdatePolicy(make_update) => self.update_policy(make_update()).await,
            InstanceCommand::CheckPolicy(proposed, verdict_sender) => {
                self.send(EngineEvent::CheckPolicy(proposed, verdict_sender))
                    .await;
            }
            InstanceCommand::LeaseChanged => self.send(EngineEvent::LeaseChanged).await,
            // An instance without a configuration file of its own has nothing to reload.
            InstanceCommand::ReloadConfig => {}
            InstanceCommand::Shutdown { timeout, reason } => {
                self.shut_down(timeout, reason).await;
            }
        }
    }

    fn move_discovery(&self, address: SocketAddr) {
        for changes in &self.discovery_changes {
            let _ = changes.try_send(address);
        }
    }

    async fn replace_destinations(&self, table: Arc<DestinationTable>, targets: Arc<Vec<Target>>) {
        let destinations = Destinations {
            table: table.clone(),
            targets,
        };
        self.cloudevents.get().destinations.replace(destinations);
        self.send(EngineEvent::DestinationTableReplaced(table))
            .await;
    }

    /// Puts another policy in force, in the frontends at once and in the engine with its next step.
    async fn update_policy(&self, update: PolicyUpdate) {
        let PolicyUpdate {
            change,
            platform,
            cloudevents,
        } = update;
        if let (Some(frontend), Some(replacement)) = (&self.platform, platform) {
            frontend.set(replacement);
        }
        if let Some(replacement) = cloudevents {
            self.cloudevents.set(replacement);
        }
        self.send(EngineEvent::PolicyChanged(Box::new(change)))
            .await;
    }

    async fn shut_down(&self, timeout: Duration, reason: ShutdownReason) {
        if self.shutdown.has_begun() && !self.shutdown.is_removal() {
            // The process may end before the time that a restart was given.
            if let Some(event) = self.shutdown.shorten(timeout) {
                log_line!("shutdown requested during a shutdown, which is shortened");
                self.clients.send(event).await;
            }
            return;
        }
        log_line!("shutdown requested");
        let successor = match reason {
            ShutdownReason::Stop => Successor::None,
            ShutdownReason::Restart => Successor::Restart,
            ShutdownReason::Removal => Successor::Never,
        };
        let event = self.shutdown.begin(timeout, successor);
        self.clients.send(event).await;
    }

    async fn send(&self, event: EngineEvent) {
        // Fails only once the engine has ended.
        let _ = self.priority_events.send(event).await;
    }
}

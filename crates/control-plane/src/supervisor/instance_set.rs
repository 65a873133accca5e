//! The instances that a supervisor runs, and their reconciliation with the manifest.

use super::desired_state::DesiredState;
use super::group_member::GroupMember;
use super::instance_handle::{InstanceHandle, StartContext};
use super::listeners::{FrontendListeners, ListenerKey};
use super::policy_check;
use crate::manifest::Manifest;
use crate::removed_instances;
use marblefall_coordination::message::PolicyVerdict;
use marblefall_delivery::instance::InstanceCommand;
use marblefall_delivery::log_line;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

/// Delay before an instance that failed, or could not be started, is started again.
const RESTART_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time for which an instance that is restarted for a change waits for its attempts in flight.
const RESTART_TIMEOUT: Duration = Duration::from_secs(8);

/// The instances that a supervisor runs.
#[derive(Default)]
pub(super) struct InstanceSet {
    instances: BTreeMap<String, InstanceHandle>,
    /// Earliest time of the next start of each instance that has failed, or could not be started.
    restart_at: BTreeMap<String, Instant>,
    listeners: FrontendListeners,
}

impl InstanceSet {
    /// Returns whether no instance runs.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Sends a command to all instances.
    pub fn broadcast(&self, command: &InstanceCommand) {
        for instance in self.instances.values() {
            instance.send(command.clone());
        }
    }

    /// Shuts down all instances.
    pub fn shut_down(&mut self, timeout: Duration) {
        for instance in self.instances.values_mut() {
            instance.shut_down(timeout);
        }
    }

    /// Checks with all instances whether they can act under a proposed policy.
    pub async fn check_policy(&self, proposed: &Manifest, desired: &DesiredState) -> PolicyVerdict {
        let result = policy_check::check_policy(proposed, &self.instances, desired).await;
        result.into()
    }

    /// Sends a change of the manifest or of an endpoint list to the instances that can apply it without a restart.
    pub fn push_changes(&mut self, desired: &DesiredState) {
        let applied = &desired.applied;
        let is_in_group = desired.group_member.is_some();
        for (name, instance) in &mut self.instances {
            // The instance is started again with the changed manifest, if at all.
            if instance.is_shutting_down() {
                continue;
            }
            let is_outdated = is_in_group && instance.revision() != applied.revision;
            let manifest = desired.manifest_of(name, instance.manifest());
            let can_update = instance.manifest().can_update_in_place(&manifest);
            if (is_outdated || manifest != *instance.manifest()) && can_update {
                log_line!("{name}: applies a change in place");
                instance.update_policy(manifest, applied.revision, &applied.directory);
            } else {
                instance.replace_destinations(&applied.directory);
            }
        }
    }

    /// Removes instances that have ended. Those that were not shut down are started again after a backoff.
    pub fn reap(&mut self, home: &Path) {
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
            if instance.is_running() {
                log_line!("{name}: ended unexpectedly, restarting");
                self.back_off(&name);
            }
            let is_removed = instance.is_removed();
            let ended_regularly = instance.join();
            if is_removed && ended_regularly {
                log_line!(code = "instance-removed", "{name}: its removal is complete");
                forget_removed(home, &name);
            } else if is_removed {
                // Its file remains, so that the next start of the supervisor resumes its messages.
                log_line!("{name}: ended unexpectedly before its removal was complete");
            }
        }
    }

    /// Starts the instances that were removed, and did not end all of their messages before the supervisor started.
    pub fn start_removed(&mut self, desired: &DesiredState) {
        for stored in removed_instances::read_all(&desired.home) {
            let manifest = match stored {
                Ok(manifest) => manifest,
                Err(error) => {
                    log_line!(
                        code = "removed-instance-unreadable",
                        "the messages of a removed instance are not resumed: {error}"
                    );
                    continue;
                }
            };
            if desired.runs(&manifest.name) {
                continue;
            }
            let manifest = desired.manifest_of(&manifest.name, &manifest);
            let name = manifest.name.clone();
            log_line!("{name}: no longer declared here, resumes the messages that it has accepted");
            match InstanceHandle::start_removed(manifest, start_context(desired)) {
                Ok(instance) => drop(self.instances.insert(name, instance)),
                Err(error) => log_line!("{name}: cannot be started: {error}"),
            }
        }
    }

    /// Shuts down outdated instances, closes unused listeners, and starts missing instances.
    pub fn reconcile(&mut self, desired: &DesiredState) {
        self.shut_down_outdated(desired);
        self.close_unused_listeners(desired);
        self.start_missing(desired);
    }

    /// Removes instances that are no longer assigned to this supervisor, and restarts those whose manifest has changed.
    fn shut_down_outdated(&mut self, desired: &DesiredState) {
        for (name, instance) in &mut self.instances {
            if instance.is_shutting_down() {
                continue;
            }
            if !desired.runs(name) {
                if !instance.is_removed() {
                    log_line!(
                        "{name}: no longer declared here, delivers the messages that it has accepted"
                    );
                    instance.remove();
                }
                continue;
            }
            if instance.is_removed() {
                log_line!("{name}: declared again, restarting");
                instance.shut_down_for_restart(RESTART_TIMEOUT);
            } else if desired.manifest_of(name, instance.manifest()) != *instance.manifest() {
                log_line!("{name}: applies a change by a restart");
                instance.shut_down_for_restart(RESTART_TIMEOUT);
            }
        }
    }

    /// Closes listeners that no declared instance uses. Listeners stay open while their instance restarts, so that clients
    /// wait instead of being rejected.
    fn close_unused_listeners(&mut self, desired: &DesiredState) {
        let specs = &desired.applied.manifest.instances;
        let used: BTreeSet<ListenerKey> = desired
            .instances()
            .filter_map(|name| Some((name, specs.get(name)?)))
            .flat_map(|(name, spec)| ListenerKey::all_of(name, spec))
            .collect();
        self.listeners.retain(&used);
    }

    fn start_missing(&mut self, desired: &DesiredState) {
        let now = Instant::now();
        let missing: Vec<&str> = desired
            .instances()
            .filter(|name| !self.instances.contains_key(*name))
            .filter(|name| self.restart_at.get(*name).is_none_or(|at| *at <= now))
            .collect();
        for name in missing {
            self.start(name, desired);
        }
    }

    fn start(&mut self, name: &str, desired: &DesiredState) {
        let Some(manifest) = desired.applied.manifest.instance_manifest(name) else {
            return;
        };
        match InstanceHandle::start(manifest, start_context(desired), &mut self.listeners) {
            Ok(instance) => {
                // An instance of this name may have been removed before. This one continues its messages.
                forget_removed(&desired.home, name);
                self.instances.insert(name.to_owned(), instance);
            }
            Err(error) => {
                log_line!("{name}: cannot be started: {error}");
                self.back_off(name);
            }
        }
    }

    fn back_off(&mut self, name: &str) {
        let restart_at = Instant::now() + RESTART_BACKOFF;
        self.restart_at.insert(name.to_owned(), restart_at);
    }
}

fn start_context(desired: &DesiredState) -> StartContext<'_> {
    StartContext {
        home: &desired.home,
        directory: &desired.applied.directory,
        lease_guard: desired.group_member.as_ref().map(GroupMember::lease_guard),
        revision: desired.applied.revision,
    }
}

fn forget_removed(home: &Path, name: &str) {
    if let Err(error) = removed_instances::forget(home, name) {
        log_line!("{name}: the file of its removal cannot be deleted: {error}");
    }
}

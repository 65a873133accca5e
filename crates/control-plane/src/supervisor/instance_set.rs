//! The instances that a supervisor runs, and their reconciliation with the manifest.

use super::desired_state::DesiredState;
use super::group_member::GroupMember;
use super::instance_handle::{InstanceHandle, StartContext};
use super::listeners::{FrontendListeners, ListenerKey};
use super::policy_check;
use crate::manifest::Manifest;
use crate::plan;
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

    /// Returns the number of removed instances that run until their messages have ended.
    pub fn removed_count(&self) -> usize {
        let instances = self.instances.values();
        instances.filter(|instance| instance.is_removed()).count()
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
                self.forget_removed(home, &name);
            } else if is_removed {
                log_line!("{name}: ended unexpectedly before its removal was complete, restarting");
                self.back_off(&name);
            }
        }
    }

    /// Shuts down outdated instances, closes unused listeners, and starts missing instances.
    pub fn reconcile(&mut self, desired: &DesiredState) {
        self.store_undeclared(desired);
        self.shut_down_outdated(desired);
        self.close_unused_listeners(desired);
        self.start_missing(desired);
        self.reconcile_removed(desired);
    }

    /// Stores the running instances that this supervisor no longer runs, if the process that replaced the manifest did not.
    fn store_undeclared(&self, desired: &DesiredState) {
        let undeclared = self
            .instances
            .iter()
            .filter(|(name, _)| !desired.runs(name));
        for (name, instance) in undeclared {
            if let Err(error) =
                removed_instances::store_if_missing(&desired.home, instance.manifest())
            {
                log_line!(
                    code = "removed-instance-not-stored",
                    "{name}: a restart would not resume its messages: {error}"
                );
            }
        }
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
        let missing: Vec<&str> = desired
            .instances()
            .filter(|name| self.is_start_due(name))
            .collect();
        for name in missing {
            self.start(name, desired);
        }
    }

    /// Returns whether an instance does not run, and is not to be started later.
    fn is_start_due(&self, name: &str) -> bool {
        let restart_at = self.restart_at.get(name);
        !self.instances.contains_key(name) && restart_at.is_none_or(|at| *at <= Instant::now())
    }

    /// Resumes the removed instances that do not run, whatever has ended them, and forgets the removal of instances that run
    /// here again.
    fn reconcile_removed(&mut self, desired: &DesiredState) {
        let names = match removed_instances::names(&desired.home) {
            Ok(names) => names,
            Err(error) => {
                return log_line!(
                    code = "removed-instance-unreadable",
                    "the messages of removed instances are not resumed yet: {error}"
                )
            }
        };
        for name in names {
            if desired.runs(&name) {
                self.forget_redeclared(&name, desired);
            } else if self.is_start_due(&name) {
                self.start_removed(&name, desired);
            }
        }
    }

    /// Starts an instance that was removed and has not ended all of its messages.
    fn start_removed(&mut self, name: &str, desired: &DesiredState) {
        let manifest = match removed_instances::read(&desired.home, name) {
            Ok(manifest) => desired.manifest_of(name, &manifest),
            Err(error) => {
                log_line!(
                    code = "removed-instance-unreadable",
                    "the messages of a removed instance are not resumed yet: {error}"
                );
                return self.back_off(name);
            }
        };
        log_line!("{name}: no longer declared here, resumes the messages that it has accepted");
        match InstanceHandle::start_removed(manifest, start_context(desired)) {
            Ok(instance) => drop(self.instances.insert(name.to_owned(), instance)),
            Err(error) => {
                log_line!("{name}: cannot be started: {error}");
                self.back_off(name);
            }
        }
    }

    /// Forgets the removal of an instance that runs here again and continues its messages. While a plan is being applied the
    /// file may concern a further removal, so it is deleted later.
    fn forget_redeclared(&mut self, name: &str, desired: &DesiredState) {
        let instance = self.instances.get(name);
        if !instance.is_some_and(InstanceHandle::is_running) {
            return;
        }
        match plan::try_lock_revision(&desired.home, desired.applied.revision) {
            Ok(Some(_lock)) => self.forget_removed(&desired.home, name),
            Ok(None) => {}
            Err(error) => log_line!("{name}: the file of its removal is not deleted yet: {error}"),
        }
    }

    fn forget_removed(&mut self, home: &Path, name: &str) {
        if let Err(error) = removed_instances::forget(home, name) {
            log_line!("{name}: the file of its removal cannot be deleted: {error}");
            self.back_off(name);
        }
    }

    fn start(&mut self, name: &str, desired: &DesiredState) {
        let Some(manifest) = desired.declared_manifest(name) else {
            return;
        };
        match InstanceHandle::start(manifest, start_context(desired), &mut self.listeners) {
            Ok(instance) => drop(self.instances.insert(name.to_owned(), instance)),
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

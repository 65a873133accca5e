//! The desired state that the supervisor reconciles its instances with.

use super::group_member::GroupMember;
use crate::endpoint_directory::CompactApplied;
use crate::manifest::{InstanceManifest, Manifest};
use std::path::PathBuf;

/// The desired state that the supervisor reconciles its instances with.
pub(super) struct DesiredState {
    /// The home folder.
    pub home: PathBuf,
    /// The manifest in force, with the endpoints of the endpoint lists in force.
    pub applied: CompactApplied,
    /// The member of a group that this supervisor runs; `None` without a group, in which case it runs all instances.
    pub group_member: Option<GroupMember>,
    /// Number of removed instances that this supervisor still runs. They share the rates of destinations with the others.
    pub removed_instances: usize,
}

impl DesiredState {
    /// Returns whether an instance, if the manifest declares it, is assigned to this supervisor.
    pub fn runs_here(&self, instance: &str) -> bool {
        self.would_run(&self.applied.manifest, instance)
    }

    /// Returns whether an instance, if `manifest` declares it, would be assigned to this supervisor under it.
    pub fn would_run(&self, manifest: &Manifest, instance: &str) -> bool {
        let member = self.group_member.as_ref();
        member.is_none_or(|member| member.runs(manifest, instance))
    }

    /// Returns whether this supervisor runs an instance: the manifest declares it, and it is assigned to this supervisor.
    pub fn runs(&self, instance: &str) -> bool {
        self.applied.manifest.instances.contains_key(instance) && self.runs_here(instance)
    }

    /// Returns the manifest of an instance that this supervisor runs; `None` if it runs no such instance.
    pub fn declared_manifest(&self, instance: &str) -> Option<InstanceManifest> {
        let declared = self.applied.manifest.instance_manifest(instance);
        let mut manifest = declared.filter(|_| self.runs_here(instance))?;
        manifest.total_instances += self.removed_instances;
        Some(manifest)
    }

    /// Returns the manifest of an instance that runs under `current`. An instance that this supervisor no longer runs is
    /// removed and keeps its frontends.
    pub fn manifest_of(&self, instance: &str, current: &InstanceManifest) -> InstanceManifest {
        let declared = self.declared_manifest(instance);
        declared.unwrap_or_else(|| {
            let mut manifest = current.removed_under(&self.applied.manifest);
            // The instance itself is removed, although it may not be counted yet.
            manifest.total_instances += self.removed_instances.max(1);
            manifest
        })
    }

    /// Returns the names of the manifest's instances that this supervisor runs.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        let names = self.applied.manifest.instances.keys().map(String::as_str);
        names.filter(|name| self.runs_here(name))
    }
}

#[cfg(test)]
mod tests;

//! The desired state that the supervisor reconciles its instances with.

use super::group_member::GroupMember;
use crate::endpoint_directory::CompactApplied;
use std::path::PathBuf;

/// The desired state that the supervisor reconciles its instances with.
pub(super) struct DesiredState {
    /// The home folder.
    pub home: PathBuf,
    /// The manifest in force, with the endpoints of the endpoint lists in force.
    pub applied: CompactApplied,
    /// The member of a group that this supervisor runs; `None` without a group, in which case it runs all instances.
    pub group_member: Option<GroupMember>,
}

impl DesiredState {
    /// Returns whether an instance, if the manifest declares it, is assigned to this supervisor.
    pub fn runs_here(&self, instance: &str) -> bool {
        self.group_member
            .as_ref()
            .is_none_or(|member| member.runs(&self.applied.manifest, instance))
    }

    /// Returns the names of the manifest's instances that this supervisor runs.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        let names = self.applied.manifest.instances.keys().map(String::as_str);
        names.filter(|name| self.runs_here(name))
    }
}

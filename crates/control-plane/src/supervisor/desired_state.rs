//! The state to which a supervisor brings its instances.

use super::group_member::GroupMember;
use crate::endpoint_directory::CompactApplied;
use std::path::PathBuf;

/// The state to which a supervisor brings its instances.
pub(super) struct DesiredState {
    /// The home folder.
    pub home: PathBuf,
    /// The manifest in force, with the endpoints of the endpoint lists in force.
    pub applied: CompactApplied,
    /// The supervisor's part in its group. Without a group it runs all instances.
    pub group_member: Option<GroupMember>,
}

impl DesiredState {
    /// Whether this supervisor runs an instance, if the manifest declares it.
    pub fn runs_here(&self, instance: &str) -> bool {
        self.group_member
            .as_ref()
            .is_none_or(|member| member.runs(&self.applied.manifest, instance))
    }

    /// The manifest's instances that this supervisor runs.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        let names = self.applied.manifest.instances.keys().map(String::as_str);
        names.filter(|name| self.runs_here(name))
    }
}

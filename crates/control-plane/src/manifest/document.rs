//! The operators' file as it is written, with the position of each entry.

use super::group::{default_check_timeout_ms, default_lease_ms, default_quiesce_timeout_ms};
use super::{
    ClassSpec, DestinationSpec, EndpointListSource, GroupSpec, InstanceLimits, InstanceSpec,
    Manifest, MemberSpec, PartitionPolicy,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// Entries by name, each with its position.
pub(super) type Entries<T> = BTreeMap<String, Spanned<T>>;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Document {
    #[serde(default)]
    pub fleet: Option<Spanned<FleetSection>>,
    #[serde(default)]
    pub limits: InstanceLimits,
    #[serde(default, rename = "class")]
    pub classes: Entries<ClassSpec>,
    #[serde(default, rename = "destination")]
    pub destinations: Entries<DestinationSpec>,
    #[serde(default, rename = "instance")]
    pub instances: Entries<InstanceSpec>,
    #[serde(default, rename = "roster")]
    pub list_source: Option<Spanned<EndpointListSource>>,
    #[serde(default)]
    pub group: Option<Spanned<GroupSection>>,
}

/// What is declared of all instances together.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetSection {
    #[serde(default, rename = "elsewhere")]
    pub external_instances: usize,
}

/// The group, with the position of each member.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GroupSection {
    pub name: String,
    #[serde(default, rename = "on_cut")]
    pub partition_policy: PartitionPolicy,
    #[serde(default = "default_lease_ms", rename = "term_ms")]
    pub lease_ms: u64,
    #[serde(default = "default_check_timeout_ms", rename = "check_ms")]
    pub check_timeout_ms: u64,
    #[serde(default = "default_quiesce_timeout_ms", rename = "stop_ms")]
    pub quiesce_timeout_ms: u64,
    #[serde(default, rename = "member")]
    pub members: Entries<MemberSpec>,
}

impl Document {
    /// The model, without positions.
    pub fn into_manifest(self) -> Manifest {
        let fleet = self.fleet.map(Spanned::into_inner).unwrap_or_default();
        Manifest {
            limits: self.limits,
            classes: without_positions(self.classes),
            destinations: without_positions(self.destinations),
            instances: without_positions(self.instances),
            external_instances: fleet.external_instances,
            list_source: self.list_source.map(Spanned::into_inner),
            group: self.group.map(|group| group.into_inner().into_spec()),
            endpoint_origins: None,
        }
    }
}

impl GroupSection {
    fn into_spec(self) -> GroupSpec {
        GroupSpec {
            name: self.name,
            partition_policy: self.partition_policy,
            lease_ms: self.lease_ms,
            check_timeout_ms: self.check_timeout_ms,
            quiesce_timeout_ms: self.quiesce_timeout_ms,
            members: without_positions(self.members),
        }
    }
}

fn without_positions<T>(entries: Entries<T>) -> BTreeMap<String, T> {
    entries
        .into_iter()
        .map(|(name, entry)| (name, entry.into_inner()))
        .collect()
}

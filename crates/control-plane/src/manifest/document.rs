//! The operators' file as written, with the position of each entry.

use super::entries::{without_positions, Entries};
use super::group::GroupSection;
use super::{
    ClassSpec, DestinationSpec, EndpointListSource, InstanceLimits, InstanceSpec, Manifest,
};
use serde::Deserialize;
use toml::Spanned;

/// The parsed content of an operators' file.
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

/// Declarations that concern all instances together.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetSection {
    #[serde(default, rename = "elsewhere")]
    pub external_instances: usize,
}

impl Document {
    /// Converts the document to the model, which has no positions.
    pub fn into_manifest(self) -> Manifest {
        let fleet = self.fleet.map(Spanned::into_inner).unwrap_or_default();
        Manifest {
            limits: self.limits,
            classes: without_positions(self.classes),
            destinations: without_positions(self.destinations),
            instances: without_positions(self.instances),
            external_instances: fleet.external_instances,
            list_source: self.list_source.map(Spanned::into_inner),
            group: self.group.map(|group| group.into_inner().into()),
            endpoint_origins: None,
        }
    }
}

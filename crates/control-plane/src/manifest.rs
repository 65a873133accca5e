//! The manifest: the operators' declaration of instances with their frontends and limits, and of the classes and
//! destinations that the instances serve.
//!
//! A manifest is read in three steps, each with its own modules. `document` represents the file as written, with the
//! position of each entry. `checks` finds invalid and contradictory entries. `spec` and `group` define the model, which is
//! also the stored form of an applied manifest. An unknown or invalid entry is an error that names its line.
//!
//! Where a field's name differs from the operators' key, `#[serde(rename)]` preserves the key.

mod checks;
mod document;
mod entries;
mod error;
mod group;
mod instance_manifest;
mod spec;
#[cfg(test)]
mod tests;

pub use error::{FaultCause, InvalidManifest, ManifestError, ManifestFault};
pub use group::{GroupSpec, MemberSpec, PartitionPolicy};
pub use instance_manifest::InstanceManifest;
pub use spec::{
    ClassSpec, DestinationSpec, EndpointListSource, EndpointSpec, EventsFrontendSpec,
    IdempotencySpec, InstanceLimits, InstanceSpec, PlatformFrontendSpec,
};

use document::Document;
use marblefall_endpoint_lists::{EndpointSource, ListRules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The content of an operator's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Limits of the instances that do not declare their own.
    #[serde(default)]
    pub limits: InstanceLimits,
    /// Classes by name.
    #[serde(default)]
    pub classes: BTreeMap<String, ClassSpec>,
    /// Destinations by name.
    #[serde(default)]
    pub destinations: BTreeMap<String, DestinationSpec>,
    /// Instances by name.
    #[serde(default)]
    pub instances: BTreeMap<String, InstanceSpec>,
    /// Number of instances in other homes or on other machines that serve the same destinations. They share the rates and
    /// recovery ramps of the destinations with this home's instances, without any communication.
    #[serde(default, rename = "elsewhere", skip_serializing_if = "is_zero")]
    pub external_instances: usize,
    /// The source of endpoint lists, for destinations whose endpoints are not in the manifest.
    #[serde(default, rename = "roster")]
    pub list_source: Option<EndpointListSource>,
    /// The group of daemons that change their policy together; `None` if this daemon runs alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupSpec>,
    /// The source of each destination's endpoints, if the destinations themselves are in an endpoint directory.
    #[serde(skip)]
    pub endpoint_origins: Option<BTreeMap<String, EndpointSource>>,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

impl Manifest {
    /// Reads an operator's file. A relative path of endpoint lists is resolved against the file's folder.
    ///
    /// # Errors
    /// The file cannot be read, or is not valid.
    pub fn read(path: &Path) -> Result<Manifest, ManifestError> {
        let text = std::fs::read_to_string(path).map_err(|source| ManifestError::Read {
            path: path.to_owned(),
            source,
        })?;
        let mut manifest = Manifest::parse(&text).map_err(|source| ManifestError::Invalid {
            path: path.to_owned(),
            source,
        })?;
        if let Some(list_source) = &mut manifest.list_source {
            // The daemon may run in a different working directory than the operator's command.
            let folder = path.parent().unwrap_or(Path::new(""));
            list_source.path = std::path::absolute(folder.join(&list_source.path))
                .map_err(ManifestError::ListPath)?;
        }
        Ok(manifest)
    }

    /// Parses the text of an operator's file.
    ///
    /// # Errors
    /// The text is not TOML, has unknown or missing keys, or has invalid or contradictory entries. All invalid and
    /// contradictory entries are reported.
    pub fn parse(text: &str) -> Result<Manifest, InvalidManifest> {
        let document: Document = toml::from_str(text)?;
        let faults = checks::check(&document, text);
        if faults.is_empty() {
            Ok(document.into_manifest())
        } else {
            Err(InvalidManifest::Faults(faults))
        }
    }

    /// Returns the rules that this manifest sets for endpoint lists.
    pub fn list_rules(&self) -> ListRules {
        let origins = self.endpoint_origins.clone();
        let rules = ListRules {
            destinations: Some(origins.unwrap_or_else(|| self.own_endpoint_origins())),
            ..ListRules::default()
        };
        match &self.list_source {
            None => rules,
            Some(source) => ListRules {
                max_bytes: source.max_bytes(),
                max_weight_loss: source.max_weight_lost,
                max_endpoint_loss: source.max_endpoints_lost,
                ..rules
            },
        }
    }

    fn own_endpoint_origins(&self) -> BTreeMap<String, EndpointSource> {
        let origin = |destination: &DestinationSpec| match destination.endpoints.is_empty() {
            true => EndpointSource::Lists,
            false => EndpointSource::Manifest,
        };
        self.destinations
            .iter()
            .map(|(name, destination)| (name.clone(), origin(destination)))
            .collect()
    }
}

/// Returns the hash of a name: the 64-bit FNV-1a hash without its lowest bit. It is the scheduler's id of a destination, so
/// that the id does not depend on other destinations. It also identifies the owner of a voter's state file.
pub fn name_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    // Shifted right by one bit, because the journal stores ids as signed numbers.
    name.bytes().fold(OFFSET_BASIS, mix) >> 1
}

//! The manifest: the operators' declaration of instances with their frontends, and of the classes, destinations and limits
//! that they serve.
//!
//! Reading has three steps, each with a module of its own: `document` is the file as it is written, with the position of
//! each entry; `checks` finds invalid and contradictory entries; `spec` and `group` are the model, which is also the
//! stored form of an applied manifest. An unknown or invalid entry is an error that names its line.
//!
//! Where a field's name differs from the operators' key, `#[serde(rename)]` keeps the key.

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

/// An operator's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Limits of instances that have none of their own.
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
    /// The number of instances that serve the same destinations from other homes or machines. Destinations' rates and
    /// recovery ramps are shared with them, without any communication.
    #[serde(default, rename = "elsewhere", skip_serializing_if = "is_zero")]
    pub external_instances: usize,
    /// The source of endpoint lists, for destinations without endpoints of their own.
    #[serde(default, rename = "roster")]
    pub list_source: Option<EndpointListSource>,
    /// The group of daemons that change their policy together, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupSpec>,
    /// Where each destination's endpoints come from, if the destinations themselves are in an endpoint directory.
    #[serde(skip)]
    pub endpoint_origins: Option<BTreeMap<String, EndpointSource>>,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

impl Manifest {
    /// Reads an operator's file. A relative path of endpoint lists is relative to the file's folder.
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
            // The daemon may run in another working folder than the operator's command.
            let folder = path.parent().unwrap_or(Path::new(""));
            list_source.path = std::path::absolute(folder.join(&list_source.path))
                .map_err(ManifestError::ListPath)?;
        }
        Ok(manifest)
    }

    /// Parses the text of an operator's file.
    ///
    /// # Errors
    /// It is not TOML, has unknown or missing keys, or has invalid or contradictory entries, of which all are reported.
    pub fn parse(text: &str) -> Result<Manifest, InvalidManifest> {
        let document: Document = toml::from_str(text)?;
        let faults = checks::check(&document, text);
        if faults.is_empty() {
            Ok(document.into_manifest())
        } else {
            Err(InvalidManifest::Faults(faults))
        }
    }

    /// The rules for endpoint lists under this manifest.
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

/// A hash of a name: the 64-bit FNV-1a hash without its lowest bit. It is the scheduler's id of a destination, which does not
/// depend on other destinations, and the owner in a voter's state file.
pub fn name_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    // The journal stores ids as signed numbers.
    name.bytes().fold(OFFSET_BASIS, mix) >> 1
}

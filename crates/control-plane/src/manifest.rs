//! The manifest: what operators declare in their file, namely the instances with their frontends, and the classes,
//! destinations and limits that they serve.
//!
//! Reading goes in three steps, each with a module of its own: `document` is the file as it is written, with the
//! position of each entry; `checks` finds what contradicts itself; the specs of `spec` and `group` are the model, which
//! is also what is stored once applied. What is unknown or wrong is an error that names the line.
//!
//! The operators' keys are those of the first version; where a field has a better name, `#[serde(rename)]` keeps the
//! key.

mod checks;
mod document;
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

/// All that an operator's file declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Limits of every instance that has none of its own.
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
    /// How many instances serve the same destinations from other homes or machines. Destinations' rates and recovery
    /// ramps are shared with them, without any communication.
    #[serde(default, rename = "elsewhere", skip_serializing_if = "is_zero")]
    pub external_instances: usize,
    /// Where the endpoints of the destinations that have none here are listed.
    #[serde(default, rename = "roster")]
    pub list_source: Option<EndpointListSource>,
    /// The daemons that change all this together, if there are several.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupSpec>,
    /// Which destinations get their endpoints from lists, where the destinations themselves are kept in a directory.
    #[serde(skip)]
    pub endpoint_origins: Option<BTreeMap<String, EndpointSource>>,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

impl Manifest {
    /// Reads an operator's file from disk. A relative path of endpoint lists starts from the file's folder.
    ///
    /// # Errors
    /// Where the file cannot be read, or is not valid; the error names it.
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
            // The daemon may run in another folder than the operator who plans.
            let folder = path.parent().unwrap_or(Path::new(""));
            list_source.path = std::path::absolute(folder.join(&list_source.path))
                .map_err(ManifestError::ListPath)?;
        }
        Ok(manifest)
    }

    /// Reads the text of an operator's file.
    ///
    /// # Errors
    /// Where it is no TOML, has unknown or missing keys, or contradicts itself; all such faults are given at once.
    pub fn parse(text: &str) -> Result<Manifest, InvalidManifest> {
        let document: Document = toml::from_str(text)?;
        let faults = checks::check(&document, text);
        if faults.is_empty() {
            Ok(document.into_manifest())
        } else {
            Err(InvalidManifest::Faults(faults))
        }
    }

    /// What endpoint lists must keep to under this manifest.
    pub fn list_rules(&self) -> ListRules {
        let origins = self.endpoint_origins.clone();
        let terms = ListRules {
            destinations: Some(origins.unwrap_or_else(|| self.own_endpoint_origins())),
            ..ListRules::default()
        };
        match &self.list_source {
            None => terms,
            Some(source) => ListRules {
                max_bytes: source.max_bytes(),
                max_weight_loss: source.max_weight_lost,
                max_endpoint_loss: source.max_endpoints_lost,
                ..terms
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

/// The id by which the scheduler knows a destination: a hash of its name (64-bit FNV-1a), so that it stays the same when
/// others come and go.
pub fn destination_number(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    // The journal stores ids as signed numbers.
    name.bytes().fold(OFFSET_BASIS, mix) >> 1
}

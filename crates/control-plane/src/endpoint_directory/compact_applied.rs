//! The applied manifest of a home, read with its destinations directly into an endpoint directory.

use super::EndpointDirectory;
use crate::json_file::JsonFileError;
use crate::manifest::{
    ClassSpec, EndpointListSource, GroupSpec, InstanceLimits, InstanceSpec, Manifest,
};
use crate::plan::APPLIED_FILE;
use marblefall_delivery::core::destination_table::DestinationEntry;
use marblefall_endpoint_lists::EndpointSource;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

/// Size in bytes of the buffer for reading the file.
const READ_BUFFER: usize = 64 * 1024;

/// The applied manifest and its revision, with the destinations in an endpoint directory.
#[derive(Clone, Debug, Default)]
pub struct CompactApplied {
    /// The revision, which increases by one with each applied plan.
    pub revision: u64,
    /// The manifest without its destinations.
    pub manifest: Manifest,
    /// The destinations of the manifest.
    pub directory: EndpointDirectory,
}

/// The stored form of [`Applied`](crate::plan::Applied).
#[derive(Deserialize)]
struct StoredApplied {
    revision: u64,
    #[serde(rename = "fleet")]
    manifest: StoredManifest,
}

#[derive(Deserialize)]
struct StoredManifest {
    #[serde(default)]
    limits: InstanceLimits,
    #[serde(default)]
    classes: BTreeMap<String, ClassSpec>,
    #[serde(default)]
    destinations: EndpointDirectory,
    #[serde(default)]
    instances: BTreeMap<String, InstanceSpec>,
    #[serde(default, rename = "elsewhere")]
    external_instances: usize,
    #[serde(default, rename = "roster")]
    list_source: Option<EndpointListSource>,
    #[serde(default)]
    group: Option<GroupSpec>,
}

impl CompactApplied {
    /// Reads the applied manifest of a home. Returns an empty manifest with revision 0 if none is applied.
    ///
    /// # Errors
    /// The file cannot be read, or is not a valid applied manifest.
    pub fn read(home: &Path) -> Result<CompactApplied, JsonFileError> {
        let path = home.join(APPLIED_FILE);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Ok(CompactApplied::default())
            }
            Err(source) => return Err(JsonFileError::Read { path, source }),
        };
        let reader = BufReader::with_capacity(READ_BUFFER, file);
        let stored: StoredApplied = serde_json::from_reader(reader)
            .map_err(|source| JsonFileError::Parse { path, source })?;
        Ok(stored.into())
    }
}

impl From<StoredApplied> for CompactApplied {
    fn from(stored: StoredApplied) -> CompactApplied {
        let StoredManifest {
            limits,
            classes,
            destinations: directory,
            instances,
            external_instances,
            list_source,
            group,
        } = stored.manifest;
        let endpoint_origins = list_source.is_some().then(|| endpoint_origins(&directory));
        CompactApplied {
            revision: stored.revision,
            manifest: Manifest {
                limits,
                classes,
                instances,
                external_instances,
                list_source,
                group,
                endpoint_origins,
                ..Manifest::default()
            },
            directory,
        }
    }
}

/// Returns the source of each destination's endpoints.
fn endpoint_origins(directory: &EndpointDirectory) -> BTreeMap<String, EndpointSource> {
    let origin = |entry: &DestinationEntry<'_>| match entry.from_list {
        true => EndpointSource::Lists,
        false => EndpointSource::Manifest,
    };
    directory
        .destination_table
        .entries()
        .map(|entry| (entry.name.to_owned(), origin(&entry)))
        .collect()
}

//! The endpoint directory: all destinations of the manifest with their endpoints, including the endpoints of the endpoint
//! lists in force. All instances of the process share its compact form.

mod compact_applied;

pub use compact_applied::CompactApplied;

use crate::manifest::{name_hash, DestinationSpec, EndpointSpec};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry, TableError,
};
use marblefall_delivery::frontend::cloudevents::event::ContentMode;
use marblefall_delivery::frontend::cloudevents::Target;
use marblefall_endpoint_lists::{ActiveLists, Endpoint};
use marblefall_scheduler::DestinationId;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// All destinations, and the distinct targets for which events are encoded.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    /// The destinations with their endpoints.
    pub destination_table: Arc<DestinationTable>,
    /// The targets. The `encoding` of a destination is the index of its target.
    pub targets: Arc<Vec<Target>>,
}

impl EndpointDirectory {
    /// Returns a copy with the endpoints of the lists in force.
    ///
    /// # Errors
    /// The table's capacity is exceeded.
    pub fn with_endpoint_lists(
        &self,
        lists: &ActiveLists,
    ) -> Result<EndpointDirectory, TableError> {
        let mut listed: HashMap<&str, Vec<&Endpoint>> = HashMap::new();
        for (destination, endpoint) in lists.endpoints() {
            listed.entry(destination).or_default().push(endpoint);
        }
        let mut table = DestinationTable::with_large_capacity();
        for entry in self.destination_table.entries() {
            if entry.from_list {
                let endpoints = listed.get(entry.name).into_iter().flatten();
                table.add(entry, endpoints.map(|endpoint| listed_endpoint(endpoint)))?;
            } else {
                table.add(entry, self.destination_table.endpoints(entry.id))?;
            }
        }
        Ok(EndpointDirectory {
            destination_table: Arc::new(table.build()),
            targets: self.targets.clone(),
        })
    }
}

fn listed_endpoint(endpoint: &Endpoint) -> EndpointEntry<'_> {
    EndpointEntry {
        name: &endpoint.name,
        address: endpoint.address,
        weight: Some(endpoint.weight as f32),
        active: endpoint.is_active(),
    }
}

/// Builds an endpoint directory.
struct DirectoryBuilder {
    encodings: HashMap<(ContentMode, String), u16>,
    targets: Vec<Target>,
    table: DestinationTable,
}

impl DirectoryBuilder {
    fn new() -> DirectoryBuilder {
        DirectoryBuilder {
            encodings: HashMap::new(),
            targets: Vec::new(),
            table: DestinationTable::with_large_capacity(),
        }
    }

    fn add(&mut self, name: &str, destination: &DestinationSpec) -> Result<(), TableError> {
        let entry = DestinationEntry {
            name,
            id: DestinationId(name_hash(name)),
            encoding: self.encoding(destination)?,
            rate: destination.rate as f32,
            from_list: destination.endpoints.is_empty(),
        };
        let endpoints = destination.endpoints.iter().map(manifest_endpoint);
        self.table.add(entry, endpoints)
    }

    /// Returns the index of a destination's target, which is added if it is new.
    fn encoding(&mut self, destination: &DestinationSpec) -> Result<u16, TableError> {
        let next = u16::try_from(self.targets.len()).map_err(|_| TableError::Encodings)?;
        let key = (destination.content_mode, destination.path.clone());
        let encoding = self.encodings.entry(key).or_insert_with(|| {
            self.targets.push(Target {
                mode: destination.content_mode,
                path: destination.path.clone(),
            });
            next
        });
        Ok(*encoding)
    }

    fn build(self) -> EndpointDirectory {
        EndpointDirectory {
            destination_table: Arc::new(self.table.build()),
            targets: Arc::new(self.targets),
        }
    }
}

fn manifest_endpoint(endpoint: &EndpointSpec) -> EndpointEntry<'_> {
    EndpointEntry {
        name: &endpoint.name,
        address: endpoint.address,
        weight: None,
        active: !endpoint.draining,
    }
}

impl<'de> Deserialize<'de> for EndpointDirectory {
    /// Reads the destinations of an applied file one by one. As a collection of [`DestinationSpec`], 100,000 destinations
    /// would take ten times the memory, which an allocator does not return completely.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EndpointDirectory, D::Error> {
        deserializer.deserialize_map(DestinationVisitor)
    }
}

struct DestinationVisitor;

impl<'de> Visitor<'de> for DestinationVisitor {
    type Value = EndpointDirectory;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("destinations by name")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EndpointDirectory, A::Error> {
        let mut builder = DirectoryBuilder::new();
        while let Some((name, destination)) = map.next_entry::<String, DestinationSpec>()? {
            builder.add(&name, &destination).map_err(A::Error::custom)?;
        }
        Ok(builder.build())
    }
}

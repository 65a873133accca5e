//! The operators' file and the rosters in force as the couriers take them: one directory of all destinations for
//! every instance of the process, and how events leave to them.

use crate::file::{number_of, Class, Destination, Fleet, Group, Instance, Limits, RosterSource};
use crate::plan::APPLIED;
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry, TableError,
};
use marblefall_delivery::frontend::cloudevents::event::Mode;
use marblefall_delivery::frontend::cloudevents::Target;
use marblefall_endpoint_lists::{ActiveLists, Endpoint, EndpointSource};
use marblefall_scheduler::DestinationId;
use serde::de::{Deserializer, Error, MapAccess, Visitor};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;
use std::sync::Arc;

/// What is read of a file at once.
const READ: usize = 64 * 1024;

/// All destinations, and the few forms in which their legs are worded.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The destinations.
    pub destination_table: Arc<DestinationTable>,
    /// What their forms stand for.
    pub targets: Arc<Vec<Target>>,
}

/// A listing while it is made.
struct Making {
    forms: HashMap<(Mode, String), u16>,
    targets: Vec<Target>,
    destination_table: DestinationTable,
}

impl Making {
    fn add(&mut self, name: &str, to: &Destination) -> Result<(), TableError> {
        let next = u16::try_from(self.targets.len()).map_err(|_| TableError::Encodings)?;
        let form = *self
            .forms
            .entry((to.mode, to.path.clone()))
            .or_insert_with(|| {
                self.targets.push(Target {
                    mode: to.mode,
                    path: to.path.clone(),
                });
                next
            });
        self.destination_table
            .add(entry(name, to, form), to.endpoints.iter().map(fixed))
    }
}

impl<'de> Deserialize<'de> for Listing {
    /// Takes the destinations of an applied file one by one: a hundred thousand of them as values of their own would
    /// take up ten times the room that they need here, and an allocator does not give all of it back.
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Listing, D::Error> {
        struct OneByOne;
        impl<'de> Visitor<'de> for OneByOne {
            type Value = Listing;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("destinations by name")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Listing, A::Error> {
                let destination_table = DestinationTable::with_large_capacity();
                let mut making = Making {
                    forms: HashMap::new(),
                    targets: Vec::new(),
                    destination_table,
                };
                while let Some((name, to)) = map.next_entry::<String, Destination>()? {
                    making.add(&name, &to).map_err(A::Error::custom)?;
                }
                let Making {
                    targets,
                    destination_table,
                    ..
                } = making;
                Ok(Listing {
                    destination_table: Arc::new(destination_table.build()),
                    targets: Arc::new(targets),
                })
            }
        }
        from.deserialize_map(OneByOne)
    }
}

/// What is applied, with its destinations in as little room as will do.
#[derive(Deserialize)]
struct Lean {
    revision: u64,
    fleet: LeanFleet,
}

#[derive(Deserialize)]
struct LeanFleet {
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    classes: BTreeMap<String, Class>,
    #[serde(default)]
    destinations: Listing,
    #[serde(default)]
    instances: BTreeMap<String, Instance>,
    #[serde(default)]
    elsewhere: usize,
    #[serde(default)]
    roster: Option<RosterSource>,
    #[serde(default)]
    group: Option<Group>,
}

/// Reads what is applied in a folder: its revision, the fleet without its destinations, and these.
pub fn read(home: &Path) -> Result<(u64, Fleet, Listing), String> {
    let path = home.join(APPLIED);
    let file = match File::open(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Default::default()),
        file => file.map_err(|error| format!("{}: {error}", path.display()))?,
    };
    let lean: Result<Lean, _> = serde_json::from_reader(BufReader::with_capacity(READ, file));
    let Lean { revision, fleet } = lean.map_err(|error| format!("{}: {error}", path.display()))?;
    let LeanFleet {
        limits,
        classes,
        destinations,
        instances,
        elsewhere,
        roster,
        group,
    } = fleet;
    let mut fleet = Fleet {
        limits,
        classes,
        instances,
        elsewhere,
        roster,
        group,
        ..Fleet::default()
    };
    if fleet.roster.is_some() {
        let standing = |entry: &DestinationEntry<'_>| {
            if entry.from_list {
                EndpointSource::Lists
            } else {
                EndpointSource::Manifest
            }
        };
        let partners = destinations
            .destination_table
            .entries()
            .map(|entry| (entry.name.to_owned(), standing(&entry)));
        fleet.rostered = Some(partners.collect());
    }
    Ok((revision, fleet, destinations))
}

impl Listing {
    /// The same with what the rosters in force say now.
    pub fn with_rosters(&self, book: &ActiveLists) -> Result<Listing, TableError> {
        let mut listed: HashMap<&str, Vec<&Endpoint>> = HashMap::new();
        for (to, endpoint) in book.endpoints() {
            listed.entry(to).or_default().push(endpoint);
        }
        let mut destination_table = DestinationTable::with_large_capacity();
        for entry in self.destination_table.entries() {
            match entry.from_list {
                true => {
                    let endpoints = listed.get(entry.name).into_iter().flatten();
                    destination_table.add(entry, endpoints.map(|endpoint| rostered(endpoint)))?;
                }
                false => {
                    destination_table.add(entry, self.destination_table.endpoints(entry.id))?
                }
            }
        }
        Ok(Listing {
            destination_table: Arc::new(destination_table.build()),
            targets: self.targets.clone(),
        })
    }
}

fn entry<'a>(name: &'a str, to: &Destination, form: u16) -> DestinationEntry<'a> {
    let number = DestinationId(number_of(name));
    DestinationEntry {
        name,
        id: number,
        encoding: form,
        rate: to.rate as f32,
        from_list: to.endpoints.is_empty(),
    }
}

fn fixed(endpoint: &crate::file::Endpoint) -> EndpointEntry<'_> {
    EndpointEntry {
        name: &endpoint.name,
        address: endpoint.address,
        weight: None,
        active: !endpoint.draining,
    }
}

fn rostered(endpoint: &Endpoint) -> EndpointEntry<'_> {
    let (address, weight) = (endpoint.address, Some(endpoint.weight as f32));
    EndpointEntry {
        name: &endpoint.name,
        address,
        weight,
        active: endpoint.is_active(),
    }
}

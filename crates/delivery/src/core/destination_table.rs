//! All destinations and their endpoints in a compact form, as there may be thousands, most of them idle.
//!
//! A table is immutable once it is built. All instances of a process share one table, and a change replaces the table.
//! The state of a destination in an instance is not part of the table.

use super::endpoint::ListedEndpoint;
use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of destinations that [`DestinationTable::with_large_capacity`] allocates space for. [`DestinationTable::build`]
/// frees unused space. Growing the lists step by step instead would fragment the allocator's memory.
const LARGE_CAPACITY: usize = 1 << 18;
/// Space allocated for the names of each destination and its endpoints, in bytes.
const NAME_BYTES: usize = 32;

/// An endpoint of a destination in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// Name of the endpoint, which does not depend on the address.
    pub name: &'a str,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Share of the destination's calls, relative to the weights of its other endpoints; `None` where no weight is given.
    pub weight: Option<f32>,
    /// Whether new attempts may be sent to the endpoint; otherwise it is draining.
    pub active: bool,
}

/// A destination in the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationEntry<'a> {
    /// Name of the destination.
    pub name: &'a str,
    /// Id of the destination in the core.
    pub id: DestinationId,
    /// Encoding of attempts, as a number that the frontend defines.
    pub encoding: u16,
    /// Calls per second that the destination accepts from all instances together.
    pub rate: f32,
    /// Whether the endpoints are from an endpoint list. Their names are then prefixed with the destination's name.
    pub from_list: bool,
}

/// A limit of the table that a destination exceeds.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum TableError {
    /// A name is longer than 65,535 bytes, or all names together are longer than 4 GB.
    #[error("a name is longer than 65,535 bytes, or all names together are longer than 4 GB")]
    Names,
    /// There are more than 65,535 ways to encode an attempt.
    #[error("too many encodings of attempts")]
    Encodings,
    /// A destination has more than 65,535 endpoints.
    #[error("destination {0} has more than 65,535 endpoints")]
    Endpoints(String),
}

/// The compact table of all destinations and their endpoints.
#[derive(Clone, Debug, Default)]
pub struct DestinationTable {
    /// All names of destinations and endpoints, concatenated.
    names: String,
    /// All destinations, sorted by id once the table is built.
    destinations: Vec<PackedDestination>,
    /// All endpoints. The endpoints of one destination are adjacent.
    endpoints: Vec<PackedEndpoint>,
    ipv6_addresses: Vec<IpAddr>,
}

/// The position of a name in [`DestinationTable::names`].
#[derive(Clone, Copy, Debug)]
struct NameRange {
    start: u32,
    len: u16,
}

#[derive(Clone, Copy, Debug)]
struct PackedDestination {
    id: u64,
    name: NameRange,
    encoding: u16,
    rate: f32,
    first_endpoint: u32,
    endpoint_count: u16,
    from_list: bool,
}

#[derive(Clone, Copy, Debug)]
struct PackedEndpoint {
    name: NameRange,
    port: u16,
    /// The IPv4 address, or the index of the IPv6 address in [`DestinationTable::ipv6_addresses`].
    ip: u32,
    /// Weight of the endpoint; NaN where none is given.
    weight: f32,
    is_ipv6: bool,
    active: bool,
}

impl DestinationTable {
    /// Creates an empty table with space for many destinations.
    pub fn with_large_capacity() -> DestinationTable {
        DestinationTable {
            names: String::with_capacity(NAME_BYTES * LARGE_CAPACITY),
            destinations: Vec::with_capacity(LARGE_CAPACITY),
            endpoints: Vec::with_capacity(LARGE_CAPACITY),
            ipv6_addresses: Vec::new(),
        }
    }

    /// Adds a destination. Must not be called after [`DestinationTable::build`].
    ///
    /// # Errors
    /// The destination exceeds a limit of the compact form.
    pub fn add<'a>(
        &mut self,
        entry: DestinationEntry<'_>,
        endpoints: impl Iterator<Item = EndpointEntry<'a>>,
    ) -> Result<(), TableError> {
        let name = self.add_name(entry.name)?;
        let first_endpoint = self.endpoints.len();
        for endpoint in endpoints {
            self.add_endpoint(&endpoint)?;
        }
        let endpoint_count = u16::try_from(self.endpoints.len() - first_endpoint)
            .map_err(|_| TableError::Endpoints(entry.name.to_owned()))?;
        self.destinations.push(PackedDestination {
            id: entry.id.0,
            name,
            encoding: entry.encoding,
            rate: entry.rate,
            first_endpoint: first_endpoint as u32,
            endpoint_count,
            from_list: entry.from_list,
        });
        Ok(())
    }

    fn add_endpoint(&mut self, endpoint: &EndpointEntry<'_>) -> Result<(), TableError> {
        let name = self.add_name(endpoint.name)?;
        let (ip, is_ipv6) = match endpoint.address.ip() {
            IpAddr::V4(ip) => (ip.to_bits(), false),
            ip => {
                self.ipv6_addresses.push(ip);
                (self.ipv6_addresses.len() as u32 - 1, true)
            }
        };
        self.endpoints.push(PackedEndpoint {
            name,
            port: endpoint.address.port(),
            ip,
            weight: endpoint.weight.unwrap_or(f32::NAN),
            is_ipv6,
            active: endpoint.active,
        });
        Ok(())
    }

    fn add_name(&mut self, text: &str) -> Result<NameRange, TableError> {
        let start = u32::try_from(self.names.len()).map_err(|_| TableError::Names)?;
        let len = u16::try_from(text.len()).map_err(|_| TableError::Names)?;
        self.names.push_str(text);
        Ok(NameRange { start, len })
    }

    /// Sorts the destinations for lookups, and frees unused space.
    pub fn build(mut self) -> DestinationTable {
        self.destinations
            .sort_unstable_by_key(|destination| destination.id);
        self.names.shrink_to_fit();
        self.destinations.shrink_to_fit();
        self.endpoints.shrink_to_fit();
        self
    }

    /// Returns the number of destinations.
    pub fn len(&self) -> usize {
        self.destinations.len()
    }

    /// Returns whether there are no destinations.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Returns the size of the table in memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.destinations.capacity() * size_of::<PackedDestination>()
            + self.endpoints.capacity() * size_of::<PackedEndpoint>()
            + self.ipv6_addresses.capacity() * size_of::<IpAddr>()
            + self.names.capacity()
    }

    /// Returns the destination with an id.
    pub fn entry(&self, id: DestinationId) -> Option<DestinationEntry<'_>> {
        self.find(id).map(|packed| self.unpack(packed))
    }

    /// Returns all destinations, ordered by id.
    pub fn entries(&self) -> impl Iterator<Item = DestinationEntry<'_>> {
        self.destinations.iter().map(|packed| self.unpack(packed))
    }

    /// Returns the endpoints of a destination; none if the destination is unknown.
    pub fn endpoints(&self, id: DestinationId) -> impl Iterator<Item = EndpointEntry<'_>> {
        let packed = self.find(id).map(|destination| {
            let first = destination.first_endpoint as usize;
            let end = first + usize::from(destination.endpoint_count);
            self.endpoints.get(first..end).unwrap_or_default()
        });
        packed
            .unwrap_or_default()
            .iter()
            .map(|packed| self.unpack_endpoint(packed))
    }

    /// Returns the endpoints of a destination in the form that discovery also uses; none if the destination is unknown.
    pub fn listed_endpoints(&self, id: DestinationId) -> Vec<ListedEndpoint> {
        let Some(destination) = self.entry(id) else {
            return Vec::new();
        };
        let endpoints = self.endpoints(id);
        endpoints
            .map(|endpoint| listed_endpoint(&destination, &endpoint))
            .collect()
    }

    fn find(&self, id: DestinationId) -> Option<&PackedDestination> {
        let index = self
            .destinations
            .binary_search_by_key(&id.0, |destination| destination.id)
            .ok()?;
        self.destinations.get(index)
    }

    fn text(&self, name: NameRange) -> &str {
        let start = name.start as usize;
        self.names
            .get(start..start + usize::from(name.len))
            .unwrap_or_default()
    }

    fn unpack(&self, packed: &PackedDestination) -> DestinationEntry<'_> {
        DestinationEntry {
            name: self.text(packed.name),
            id: DestinationId(packed.id),
            encoding: packed.encoding,
            rate: packed.rate,
            from_list: packed.from_list,
        }
    }

    fn unpack_endpoint(&self, packed: &PackedEndpoint) -> EndpointEntry<'_> {
        let ip = if packed.is_ipv6 {
            let ipv6 = self.ipv6_addresses.get(packed.ip as usize).copied();
            ipv6.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED))
        } else {
            IpAddr::V4(Ipv4Addr::from_bits(packed.ip))
        };
        EndpointEntry {
            name: self.text(packed.name),
            address: SocketAddr::new(ip, packed.port),
            weight: Some(packed.weight).filter(|weight| !weight.is_nan()),
            active: packed.active,
        }
    }
}

fn listed_endpoint(
    destination: &DestinationEntry<'_>,
    endpoint: &EndpointEntry<'_>,
) -> ListedEndpoint {
    let name = if destination.from_list {
        format!("{}/{}", destination.name, endpoint.name)
    } else {
        endpoint.name.to_owned()
    };
    let status = if endpoint.active {
        EndpointStatus::Active
    } else {
        EndpointStatus::Draining
    };
    ListedEndpoint {
        name,
        address: endpoint.address.to_string(),
        started_ms: 0,
        destination: destination.id,
        kind: KindId(0),
        zone: ZoneId(0),
        status,
        advertised_rate: f64::from(destination.rate),
        weight: endpoint
            .weight
            .map(f64::from)
            .filter(|weight| *weight > 0.0),
    }
}

#[cfg(test)]
mod tests;

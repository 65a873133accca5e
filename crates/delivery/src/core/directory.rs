//! All destinations that there are, with their endpoints, in as few bytes as will do: most are silent for hours, and
//! thousands must cost little. One copy, read only, serves all instances of a process; another takes its place when
//! something changes. What a courier learns of a destination is not here.

use super::engine::Host;
use marblefall_scheduler::{DestinationId, KindId, Listing, ZoneId};
use std::net::{IpAddr, SocketAddr};

/// A part of the names.
#[derive(Clone, Copy, Debug)]
struct Name {
    start: u32,
    len: u16,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    /// What it is looked up by.
    number: u64,
    name: Name,
    form: u16,
    rate: f32,
    first: u32,
    count: u16,
    rostered: bool,
}

#[derive(Clone, Copy, Debug)]
struct End {
    name: Name,
    port: u16,
    /// The address, or where it stands among the long ones.
    ip: u32,
    /// Its weight, or none where that is not a number.
    weight: f32,
    long: bool,
    serves: bool,
}

/// An endpoint as it is put in and taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place<'a> {
    /// A name that stays the same when its address changes.
    pub name: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its part of the destination's calls, where such parts are given.
    pub weight: Option<f32>,
    /// Whether it gets anything new.
    pub serves: bool,
}

/// A destination as it is put in and taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry<'a> {
    /// Its name.
    pub name: &'a str,
    /// What stands for it in the core.
    pub number: DestinationId,
    /// How its front words a leg; a number of the front's own.
    pub form: u16,
    /// Calls a second that it takes from all couriers together.
    pub rate: f32,
    /// Whether its endpoints come from elsewhere than itself. Their names are then their destination's and their own
    /// together.
    pub rostered: bool,
}

/// All destinations.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: String,
    rows: Vec<Row>,
    ends: Vec<End>,
    long: Vec<IpAddr>,
}

/// What cannot be put in.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Full {
    /// A name is longer than 65,535 bytes, or all together than 4 GB.
    #[error("names take too much room")]
    Names,
    /// More than 65,535 ways to word a leg.
    #[error("too many forms of legs")]
    Forms,
    /// A destination has more than 65,535 endpoints.
    #[error("{0} has too many endpoints")]
    Endpoints(String),
}

/// Room for so many at first: it is given back when the directory settles, and costs nothing until it is used. Grown
/// little by little, the lists would leave as much behind in the allocator as they hold.
const ROOM: usize = 1 << 18;

impl Directory {
    /// One with room for many, to be filled and settled.
    pub fn roomy() -> Directory {
        Directory {
            names: String::with_capacity(32 * ROOM),
            rows: Vec::with_capacity(ROOM),
            ends: Vec::with_capacity(ROOM),
            long: Vec::new(),
        }
    }

    fn name(&mut self, text: &str) -> Result<Name, Full> {
        let start = u32::try_from(self.names.len()).map_err(|_| Full::Names)?;
        let len = u16::try_from(text.len()).map_err(|_| Full::Names)?;
        self.names.push_str(text);
        Ok(Name { start, len })
    }

    fn text(&self, name: Name) -> &str {
        let start = name.start as usize;
        self.names.get(start..start + usize::from(name.len)).unwrap_or_default()
    }

    /// Puts a destination in; all of them before [`Directory::settle`].
    pub fn add<'a>(&mut self, entry: Entry<'_>, places: impl Iterator<Item = Place<'a>>) -> Result<(), Full> {
        let name = self.name(entry.name)?;
        let first = self.ends.len();
        for place in places {
            let name = self.name(place.name)?;
            let (ip, long) = match place.address.ip() {
                IpAddr::V4(ip) => (ip.to_bits(), false),
                ip => {
                    self.long.push(ip);
                    (self.long.len() as u32 - 1, true)
                }
            };
            let (port, weight) = (place.address.port(), place.weight.unwrap_or(f32::NAN));
            self.ends.push(End { name, port, ip, weight, long, serves: place.serves });
        }
        let too_many = |_| Full::Endpoints(entry.name.to_owned());
        let count = u16::try_from(self.ends.len() - first).map_err(too_many)?;
        let Entry { number, form, rate, rostered, .. } = entry;
        let first = first as u32;
        self.rows.push(Row { number: number.0, name, form, rate, first, count, rostered });
        Ok(())
    }

    /// Makes it ready to be asked, and gives back the room that it does not need.
    pub fn settle(mut self) -> Directory {
        self.rows.sort_unstable_by_key(|row| row.number);
        self.names.shrink_to_fit();
        self.rows.shrink_to_fit();
        self.ends.shrink_to_fit();
        self
    }

    /// How many destinations there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        let rows = self.rows.capacity() * size_of::<Row>() + self.ends.capacity() * size_of::<End>();
        rows + self.names.capacity() + self.long.capacity() * size_of::<IpAddr>()
    }

    fn row(&self, id: DestinationId) -> Option<&Row> {
        let at = self.rows.binary_search_by_key(&id.0, |row| row.number).ok()?;
        self.rows.get(at)
    }

    fn entry_of(&self, row: &Row) -> Entry<'_> {
        let &Row { number, name, form, rate, rostered, .. } = row;
        Entry { name: self.text(name), number: DestinationId(number), form, rate, rostered }
    }

    /// A destination by its number.
    pub fn entry(&self, id: DestinationId) -> Option<Entry<'_>> {
        self.row(id).map(|row| self.entry_of(row))
    }

    /// All of them, by their numbers.
    pub fn entries(&self) -> impl Iterator<Item = Entry<'_>> {
        self.rows.iter().map(|row| self.entry_of(row))
    }

    /// The endpoints of a destination.
    pub fn places(&self, id: DestinationId) -> impl Iterator<Item = Place<'_>> {
        let ends = self.row(id).map(|row| {
            let first = row.first as usize;
            self.ends.get(first..first + usize::from(row.count)).unwrap_or_default()
        });
        ends.unwrap_or_default().iter().map(|end| {
            let long = self.long.get(end.ip as usize).copied();
            let ip = if end.long {
                long.unwrap_or(IpAddr::from([0; 4]))
            } else {
                IpAddr::from(end.ip.to_be_bytes())
            };
            Place {
                name: self.text(end.name),
                address: SocketAddr::new(ip, end.port),
                weight: Some(end.weight).filter(|weight| !weight.is_nan()),
                serves: end.serves,
            }
        })
    }

    /// The endpoints of a destination as the core takes them.
    pub fn hosts(&self, id: DestinationId) -> Vec<Host> {
        let Some(entry) = self.entry(id) else { return Vec::new() };
        let host = |place: Place<'_>| Host {
            name: if entry.rostered {
                format!("{}/{}", entry.name, place.name)
            } else {
                place.name.to_owned()
            },
            address: place.address.to_string(),
            destination: id,
            kind: KindId(0),
            zone: ZoneId(0),
            listing: if place.serves { Listing::On } else { Listing::Draining },
            share: f64::from(entry.rate),
            weight: place.weight.map(f64::from).filter(|weight| *weight > 0.0),
        };
        self.places(id).map(host).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_put_in_comes_out_in_few_bytes() {
        let mut directory = Directory::default();
        let address = |n: u32| match n % 10 {
            0 => SocketAddr::from(([0, 0, 0, 0, 0, 0, 1, n as u16], 80)),
            _ => SocketAddr::from(((0x7f00_0000 + n).to_be_bytes(), n as u16)),
        };
        fn entry(n: u32, name: &str) -> Entry<'_> {
            let number = DestinationId(u64::from(n.wrapping_mul(2_654_435_761)));
            Entry { name, number, form: (n % 3) as u16, rate: 2.5, rostered: n.is_multiple_of(2) }
        }
        for n in 0..10_000 {
            let (name, own) = (format!("clinic-{n}"), format!("clinic-{n}-1"));
            let place = Place {
                name: &own,
                address: address(n),
                weight: Some(2.0).filter(|_| n % 2 == 0),
                serves: n % 7 > 0,
            };
            directory.add(entry(n, &name), std::iter::once(place)).unwrap();
        }
        let directory = directory.settle();
        for n in 0..10_000 {
            let name = format!("clinic-{n}");
            let id = entry(n, &name).number;
            assert_eq!(directory.entry(id), Some(entry(n, &name)));
            let hosts = directory.hosts(id);
            let own = format!("clinic-{n}-1");
            assert_eq!(hosts[0].name, if n % 2 == 0 { format!("{name}/{own}") } else { own });
            assert_eq!((hosts.len(), &hosts[0].address), (1, &address(n).to_string()));
            assert_eq!(hosts[0].weight, Some(2.0).filter(|_| n % 2 == 0));
            assert_eq!(hosts[0].listing == Listing::On, n % 7 > 0);
        }
        assert_eq!(directory.entry(DestinationId(u64::MAX)), None);
        assert!(directory.bytes() <= 100 * directory.len(), "{} bytes", directory.bytes());
        let long = "x".repeat(70_000);
        assert_eq!(Directory::default().add(entry(0, &long), std::iter::empty()), Err(Full::Names));
    }
}

//! The form of a roster: TOML that begins with its revision and ends with it again.
//!
//! A cut copy of a file is often good TOML. Here the last line must be the `revision` of the `[end]` table with its
//! line break, so that no proper head of a roster is one. A file that is written in place shows for a moment the new
//! file's head with the old file's tail: the two revisions differ.

use crate::fault::Fault;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use toml::Spanned;

/// The largest weight.
pub const MOST_WEIGHT: f64 = 1000.0;
/// The longest name of an endpoint, in bytes.
const LONGEST_NAME: usize = 128;

/// One receiver of a destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// A name that stays the same when its address changes; its destination has no other of that name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its part of the destination's calls, against the other endpoints' weights; 0 gets nothing new.
    pub weight: f64,
    /// Where it stands; empty if nothing is said.
    pub zone: String,
    /// Finishes what it has, gets nothing new.
    pub draining: bool,
}

impl Endpoint {
    /// Whether it is to get anything new.
    pub fn serves(&self) -> bool {
        !self.draining && self.weight > 0.0
    }
}

/// All endpoints of one destination, by their order in the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Destination {
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// What a roster allows the change that it makes to take away.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AllowLoss {
    /// Most of these destinations' weights.
    pub destinations: BTreeSet<String>,
    /// Most of all endpoints.
    pub endpoints: bool,
}

/// A whole list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Roster {
    /// Grows with each change.
    pub revision: u64,
    /// Its destinations by name.
    pub destinations: BTreeMap<String, Destination>,
    /// What it may take away at once.
    pub allow_loss: Option<AllowLoss>,
}

/// Where the parts of a roster stand in its file, for what is found out about them later.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// The revision.
    pub revision: Range<usize>,
    /// Each destination's table.
    pub destinations: BTreeMap<String, Range<usize>>,
}

/// A roster that was read, with its places and what is odd about it.
#[derive(Clone, Debug)]
pub struct Read {
    /// The list.
    pub roster: Roster,
    /// Where its parts stand.
    pub places: Places,
    /// Warnings.
    pub warnings: Vec<Fault>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    revision: Option<Spanned<u64>>,
    allow_loss: Option<Spanned<RawLoss>>,
    #[serde(default)]
    destination: BTreeMap<String, Spanned<RawDestination>>,
    end: Option<RawEnd>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLoss {
    revision: u64,
    #[serde(default)]
    destinations: BTreeSet<String>,
    #[serde(default)]
    endpoints: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDestination {
    #[serde(default)]
    endpoints: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEndpoint {
    name: Spanned<String>,
    address: Spanned<String>,
    weight: Option<Spanned<f64>>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    draining: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEnd {
    revision: Spanned<u64>,
}

impl Roster {
    /// Reads a file of at most so many bytes. All that is wrong by the form alone is found here.
    pub fn read(bytes: &[u8], most_bytes: usize) -> Result<Read, Vec<Fault>> {
        if bytes.len() > most_bytes {
            let what = format!("the file is larger than {most_bytes} bytes");
            let help =
                "split it into a file for each partner, or raise max_kb of [roster] in the operators' file";
            return Err(vec![Fault::error("too-large", None, what, help)]);
        }
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let at = error.valid_up_to();
            let help = "write the file as UTF-8 text";
            vec![Fault::error(
                "not-utf8",
                Some(at..at),
                "the file is not UTF-8",
                help,
            )]
        })?;
        let raw: RawFile =
            toml::from_str(text).map_err(|error| vec![syntax(&error, text.len())])?;
        let mut wrong = Vec::new();
        let revision = whole(text, &raw, &mut wrong);
        let mut read = Read {
            roster: Roster::default(),
            places: Places::default(),
            warnings: Vec::new(),
        };
        read.roster.revision = revision;
        if let Some(revision) = &raw.revision {
            read.places.revision = revision.span();
        }
        if let Some(loss) = raw.allow_loss {
            let (at, loss) = (loss.span(), loss.into_inner());
            if loss.revision == revision {
                let RawLoss {
                    destinations,
                    endpoints,
                    ..
                } = loss;
                read.roster.allow_loss = Some(AllowLoss {
                    destinations,
                    endpoints,
                });
            } else {
                let what = format!(
                    "allow_loss was meant for revision {} and counts for nothing",
                    loss.revision
                );
                let help = "take it out, or give it this file's revision if the loss is meant";
                read.warnings
                    .push(Fault::warning("old-allowance", Some(at), what, help));
            }
        }
        for (name, destination) in raw.destination {
            let at = destination.span();
            let known = endpoints(&name, &at, destination.into_inner(), &mut wrong);
            read.places.destinations.insert(name.clone(), at);
            read.roster
                .destinations
                .insert(name, Destination { endpoints: known });
        }
        if wrong.is_empty() {
            Ok(read)
        } else {
            Err(wrong)
        }
    }

    /// Writes a roster in the form that [`Roster::read`] reads; both ways lead to the same.
    pub fn print(&self) -> String {
        let mut text = format!("revision = {}\n", self.revision);
        if let Some(loss) = &self.allow_loss {
            let names: Vec<String> = loss.destinations.iter().map(|name| quoted(name)).collect();
            let (names, endpoints) = (names.join(", "), loss.endpoints);
            let revision = self.revision;
            let _ = writeln!(
                text,
                "allow_loss = {{ revision = {revision}, destinations = [{names}], endpoints = {endpoints} }}"
            );
        }
        for (name, destination) in &self.destinations {
            let _ = writeln!(text, "\n[destination.{}]\nendpoints = [", quoted(name));
            for endpoint in &destination.endpoints {
                let (name, address) = (quoted(&endpoint.name), endpoint.address);
                let _ = write!(text, "    {{ name = {name}, address = \"{address}\"");
                let _ = write!(text, ", weight = {:?}", endpoint.weight);
                if !endpoint.zone.is_empty() {
                    let _ = write!(text, ", zone = {}", quoted(&endpoint.zone));
                }
                text.push_str(if endpoint.draining {
                    ", draining = true },\n"
                } else {
                    " },\n"
                });
            }
            text.push_str("]\n");
        }
        let _ = write!(text, "\n[end]\nrevision = {}\n", self.revision);
        text
    }
}

/// A text as a TOML string on one line: what the library prints may span several, which keys must not.
fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' | '\\' => quoted.extend(['\\', sign]),
            sign if sign.is_control() => quoted.push_str(&format!("\\u{:04X}", u32::from(sign))),
            sign => quoted.push(sign),
        }
    }
    quoted.push('"');
    quoted
}

/// What the TOML reader says, with what to do.
fn syntax(error: &toml::de::Error, len: usize) -> Fault {
    let what = error.message().trim().to_owned();
    let code = if what.starts_with("unknown field") {
        "unknown-field"
    } else {
        "not-readable"
    };
    let help = match code {
        "unknown-field" => "mend its spelling or take it out",
        _ => "mend the line; `marblefall roster check FILE` says when the file is good",
    };
    Fault::error(code, Some(error.span().unwrap_or(len..len)), what, help)
}

/// Whether the file is whole; gives its revision.
fn whole(text: &str, raw: &RawFile, wrong: &mut Vec<Fault>) -> u64 {
    let end = text.len()..text.len();
    let Some(revision) = &raw.revision else {
        let help = "begin the file with a line such as `revision = 8`";
        wrong.push(Fault::error(
            "no-revision",
            Some(0..0),
            "the file names no revision",
            help,
        ));
        return 0;
    };
    let number = *revision.get_ref();
    let help = format!(
        "end the file with the lines `[end]` and `revision = {number}`, and nothing after them"
    );
    let Some(closing) = &raw.end else {
        wrong.push(Fault::error(
            "cut-off",
            Some(end),
            "the file has no [end] table: it is not whole",
            help,
        ));
        return number;
    };
    let closing = &closing.revision;
    if *closing.get_ref() != number {
        let what = format!(
            "the file begins as revision {number} and ends as revision {}: it is not whole",
            closing.get_ref()
        );
        let help = "give both places the same revision; if somebody is writing the file, wait";
        wrong.push(Fault::error("torn", Some(closing.span()), what, help));
    }
    // Also a lost line break is a cut. What follows might be the tail of a longer file that this one was written over.
    match &text[closing.span().end..] {
        "\n" | "\r\n" => {}
        "" | "\r" => {
            let what = "the last line has no line break: the file is not whole";
            wrong.push(Fault::error(
                "cut-off",
                Some(end),
                what,
                "end the last line",
            ));
        }
        _ => {
            let at = closing.span().end..text.len();
            wrong.push(Fault::error(
                "not-last",
                Some(at),
                "something follows the end's revision",
                help,
            ));
        }
    }
    number
}

fn endpoints(
    destination: &str,
    at: &Range<usize>,
    raw: RawDestination,
    wrong: &mut Vec<Fault>,
) -> Vec<Endpoint> {
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let mut known = Vec::with_capacity(raw.endpoints.len());
    for one in raw.endpoints {
        let (name_at, address_at) = (one.name.span(), one.address.span());
        let name = one.name.into_inner();
        let readable = name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
        if name.is_empty() || name.len() > LONGEST_NAME || !readable {
            let what = format!("{name:?} is no name for an endpoint");
            let help =
                format!("use 1 to {LONGEST_NAME} letters, digits and signs, without spaces and /");
            wrong.push(Fault::error("bad-name", Some(name_at.clone()), what, help));
        }
        if !names.insert(name.clone()) {
            let what = format!("{destination} has two endpoints named {name}");
            let help = "give each endpoint of a destination a name of its own";
            wrong.push(Fault::error("same-name", Some(name_at), what, help));
        }
        let weight_at = one
            .weight
            .as_ref()
            .map_or(address_at.clone(), Spanned::span);
        let weight = one.weight.map_or(1.0, Spanned::into_inner);
        if !(0.0..=MOST_WEIGHT).contains(&weight) {
            let what = format!("{weight} is no weight");
            let help = format!("write a number from 0 to {MOST_WEIGHT}");
            wrong.push(Fault::error("bad-weight", Some(weight_at), what, help));
        }
        let address = match dialled(one.address.get_ref()) {
            Ok(address) => address,
            Err((what, help)) => {
                wrong.push(Fault::error("bad-address", Some(address_at), what, help));
                continue;
            }
        };
        if !addresses.insert(address) {
            let what = format!("{destination} has two endpoints at {address}");
            let help = "take one of them out, or give it its own address";
            wrong.push(Fault::error("same-address", Some(address_at), what, help));
        }
        let (zone, draining) = (one.zone, one.draining);
        // Zero is zero, whatever its sign.
        known.push(Endpoint {
            name,
            address,
            weight: weight + 0.0,
            zone,
            draining,
        });
    }
    if known.is_empty() && wrong.is_empty() {
        let what = format!("{destination} has no endpoint");
        let help = "list one at least, or take the destination out";
        wrong.push(Fault::error("no-endpoint", Some(at.clone()), what, help));
    }
    if !known.is_empty() && known.iter().all(|one| one.weight == 0.0) {
        let what =
            format!("every endpoint of {destination} has weight 0: nothing could be sent there");
        let help =
            "give one a weight above 0; to stop a partner, drain its endpoints and allow the loss";
        wrong.push(Fault::error("all-zero", Some(at.clone()), what, help));
    }
    known
}

/// The address that a text names, if a connection could ever come up there.
fn dialled(text: &str) -> Result<SocketAddr, (String, &'static str)> {
    let address: SocketAddr = text.parse().map_err(|_| {
        (
            format!("{text:?} is no address"),
            "write IP:PORT, such as 10.0.0.7:8080; names are not looked up",
        )
    })?;
    let broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 {
        return Err((
            format!("{text} has port 0, which cannot be dialled"),
            "write the port that it listens at",
        ));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() || broadcast {
        return Err((
            format!("{text} is no single host's address"),
            "write the address of the host itself",
        ));
    }
    Ok(address)
}

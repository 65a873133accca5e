//! The operator's file: a fleet of instances with their fronts, and the classes, destinations and limits they
//! serve. What is unknown or contradicts itself is an error that names the line.

mod group;
mod instance_manifest;

pub use group::{Group, Member, OnCut};
pub use instance_manifest::InstanceManifest;

use marblefall_delivery::frontend::cloudevents::event::Mode;
use marblefall_endpoint_lists::{Standing, Terms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// What a repeat does at a class's receivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// Nothing: an event may be sent again freely.
    Free,
    /// Dropped by key, for the class's window.
    Keyed,
    /// A second effect: sent again only if it surely never ran.
    Never,
}

/// A class of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What a repeat does.
    pub repeats: Repeats,
    /// For how long receivers drop repeats, in milliseconds; for `keyed` only.
    #[serde(default)]
    pub window_ms: Option<u64>,
    /// Worth of one event delivered in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Time within which it earns the full worth, in milliseconds.
    pub wanted_ms: u64,
    /// How long an event without an `expirytime` may be delivered, in milliseconds.
    pub give_up_ms: u64,
    /// Share of the worth left then.
    #[serde(default)]
    pub late_value: f64,
    /// How long an event that ended is known again, in seconds.
    #[serde(default = "day")]
    pub remember_s: u64,
}

fn one() -> f64 {
    1.0
}

fn day() -> u64 {
    24 * 3600
}

/// A receiver of a destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// A name that stays the same when its address changes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Finishes what it has, gets nothing new.
    #[serde(default)]
    pub draining: bool,
}

/// A partner's system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// The mode in which it wants events.
    #[serde(default)]
    pub mode: Mode,
    /// The path of its receivers.
    #[serde(default = "root")]
    pub path: String,
    /// Calls a second that it takes from all couriers together, as far as known.
    #[serde(default = "one")]
    pub rate: f64,
    /// Its receivers; none where rosters list them.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

fn root() -> String {
    "/".to_owned()
}

/// What an instance may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Legs out at once.
    pub slots: usize,
    /// Messages held at once.
    pub max_open: usize,
    /// Legs for one message.
    pub max_attempts: u32,
    /// Descriptors of the instance.
    pub sockets: usize,
    /// Size of its folder.
    pub disk_mb: f64,
    /// Ended events that are remembered at most.
    pub remember: usize,
    /// A connection that takes longer to come up has failed, in milliseconds.
    pub dial_ms: u64,
    /// Receivers close a connection that has been idle for so long, in milliseconds.
    pub idle_ms: u64,
    /// The longest time for which a client is told to stay away, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            slots: 16,
            max_open: 128,
            max_attempts: 8,
            sockets: 512,
            disk_mb: 16.0,
            remember: 10_000,
            dial_ms: 1500,
            idle_ms: 10_000,
            retry_after_ms: 30_000,
        }
    }
}

/// The events front of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsFront {
    /// Where partners connect.
    pub listen: SocketAddr,
    /// The path where events come in.
    #[serde(default = "root")]
    pub path: String,
    /// The attribute that names an event's destination.
    pub destination_attribute: String,
    /// The class of each type of event.
    pub types: BTreeMap<String, String>,
}

/// The platform's front of an instance whose destinations stand in the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayFront {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where ends are told.
    pub notices: SocketAddr,
    /// The numbers by which clients name destinations.
    pub numbers: BTreeMap<String, String>,
}

/// One courier of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The events front, if it is on.
    #[serde(default)]
    pub events: Option<EventsFront>,
    /// The platform's front, if it is on.
    #[serde(default)]
    pub relay: Option<RelayFront>,
    /// What it may use; the fleet's limits where left out.
    #[serde(default)]
    pub limits: Option<Limits>,
}

/// Where rosters are, and what they must keep to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterSource {
    /// A roster, or a folder of them; in the file itself, a relative path starts from the file's folder.
    pub path: PathBuf,
    /// How often it is looked at where the file system tells nothing, in milliseconds.
    #[serde(default = "poll")]
    pub poll_ms: u64,
    /// The largest roster, in units of 1,024 bytes.
    #[serde(default = "max_kb")]
    pub max_kb: usize,
    /// The part of a destination's weight, 0 to 1, that one change may take away unsaid.
    #[serde(default = "half")]
    pub most_weight_lost: f64,
    /// The part of a roster's endpoints, 0 to 1, that one change may take away unsaid.
    #[serde(default = "half")]
    pub most_endpoints_lost: f64,
}

fn poll() -> u64 {
    2000
}

fn max_kb() -> usize {
    8192
}

fn half() -> f64 {
    0.5
}

/// All that an operator's file says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Limits of every instance that has none of its own.
    #[serde(default)]
    pub limits: Limits,
    /// Classes by name.
    #[serde(default)]
    pub classes: BTreeMap<String, Class>,
    /// Destinations by name.
    #[serde(default)]
    pub destinations: BTreeMap<String, Destination>,
    /// Instances by name.
    #[serde(default)]
    pub instances: BTreeMap<String, Instance>,
    /// Couriers that serve the same destinations from other folders or machines: partners' rates and ramps are shared
    /// with them, without a word between them.
    #[serde(default, skip_serializing_if = "is_none")]
    pub elsewhere: usize,
    /// Where the endpoints of the destinations that have none here are listed.
    #[serde(default)]
    pub roster: Option<RosterSource>,
    /// The daemons that change all this together, if there are several.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Group>,
    /// How rosters stand to the destinations, once these themselves are kept elsewhere.
    #[serde(skip)]
    pub rostered: Option<BTreeMap<String, Standing>>,
}

fn is_none(count: &usize) -> bool {
    *count == 0
}

/// What is said of the fleet as a whole.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Whole {
    #[serde(default)]
    elsewhere: usize,
}

/// More couriers than any partner is served by; a number above it is a slip.
const ELSEWHERE_MOST: usize = 10_000;

/// The file as it is written, with the place of each entry.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    fleet: Option<Spanned<Whole>>,
    #[serde(default)]
    limits: Limits,
    #[serde(default, rename = "class")]
    classes: BTreeMap<String, Spanned<Class>>,
    #[serde(default, rename = "destination")]
    destinations: BTreeMap<String, Spanned<Destination>>,
    #[serde(default, rename = "instance")]
    instances: BTreeMap<String, Spanned<Instance>>,
    #[serde(default)]
    roster: Option<Spanned<RosterSource>>,
    #[serde(default)]
    group: Option<Spanned<group::Written>>,
}

/// The number by which the core knows a destination: from its name, so that it stays the same when others
/// come and go (64-bit FNV-1a).
pub fn destination_number(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    // The journal keeps numbers as signed ones.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix) >> 1
}

impl Manifest {
    /// Reads an operator's file from disk; errors name it.
    pub fn read(path: &Path) -> Result<Manifest, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let mut fleet =
            Manifest::parse(&text).map_err(|cause| format!("{}:\n{cause}", path.display()))?;
        if let Some(roster) = &mut fleet.roster {
            // The daemon may run in another folder than the operator who plans.
            let folder = path.parent().unwrap_or(Path::new(""));
            roster.path = std::path::absolute(folder.join(&roster.path))
                .map_err(|error| error.to_string())?;
        }
        Ok(fleet)
    }

    /// Reads an operator's file.
    pub fn parse(text: &str) -> Result<Manifest, String> {
        let file: File =
            toml::from_str(text).map_err(|error| error.to_string().trim_end().to_owned())?;
        // Found by halving: counted from the top for each entry, ten thousand took seconds.
        let breaks: Vec<usize> = text.match_indices('\n').map(|(at, _)| at).collect();
        let line = |span: Range<usize>| breaks.partition_point(|at| *at < span.start) + 1;
        let mut wrong = Vec::new();
        for (name, class) in &file.classes {
            let at = line(class.span());
            wrong.extend(
                class_fault(class.get_ref()).map(|why| format!("line {at}: class {name}: {why}")),
            );
        }
        let mut endpoints = BTreeSet::new();
        let mut numbers = BTreeSet::new();
        for (name, destination) in &file.destinations {
            let at = line(destination.span());
            let mut say = |why: String| wrong.push(format!("line {at}: destination {name}: {why}"));
            let destination = destination.get_ref();
            if destination.endpoints.is_empty() && file.roster.is_none() {
                say("no endpoints, and no [roster] that could list them".to_owned());
            }
            if !is_path(&destination.path) {
                say(format!("{:?} is no path", destination.path));
            }
            if !(destination.rate.is_finite() && destination.rate > 0.0) {
                say("rate is not above 0".to_owned());
            }
            if !numbers.insert(destination_number(name)) {
                say("shares its number with another; it needs another name".to_owned());
            }
            for endpoint in &destination.endpoints {
                if endpoint.name.contains('/') && file.roster.is_some() {
                    say(format!(
                        "endpoint {}: with rosters, a name holds no /",
                        endpoint.name
                    ));
                }
                if !endpoints.insert(endpoint.name.clone()) {
                    say(format!(
                        "endpoint {} stands in the file twice",
                        endpoint.name
                    ));
                }
            }
        }
        let mut listens = BTreeSet::new();
        for (name, instance) in &file.instances {
            let at = line(instance.span());
            for why in instance_faults(name, instance.get_ref(), &file, &mut listens) {
                wrong.push(format!("line {at}: instance {name}: {why}"));
            }
        }
        if let Some(fleet) = file
            .fleet
            .as_ref()
            .filter(|fleet| fleet.get_ref().elsewhere > ELSEWHERE_MOST)
        {
            let at = line(fleet.span());
            wrong.push(format!(
                "line {at}: fleet: elsewhere is {ELSEWHERE_MOST} at most"
            ));
        }
        if let Some(roster) = &file.roster {
            let at = line(roster.span());
            wrong.extend(
                roster_fault(roster.get_ref()).map(|why| format!("line {at}: roster: {why}")),
            );
        }
        if let Some(group) = &file.group {
            let faults = group.get_ref().faults(group.span().start, &file.instances);
            wrong.extend(
                faults
                    .into_iter()
                    .map(|(at, why)| format!("line {}: {why}", line(at..at))),
            );
        }
        wrong.extend(limits_fault(&file.limits).map(|why| format!("limits: {why}")));
        if !wrong.is_empty() {
            return Err(wrong.join("\n"));
        }
        fn bare<T>(all: BTreeMap<String, Spanned<T>>) -> BTreeMap<String, T> {
            all.into_iter()
                .map(|(name, entry)| (name, entry.into_inner()))
                .collect()
        }
        Ok(Manifest {
            limits: file.limits,
            classes: bare(file.classes),
            destinations: bare(file.destinations),
            instances: bare(file.instances),
            roster: file.roster.map(Spanned::into_inner),
            group: file.group.map(|group| group.into_inner().bare()),
            rostered: None,
            elsewhere: file.fleet.map_or(0, |fleet| fleet.into_inner().elsewhere),
        })
    }

    /// What rosters must keep to under this file.
    pub fn list_terms(&self) -> Terms {
        let standing = |destination: &Destination| match destination.endpoints.is_empty() {
            true => Standing::Rostered,
            false => Standing::Fixed,
        };
        let own = || {
            self.destinations
                .iter()
                .map(|(name, to)| (name.clone(), standing(to)))
                .collect()
        };
        let partners = self.rostered.clone().unwrap_or_else(own);
        let terms = Terms {
            partners: Some(partners),
            ..Terms::default()
        };
        match &self.roster {
            None => terms,
            Some(source) => Terms {
                most_bytes: source.max_kb * 1024,
                most_weight_lost: source.most_weight_lost,
                most_endpoints_lost: source.most_endpoints_lost,
                ..terms
            },
        }
    }
}

fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic())
}

fn class_fault(class: &Class) -> Option<&'static str> {
    let share = |value: f64| (0.0..=1.0).contains(&value);
    match (class.repeats, class.window_ms) {
        (Repeats::Keyed, None) => return Some("repeats = \"keyed\" needs window_ms"),
        (Repeats::Free | Repeats::Never, Some(_)) => {
            return Some("window_ms goes with repeats = \"keyed\" only")
        }
        _ => {}
    }
    if class.give_up_ms == 0 || class.wanted_ms > class.give_up_ms {
        return Some("wanted_ms is beyond give_up_ms");
    }
    if !share(class.late_value) {
        return Some("late_value is not within 0 and 1");
    }
    (!(class.worth.is_finite() && class.worth > 0.0)).then_some("worth is not above 0")
}

fn roster_fault(roster: &RosterSource) -> Option<&'static str> {
    let share = |value: f64| (0.0..=1.0).contains(&value);
    if !share(roster.most_weight_lost) || !share(roster.most_endpoints_lost) {
        return Some("most_weight_lost and most_endpoints_lost are within 0 and 1");
    }
    if roster.path.as_os_str().is_empty() {
        return Some("path is empty");
    }
    if !(1..=1 << 20).contains(&roster.max_kb) {
        return Some("max_kb is 1 at least and 1,048,576 at most");
    }
    (!(50..=3_600_000).contains(&roster.poll_ms))
        .then_some("poll_ms is 50 at least and an hour at most")
}

fn limits_fault(limits: &Limits) -> Option<&'static str> {
    if limits.slots == 0 || limits.max_open == 0 || limits.max_attempts == 0 {
        return Some("slots, max_open and max_attempts are 1 at least");
    }
    // Under this the journal has no room for a message beside what it keeps for ends and copies.
    if !(limits.disk_mb.is_finite() && limits.disk_mb >= 1.0) {
        return Some("disk_mb is 1 at least");
    }
    (limits.sockets < 64).then_some("sockets is 64 at least")
}

fn instance_faults(
    name: &str,
    instance: &Instance,
    file: &File,
    listens: &mut BTreeSet<SocketAddr>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    // The name is also the name of its folder.
    if name.is_empty()
        || !name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
    {
        wrong.push("a name holds letters, digits, - and _ only".to_owned());
    }
    if instance.events.is_none() && instance.relay.is_none() {
        wrong.push("no front is on".to_owned());
    }
    wrong.extend(
        instance
            .limits
            .as_ref()
            .and_then(limits_fault)
            .map(str::to_owned),
    );
    if let Some(events) = &instance.events {
        if !is_path(&events.path) {
            wrong.push(format!("{:?} is no path", events.path));
        }
        for (kind, class) in events
            .types
            .iter()
            .filter(|(_, class)| !file.classes.contains_key(*class))
        {
            wrong.push(format!("type {kind:?} has the unknown class {class:?}"));
        }
    }
    if let Some(relay) = &instance.relay {
        for (number, destination) in &relay.numbers {
            if number.parse::<u64>().is_err() || !file.destinations.contains_key(destination) {
                wrong.push(format!(
                    "number {number:?} has no known destination {destination:?}"
                ));
            }
        }
    }
    let fronts = instance.events.iter().map(|front| front.listen);
    for listen in fronts.chain(instance.relay.iter().map(|front| front.listen)) {
        if listen.port() != 0 && !listens.insert(listen) {
            wrong.push(format!("{listen} is listened at twice"));
        }
    }
    wrong
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = include_str!("../../../deploy/partners.toml");

    #[test]
    fn the_file_under_deploy_is_sound() {
        let fleet = Manifest::parse(GOOD).unwrap();
        assert!(
            !fleet.instances.is_empty() && fleet.instances.values().all(|i| i.events.is_some())
        );
    }

    #[test]
    fn what_is_unknown_or_contradicts_itself_is_an_error_with_its_line() {
        let line_of =
            |text: &str, part: &str| text[..text.find(part).unwrap()].matches('\n').count() + 1;
        for (from, to, why, table) in [
            ("worth = 1", "worht = 1", "worht", "worht"),
            (
                "[limits]",
                "[fleet]\nelsewhere = 20000\n[limits]",
                "elsewhere is 10000 at most",
                "[fleet]",
            ),
            (
                "window_ms = 6000",
                "",
                "needs window_ms",
                "[class.refill-order]",
            ),
            (
                "repeats = \"free\"",
                "repeats = \"free\"\nwindow_ms = 5",
                "window_ms",
                "[class.refill-status]",
            ),
            (
                "= \"refill-status\"",
                "= \"nothing\"",
                "unknown class",
                "[instance.clinics-1]",
            ),
            (
                "wanted_ms = 2500",
                "wanted_ms = 250000",
                "beyond give_up_ms",
                "[class.refill-order]",
            ),
            (
                "127.0.0.1:8192",
                "127.0.0.1:8191",
                "listened at twice",
                "[instance.clinics-2]",
            ),
        ] {
            let text = GOOD.replacen(from, to, 1);
            assert_ne!(text, GOOD, "{from}");
            let said = Manifest::parse(&text).unwrap_err();
            let place = format!("line {}", line_of(&text, table));
            assert!(
                said.contains(why) && said.contains(&place),
                "{place}, {why}: {said}"
            );
        }
    }
}

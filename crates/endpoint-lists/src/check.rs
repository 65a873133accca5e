//! Holds a roster that is sound in itself against what surrounds it: the operators' file, the other rosters, and the
//! list that it would replace.

use crate::fault::Fault;
use crate::form::{Destination, Read, Roster};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Whether rosters say where a partner of the operators' file is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// They do.
    Rostered,
    /// Its endpoints stand in the operators' file itself.
    Fixed,
}

/// What a roster must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The partners of the operators' file; `None` where none is at hand, and any name passes.
    pub partners: Option<BTreeMap<String, Standing>>,
    /// The largest file, in bytes.
    pub most_bytes: usize,
    /// The part of a destination's weight, 0 to 1, that one change may take away unsaid.
    pub most_weight_lost: f64,
    /// The part of a file's endpoints, 0 to 1, that one change may take away unsaid.
    pub most_endpoints_lost: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            partners: None,
            most_bytes: 8 << 20,
            most_weight_lost: 0.5,
            most_endpoints_lost: 0.5,
        }
    }
}

/// All that is wrong with a roster in the place that it would take.
pub(crate) fn faults(
    terms: &Terms,
    read: &Read,
    before: Option<&Roster>,
    others: &BTreeMap<String, &Roster>,
) -> Vec<Fault> {
    let mut wrong = read.warnings.clone();
    partners(terms, read, others, &mut wrong);
    addresses(read, others, &mut wrong);
    if let Some(before) = before {
        if read.roster != *before {
            revision(read, before, &mut wrong);
            losses(terms, read, before, &mut wrong);
            moves(read, before, &mut wrong);
        }
    }
    wrong
}

fn at(read: &Read, destination: &str) -> Option<std::ops::Range<usize>> {
    read.places.destinations.get(destination).cloned()
}

fn partners(
    terms: &Terms,
    read: &Read,
    others: &BTreeMap<String, &Roster>,
    wrong: &mut Vec<Fault>,
) {
    for (name, destination) in &read.roster.destinations {
        match terms.partners.as_ref().map(|partners| partners.get(name)) {
            None | Some(Some(Standing::Rostered)) => {}
            Some(None) => {
                let what = format!("{name} is no partner of the operators' file");
                let help =
                    "mend the name, or plan and apply an operators' file that has the destination";
                wrong.push(Fault::error("unknown-partner", at(read, name), what, help));
            }
            Some(Some(Standing::Fixed)) => {
                let what = format!("the endpoints of {name} stand in the operators' file");
                let help = "take the destination out here, or its endpoints out there";
                wrong.push(Fault::error("fixed-partner", at(read, name), what, help));
            }
        }
        if let Some((file, _)) = others
            .iter()
            .find(|(_, roster)| roster.destinations.contains_key(name))
        {
            let what = format!("{name} stands in {file} too");
            let help = "take it out of one of the two files; first out of the old one, then into the new one";
            wrong.push(Fault::error("two-files", at(read, name), what, help));
        }
        if destination
            .endpoints
            .iter()
            .all(|endpoint| !endpoint.serves())
        {
            let what = format!("no endpoint of {name} takes anything new");
            let help =
                "its messages wait until their time is up; let one serve unless that is meant";
            wrong.push(Fault::warning("none-serves", at(read, name), what, help));
        }
    }
}

/// Two partners behind one address may share a gateway; more often one of them was pasted.
fn addresses(read: &Read, others: &BTreeMap<String, &Roster>, wrong: &mut Vec<Fault>) {
    let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
    let elsewhere = others.values().flat_map(|roster| &roster.destinations);
    for (name, destination) in elsewhere {
        seen.extend(
            destination
                .endpoints
                .iter()
                .map(|endpoint| (endpoint.address, name.as_str())),
        );
    }
    for (name, destination) in &read.roster.destinations {
        for endpoint in &destination.endpoints {
            if let Some(other) = seen
                .insert(endpoint.address, name)
                .filter(|other| other != name)
            {
                let what = format!("{name} and {other} share the address {}", endpoint.address);
                let help = "make sure that both partners are behind it";
                wrong.push(Fault::warning("shared-address", at(read, name), what, help));
            }
        }
    }
}

fn revision(read: &Read, before: &Roster, wrong: &mut Vec<Fault>) {
    let (new, old) = (read.roster.revision, before.revision);
    if new <= old {
        let what =
            format!("revision {new} is not above {old}, which is in force with other content");
        let help = format!("raise both places to {} or more", old.saturating_add(1));
        wrong.push(Fault::error(
            "old-revision",
            Some(read.places.revision.clone()),
            what,
            help,
        ));
    }
}

/// The part of its weight, 0 to 1, that a destination would lose: what stood on endpoints that get nothing new from
/// now on, and what others lose against the one that keeps most. Scaling all weights alike loses nothing, nor do
/// further endpoints.
pub fn weight_lost(old: &Destination, new: &Destination) -> f64 {
    let serving = |endpoint: &&crate::form::Endpoint| endpoint.serves();
    let kept: HashMap<&str, f64> = new
        .endpoints
        .iter()
        .filter(serving)
        .map(|endpoint| (endpoint.name.as_str(), endpoint.weight))
        .collect();
    let before: Vec<_> = old.endpoints.iter().filter(serving).collect();
    let total: f64 = before.iter().map(|endpoint| endpoint.weight).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let part = |name: &str, weight: f64| kept.get(name).map_or(0.0, |now| now / weight);
    let most = before
        .iter()
        .map(|endpoint| part(&endpoint.name, endpoint.weight))
        .fold(0.0, f64::max);
    let lost =
        |weight: f64, part: f64| weight / total * if most > 0.0 { 1.0 - part / most } else { 1.0 };
    before
        .iter()
        .map(|endpoint| lost(endpoint.weight, part(&endpoint.name, endpoint.weight)))
        .sum()
}

fn losses(terms: &Terms, read: &Read, before: &Roster, wrong: &mut Vec<Fault>) {
    let none = Destination::default();
    let allowed = read.roster.allow_loss.clone().unwrap_or_default();
    let revision = read.roster.revision;
    let (mut all, mut gone) = (0, 0);
    for (name, old) in &before.destinations {
        let new = read.roster.destinations.get(name).unwrap_or(&none);
        let serving: BTreeSet<&str> = new
            .endpoints
            .iter()
            .filter(|one| one.serves())
            .map(|one| one.name.as_str())
            .collect();
        for endpoint in old.endpoints.iter().filter(|one| one.serves()) {
            all += 1;
            gone += usize::from(!serving.contains(endpoint.name.as_str()));
        }
        let lost = if old == new {
            0.0
        } else {
            weight_lost(old, new)
        };
        if lost > terms.most_weight_lost && !allowed.destinations.contains(name) {
            let what = format!(
                "{:.0}% of the weight of {name} would be taken away at once",
                lost * 100.0
            );
            let help = format!(
                "go in smaller steps, or say so: allow_loss = {{ revision = {revision}, destinations = [{name:?}] }}"
            );
            let place = at(read, name).unwrap_or(read.places.revision.clone());
            wrong.push(Fault::error("large-loss", Some(place), what, help));
        }
    }
    let lost = gone as f64 / f64::from(all.max(1));
    if lost > terms.most_endpoints_lost && !allowed.endpoints {
        let what = format!("{gone} of the {all} endpoints in use would be taken away at once");
        let help = format!(
            "go in smaller steps, or say so: allow_loss = {{ revision = {revision}, endpoints = true }}"
        );
        wrong.push(Fault::error(
            "large-loss",
            Some(read.places.revision.clone()),
            what,
            help,
        ));
    }
}

/// An endpoint that goes by its old name at another address is most often right, and sends orders to nowhere if not.
fn moves(read: &Read, before: &Roster, wrong: &mut Vec<Fault>) {
    for (name, destination) in &read.roster.destinations {
        let Some(old) = before
            .destinations
            .get(name)
            .filter(|old| *old != destination)
        else {
            continue;
        };
        for endpoint in &destination.endpoints {
            let was = old.endpoints.iter().find(|was| was.name == endpoint.name);
            if let Some(was) = was.filter(|was| was.address != endpoint.address) {
                let what = format!(
                    "{name}/{} moves from {} to {}",
                    endpoint.name, was.address, endpoint.address
                );
                let help = "make sure that it answers there";
                wrong.push(Fault::warning("moved", at(read, name), what, help));
            }
        }
    }
}

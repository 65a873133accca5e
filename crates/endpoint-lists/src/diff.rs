//! The differences between two lists, by endpoint. The JSON keys are part of the operators' interface.

use crate::list::{Destination, Endpoint, EndpointList};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The kind of change to an endpoint. [`diff`] sorts changes in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The endpoint is no longer listed.
    Removed,
    /// The endpoint is still listed, but no longer receives new attempts.
    #[serde(rename = "stopped")]
    Drained,
    /// The endpoint is newly listed.
    Added,
    /// The endpoint changes in another way.
    Changed,
}

/// The change of one endpoint. `Display` writes it on one line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointChange {
    /// The kind of change.
    #[serde(rename = "step")]
    pub kind: ChangeKind,
    /// Name of the destination.
    pub destination: String,
    /// The endpoint after the change, or before the change if the endpoint is removed.
    pub endpoint: Endpoint,
    /// The endpoint before the change; `None` if the endpoint is added or removed.
    #[serde(rename = "was", skip_serializing_if = "Option::is_none")]
    pub previous: Option<Endpoint>,
}

impl fmt::Display for EndpointChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Removed => '-',
            ChangeKind::Added => '+',
            ChangeKind::Drained | ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {}/{}", self.destination, self.endpoint.name)?;
        match &self.previous {
            None => write_endpoint(f, &self.endpoint),
            Some(previous) => write_differences(f, previous, &self.endpoint),
        }
    }
}

fn write_endpoint(f: &mut fmt::Formatter<'_>, endpoint: &Endpoint) -> fmt::Result {
    write!(f, " {} weight {}", endpoint.address, endpoint.weight)?;
    if !endpoint.zone.is_empty() {
        write!(f, " zone {}", endpoint.zone)?;
    }
    if endpoint.draining {
        f.write_str(" draining")?;
    }
    Ok(())
}

fn write_differences(f: &mut fmt::Formatter<'_>, old: &Endpoint, new: &Endpoint) -> fmt::Result {
    if old.address != new.address {
        write!(f, " address {} -> {}", old.address, new.address)?;
    }
    if old.weight != new.weight {
        write!(f, " weight {} -> {}", old.weight, new.weight)?;
    }
    if old.zone != new.zone {
        write!(f, " zone {:?} -> {:?}", old.zone, new.zone)?;
    }
    if old.draining != new.draining {
        write!(f, " draining {} -> {}", old.draining, new.draining)?;
    }
    Ok(())
}

/// Returns the changes that turn the old list into the new one, sorted by kind: changes that take an endpoint out of use
/// come first.
pub fn diff(old: &EndpointList, new: &EndpointList) -> Vec<EndpointChange> {
    let mut changes = Vec::new();
    let names: BTreeSet<&String> = old
        .destinations
        .keys()
        .chain(new.destinations.keys())
        .collect();
    let empty = Destination::default();
    for name in names {
        let old = old.destinations.get(name).unwrap_or(&empty);
        let new = new.destinations.get(name).unwrap_or(&empty);
        if old != new {
            diff_destination(name, old, new, &mut changes);
        }
    }
    changes.sort_by_key(|change| change.kind);
    changes
}

fn diff_destination(
    name: &str,
    old: &Destination,
    new: &Destination,
    changes: &mut Vec<EndpointChange>,
) {
    let mut removed = endpoints_by_name(old);
    for endpoint in endpoints_by_name(new).into_values() {
        let previous = removed.remove(&endpoint.name);
        let kind = match &previous {
            None => ChangeKind::Added,
            Some(previous) if *previous == endpoint => continue,
            Some(previous) if previous.is_active() && !endpoint.is_active() => ChangeKind::Drained,
            Some(_) => ChangeKind::Changed,
        };
        changes.push(EndpointChange {
            kind,
            destination: name.to_owned(),
            endpoint,
            previous,
        });
    }
    for endpoint in removed.into_values() {
        changes.push(EndpointChange {
            kind: ChangeKind::Removed,
            destination: name.to_owned(),
            endpoint,
            previous: None,
        });
    }
}

fn endpoints_by_name(destination: &Destination) -> BTreeMap<String, Endpoint> {
    destination
        .endpoints
        .iter()
        .map(|endpoint| (endpoint.name.clone(), endpoint.clone()))
        .collect()
}

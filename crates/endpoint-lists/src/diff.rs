//! What one list changes against another, endpoint by endpoint. The names of its JSON form are the operators'.

use crate::list::{Destination, Endpoint, EndpointList};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How an endpoint changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// It is no longer listed.
    Removed,
    /// It gets nothing new any more.
    #[serde(rename = "stopped")]
    Drained,
    /// It is newly listed.
    Added,
    /// It changes otherwise.
    Changed,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointChange {
    /// How.
    #[serde(rename = "step")]
    pub kind: ChangeKind,
    /// The destination.
    pub destination: String,
    /// The endpoint as it is from now on, or was where it is removed.
    pub endpoint: Endpoint,
    /// The endpoint as it was, where it changes.
    #[serde(rename = "was", skip_serializing_if = "Option::is_none")]
    pub previous: Option<Endpoint>,
}

impl fmt::Display for EndpointChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EndpointChange {
            kind,
            destination,
            endpoint,
            previous,
        } = self;
        let sign = match kind {
            ChangeKind::Removed => '-',
            ChangeKind::Added => '+',
            ChangeKind::Drained | ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {destination}/{}", endpoint.name)?;
        let Some(previous) = previous else {
            write!(f, " {} weight {}", endpoint.address, endpoint.weight)?;
            let zone = if endpoint.zone.is_empty() {
                String::new()
            } else {
                format!(" zone {}", endpoint.zone)
            };
            return write!(
                f,
                "{zone}{}",
                if endpoint.draining { " draining" } else { "" }
            );
        };
        if previous.address != endpoint.address {
            write!(f, " address {} -> {}", previous.address, endpoint.address)?;
        }
        if previous.weight != endpoint.weight {
            write!(f, " weight {} -> {}", previous.weight, endpoint.weight)?;
        }
        if previous.zone != endpoint.zone {
            write!(f, " zone {:?} -> {:?}", previous.zone, endpoint.zone)?;
        }
        if previous.draining != endpoint.draining {
            write!(
                f,
                " draining {} -> {}",
                previous.draining, endpoint.draining
            )?;
        }
        Ok(())
    }
}

/// The changes that lead from one list to another. Those that take an endpoint out of use come first: they are urgent.
pub fn diff(old: &EndpointList, new: &EndpointList) -> Vec<EndpointChange> {
    let mut changes = Vec::new();
    let names: BTreeSet<&String> = old
        .destinations
        .keys()
        .chain(new.destinations.keys())
        .collect();
    let none = Destination::default();
    for name in names {
        let before = old.destinations.get(name);
        let after = new.destinations.get(name);
        if before != after {
            diff_destination(
                name,
                before.unwrap_or(&none),
                after.unwrap_or(&none),
                &mut changes,
            );
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
    let by_name = |destination: &Destination| -> BTreeMap<String, Endpoint> {
        destination
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint.clone()))
            .collect()
    };
    let mut removed = by_name(old);
    for endpoint in by_name(new).into_values() {
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

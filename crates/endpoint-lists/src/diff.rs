//! What one list changes against another, endpoint by endpoint.

use crate::form::{Destination, Endpoint, Roster};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How an endpoint changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// It is no longer listed.
    Removed,
    /// It gets nothing new any more.
    Stopped,
    /// It is listed, and was not.
    Added,
    /// It changes otherwise.
    Changed,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// How.
    pub step: Step,
    /// Whose endpoint.
    pub destination: String,
    /// What it is from now on; what it was, where it is removed.
    pub endpoint: Endpoint,
    /// What it was, where it changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub was: Option<Endpoint>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change {
            step,
            destination,
            endpoint,
            was,
        } = self;
        let sign = match step {
            Step::Removed => '-',
            Step::Added => '+',
            Step::Stopped | Step::Changed => '~',
        };
        write!(f, "{sign} {destination}/{}", endpoint.name)?;
        let Some(was) = was else {
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
        if was.address != endpoint.address {
            write!(f, " address {} -> {}", was.address, endpoint.address)?;
        }
        if was.weight != endpoint.weight {
            write!(f, " weight {} -> {}", was.weight, endpoint.weight)?;
        }
        if was.zone != endpoint.zone {
            write!(f, " zone {:?} -> {:?}", was.zone, endpoint.zone)?;
        }
        if was.draining != endpoint.draining {
            write!(f, " draining {} -> {}", was.draining, endpoint.draining)?;
        }
        Ok(())
    }
}

/// What leads from one list to another. What takes an endpoint out of use comes first: it is the part that hurries.
pub fn diff(old: &Roster, new: &Roster) -> Vec<Change> {
    let mut changes = Vec::new();
    let names: BTreeSet<&String> = old
        .destinations
        .keys()
        .chain(new.destinations.keys())
        .collect();
    let none = Destination::default();
    for name in names {
        let (was, is) = (old.destinations.get(name), new.destinations.get(name));
        if was != is {
            between(
                name,
                was.unwrap_or(&none),
                is.unwrap_or(&none),
                &mut changes,
            );
        }
    }
    changes.sort_by_key(|change| change.step);
    changes
}

fn between(name: &str, old: &Destination, new: &Destination, changes: &mut Vec<Change>) {
    let by_name = |all: &Destination| -> BTreeMap<String, Endpoint> {
        all.endpoints
            .iter()
            .map(|one| (one.name.clone(), one.clone()))
            .collect()
    };
    let (mut gone, is) = (by_name(old), by_name(new));
    for endpoint in is.into_values() {
        let was = gone.remove(&endpoint.name);
        let step = match &was {
            None => Step::Added,
            Some(was) if *was == endpoint => continue,
            Some(was) if was.serves() && !endpoint.serves() => Step::Stopped,
            Some(_) => Step::Changed,
        };
        changes.push(Change {
            step,
            destination: name.to_owned(),
            endpoint,
            was,
        });
    }
    for endpoint in gone.into_values() {
        changes.push(Change {
            step: Step::Removed,
            destination: name.to_owned(),
            endpoint,
            was: None,
        });
    }
}

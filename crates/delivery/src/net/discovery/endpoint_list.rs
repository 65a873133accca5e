//! The endpoint list as discovery sends it, and as the core takes it.

use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::EngineEvent;
use crate::log_line;
use crate::net::response_fields::MAX_RATE;
use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The endpoint list, or changes to it.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Its entries. One that cannot be read must not keep the others from being taken.
    #[serde(default)]
    pub members: Vec<Box<RawValue>>,
}

/// One entry of the list. The keys are the platform's.
#[derive(Debug, Deserialize)]
struct ListEntry<'a> {
    #[serde(rename = "id")]
    name: String,
    #[serde(rename = "host_port")]
    address: String,
    #[serde(rename = "locality", default)]
    zone: String,
    #[serde(rename = "flavor", default)]
    kind: String,
    #[serde(rename = "cell", default)]
    destination: u64,
    #[serde(rename = "phase")]
    status: String,
    #[serde(rename = "size", default, borrow)]
    rate: Option<&'a RawValue>,
}

/// The names that stand for numbers in the settings.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl EndpointList {
    /// The event that tells the engine of it.
    pub fn into_event(self, names: &NameIndex) -> EngineEvent {
        let endpoints = self
            .members
            .iter()
            .filter_map(|entry| parse_entry(entry))
            .map(|entry| entry.into_endpoint(names))
            .collect();
        if self.complete {
            EngineEvent::EndpointsReplaced(endpoints)
        } else {
            EngineEvent::EndpointsUpdated(endpoints)
        }
    }
}

fn parse_entry(entry: &RawValue) -> Option<ListEntry<'_>> {
    match serde_json::from_str(entry.get()) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_line!(
                code = "entry-malformed",
                "an entry of the list is ignored: {error}"
            );
            None
        }
    }
}

impl ListEntry<'_> {
    fn into_endpoint(self, names: &NameIndex) -> ListedEndpoint {
        ListedEndpoint {
            destination: DestinationId(self.destination),
            kind: KindId(index_of(&names.kinds, &self.kind)),
            zone: ZoneId(index_of(&names.zones, &self.zone)),
            status: self.endpoint_status(),
            advertised_rate: self.advertised_rate(),
            weight: None,
            name: self.name,
            address: self.address,
        }
    }

    fn endpoint_status(&self) -> EndpointStatus {
        match self.status.as_str() {
            "SERVING" => EndpointStatus::Active,
            "DELETED" => EndpointStatus::Removed,
            // What is not known to be active gets nothing new.
            _ => EndpointStatus::Draining,
        }
    }

    /// The rate that it advertises; 0 where that is none.
    fn advertised_rate(&self) -> f64 {
        self.rate
            .and_then(|rate| rate.get().parse::<f64>().ok())
            .filter(|rate| (0.0..=MAX_RATE).contains(rate))
            .unwrap_or(0.0)
    }
}

/// The number of a name; `usize::MAX` for one that the settings do not know.
fn index_of(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;

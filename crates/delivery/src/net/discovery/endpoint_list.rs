//! The endpoint list as discovery sends it, and its translation for the core.

use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::EngineEvent;
use crate::log_line;
use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The highest plausible rate of an endpoint, in calls per second; higher ones are ignored.
pub const MAX_RATE_PER_S: f64 = 1e6;

/// The status of an endpoint that accepts attempts.
const STATUS_ACTIVE: &str = "SERVING";
/// The status of an endpoint that is removed from the list.
const STATUS_REMOVED: &str = "DELETED";

/// The endpoint list, or changes to it. The keys are the platform's.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// The version, which grows with each change.
    pub revision: u64,
    /// Whether all endpoints are listed, rather than changed ones only.
    #[serde(rename = "complete", default)]
    pub is_complete: bool,
    /// The entries. Each is parsed by itself, so that a malformed one does not hide the others.
    #[serde(rename = "members", default)]
    pub entries: Vec<Box<RawValue>>,
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

/// The names of kinds and zones; in the settings an index stands for each.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// The kinds of endpoints.
    pub kinds: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
}

impl EndpointList {
    /// The engine's event for this list.
    pub fn into_event(self, names: &NameIndex) -> EngineEvent {
        let endpoints = self
            .entries
            .iter()
            .filter_map(|entry| parse_entry(entry))
            .map(|entry| entry.into_endpoint(names))
            .collect();
        if self.is_complete {
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
            STATUS_ACTIVE => EndpointStatus::Active,
            STATUS_REMOVED => EndpointStatus::Removed,
            // An endpoint of unknown status is treated as draining: no more attempts are started to it.
            _ => EndpointStatus::Draining,
        }
    }

    /// The advertised rate in calls per second; 0 where there is none or it is implausible.
    fn advertised_rate(&self) -> f64 {
        self.rate
            .and_then(|rate| rate.get().parse::<f64>().ok())
            .filter(|rate| (0.0..=MAX_RATE_PER_S).contains(rate))
            .unwrap_or(0.0)
    }
}

/// The index of a name; `usize::MAX` for one that the settings do not have.
fn index_of(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|configured| configured == name)
        .unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;

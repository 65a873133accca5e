//! The endpoint list in the format of discovery, and its conversion into an event of the engine.

use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::EngineEvent;
use crate::log_line;
use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Maximum plausible rate of an endpoint, in calls per second. Higher rates are ignored.
pub const MAX_RATE_PER_S: f64 = 1e6;

/// The platform's name for the status of an endpoint that accepts attempts.
const STATUS_ACTIVE: &str = "SERVING";
/// The platform's name for the status of an endpoint that is removed from the list.
const STATUS_REMOVED: &str = "DELETED";

/// The endpoint list, or changes to it. The platform defines the JSON keys.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// The revision of the list, which grows with each change.
    pub revision: u64,
    /// Whether all endpoints are listed, rather than only those that changed.
    #[serde(rename = "complete", default)]
    pub is_complete: bool,
    /// The entries. They are parsed one by one, so that a malformed entry does not invalidate the others.
    #[serde(rename = "members", default)]
    pub entries: Vec<Box<RawValue>>,
}

/// One entry of the list. The platform defines the JSON keys.
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
    #[serde(rename = "up_since_ms", default, borrow)]
    started_ms: Option<&'a RawValue>,
}

/// The names of the kinds and zones in the settings. The index of a name is the kind's or the zone's id.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// The names of the endpoint kinds.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
}

impl EndpointList {
    /// Converts the list into an event of the engine, without malformed entries.
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
                "ignored a malformed entry of the endpoint list: {error}"
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
            started_ms: self.started_ms(),
            name: self.name,
            address: self.address,
        }
    }

    fn endpoint_status(&self) -> EndpointStatus {
        match self.status.as_str() {
            STATUS_ACTIVE => EndpointStatus::Active,
            STATUS_REMOVED => EndpointStatus::Removed,
            // An endpoint with an unknown status is treated as draining, so no more attempts are started to it.
            _ => EndpointStatus::Draining,
        }
    }

    /// Returns the start time of the endpoint's process, or 0 if there is none or it is not a number.
    fn started_ms(&self) -> i64 {
        let parsed = self.started_ms.and_then(|ms| ms.get().parse::<f64>().ok());
        parsed.unwrap_or(0.0) as i64
    }

    /// Returns the advertised rate in calls per second, or 0 if there is none or it is implausible.
    fn advertised_rate(&self) -> f64 {
        self.rate
            .and_then(|rate| rate.get().parse::<f64>().ok())
            .filter(|rate| (0.0..=MAX_RATE_PER_S).contains(rate))
            .unwrap_or(0.0)
    }
}

/// Returns the index of a name, or `usize::MAX` for a name that is not in the settings.
fn index_of(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|configured| configured == name)
        .unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;

//! Watched endpoint lists, and the manifest of an instance that uses them.

use super::{home, wait_for};
use marblefall_endpoint_lists::{Destination, Endpoint, EndpointList};
use marblefall_process_harness::TemporaryFolder;
use std::fs;
use std::net::SocketAddr;

/// The destinations whose endpoints are in watched lists.
pub const LISTED_DESTINATIONS: [&str; 2] = ["a", "b"];

/// Rules under which a list may remove everything.
pub const LOOSE_RULES: &str = "max_kb = 64\nmost_weight_lost = 1.0\nmost_endpoints_lost = 1.0";

/// Returns the manifest of one instance for two listed destinations. `rules` are further lines of the `[roster]` table.
pub fn listed_manifest(path: &str, rules: &str) -> String {
    format!(
        r#"[limits]
slots = 64
[class.status]
repeats = "free"
wanted_ms = 2000
give_up_ms = 20000
[destination.a]
rate = 400
[destination.b]
rate = 400
[roster]
path = "{path}"
poll_ms = 200
{rules}
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ status = "status" }} }}
"#
    )
}

/// Returns an endpoint of a list.
pub fn endpoint(name: &str, address: SocketAddr, weight: f64) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address,
        weight,
        zone: String::new(),
        draining: false,
    }
}

/// Returns a list of destinations with their endpoints.
pub fn endpoint_list(revision: u64, destinations: &[(&str, Vec<Endpoint>)]) -> EndpointList {
    let destination = |(name, endpoints): &(&str, Vec<Endpoint>)| {
        let endpoints = endpoints.clone();
        (name.to_string(), Destination { endpoints })
    };
    EndpointList {
        revision,
        destinations: destinations.iter().map(destination).collect(),
        loss_allowance: None,
    }
}

/// Returns a list in which both destinations have one endpoint, at this address.
pub fn list_with_one_endpoint(revision: u64, address: SocketAddr) -> String {
    let destinations = LISTED_DESTINATIONS.map(|name| (name, vec![endpoint("only", address, 1.0)]));
    endpoint_list(revision, &destinations).to_toml()
}

/// Waits until a list is stored as the last good list of its file. The list comes into force right after that.
pub fn wait_until_stored(folder: &TemporaryFolder, file: &str, text: &str) {
    let stored = home(folder).join("rosters").join(format!("{file}.good"));
    wait_for("the list to be stored", || {
        // There is no file before the first list.
        fs::read_to_string(&stored).is_ok_and(|stored| stored == text)
    });
}

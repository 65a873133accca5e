//! The manifest of a group.

use super::{member_name, Group};
use crate::headers::EVENT_DESTINATION;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// The limits and the only class of messages.
const LIMITS_AND_CLASS: &str = r#"[limits]
slots = 16
max_open = 200
[class.order]
repeats = "keyed"
window_ms = 6000
wanted_ms = 2500
give_up_ms = 24000
"#;
/// The names of the destinations, which share the same endpoints.
const DESTINATIONS: [&str; 2] = ["a", "b"];

impl Group {
    /// Returns the manifest of the group after the given text replacements, each a pair of old and new text.
    pub fn manifest(&self, replacements: &[(&str, &str)]) -> String {
        let mut manifest = LIMITS_AND_CLASS.to_owned();
        for destination in DESTINATIONS {
            manifest += &destination_table(destination, &self.settings.endpoints);
        }
        manifest += &format!(
            "[group]\nname = \"clinics\"\non_cut = \"{}\"\nterm_ms = {}\n",
            self.settings.partition_policy, self.settings.lease_ms
        );
        for member in 0..self.members.len() {
            manifest += &self.member_tables(member);
        }
        replacements
            .iter()
            .fold(manifest, |text, (from, to)| text.replace(from, to))
    }

    /// Returns the manifest with a different latency objective for each `number`, a change that every member can apply.
    pub fn changed_manifest(&self, number: usize) -> String {
        let objective = format!("wanted_ms = {}", 2500 + number);
        self.manifest(&[("wanted_ms = 2500", &objective)])
    }

    /// Returns `manifest` with one endpoint of each destination set to draining.
    pub fn drain_endpoint(&self, manifest: &str, endpoint: usize) -> String {
        let mut manifest = manifest.to_owned();
        for destination in DESTINATIONS {
            let entry = endpoint_fields(destination, endpoint, self.settings.endpoints[endpoint]);
            manifest = manifest.replace(&entry, &format!("{entry}, draining = true"));
        }
        manifest
    }

    fn member_tables(&self, number: usize) -> String {
        let member = &self.members[number];
        let name = member_name(number);
        let votes = number < self.settings.voters;
        let attribute = EVENT_DESTINATION.trim_start_matches("ce-");
        let mut tables = String::new();
        let _ = write!(
            tables,
            "[group.member.{name}]\nlink = \"{}\"\ninstances = [\"{name}-1\"]\nvotes = {votes}\n\
             [instance.{name}-1]\nevents = {{ listen = \"{}\", path = \"/events\", \
             destination_attribute = \"{attribute}\", types = {{ order = \"order\" }} }}\n",
            member.proxy_address, member.event_address
        );
        tables
    }
}

fn destination_table(name: &str, endpoints: &[SocketAddr]) -> String {
    let endpoints: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(number, address)| format!("{{ {} }}", endpoint_fields(name, number, *address)))
        .collect();
    format!(
        "[destination.{name}]\npath = \"/in\"\nrate = 500\nendpoints = [{}]\n",
        endpoints.join(", ")
    )
}

fn endpoint_fields(destination: &str, number: usize, address: SocketAddr) -> String {
    format!("name = \"{destination}-{number}\", address = \"{address}\"")
}

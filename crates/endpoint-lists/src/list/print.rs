//! Writes an endpoint list in its file format.

use super::{Endpoint, EndpointList};
use std::fmt::Write;

impl EndpointList {
    /// Encodes the list in its file format; [`EndpointList::parse`] returns an equal list.
    pub fn to_toml(&self) -> String {
        let mut text = format!("revision = {}\n", self.revision);
        // Writing to a string cannot fail.
        if let Some(allowance) = &self.loss_allowance {
            let names: Vec<String> = allowance
                .destinations
                .iter()
                .map(|name| quoted(name))
                .collect();
            let _ = writeln!(
                text,
                "allow_loss = {{ revision = {}, destinations = [{}], endpoints = {} }}",
                self.revision,
                names.join(", "),
                allowance.endpoints
            );
        }
        for (name, destination) in &self.destinations {
            let _ = writeln!(text, "\n[destination.{}]\nendpoints = [", quoted(name));
            for endpoint in &destination.endpoints {
                write_endpoint(&mut text, endpoint);
            }
            text.push_str("]\n");
        }
        let _ = write!(text, "\n[end]\nrevision = {}\n", self.revision);
        text
    }
}

fn write_endpoint(text: &mut String, endpoint: &Endpoint) {
    let name = quoted(&endpoint.name);
    let _ = write!(
        text,
        "    {{ name = {name}, address = \"{}\", weight = {:?}",
        endpoint.address, endpoint.weight
    );
    if !endpoint.zone.is_empty() {
        let _ = write!(text, ", zone = {}", quoted(&endpoint.zone));
    }
    if endpoint.draining {
        text.push_str(", draining = true");
    }
    text.push_str(" },\n");
}

/// Quotes a text as a TOML string on one line. The TOML library may write a string on several lines, which is invalid for
/// keys.
fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            control if control.is_control() => {
                quoted.push_str(&format!("\\u{:04X}", u32::from(control)));
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

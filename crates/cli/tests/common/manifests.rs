//! Manifests of single instances.

use std::net::SocketAddr;

/// Returns the manifest of one instance with a destination `a` for events in binary mode and a destination `b` for events in
/// structured mode.
pub fn event_manifest(binary: SocketAddr, structured: SocketAddr, window_ms: u64) -> String {
    format!(
        r#"[class.order]
repeats = "keyed"
window_ms = {window_ms}
wanted_ms = 2500
give_up_ms = 24000
[class.status]
repeats = "free"
worth = 2
wanted_ms = 1000
give_up_ms = 20000
[destination.a]
path = "/in"
rate = 50
endpoints = [{{ name = "a-1", address = "{binary}" }}]
[destination.b]
mode = "structured"
path = "/in"
rate = 50
endpoints = [{{ name = "b-1", address = "{structured}" }}]
[instance.one]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ order = "order", status = "status" }} }}
"#
    )
}

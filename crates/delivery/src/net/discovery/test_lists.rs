//! Endpoint lists for tests, in the encoding of discovery.

/// Returns an entry with a status.
pub(super) fn entry(status: &str) -> String {
    format!(
        r#"{{"id":"e","host_port":"127.0.0.1:1","cell":7,"phase":"{status}","size":1.0,"up_since_ms":0}}"#
    )
}

/// Returns a line with a list of one entry, which has a status.
pub(super) fn list(revision: u64, complete: bool, status: &str) -> String {
    let entry = entry(status);
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{entry}]}}\n")
}

//! Parts of manifests that tests share.

/// A class and a destination.
pub const CLASS_AND_DESTINATION: &str = r#"
[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 5000
[destination.a]
path = "/in"
rate = 5
endpoints = [{ name = "a-1", address = "127.0.0.1:9" }]
"#;

/// Returns the table of an instance with a CloudEvents frontend.
pub fn events_instance(name: &str) -> String {
    format!(
        "[instance.{name}]\nevents = {{ listen = \"127.0.0.1:0\", path = \"/events\", destination_attribute = \"clinic\", types = {{ status = \"status\" }} }}\n"
    )
}

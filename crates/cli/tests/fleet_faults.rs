//! A fleet's daemon whose system calls fail, by a preloaded shim. A test in which its fault never struck fails.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shim::*;
use common::*;
use marblefall_fault_plan::FaultKind;
use std::time::Duration;

/// A manifest with these instances.
fn manifest(instances: &[&str]) -> String {
    let mut file = r#"[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 8000
[destination.well]
endpoints = [{ name = "well-1", address = "127.0.0.1:9" }]
"#
    .to_owned();
    for name in instances {
        file += &format!(
            r#"[instance.{name}]
events = {{ listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = {{ status = "status" }} }}
"#
        );
    }
    file
}

/// The daemon looked at what was applied once, could not open it, and did not look again.
#[test]
fn manifest_applied_while_no_file_opens_is_put_in_force_later() {
    let folder = Folder::new("applied-later");
    apply(&folder, &manifest(&["one"]));
    let home = folder.0.join("home");
    let (after, lasts) = (Duration::from_secs(3), Duration::from_secs(4));
    let failing = fault(FaultKind::OpenNoFiles, after, lasts, ALWAYS);
    let shim = Shim::new(&folder, "shim", &home, &[failing]);
    let program = Program::start(&["run", text(&home)], &shim.env());
    program.address("takes events at ", 0);
    wait_for("the fault's time", || failing.is_in_force(monotonic_ms()));
    apply(&folder, &manifest(&["one", "two"]));
    program.address("takes events at ", 1);
    assert!(shim.struck(FaultKind::OpenNoFiles) > 0, "{}", program.log());
}

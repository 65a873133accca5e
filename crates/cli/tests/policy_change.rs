//! Policy changes while an instance runs.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::manifests::event_manifest;
use common::*;
use std::net::TcpStream;

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "each step depends on the steps before"
)]
fn running_instance_applies_planned_change() {
    let (old, new) = (start_healthy_server(), start_healthy_server());
    let folder = new_folder("planned-change");
    let plan = apply(&folder, &event_manifest(old.address, old.address, 6000));
    assert!(
        plan.contains("+ instance one") && plan.contains("6 to add, 0 to change, 0 to remove"),
        "{plan}"
    );
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(event_status(address, "1", "order", "a", "k"), 204);

    // A reload of the unchanged manifest has no effect.
    program.signal(Signal::HUP);
    // This plan becomes stale when another plan is applied.
    let home = home(&folder);
    let (path, stale) = (
        write_file(
            &folder,
            "other.toml",
            &event_manifest(old.address, old.address, 5000),
        ),
        folder.path().join("stale"),
    );
    let planned = run(&[
        "plan",
        path_str(&path),
        path_str(&home),
        "--out",
        path_str(&stale),
    ]);
    assert!(planned.is_success(), "{planned}");
    let plan = apply(&folder, &event_manifest(new.address, old.address, 6000));
    assert!(
        plan.contains("~ destination a") && plan.contains("0 to add, 1 to change, 0 to remove"),
        "{plan}"
    );
    let applied = run(&["apply", path_str(&stale), path_str(&home)]);
    assert!(
        !applied.is_success() && applied.text.contains("stale"),
        "{applied}"
    );

    // A destination's endpoint changes while the instance runs.
    let mut number = 1;
    wait_for("the change", || {
        number += 1;
        let (id, key) = (number.to_string(), format!("k{number}"));
        submit_event(address, &id, "order", "a", &key, b"1")
            .unwrap()
            .status()
            == 204
            && new.request_count() == 1
    });
    let before = old.request_count();
    assert_eq!(event_status(address, "last", "order", "a", "last"), 204);
    assert_eq!((old.request_count(), new.request_count()), (before, 2));
    assert!(
        !program.log().contains("applies a change"),
        "{}",
        program.log()
    );

    // A class changes without a new incarnation.
    apply(&folder, &event_manifest(new.address, old.address, 5500));
    wait_for("the change of a class", || {
        program.log().contains("policy-in-force")
    });
    assert_eq!(program.log().matches(EVENTS_MARKER).count(), 1);
    assert_eq!(
        event_status(address, "1", "order", "a", "k"),
        204,
        "the outcome is kept across the change"
    );
    // The size limit of the instance's folder changes with a new incarnation. The port was picked by the system. As the
    // listener stays open, the address is the same.
    apply(
        &folder,
        &format!(
            "[limits]\ndisk_mb = 17\n{}",
            event_manifest(new.address, old.address, 5500)
        ),
    );
    let again = program.address(EVENTS_MARKER, 1);
    assert_eq!(again, address);
    assert_eq!(
        event_status(address, "1", "order", "a", "k"),
        204,
        "the outcome is kept across the change"
    );
    assert_eq!((old.request_count(), new.request_count()), (before, 2));
    let without_instance = event_manifest(new.address, old.address, 6000)
        .split("[instance.one]")
        .next()
        .unwrap()
        .to_owned();
    let plan = apply(&folder, &without_instance);
    assert!(plan.contains("- instance one"), "{plan}");
    wait_for("the instance's end", || {
        TcpStream::connect(address).is_err()
    });
}

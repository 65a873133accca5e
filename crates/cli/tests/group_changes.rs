//! Policy changes in a group of daemons take effect at every member or at none.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::group::*;
use common::*;
use std::collections::BTreeSet;
use std::thread;

#[test]
fn twenty_changes_under_traffic_each_take_effect_everywhere_at_once() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("changes", 3, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    let clients = start_clients(&group, 12, 5, 1);
    for n in 1..=20 {
        let output = group.change(n % 3, &group.changed_manifest(n)).unwrap();
        assert!(
            output.is_success(),
            "change {n}: {output}\n{}",
            group.recent_logs()
        );
        assert!(
            output
                .text
                .contains(&format!("in force everywhere as revision {}", n + 1)),
            "{output}"
        );
    }
    let submissions = clients.stop();
    let undelivered: Vec<_> = submissions
        .iter()
        .filter(|submission| submission.status != 204)
        .collect();
    assert!(
        undelivered.is_empty(),
        "{undelivered:?} of {} submissions",
        submissions.len()
    );
    let revisions: BTreeSet<u64> = check_single_policy(&group)
        .into_iter()
        .filter(|event| !event.is_of_lease_guard())
        .map(|event| event.revision)
        .collect();
    assert_eq!(revisions.last(), Some(&21), "{revisions:?}");
    assert!(revisions.len() > 15, "too few revisions: {revisions:?}");
    check_executions(&destination, &submissions);
    let output = run(&["group", "history", &group.home(0)]);
    assert!(
        output.is_success()
            && output.text.lines().count() == 21
            && output.text.contains("by founding: in force as revision 1"),
        "{output}"
    );
}

#[test]
fn change_rejected_by_one_member_is_withdrawn_everywhere() {
    let _serial = serial();
    // Destination `b` does not respond, so messages for it stay pending.
    let endpoint = start_server(|message| match message.header(headers::EVENT_DESTINATION) {
        Some("b") => Reply::Hang,
        _ => Reply::ok(),
    });
    let (mut group, _folder) = found_in_memory("rejection", 3, "stop", endpoint.address);
    group.start_all().unwrap();
    let address = group.event_addresses()[1];
    let pending =
        thread::spawn(move || submit_event(address, "pending", "order", "b", "pending", b"{}"));
    wait_for("the pending message", || endpoint.request_count() > 0);
    let manifest = group.manifest(&[]);
    let start = manifest.find("[destination.b]").unwrap();
    let end = start + manifest[start..].find("[group]").unwrap();
    let without_b = format!("{}{}", &manifest[..start], &manifest[end..]);
    let output = group.change(0, &without_b).unwrap();
    assert!(
        !output.is_success()
            && output
                .text
                .contains("withdrawn everywhere: member m01: instance m01-1"),
        "{output}"
    );
    assert!(
        output
            .text
            .contains("a message for a destination is held that would be gone"),
        "{output}"
    );
    let output = group
        .change(
            0,
            &group.manifest(&[("name = \"clinics\"", "name = \"others\"")]),
        )
        .unwrap();
    assert!(
        !output.is_success()
            && output
                .text
                .contains("a change may only say which instances a member runs"),
        "{output}"
    );
    for member in 0..3 {
        group.wait_until_acting(member, 1).unwrap();
    }
    // A later change that every member accepts comes into force.
    let output = group.change(2, &group.changed_manifest(1)).unwrap();
    assert!(output.is_success(), "{output}");
    drop(endpoint);
    drop(pending);
    check_single_policy(&group);
}

#[test]
fn one_of_concurrent_changes_is_applied_and_stale_plan_is_rejected() {
    let _serial = serial();
    let endpoint = start_healthy_server();
    let (mut group, _folder) = found_in_memory("operators", 3, "stop", endpoint.address);
    group.start_all().unwrap();
    let plans: Vec<(String, String)> = (0..3)
        .map(|member| {
            let manifest = group.changed_manifest(member + 1);
            (group.plan(member, &manifest).unwrap(), group.home(member))
        })
        .collect();
    let stale = group.plan(0, &group.changed_manifest(9)).unwrap();
    let applying: Vec<_> = plans
        .into_iter()
        .map(|(plan, home)| start_applying(plan, home))
        .collect();
    let outputs: Vec<CommandOutput> = applying
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let applied = outputs.iter().filter(|output| output.is_success()).count();
    assert_eq!(applied, 1, "{outputs:?}\n{}", group.recent_logs());
    let is_rejected = |output: &CommandOutput| {
        output.text.contains("has no outcome yet") || output.text.contains("the plan is stale")
    };
    assert!(
        outputs
            .iter()
            .all(|output| output.is_success() || is_rejected(output)),
        "{outputs:?}"
    );
    let output = run(&["apply", &stale, &group.home(0)]);
    assert!(
        !output.is_success()
            && output.text.contains(
                "the plan is stale: it was made against revision 1, in force is revision 2"
            ),
        "{output}"
    );
    check_single_policy(&group);
}

//! Policy changes in a group while links between its members are cut or slow, or carry malformed frames.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::group::*;
use common::*;
use marblefall_control_plane::group::transport::{encode_frame, Hello};
use marblefall_coordination::identifiers::MemberId;
use marblefall_process_harness::link_proxy::LinkState;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

#[test]
fn partitioned_member_stops_when_its_lease_ends_and_others_change_policy() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("cut", 4, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    for (round, state) in [LinkState::Blackhole, LinkState::Refuse]
        .into_iter()
        .enumerate()
    {
        let cut = round + 1;
        group.links.set_between(&[cut], &[0, 1, 2, 3], state);
        let output = group.change(3, &group.changed_manifest(round + 1)).unwrap();
        assert!(
            output.is_success(),
            "{state:?}: {output}\n{}",
            group.recent_logs()
        );
        // The partitioned member rejects events with Retry-After.
        wait_for("the end of its lease", || {
            group.status(cut)["standing"] == "shut"
        });
        let response = submit_event(
            group.event_addresses()[cut],
            &format!("cut-{round}"),
            "order",
            "a",
            "k",
            b"{}",
        )
        .unwrap();
        assert_eq!(response.status(), 429);
        assert!(response.header(headers::RETRY_AFTER).is_some());
        let output = run(&["group", "history", &group.home(cut)]);
        assert!(
            !output.is_success() && output.text.contains("nobody leads"),
            "{output}\n{}",
            group.recent_logs()
        );
        group
            .links
            .set_between(&[cut], &[0, 1, 2, 3], LinkState::Open);
        group.wait_until_acting(cut, round as u64 + 2).unwrap();
    }
    // The partition is in one direction only: first the member can receive but not send, then it can send but not receive.
    for (round, (from, to)) in [(vec![1], vec![0, 2, 3]), (vec![0, 2, 3], vec![1])]
        .into_iter()
        .enumerate()
    {
        group.links.set_one_way(&from, &to, LinkState::Blackhole);
        let output = group
            .change(3, &group.changed_manifest(10 + round))
            .unwrap();
        assert!(output.is_success(), "{output}\n{}", group.recent_logs());
        group.links.set_one_way(&from, &to, LinkState::Open);
        group.wait_until_acting(1, 4 + round as u64).unwrap();
    }
    check_single_policy(&group);
}

#[test]
fn slow_or_flapping_links_never_mix_policies() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("flaps", 3, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    let clients = start_clients(&group, 6, 5, 4);
    group.links.set_between(&[0], &[1, 2], LinkState::Delay(40));
    let output = group.change(0, &group.changed_manifest(1)).unwrap();
    assert!(output.is_success(), "{output}\n{}", group.recent_logs());
    group.links.set_between(&[0], &[1, 2], LinkState::Open);
    let mut in_force = 1;
    for n in 2..8usize {
        let cut = n % 3;
        group.links.set_between(
            &[cut],
            &[0, 1, 2],
            [
                LinkState::Refuse,
                LinkState::Blackhole,
                LinkState::CutFrames,
            ][n % 3],
        );
        let plan = group
            .plan((cut + 1) % 3, &group.changed_manifest(n))
            .unwrap();
        let home = group.home((cut + 1) % 3);
        let applying = start_applying(plan, home);
        // The links are opened again at a different phase of the change in each round.
        thread::sleep(Duration::from_millis(60 * n as u64));
        group.links.set_between(&[cut], &[0, 1, 2], LinkState::Open);
        let output = applying.join().unwrap();
        in_force += usize::from(output.is_success());
        assert!(
            output.is_success()
                || output.text.contains("withdrawn everywhere")
                || output.text.contains("stale"),
            "{output}"
        );
    }
    assert!(in_force > 3, "too few changes in force: {in_force}");
    for member in 0..3 {
        group
            .wait_until_acting(member, in_force as u64 + 1)
            .unwrap();
    }
    check_executions(&destination, &clients.stop());
    check_single_policy(&group);
}

#[test]
fn under_serve_policy_change_waits_until_stopped_member_is_excluded() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("serve", 3, "serve", destination.addresses[0]);
    group.start_all().unwrap();
    group.links.set_between(&[2], &[0, 1], LinkState::Blackhole);
    // The partitioned member continues to serve after the end of its lease.
    wait_for("the partition to be reported", || {
        let state = group.status(0)["group"]["members"][2]["state"].clone();
        state == "cut off" || state == "not heard"
    });
    let response =
        submit_event(group.event_addresses()[2], "on", "order", "a", "on", b"{}").unwrap();
    assert_eq!(response.status(), 204);
    let (plan, home) = (
        group.plan(0, &group.changed_manifest(1)).unwrap(),
        group.home(0),
    );
    let applying = start_applying(plan, home);
    wait_for("the change to wait", || {
        group.status(1)["group"]["open"]["waits_for"] == serde_json::json!(["m02"])
    });
    // The member is stopped before an operator declares it stopped.
    group.kill(2);
    let output = run(&["group", "without", "m02", &group.home(1)]);
    assert!(output.is_success(), "{output}");
    let output = applying.join().unwrap();
    assert!(
        output.is_success()
            && output
                .text
                .contains("takes it up before it acts again: m02"),
        "{output}"
    );
    group.links.set_between(&[2], &[0, 1], LinkState::Open);
    group.start(2).unwrap();
    group.wait_until_acting(2, 2).unwrap();
    // A pending change can be withdrawn.
    group.links.set_between(&[2], &[0, 1], LinkState::Blackhole);
    let (plan, home) = (
        group.plan(0, &group.changed_manifest(2)).unwrap(),
        group.home(0),
    );
    let applying = start_applying(plan, home);
    wait_for("the change to wait", || {
        group.status(0)["group"]["open"].is_object()
    });
    let output = run(&["group", "withdraw", &group.home(1)]);
    assert!(output.is_success(), "{output}");
    let output = applying.join().unwrap();
    assert!(
        !output.is_success() && output.text.contains("withdrawn by an operator"),
        "{output}"
    );
    check_single_policy(&group);
}

#[test]
fn malformed_frame_closes_only_its_connection() {
    let _serial = serial();
    let endpoint = start_healthy_server();
    let (mut group, _folder) = found_in_memory("malformed-frames", 3, "stop", endpoint.address);
    group.start_all().unwrap();
    let link = group.link_address(0);
    let other_group = encode_frame(&Hello::from_operator("strangers"));
    let later_version = encode_frame(&(9u16, "clinics", 1u8));
    let mut corrupted = encode_frame(&Hello::from_operator("clinics"));
    *corrupted.last_mut().unwrap() ^= 1;
    let overlong = [u32::MAX.to_le_bytes(), [0; 4]].concat();
    let unknown_member = encode_frame(&Hello::from_member("clinics", MemberId(77)));
    let codes = [
        "link-other-group",
        "link-version",
        "frame-corrupted",
        "frame-too-long",
        "link-no-member",
    ];
    for (bytes, code) in [
        other_group,
        later_version,
        corrupted,
        overlong,
        unknown_member,
    ]
    .into_iter()
    .zip(codes)
    {
        let mut stream = TcpStream::connect(link).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        // The connection may be closed before all bytes are written.
        let _ = stream.write_all(&bytes);
        assert!(
            matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)),
            "{code}: not closed"
        );
        wait_for(code, || group.log(0).contains(code));
    }
    let output = group.change(1, &group.changed_manifest(1)).unwrap();
    assert!(output.is_success(), "{output}\n{}", group.recent_logs());
    check_single_policy(&group);
}

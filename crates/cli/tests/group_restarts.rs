//! Policy changes in a group while members are suspended or killed, or lose their storage.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::group::*;
use common::*;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

#[test]
fn change_proceeds_without_stopped_member_which_applies_it_before_acting() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("down", 3, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    for round in 0..3usize {
        let (stopped, proposer) = (round % 3, (round + 1) % 3);
        let clients = start_clients(&group, 6, 5, 2);
        group.kill(stopped);
        let output = group
            .change(proposer, &group.changed_manifest(round + 1))
            .unwrap();
        assert!(output.is_success(), "{output}\n{}", group.recent_logs());
        let revision = round as u64 + 2;
        group.start(stopped).unwrap();
        group.wait_until_acting(stopped, revision).unwrap();
        let submissions = clients.stop();
        check_executions(&destination, &submissions);
        let statuses: BTreeMap<&String, u16> = submissions
            .iter()
            .map(|submission| (&submission.id, submission.status))
            .collect();
        assert!(
            statuses.values().all(|status| *status == 204),
            "{statuses:?}"
        );
    }
    check_single_policy(&group);
}

#[test]
fn member_suspended_during_a_change_never_acts_under_the_old_policy() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("stopped", 4, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    let clients = start_clients(&group, 9, 1, 3);
    for (round, member) in [3usize, 1, 0].into_iter().enumerate() {
        group.process(member).unwrap().signal(Signal::STOP);
        let output = group.change(2, &group.changed_manifest(round + 1)).unwrap();
        group.process(member).unwrap().signal(Signal::CONT);
        assert!(output.is_success(), "{output}\n{}", group.recent_logs());
        group.wait_until_acting(member, round as u64 + 2).unwrap();
    }
    check_executions(&destination, &clients.stop());
    check_single_policy(&group);
}

#[test]
fn member_with_lost_old_or_torn_storage_is_readmitted_as_voter() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("folders", 3, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    let old = std::fs::read(group.vote_file(1)).unwrap();
    let manifest = group.manifest(&[]);
    let output = group.change(0, &group.changed_manifest(1)).unwrap();
    assert!(output.is_success(), "{output}");
    let mut revision = 2;
    for (round, fault) in ["lost", "old", "torn"].into_iter().enumerate() {
        group.kill(1);
        match fault {
            "lost" => {
                std::fs::remove_dir_all(group.home(1)).unwrap();
                group.found_member(1, &manifest).unwrap();
            }
            "old" => std::fs::write(group.vote_file(1), &old).unwrap(),
            _ => {
                let bytes = std::fs::read(group.vote_file(1)).unwrap();
                std::fs::write(group.vote_file(1), &bytes[..bytes.len() - 3]).unwrap();
            }
        }
        group.start(1).unwrap();
        group.wait_until_acting(1, revision).unwrap();
        wait_for("the member to vote again", || {
            group.status(1)["votes"]["takes_part"] == true
        });
        let log = group.log(1);
        assert!(
            log.contains("storage-amnesia") && log.contains("voter-admitted"),
            "{fault}: {log}"
        );
        // The member votes: with another voter down, the change still has a majority.
        group.kill(2);
        let output = group.change(1, &group.changed_manifest(round + 2)).unwrap();
        assert!(
            output.is_success(),
            "{fault}: {output}\n{}",
            group.recent_logs()
        );
        revision += 1;
        group.start(2).unwrap();
        group.wait_until_acting(2, revision).unwrap();
    }
    check_single_policy(&group);
}

#[test]
fn group_killed_during_a_change_recovers_with_one_outcome() {
    let _serial = serial();
    let destination = start_destination();
    let (mut group, _folder) = found_in_memory("killed", 3, "stop", destination.addresses[0]);
    group.start_all().unwrap();
    let mut revision = 1;
    for round in 0..5usize {
        let clients = start_clients(&group, 6, 2, 5);
        let (plan, home) = (
            group.plan(0, &group.changed_manifest(round + 1)).unwrap(),
            group.home(round % 3),
        );
        let applying = start_applying(plan, home);
        thread::sleep(Duration::from_millis(8 * round as u64 * round as u64));
        (0..3).for_each(|member| group.kill(member));
        for member in [[2, 1, 0], [0, 2, 1], [1, 0, 2]][round % 3] {
            group.start(member).unwrap();
        }
        // The command's output does not matter, as the group decides the outcome.
        drop(applying.join().unwrap());
        wait_for("a leader", || {
            group.status(0)["group"]["revision"]
                .as_u64()
                .is_some_and(|now| now >= revision)
        });
        wait_for("the outcome", || group.status(0)["group"]["open"].is_null());
        let revision_now = group.status(0)["group"]["revision"].as_u64().unwrap();
        assert!(
            revision_now == revision || revision_now == revision + 1,
            "{revision_now} after {revision}"
        );
        revision = revision_now;
        for member in 0..3 {
            group.wait_until_acting(member, revision).unwrap();
        }
        check_executions(&destination, &clients.stop());
        check_single_policy(&group);
    }
}

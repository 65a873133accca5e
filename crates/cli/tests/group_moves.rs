//! Instances of a group that a change moves to another member, or removes, while they hold messages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::group::*;
use common::*;
use marblefall_process_harness::group::{member_name, Group};
use marblefall_process_harness::network::reserve_addresses;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Delay of each response of the destination.
const RESPONSE_DELAY: Duration = Duration::from_millis(400);
/// Number of messages. With one call at a time they take longer than a shutdown may.
const MESSAGES: usize = 12;
/// Text of the log line that reports that a removed instance has ended.
const REMOVAL_COMPLETE: &str = "desk: its removal is complete";
/// The member that runs the instance first, and the one that it moves to.
const MEMBERS: [usize; 2] = [0, 2];
/// A message that is submitted once the instance has moved.
const LATE_MESSAGE: &str = "late";
/// The member at which changes are applied.
const OPERATED: usize = 1;

/// A group with a platform instance "desk", which one member after another runs.
struct Desk {
    group: Group,
    _folder: TemporaryFolder,
    endpoint: TestServer,
    platform: TestServer,
    address: SocketAddr,
    revision: u64,
}

impl Desk {
    /// Starts a group whose first member runs the instance, and submits all messages.
    fn start(name: &str) -> Desk {
        let endpoint = start_server(|_| {
            thread::sleep(RESPONSE_DELAY);
            Reply::ok()
        });
        let (mut group, folder) = found_in_memory(name, 3, "stop", endpoint.address);
        group.start_all().unwrap();
        let mut desk = Desk {
            group,
            _folder: folder,
            endpoint,
            platform: start_server(|_| Reply::status(204)),
            address: reserve_addresses(1).unwrap()[0],
            revision: 1,
        };
        desk.assign(Some(MEMBERS[0]));
        desk.wait_until_listening(MEMBERS[0]);
        for message in 0..MESSAGES {
            let id = format!("m{message}");
            wait_for("the acceptance", || desk.submit(&id) == Some(202));
        }
        desk
    }

    fn submit(&self, id: &str) -> Option<u16> {
        let fields = [
            ("X-Call-Id", id),
            ("X-Call-Class", "order"),
            ("X-Budget-Ms", "20000"),
            ("X-Envelope", "dest=1"),
            ("Idempotency-Key", id),
        ];
        let response = post(self.address, "/api", &fields, b"x");
        response.map(|response| response.status())
    }

    /// Returns the manifest in which a member runs the instance, or none.
    fn manifest(&self, member: Option<usize>) -> String {
        let manifest = self.group.manifest(&[("slots = 16", "slots = 1")]);
        let Some(member) = member else {
            return manifest;
        };
        let own = format!("\"{}-1\"", member_name(member));
        let instance = format!(
            "[instance.desk]\nrelay = {{ listen = \"{}\", notices = \"{}\", numbers = {{ 1 = \"a\" }} }}\n",
            self.address, self.platform.address
        );
        manifest.replace(&format!("[{own}]"), &format!("[{own}, \"desk\"]")) + &instance
    }

    /// Applies the change after which a member runs the instance, or none.
    fn assign(&mut self, member: Option<usize>) {
        let manifest = self.manifest(member);
        let output = self.group.change(OPERATED, &manifest).unwrap();
        assert!(
            output.is_success(),
            "{output}\n{}",
            self.group.recent_logs()
        );
        self.revision += 1;
    }

    fn wait_until_listening(&self, member: usize) {
        wait_for("the instance", || {
            let log = self.group.log(member);
            log.contains(&format!("listens at {}", self.address))
        });
    }

    fn wait_for_removal(&self) {
        wait_for("the end of the instance", || {
            self.group.log(MEMBERS[0]).contains(REMOVAL_COMPLETE)
        });
    }

    /// Returns the number of calls of each message that was submitted at the start.
    fn calls(&self) -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        for request in self.endpoint.requests().iter() {
            let key = request.header("idempotency-key").unwrap().to_owned();
            *calls.entry(key).or_default() += 1;
        }
        calls.remove(LATE_MESSAGE);
        calls
    }

    /// Checks that each message was called, and no member acted under an old policy. At most `interrupted` messages were
    /// called twice, or have a notice in place of a delivery.
    fn check(&self, interrupted: usize) {
        let calls = self.calls();
        assert_eq!(calls.len(), MESSAGES, "{calls:?}");
        assert!(
            calls.values().sum::<usize>() <= MESSAGES + interrupted,
            "{calls:?}"
        );
        assert!(self.platform.request_count() <= interrupted);
        check_single_policy(&self.group);
    }
}

/// Guards against lost messages: an instance that a change of its group moves to another member ended within 3.4 s, and
/// nobody continued its messages.
#[test]
fn moved_instance_delivers_what_it_has_accepted() {
    let _serial = serial();
    let mut desk = Desk::start("moved");
    desk.assign(Some(MEMBERS[1]));
    desk.wait_until_listening(MEMBERS[1]);
    wait_for("the acceptance at the new member", || {
        desk.submit(LATE_MESSAGE) == Some(202)
    });
    desk.wait_for_removal();
    desk.check(0);
}

/// Guards against lost messages: an instance that a change of its group removes ended within 3.4 s.
#[test]
fn instance_removed_from_a_group_delivers_what_it_has_accepted() {
    let _serial = serial();
    let mut desk = Desk::start("removed");
    desk.assign(None);
    desk.wait_for_removal();
    desk.check(0);
}

/// Guards against lost messages: a further change came into force while the moved instance still held messages, and it no
/// longer acted.
#[test]
fn moved_instance_delivers_under_later_policies() {
    let _serial = serial();
    let mut desk = Desk::start("later-policies");
    desk.assign(Some(MEMBERS[1]));
    desk.wait_until_listening(MEMBERS[1]);
    let manifest = desk.manifest(Some(MEMBERS[1]));
    let changed = manifest.replace("wanted_ms = 2500", "wanted_ms = 2600");
    let output = desk.group.change(OPERATED, &changed).unwrap();
    assert!(output.is_success(), "{output}");
    desk.wait_for_removal();
    desk.check(0);
}

/// Guards against lost messages: the member was killed while its moved instance held messages.
#[test]
fn messages_of_moved_instance_survive_a_kill_of_its_member() {
    let _serial = serial();
    let mut desk = Desk::start("moved-kill");
    desk.assign(Some(MEMBERS[1]));
    wait_for("the removal", || {
        desk.group.log(MEMBERS[0]).contains("delivers the messages")
    });
    desk.group.kill(MEMBERS[0]);
    desk.group.start(MEMBERS[0]).unwrap();
    desk.wait_for_removal();
    // One attempt is in flight at the kill.
    desk.check(1);
}

/// Guards against lost messages: the member was down when the change came into force, and then could not start the instance
/// before it learned of the change.
#[test]
fn messages_of_moved_instance_survive_a_change_while_its_member_is_down() {
    let _serial = serial();
    let mut desk = Desk::start("moved-down");
    desk.group.kill(MEMBERS[0]);
    desk.assign(Some(MEMBERS[1]));
    desk.group.start(MEMBERS[0]).unwrap();
    desk.wait_for_removal();
    // One attempt is in flight at the kill.
    desk.check(1);
}

/// An instance that moves back before it has delivered all messages continues them.
#[test]
fn instance_that_moves_back_delivers_what_it_has_accepted() {
    let _serial = serial();
    let mut desk = Desk::start("moved-back");
    desk.assign(Some(MEMBERS[1]));
    desk.wait_until_listening(MEMBERS[1]);
    desk.assign(Some(MEMBERS[0]));
    wait_for("the calls of all messages", || {
        desk.calls().len() == MESSAGES
    });
    wait_for("the acceptance of a late message", || {
        desk.submit(LATE_MESSAGE) == Some(202)
    });
    desk.check(0);
}

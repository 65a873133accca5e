//! Instances that plan and apply remove while they hold messages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Delay of each response of the destination.
const RESPONSE_DELAY: Duration = Duration::from_millis(400);
/// Number of messages. With one call at a time they take longer than a shutdown may.
const MESSAGES: usize = 12;
/// Text before the address in the log line of a platform frontend's listener.
const PLATFORM_MARKER: &str = "listens at ";
/// Text of the log line that reports that a removed instance has ended.
const REMOVAL_COMPLETE: &str = "its removal is complete";

/// Returns a manifest without instances.
fn manifest(endpoint: SocketAddr) -> String {
    format!(
        r#"[limits]
slots = 1
[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 20000
[destination.a]
path = "/in"
rate = 50
endpoints = [{{ name = "a-1", address = "{endpoint}" }}]
"#
    )
}

fn events_instance(name: &str) -> String {
    format!(
        "[instance.{name}]\nevents = {{ listen = \"127.0.0.1:0\", path = \"/events\", destination_attribute = \"clinic\", types = {{ status = \"status\" }} }}\n"
    )
}

fn platform_instance(name: &str, notices: SocketAddr) -> String {
    format!(
        "[instance.{name}]\nrelay = {{ listen = \"127.0.0.1:0\", notices = \"{notices}\", numbers = {{ 1 = \"a\" }} }}\n"
    )
}

/// Guards against lost messages: an instance that was removed ended within 3.4 s, and nobody continued its messages.
#[test]
fn removed_instance_delivers_what_it_has_accepted() {
    let endpoint = start_server(|_| {
        thread::sleep(RESPONSE_DELAY);
        Reply::ok()
    });
    let folder = new_folder("removed-instance");
    let base = manifest(endpoint.address);
    let both = format!("{base}{}{}", events_instance("one"), events_instance("two"));
    apply(&folder, &both);
    let program = start_daemon(&folder);
    let address = program.address("name=\"two\"}: takes events at ", 0);
    let clients: Vec<_> = (0..MESSAGES)
        .map(|client| {
            thread::spawn(move || event_status(address, &format!("e{client}"), "status", "a", ""))
        })
        .collect();
    program.wait_for_counter(&format!("taken_on={MESSAGES} "));
    apply(&folder, &format!("{base}{}", events_instance("one")));
    let statuses: Vec<u16> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    assert_eq!(statuses, [204; MESSAGES]);
    wait_for("the end of the instance", || {
        program.log().contains(REMOVAL_COMPLETE)
    });
    assert_eq!(endpoint.request_count(), MESSAGES);
}

/// Guards against lost messages: nobody reads the journal of a removed instance after the daemon was killed. In a second
/// run, the plan is applied while no daemon runs. In a third one, the instance is declared again.
#[test]
fn messages_of_removed_instance_survive_a_kill_of_the_daemon() {
    for (is_running, is_declared_again) in [(true, false), (false, false), (true, true)] {
        let open = Arc::new(AtomicBool::new(false));
        let endpoint = start_server_silent_until(&open);
        let platform = start_healthy_server();
        let folder = new_folder("removed-instance-kill");
        let one = format!("{}{}", manifest(endpoint.address), events_instance("one"));
        let both = format!("{one}{}", platform_instance("two", platform.address));
        apply(&folder, &both);
        let mut program = start_daemon(&folder);
        let address = program.address(PLATFORM_MARKER, 0);
        for message in 0..MESSAGES {
            let id = format!("m{message}");
            let fields = [
                ("X-Call-Id", id.as_str()),
                ("X-Call-Class", "status"),
                ("X-Budget-Ms", "20000"),
                ("X-Envelope", "dest=1"),
            ];
            assert_eq!(post(address, "/api", &fields, b"x").unwrap().status(), 202);
        }
        if is_running {
            apply(&folder, &one);
            wait_for("the removal", || {
                program.log().contains("delivers the messages")
            });
            program.kill();
        } else {
            program.signal(Signal::TERM);
            program.wait_for_exit();
            apply(&folder, &one);
        }
        let called_before = endpoint.request_count();
        if is_declared_again {
            apply(&folder, &both);
        }
        open.store(true, Ordering::SeqCst);
        let program = start_daemon(&folder);
        wait_for("the calls of all messages", || {
            endpoint.request_count() >= MESSAGES
        });
        if is_declared_again {
            program.wait_for_counter(&format!("delivered={MESSAGES} "));
        } else {
            wait_for("the end of the instance", || {
                program.log().contains(REMOVAL_COMPLETE)
            });
        }
        assert!(
            endpoint.request_count() <= MESSAGES + called_before,
            "no message is sent more than once by the second process"
        );
        let removed = home(&folder).join("removed");
        assert_eq!(std::fs::read_dir(removed).unwrap().count(), 0);
    }
}

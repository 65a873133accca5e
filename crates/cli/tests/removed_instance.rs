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

/// Submits all messages to a platform instance.
fn submit_messages(address: SocketAddr) {
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
        submit_messages(address);
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

/// A daemon with a platform instance "two" that holds messages, whose destination responds once it is opened.
struct Held {
    folder: TemporaryFolder,
    is_open: Arc<AtomicBool>,
    endpoint: TestServer,
    program: Program,
    /// The manifests without the instance and with it.
    one: String,
    both: String,
}

impl Held {
    fn start(name: &str) -> Held {
        let is_open = Arc::new(AtomicBool::new(false));
        let opened = is_open.clone();
        let endpoint = start_server(move |_| {
            while !opened.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            Reply::ok()
        });
        let platform = start_healthy_server();
        let folder = new_folder(name);
        let one = format!("{}{}", manifest(endpoint.address), events_instance("one"));
        let both = format!("{one}{}", platform_instance("two", platform.address));
        apply(&folder, &both);
        let program = start_daemon(&folder);
        submit_messages(program.address(PLATFORM_MARKER, 0));
        Held {
            folder,
            is_open,
            endpoint,
            program,
            one,
            both,
        }
    }

    /// Applies a manifest, and waits until the daemon has read it.
    fn apply(&self, manifest: &str, revision: u64) {
        apply(&self.folder, manifest);
        wait_for("the revision", || {
            let log = self.program.log();
            log.contains(&format!("manifest: revision {revision},"))
        });
    }

    /// Opens the destination, and checks that each message is called before the removed instance ends.
    fn check_deliveries(&self) {
        self.is_open.store(true, Ordering::SeqCst);
        wait_for("the end of the instance", || {
            self.program.log().contains(REMOVAL_COMPLETE)
        });
        assert_eq!(self.endpoint.request_count(), MESSAGES);
    }

    fn restarting(manifest: &str) -> String {
        manifest.replace("[limits]", "[limits]\ndial_ms = 1400")
    }
}

/// Guards against lost messages: an instance that was removed while it restarted for an earlier change was never resumed.
#[test]
fn instance_removed_while_it_restarts_delivers_what_it_has_accepted() {
    let held = Held::start("removed-during-restart");
    held.apply(&Held::restarting(&held.both), 2);
    held.apply(&Held::restarting(&held.one), 3);
    held.check_deliveries();
}

/// Guards against lost messages: the instance was removed, declared and removed again within one restart.
#[test]
fn instance_removed_twice_within_a_restart_delivers_what_it_has_accepted() {
    let held = Held::start("removed-twice");
    held.apply(&Held::restarting(&held.both), 2);
    held.apply(&Held::restarting(&held.one), 3);
    held.apply(&Held::restarting(&held.both), 4);
    held.apply(&Held::restarting(&held.one), 5);
    held.check_deliveries();
}

/// Guards against lost messages: an instance that could not be started was removed, and nobody read its journal.
#[test]
fn instance_removed_while_its_port_is_taken_delivers_what_it_has_accepted() {
    let mut held = Held::start("removed-unstarted");
    held.program.signal(Signal::KILL);
    held.program.wait_for_exit();
    let port_in_use = unused_address();
    let listen = "relay = { listen = \"127.0.0.1:0\"";
    let taken = format!("relay = {{ listen = \"{port_in_use}\"");
    apply(&held.folder, &held.both.replace(listen, &taken));
    held.endpoint = start_server(|_| Reply::ok());
    let moved = |manifest: &str| {
        let address = format!("address = \"{}\"", held.endpoint.address);
        let at = manifest.find("address = ").unwrap();
        let end = at + manifest[at..].find(" }").unwrap();
        manifest.replace(&manifest[at..end], &address)
    };
    held.program = start_daemon(&held.folder);
    wait_for("the failed start", || {
        held.program.log().contains("two: cannot be started")
    });
    held.apply(&moved(&held.one), 3);
    held.check_deliveries();
}

/// Guards against lost messages: a removal whose file could not be read when the daemon started was never resumed.
#[test]
fn removed_instance_is_resumed_once_its_file_can_be_read() {
    let mut held = Held::start("removed-unreadable");
    held.program.signal(Signal::KILL);
    held.program.wait_for_exit();
    apply(&held.folder, &held.one);
    let file = home(&held.folder).join("removed/two.json");
    let content = std::fs::read(&file).unwrap();
    std::fs::write(&file, b"{").unwrap();
    held.program = start_daemon(&held.folder);
    wait_for("the failed read", || {
        held.program.log().contains("removed-instance-unreadable")
    });
    std::fs::write(&file, content).unwrap();
    held.is_open.store(true, Ordering::SeqCst);
    wait_for("the end of the instance", || {
        held.program.log().contains(REMOVAL_COMPLETE)
    });
    // The attempt that was in flight at the kill is sent again.
    assert!(held.endpoint.request_count() >= MESSAGES);
}

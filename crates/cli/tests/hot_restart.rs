//! Hot restarts with one state folder and one address, while clients submit messages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::clients::*;
use common::platform::*;
use common::*;
use marblefall_process_harness::platform::LISTENING_MARKER;

#[test]
fn sixty_clients_get_every_response_through_three_replacements() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("sixty", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 60);
    clients.wait_for_submissions(200);
    for _ in 0..3 {
        let new = platform.start_standby();
        clients.wait_for_submissions(60);
        old.signal(Signal::TERM);
        assert!(old.wait_for_exit(), "{}", old.log());
        assert!(old.log().contains("code=\"handed-over\""), "{}", old.log());
        clients.wait_for_submissions(200);
        wait_for("the end of the old process", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        old = new;
    }
    let submissions = clients.stop();
    assert!(
        count_without_response(&submissions) <= 2 * 3,
        "{} requests of {} without a response",
        count_without_response(&submissions),
        submissions.len()
    );
    check_outcomes(&platform, &endpoint, &submissions);
    assert!(
        executions(&endpoint.requests())
            .values()
            .all(|count| *count == 1),
        "a message was executed twice although no call failed"
    );
}

#[test]
fn one_of_two_concurrent_starts_serves() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("two", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 8);
    clients.wait_for_submissions(30);
    let mut standbys = [platform.start(), platform.start()];
    standbys
        .iter()
        .for_each(|standby| assert_eq!(standby.address(LISTENING_MARKER, 0), address));
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    // The earlier of the two hands over to the later, or exits without having served.
    let mut earlier = None;
    wait_for("one of the two to hand over", || {
        earlier = standbys
            .iter()
            .position(|standby| standby.log().contains("handover requested"));
        earlier.is_some()
    });
    let earlier_index = earlier.unwrap();
    assert!(
        standbys[earlier_index].wait_for_exit(),
        "{}",
        standbys[earlier_index].log()
    );
    let before = endpoint.request_count();
    clients.wait_for_submissions(60);
    wait_for("attempts of the remaining process", || {
        endpoint.request_count() > before + 40
    });
    let submissions = clients.stop();
    check_outcomes(&platform, &endpoint, &submissions);
    assert!(
        executions(&endpoint.requests())
            .values()
            .all(|count| *count == 1),
        "{:?}",
        executions(&endpoint.requests())
    );
}

#[test]
fn marks_of_exited_processes_do_not_delay_a_start() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("marks", endpoint.address, "6000");
    let state = platform.state_folder();
    std::fs::create_dir_all(&state).unwrap();
    // Marks of processes that no longer run, and files of an earlier version.
    for name in ["life-3", "life.lock", "life.next"] {
        std::fs::write(state.join(name), "bo").unwrap();
    }
    let (mut program, address) = platform.start_first();
    std::fs::write(state.join("life-900"), "").unwrap();
    assert_eq!(
        submit(address, "one", IDEMPOTENT_CLASS, "5000")
            .unwrap()
            .status(),
        202
    );
    wait_for("its attempt", || endpoint.request_count() == 1);
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit(), "{}", program.log());
    assert!(
        !program.log().contains("handed-over"),
        "a handover without a successor: {}",
        program.log()
    );
    let (mut next, address) = platform.start_first();
    assert_eq!(
        submit(address, "two", IDEMPOTENT_CLASS, "5000")
            .unwrap()
            .status(),
        202
    );
    wait_for("its attempt", || endpoint.request_count() == 2);
    next.signal(Signal::TERM);
    assert!(next.wait_for_exit());
}

//! Output of `marblefall destinations` while the daemon runs and while it is down.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shim::*;
use common::*;
use marblefall_fault_plan::FaultKind;
use std::fs;
use std::thread;
use std::time::Duration;

/// A manifest's tables of one class and one instance with an events frontend.
const ONE_INSTANCE: &str = r#"[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 8000
[instance.one]
events = { listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = { status = "status" } }
"#;

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "each step depends on the steps before"
)]
fn ejected_destination_is_shown_with_and_without_a_running_daemon() {
    let well = start_healthy_server();
    let dead = unused_address();
    let folder = new_folder("destinations");
    let mut manifest = String::from(ONE_INSTANCE);
    manifest += &format!(
        r#"[destination.well]
endpoints = [{{ name = "well-1", address = "{}" }}]
[destination.dead]
endpoints = [{{ name = "dead-1", address = "{dead}" }}]
"#,
        well.address
    );
    for number in 0..100 {
        manifest += &format!(
            "[destination.idle-{number}]\nendpoints = [{{ name = \"i{number}\", address = \"{dead}\" }}]\n"
        );
    }
    apply(&folder, &manifest);
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(event_status(address, "1", "status", "well", ""), 204);
    let submissions: Vec<_> = (0..4)
        .map(|n| {
            thread::spawn(move || {
                submit_event(address, &format!("dead-{n}"), "status", "dead", "", b"")
                    .map(|response| response.status())
            })
        })
        .collect();
    let home = home(&folder);
    let show = |arguments: &[&str]| run(&[&["destinations", path_str(&home)], arguments].concat());
    wait_for("the ejection", || {
        show(&["--state", "out"]).text.contains("dead at one: out")
    });
    let output = show(&[]);
    assert!(
        output.is_success() && output.text.contains("well at one: in-use"),
        "{output}"
    );
    assert!(
        output.text.contains("102 destinations, 100 of them idle"),
        "{output}"
    );
    for submission in submissions {
        // The last attempt must begin some milliseconds before the deadline. On a busy machine it may be too late.
        assert!(
            matches!(submission.join().unwrap(), Some(503 | 504)),
            "each event has an outcome"
        );
    }

    program.kill();
    let output = show(&["--format", "json", "--state", "out"]);
    let printed: serde_json::Value = serde_json::from_str(&output.text).unwrap();
    assert_eq!(output.code, Some(0));
    assert_eq!(printed["destinations"][0]["destination"], "dead");
    assert_eq!(printed["idle"], 100);

    // The next incarnation also shows the ejection, before it has sent any call to the destination.
    let program = start_daemon(&folder);
    program.address(EVENTS_MARKER, 0);
    assert!(show(&["--state", "out"]).text.contains("dead at one"));
    program.kill();
    // An instance also starts with a torn snapshot.
    let path = home.join("instances/one/destinations.bin");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    let output = show(&[]);
    assert!(
        output.code == Some(1) && output.text.contains("torn"),
        "{output}"
    );
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    assert_eq!(event_status(address, "2", "status", "well", ""), 204);
    assert_eq!(
        program.log().matches("snapshot-ignored").count(),
        1,
        "{}",
        program.log()
    );
    wait_for("a new snapshot", || show(&[]).text.contains("well at one"));
}

/// Regression: records have times of a clock without steps, but their age was computed with the wall clock.
#[test]
fn age_of_outage_is_correct_after_a_step_of_the_wall_clock() {
    let dead = unused_address();
    let folder = new_folder("outage-age");
    let destination = format!(
        "[destination.dead]\nendpoints = [{{ name = \"dead-1\", address = \"{dead}\" }}]\n"
    );
    apply(&folder, &format!("{ONE_INSTANCE}{destination}"));
    let home = home(&folder);
    // The daemon's wall clock is an hour ahead of the command's.
    let hour = Duration::from_secs(3600);
    let clock_fault = fault(FaultKind::WallClockStepped, Duration::ZERO, hour, HOUR_MS);
    let shim = new_shim(&folder, &home, &[clock_fault]);
    let program = Program::start(&["run", path_str(&home)], &shim.environment());
    let address = program.address(EVENTS_MARKER, 0);
    let submissions: Vec<_> = (0..4)
        .map(|n| {
            thread::spawn(move || {
                submit_event(address, &format!("dead-{n}"), "status", "dead", "", b"")
            })
        })
        .collect();
    let mut shown = String::new();
    wait_for("an outage of some seconds", || {
        shown = run(&["destinations", path_str(&home)]).text;
        let seconds = shown
            .split("dead at one: out for ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
        seconds.is_some_and(|seconds| (1.0..600.0).contains(&seconds))
    });
    assert!(shim.injected(FaultKind::WallClockStepped) > 0, "{shown}");
    for submission in submissions {
        assert!(
            submission.join().unwrap().is_some(),
            "each event has an outcome"
        );
    }
}

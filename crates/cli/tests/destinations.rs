//! What staff are shown of destinations, while the daemon runs and when it is down.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::shim::*;
use common::*;
use marblefall_fault_plan::FaultKind;
use std::fs;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// A class, and an instance that takes events.
const ONE_INSTANCE: &str = r#"[class.status]
repeats = "free"
wanted_ms = 1000
give_up_ms = 8000
[instance.one]
events = { listen = "127.0.0.1:0", path = "/events", destination_attribute = "clinic", types = { status = "status" } }
"#;

#[test]
fn ejected_destination_is_shown_also_when_daemon_is_down() {
    let well = StandIn::start(|_| ok());
    // Nobody listens there.
    let dead = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let folder = Folder::new("destinations");
    let mut file = String::from(ONE_INSTANCE);
    file += &format!(
        r#"[destination.well]
endpoints = [{{ name = "well-1", address = "{}" }}]
[destination.dead]
endpoints = [{{ name = "dead-1", address = "{dead}" }}]
"#,
        well.at
    );
    for number in 0..100 {
        file += &format!(
            "[destination.idle-{number}]\nendpoints = [{{ name = \"i{number}\", address = \"{dead}\" }}]\n"
        );
    }
    apply(&folder, &file);
    let program = daemon(&folder);
    let at = program.address("takes events at ", 0);
    assert_eq!(
        event(at, "1", "status", "well", "", b"").unwrap().status(),
        204
    );
    let asked: Vec<_> = (0..4)
        .map(|n| {
            thread::spawn(move || {
                event(at, &format!("dead-{n}"), "status", "dead", "", b"").map(|a| a.status())
            })
        })
        .collect();
    let home = folder.0.join("home");
    let shown = |words: &[&str]| run_coded(&[&["destinations", text(&home)], words].concat());
    wait_for("the outage", || {
        shown(&["--state", "out"]).1.contains("dead at one: out")
    });
    let (code, all) = shown(&[]);
    assert!(code == 0 && all.contains("well at one: in-use"), "{all}");
    assert!(all.contains("102 destinations, 100 of them idle"), "{all}");
    for one in asked {
        // The late gate is a call's time before the deadline, here some ms: on a busy machine it may be past.
        assert!(
            matches!(one.join().unwrap(), Some(503 | 504)),
            "each has an end"
        );
    }

    program.kill();
    let (code, said) = shown(&["--format", "json", "--state", "out"]);
    let told: serde_json::Value = serde_json::from_str(&said).unwrap();
    assert_eq!(
        (code, &told["destinations"][0]["destination"], &told["idle"]),
        (0, &"dead".into(), &100.into())
    );

    // Known in the next incarnation as well, before anything was sent there.
    let program = daemon(&folder);
    program.address("takes events at ", 0);
    assert!(shown(&["--state", "out"]).1.contains("dead at one"));
    program.kill();
    // A torn one is no reason not to serve.
    let path = home.join("instances/one/destinations.bin");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    let (code, said) = shown(&[]);
    assert!(code == 1 && said.contains("torn"), "{said}");
    let program = daemon(&folder);
    let at = program.address("takes events at ", 0);
    assert_eq!(
        event(at, "2", "status", "well", "", b"").unwrap().status(),
        204
    );
    assert_eq!(
        program.log().matches("snapshot-ignored").count(),
        1,
        "{}",
        program.log()
    );
    wait_for("a new one", || shown(&[]).1.contains("well at one"));
}

/// What a daemon writes down counts by a clock that does not step; its age was told by the wall clock.
#[test]
fn outage_is_shown_as_old_as_it_is_after_a_step_of_the_clock() {
    let dead = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let folder = Folder::new("outage-age");
    let destination = format!(
        "[destination.dead]\nendpoints = [{{ name = \"dead-1\", address = \"{dead}\" }}]\n"
    );
    apply(&folder, &format!("{ONE_INSTANCE}{destination}"));
    let home = folder.0.join("home");
    // Its wall clock is an hour ahead of that of the command.
    let hour = Duration::from_secs(3600);
    let stepped = fault(FaultKind::WallClockStepped, Duration::ZERO, hour, HOUR_MS);
    let shim = Shim::new(&folder, "shim", &home, &[stepped]);
    let program = Program::start(&["run", text(&home)], &shim.env());
    let at = program.address("takes events at ", 0);
    let asked: Vec<_> = (0..4)
        .map(|n| thread::spawn(move || event(at, &format!("dead-{n}"), "status", "dead", "", b"")))
        .collect();
    let mut shown = String::new();
    wait_for("an outage of some seconds", || {
        shown = run(&["destinations", text(&home)]).1;
        let seconds = shown
            .split("dead at one: out for ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
        seconds.is_some_and(|seconds| (1.0..600.0).contains(&seconds))
    });
    assert!(shim.struck(FaultKind::WallClockStepped) > 0, "{shown}");
    for one in asked {
        assert!(one.join().unwrap().is_some(), "each has an end");
    }
}

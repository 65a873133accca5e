//! Watched endpoint lists with running daemons: the last good list stays in force, whatever happens to its file.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::lists::*;
use common::*;
use std::fs;
use std::net::SocketAddr;

/// Checks that events for destination `a` are delivered to this server. It submits several if necessary, as a list is
/// stored a moment before it is in force.
fn check_called(address: SocketAddr, id: &str, server: &TestServer) {
    let mut submissions = 0;
    wait_for("a call at the expected endpoint", || {
        let before = server.request_count();
        submissions += 1;
        let id = format!("{id}-{submissions}");
        let response = submit_event(address, &id, "status", "a", "", b"");
        assert_eq!(response.unwrap().status(), 204);
        server.request_count() > before
    });
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "each step depends on the steps before"
)]
fn last_good_list_stays_in_force_whatever_happens_to_its_file() {
    let (first_server, second_server) = (start_healthy_server(), start_healthy_server());
    let folder = new_folder("list-faults");
    let rosters = folder.path().join("rosters");
    // The layout of files mounted by Kubernetes: a link to a file in a folder that is itself a link, replaced atomically.
    let version = |name: &str, revision: u64, address: SocketAddr| {
        fs::create_dir_all(rosters.join(name)).unwrap();
        let text = list_with_one_endpoint(revision, address);
        fs::write(rosters.join(name).join("all.toml"), &text).unwrap();
        text
    };
    let swap = |name: &str| {
        std::os::unix::fs::symlink(name, rosters.join("..new")).unwrap();
        fs::rename(rosters.join("..new"), rosters.join("..data")).unwrap();
    };
    let first = version("..v1", 1, first_server.address);
    swap("..v1");
    std::os::unix::fs::symlink("..data/all.toml", rosters.join("all.toml")).unwrap();
    apply(&folder, &listed_manifest("rosters", LOOSE_RULES));
    let mut program = start_daemon(&folder);
    let mut address = program.address(EVENTS_MARKER, 0);
    wait_until_stored(&folder, "all.toml", &first);
    check_called(address, "first", &first_server);
    let second = version("..v2", 2, second_server.address);
    swap("..v2");
    wait_until_stored(&folder, "all.toml", &second);
    check_called(address, "swapped", &second_server);

    // Each of these faults leaves the list in force, is logged by the daemon, and is shown to operators.
    let link = rosters.join("all.toml");
    let shown = || run(&["roster", "show", path_str(&home(&folder))]).text;
    fs::remove_file(&link).unwrap();
    wait_for("the missing file", || {
        shown().contains("the file is missing")
    });
    fs::create_dir(&link).unwrap();
    wait_for("the folder in its place", || {
        shown().contains("no plain file")
    });
    fs::remove_dir(&link).unwrap();
    assert!(std::process::Command::new("mkfifo")
        .arg(&link)
        .status()
        .unwrap()
        .success());
    wait_for("the pipe in its place", || {
        program.log().matches("no plain file").count() >= 1
    });
    fs::remove_file(&link).unwrap();
    fs::write(
        &link,
        second.replace("revision = 2\n\n[end]", "revision = 2\n\n"),
    )
    .unwrap();
    fs::write(&link, &second[..second.len() / 2]).unwrap();
    wait_for("the truncated file", || {
        shown().contains("the file is refused")
    });
    assert!(
        shown().contains("all.toml: revision 2 with 2 destinations"),
        "{}",
        shown()
    );
    let away = folder.path().join("away");
    fs::rename(&rosters, &away).unwrap();
    wait_for("the folder to be gone", || {
        program.log().contains("endpoint-list-unreadable")
    });
    check_called(address, "gone", &second_server);

    // The list stays in force across a restart after SIGKILL, although its file is missing.
    program.kill();
    program = start_daemon(&folder);
    address = program.address(EVENTS_MARKER, 0);
    check_called(address, "restarted", &second_server);
    fs::rename(&away, &rosters).unwrap();
    let third = version("..v3", 3, first_server.address);
    fs::remove_file(&link).unwrap();
    std::os::unix::fs::symlink("..v3/all.toml", &link).unwrap();
    wait_until_stored(&folder, "all.toml", &third);
    check_called(address, "back", &first_server);

    // After a rename, the new file takes over the destinations of the missing file, and may change them.
    let fourth = list_with_one_endpoint(1, second_server.address);
    fs::remove_file(&link).unwrap();
    fs::write(rosters.join("renamed.toml"), &fourth).unwrap();
    wait_until_stored(&folder, "renamed.toml", &fourth);
    check_called(address, "renamed", &second_server);
    assert!(!home(&folder).join("rosters/all.toml.good").exists());
}

#[test]
fn start_without_lists_is_logged_and_serves_no_listed_destination() {
    let server = start_healthy_server();
    let folder = new_folder("no-lists");
    apply(&folder, &listed_manifest("rosters", LOOSE_RULES));
    let program = start_daemon(&folder);
    let address = program.address(EVENTS_MARKER, 0);
    wait_for("a line on each destination", || {
        program.log().matches("nothing is served there").count() == 2
    });
    let response = submit_event(address, "1", "status", "a", "", b"").unwrap();
    assert_eq!(response.status(), 429, "the rejection is not permanent");
    assert!(response.header(headers::RETRY_AFTER).is_some());
    // The folder appears later, with a file for one destination.
    fs::create_dir(folder.path().join("rosters")).unwrap();
    let list = endpoint_list(1, &[("a", vec![endpoint("only", server.address, 1.0)])]).to_toml();
    fs::write(folder.path().join("rosters/a.toml"), &list).unwrap();
    wait_until_stored(&folder, "a.toml", &list);
    wait_for("the delivery", || {
        submit_event(address, "2", "status", "a", "", b"")
            .unwrap()
            .status()
            == 204
    });
    assert_eq!(
        submit_event(address, "3", "status", "b", "", b"")
            .unwrap()
            .status(),
        429
    );
}

#[test]
fn unlisted_destination_is_logged_and_unwatched_lists_are_not_shown() {
    let server = start_healthy_server();
    let folder = new_folder("unlisted");
    let list = endpoint_list(
        1,
        &[
            ("a", vec![endpoint("one", server.address, 1.0)]),
            ("b", vec![endpoint("two", server.address, 1.0)]),
        ],
    );
    fs::write(folder.path().join("roster.toml"), list.to_toml()).unwrap();
    let text = listed_manifest("roster.toml", LOOSE_RULES);
    apply(&folder, &text);
    let program = start_daemon(&folder);
    program.address(EVENTS_MARKER, 0);
    for code in ["destination-unlisted", "list-watcher-not-started"] {
        assert!(!program.log().contains(code), "{}", program.log());
    }
    apply(
        &folder,
        &text.replace("[roster]", "[destination.late]\nrate = 1\n[roster]"),
    );
    wait_for("a line on the destination", || {
        program.log().contains("destination-unlisted")
    });
    let status = home(&folder).join("rosters/status.json");
    assert!(fs::read_to_string(&status).unwrap().contains("roster.toml"));
    let endpoints_line = format!(
        "endpoints = [{{ name = \"x\", address = \"{}\" }}]",
        server.address
    );
    let (before, rest) = text.split_once("[roster]").unwrap();
    let (_, rest) = rest.split_once("[instance").unwrap();
    let without_lists = before.replacen("rate = 400", &endpoints_line, 1);
    let without_lists =
        without_lists.replace("rate = 400", &endpoints_line.replace("\"x\"", "\"y\""));
    apply(&folder, &format!("{without_lists}[instance{rest}"));
    wait_for("an empty status", || {
        !fs::read_to_string(&status).unwrap().contains("roster.toml")
    });
}

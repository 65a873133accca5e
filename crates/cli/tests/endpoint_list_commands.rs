//! Output and exit codes of the `marblefall roster` commands.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::lists::*;
use common::*;
use std::net::SocketAddr;

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "a sequence of commands with their output"
)]
fn list_commands_have_the_expected_output_and_exit_codes() {
    let folder = new_folder("list-commands");
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let list = |revision, weight| {
        endpoint_list(
            revision,
            &[(
                "a",
                vec![endpoint("x", at(9), weight), endpoint("y", at(10), 1.0)],
            )],
        )
    };
    let (old, new) = (list(1, 1.0), list(2, 3.0));
    let old = write_file(&folder, "old.toml", &old.to_toml());
    let new = write_file(&folder, "new.toml", &new.to_toml());
    let fleet = write_file(&folder, "fleet.toml", &listed_manifest("rosters", ""));
    let bad = write_file(
        &folder,
        "bad.toml",
        &list(3, 1.0)
            .to_toml()
            .replace("127.0.0.1:10", "127.0.0.1:0"),
    );

    let output = run(&["roster", "diff", path_str(&old), path_str(&new)]);
    assert_eq!(output.code, Some(0));
    assert_eq!(
        output.text,
        "~ a/x weight 1 -> 3\nrevision 1 to 2: 0 to add, 1 to change, 0 to remove\n"
    );
    let output = run(&[
        "roster",
        "check",
        path_str(&old),
        "--fleet",
        path_str(&fleet),
    ]);
    assert!(
        output.code == Some(0) && output.text.contains("old.toml: good"),
        "{output}"
    );
    let output = run(&["roster", "check", path_str(&bad), path_str(&old)]);
    assert!(
        output.code == Some(1)
            && output.text.contains("bad.toml:6")
            && output.text.contains("port 0")
            && output.text.contains("old.toml: good"),
        "{output}"
    );
    let output = run(&["roster", "check", path_str(&old), path_str(&new)]);
    assert!(
        output.code == Some(1) && output.text.contains("stands in"),
        "a destination in two files: {output}"
    );
    let output = run(&["roster", "check", "--format", "json", path_str(&bad)]);
    let reported: serde_json::Value = serde_json::from_str(&output.text).unwrap();
    assert_eq!(
        (output.code, &reported["reports"][0]["faults"][0]["code"]),
        (Some(1), &"bad-address".into())
    );
    assert_eq!(reported["reports"][0]["faults"][0]["line"], 6);
    let output = run(&["roster", "check", "/nowhere.toml"]);
    assert!(
        output.code == Some(1) && output.text.contains("/nowhere.toml"),
        "{output}"
    );
    for arguments in [
        &["roster", "check"][..],
        &["roster"],
        &["unheard-of"],
        &["plan"],
    ] {
        assert_eq!(run(arguments).code, Some(2), "{arguments:?}");
    }
    let output = run(&["roster", "check", "--help"]);
    assert!(
        output.code == Some(0) && output.text.contains("Examples:"),
        "{output}"
    );
    let output = run(&["completions", "bash"]);
    assert!(
        output.code == Some(0) && output.text.contains("marblefall"),
        "{output}"
    );
}

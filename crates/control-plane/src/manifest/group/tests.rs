//! The group of the examples, valid and with one invalid entry at a time.

use crate::manifest::Manifest;

const GOOD: &str = include_str!("../../../../../examples/group/fleet.toml");

/// An entry, its replacement, a part of the error message, and the line that the message names.
const INVALID: [(&str, &str, &str, usize); 10] = [
    (
        "instances = [\"north-1\"]",
        "instances = [\"nowhere\"]",
        "unknown instance",
        25,
    ),
    (
        "instances = [\"north-1\"]",
        "instances = [\"east-1\"]",
        "as does member east",
        25,
    ),
    (
        "instances = [\"north-1\"]",
        "instances = []",
        "no member of the group runs it",
        38,
    ),
    (
        "127.0.0.1:7302",
        "127.0.0.1:7301",
        "same link as member east",
        25,
    ),
    ("127.0.0.1:7302", "127.0.0.1:0", "no port", 25),
    ("votes = true", "votes = false", "no member has votes", 15),
    (
        "term_ms = 3000",
        "term_ms = 6000",
        "check_ms is 8500 at least",
        15,
    ),
    (
        "term_ms = 3000",
        "term_ms = 1",
        "term_ms is 200 at least",
        15,
    ),
    (
        "[group.member.south]",
        "[group.member.north]",
        "duplicate key",
        30,
    ),
    (
        "on_cut = \"stop\"",
        "on_cut = \"wait\"",
        "unknown variant",
        17,
    ),
];

#[test]
fn example_group_is_valid_without_warning() {
    let manifest = Manifest::parse(GOOD).unwrap();
    let group = manifest.group.unwrap();
    assert_eq!((group.members.len(), group.warning()), (3, None));
}

#[test]
fn invalid_group_is_an_error_with_its_line() {
    for (from, to, why, line) in INVALID {
        let text = GOOD.replace(from, to);
        assert_ne!(text, GOOD, "{from}");
        let message = Manifest::parse(&text).unwrap_err().to_string();
        assert!(
            message.contains(why) && message.contains(&format!("line {line}")),
            "{why}, line {line}: {message}"
        );
    }
    let even = GOOD.replacen("votes = true", "votes = false", 1);
    let warning = Manifest::parse(&even)
        .unwrap()
        .group
        .unwrap()
        .warning()
        .unwrap();
    assert!(warning.starts_with("2 members vote"), "{warning}");
}

//! Tests of the example group: as written, and with one invalid entry at a time.

use crate::manifest::Manifest;

const EXAMPLE: &str = include_str!("../../../../../examples/group/fleet.toml");

/// A change of [`EXAMPLE`] that makes it invalid.
struct InvalidChange {
    /// The text that is replaced.
    from: &'static str,
    /// Its replacement.
    to: &'static str,
    /// A text that the error message contains.
    message: &'static str,
    /// The line number in the error message.
    line: usize,
}

const INVALID_CHANGES: [InvalidChange; 10] = [
    InvalidChange {
        from: "instances = [\"north-1\"]",
        to: "instances = [\"nowhere\"]",
        message: "unknown instance",
        line: 25,
    },
    InvalidChange {
        from: "instances = [\"north-1\"]",
        to: "instances = [\"east-1\"]",
        message: "as does member east",
        line: 25,
    },
    InvalidChange {
        from: "instances = [\"north-1\"]",
        to: "instances = []",
        message: "no member of the group runs it",
        line: 38,
    },
    InvalidChange {
        from: "127.0.0.1:7302",
        to: "127.0.0.1:7301",
        message: "same link as member east",
        line: 25,
    },
    InvalidChange {
        from: "127.0.0.1:7302",
        to: "127.0.0.1:0",
        message: "no port",
        line: 25,
    },
    InvalidChange {
        from: "votes = true",
        to: "votes = false",
        message: "no member has votes",
        line: 15,
    },
    InvalidChange {
        from: "term_ms = 3000",
        to: "term_ms = 6000",
        message: "check_ms must be at least 8500",
        line: 15,
    },
    InvalidChange {
        from: "term_ms = 3000",
        to: "term_ms = 1",
        message: "term_ms must be between 200 and 600,000",
        line: 15,
    },
    InvalidChange {
        from: "[group.member.south]",
        to: "[group.member.north]",
        message: "duplicate key",
        line: 30,
    },
    InvalidChange {
        from: "on_cut = \"stop\"",
        to: "on_cut = \"wait\"",
        message: "unknown variant",
        line: 17,
    },
];

#[test]
fn example_group_is_valid_without_warning() {
    let manifest = Manifest::parse(EXAMPLE).unwrap();
    let group = manifest.group.unwrap();
    assert_eq!((group.members.len(), group.warning()), (3, None));
}

#[test]
fn invalid_group_is_an_error_with_its_line() {
    for change in INVALID_CHANGES {
        let InvalidChange { from, line, .. } = change;
        let text = EXAMPLE.replace(from, change.to);
        assert_ne!(text, EXAMPLE, "{from}");
        let message = Manifest::parse(&text).unwrap_err().to_string();
        assert!(
            message.contains(change.message) && message.contains(&format!("line {line}")),
            "{}, line {line}: {message}",
            change.message
        );
    }
}

#[test]
fn even_number_of_voters_is_a_warning() {
    let even = EXAMPLE.replacen("votes = true", "votes = false", 1);
    let warning = Manifest::parse(&even)
        .unwrap()
        .group
        .unwrap()
        .warning()
        .unwrap();
    assert!(warning.starts_with("2 members vote"), "{warning}");
}

/// Regression: the computation of the minimum timeout overflowed for a very long lease.
#[test]
fn overlong_lease_is_an_error() {
    let text = EXAMPLE.replace("term_ms = 3000", &format!("term_ms = {}", i64::MAX));
    let message = Manifest::parse(&text).unwrap_err().to_string();
    assert!(message.contains("term_ms"), "{message}");
    assert!(message.contains("check_ms"), "{message}");
}

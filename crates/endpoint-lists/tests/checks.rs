//! Tests of the checks of lists and of their diagnostics.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{active_lists, codes, reject, FILE, VALID_LIST};

/// A change that makes [`VALID_LIST`] invalid.
struct InvalidChange {
    /// Code of the expected diagnostic.
    code: &'static str,
    /// Text of [`VALID_LIST`] that is replaced.
    old_text: &'static str,
    /// Replacement for the old text.
    new_text: &'static str,
    /// Text on the line of the expected diagnostic; `None` if the line is not checked, as where a part is missing.
    text_on_line: Option<&'static str>,
}

const INVALID_CHANGES: &[InvalidChange] = &[
    InvalidChange {
        code: "unknown-field",
        old_text: "weight = 3",
        new_text: "wieght = 3",
        text_on_line: Some("wieght"),
    },
    InvalidChange {
        code: "unknown-partner",
        old_text: "[destination.kazanchis]",
        new_text: "[destination.kazanchi]",
        text_on_line: Some("[destination.kazanchi]"),
    },
    InvalidChange {
        code: "fixed-partner",
        old_text: "[destination.kazanchis]",
        new_text: "[destination.own]",
        text_on_line: Some("[destination.own]"),
    },
    InvalidChange {
        code: "same-name",
        old_text: "\"bole-2\"",
        new_text: "\"bole-1\"",
        text_on_line: Some("127.0.0.1:9102"),
    },
    InvalidChange {
        code: "same-address",
        old_text: "127.0.0.1:9102",
        new_text: "127.0.0.1:9101",
        text_on_line: Some("bole-2"),
    },
    InvalidChange {
        code: "bad-name",
        old_text: "\"bole-2\"",
        new_text: "\"bole/2\"",
        text_on_line: Some("bole/2"),
    },
    InvalidChange {
        code: "bad-weight",
        old_text: "weight = 3",
        new_text: "weight = -1",
        text_on_line: Some("weight"),
    },
    InvalidChange {
        code: "bad-weight",
        old_text: "weight = 3",
        new_text: "weight = nan",
        text_on_line: Some("weight"),
    },
    InvalidChange {
        code: "bad-weight",
        old_text: "weight = 3",
        new_text: "weight = 1000.5",
        text_on_line: Some("weight"),
    },
    InvalidChange {
        code: "bad-address",
        old_text: "127.0.0.1:9102",
        new_text: "127.0.0.1:0",
        text_on_line: Some("bole-2"),
    },
    InvalidChange {
        code: "bad-address",
        old_text: "127.0.0.1:9102",
        new_text: "0.0.0.0:80",
        text_on_line: Some("bole-2"),
    },
    InvalidChange {
        code: "bad-address",
        old_text: "127.0.0.1:9102",
        new_text: "bole:80",
        text_on_line: Some("bole-2"),
    },
    InvalidChange {
        code: "bad-address",
        old_text: "127.0.0.1:9102",
        new_text: "224.0.0.1:80",
        text_on_line: Some("bole-2"),
    },
    InvalidChange {
        code: "torn",
        old_text: "[end]\nrevision = 8",
        new_text: "[end]\nrevision = 7",
        text_on_line: Some("revision = 7"),
    },
    InvalidChange {
        code: "cut-off",
        old_text: "[end]\nrevision = 8\n",
        new_text: "",
        text_on_line: None,
    },
    InvalidChange {
        code: "not-last",
        old_text: "[end]\nrevision = 8\n",
        new_text: "[end]\nrevision = 8\n\n",
        text_on_line: None,
    },
    InvalidChange {
        code: "no-revision",
        old_text: "revision = 8\n\n",
        new_text: "\n\n",
        text_on_line: None,
    },
    InvalidChange {
        code: "not-readable",
        old_text: "weight = 3",
        new_text: "weight = ",
        text_on_line: Some("weight"),
    },
];

/// Returns the number of the first line that contains a text, counted from 1.
fn line_number(text: &str, part: &str) -> usize {
    text[..text.find(part).unwrap()].matches('\n').count() + 1
}

#[test]
fn diagnostic_has_its_line_number_and_help() {
    for change in INVALID_CHANGES {
        let InvalidChange {
            code,
            old_text,
            new_text,
            ..
        } = *change;
        let text = VALID_LIST.replacen(old_text, new_text, 1);
        assert_ne!(text, VALID_LIST, "{old_text}");
        let report = reject(&active_lists(), text.as_bytes());
        let diagnostic = report
            .diagnostics
            .iter()
            .find(|diagnostic| diagnostic.code == code)
            .unwrap_or_else(|| panic!("{code}: {report}"));
        assert!(
            !diagnostic.help.is_empty() && report.to_string().contains(&diagnostic.help),
            "{report}"
        );
        if let Some(text_on_line) = change.text_on_line {
            assert_eq!(
                diagnostic.line,
                line_number(&text, text_on_line),
                "{report}"
            );
            assert!(report.to_string().contains(FILE), "{report}");
        }
    }
}

#[test]
fn invalid_list_is_rejected_with_its_code() {
    let other_field = VALID_LIST.replace("endpoints = [{", "was = [{");
    let no_endpoint = "revision = 9\n[destination.bole]\nendpoints = []\n[end]\nrevision = 9\n";
    let no_weight = VALID_LIST
        .replace("weight = 3", "weight = 0")
        .replace("9102\"", "9102\", weight = 0");
    let too_large = [VALID_LIST.as_bytes(), &vec![b'#'; 70_000]].concat();
    for (bytes, code) in [
        (other_field.as_bytes(), "unknown-field"),
        (no_endpoint.as_bytes(), "no-endpoint"),
        (no_weight.as_bytes(), "all-zero"),
        (b"revision = 9 # \xff\xfe", "not-utf8"),
        (&too_large, "too-large"),
    ] {
        assert_eq!(codes(&reject(&active_lists(), bytes))[0], code);
    }
}

#[test]
fn revision_must_grow_unless_nothing_changes() {
    let active = active_lists();
    assert!(active
        .evaluate(FILE, VALID_LIST.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    let changed = VALID_LIST.replace("weight = 3", "weight = 4");
    assert_eq!(
        codes(&reject(&active, changed.as_bytes()))[0],
        "old-revision"
    );
    let lower = changed.replace("revision = 8", "revision = 7");
    assert_eq!(codes(&reject(&active, lower.as_bytes()))[0], "old-revision");
    let higher = changed.replace("revision = 8", "revision = 9");
    assert_eq!(
        active
            .evaluate(FILE, higher.as_bytes())
            .unwrap()
            .changes
            .len(),
        1
    );
}

#[test]
fn large_loss_needs_an_allowance() {
    let active = active_lists();
    let without = |first: &str| {
        let rest = &VALID_LIST[VALID_LIST.find("[destination.kaz").unwrap()..];
        let head = "[destination.bole]\nendpoints = [{ name = \"bole-2\", address = \"127.0.0.1:9102\" }]\n";
        format!("{first}\n{head}{rest}").replace("revision = 8", "revision = 9")
    };
    // The removed endpoint has three quarters of the destination's weight.
    let report = reject(&active, without("revision = 8").as_bytes());
    assert_eq!(codes(&report)[0], "large-loss");
    assert!(report.to_string().contains("75%"), "{report}");
    let allowed = "revision = 8\nallow_loss = { revision = 9, destinations = [\"bole\"] }";
    assert!(active.evaluate(FILE, without(allowed).as_bytes()).is_ok());
    // An allowance for an earlier revision has no effect.
    let stale = allowed.replace("{ revision = 9", "{ revision = 7");
    let report = reject(&active, without(&stale).as_bytes());
    assert_eq!(codes(&report), ["large-loss", "old-allowance"], "{report}");
}

#[test]
fn draining_and_zero_weight_count_as_loss() {
    let active = active_lists();
    for (old_text, new_text, is_accepted) in [
        ("weight = 3", "weight = 3, draining = true", false),
        ("weight = 3", "weight = 0", false),
        ("weight = 3", "weight = 0.01", false),
        ("\"127.0.0.1:9102\"", "\"127.0.0.1:9102\", weight = 0", true),
        ("weight = 3", "weight = 900", true),
        (
            "weight = 3, zone = \"north\" },",
            "weight = 30 }, { name = \"x\", address = \"127.0.0.1:1\", weight = 900 },",
            true,
        ),
    ] {
        let text = VALID_LIST
            .replace(old_text, new_text)
            .replace("revision = 8", "revision = 9");
        assert_eq!(
            active.evaluate(FILE, text.as_bytes()).is_ok(),
            is_accepted,
            "{new_text}"
        );
    }
}

#[test]
fn removed_destination_loses_its_weight_and_most_endpoints() {
    let one_destination = "revision = 9\n[destination.kazanchis]\nendpoints = [{ name = \"k-2\", address = \"[::1]:9104\" }]\n[end]\nrevision = 9\n";
    let report = reject(&active_lists(), one_destination.as_bytes());
    assert_eq!(codes(&report), ["large-loss", "large-loss"]);
}

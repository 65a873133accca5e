//! Tests of the deployed manifest: as written, and with one invalid entry at a time.

use super::Manifest;

const DEPLOYED: &str = include_str!("../../../../deploy/partners.toml");

/// A change of [`DEPLOYED`] that makes it invalid.
struct InvalidChange {
    /// The text that is replaced.
    from: &'static str,
    /// Its replacement.
    to: &'static str,
    /// A text that the error message contains.
    message: &'static str,
    /// A text on the line whose number is in the error message.
    on_line: &'static str,
}

const INVALID_CHANGES: [InvalidChange; 7] = [
    InvalidChange {
        from: "worth = 1",
        to: "worht = 1",
        message: "worht",
        on_line: "worht",
    },
    InvalidChange {
        from: "[limits]",
        to: "[fleet]\nelsewhere = 20000\n[limits]",
        message: "elsewhere must be at most 10000",
        on_line: "[fleet]",
    },
    InvalidChange {
        from: "window_ms = 6000",
        to: "",
        message: "needs window_ms",
        on_line: "[class.refill-order]",
    },
    InvalidChange {
        from: "repeats = \"free\"",
        to: "repeats = \"free\"\nwindow_ms = 5",
        message: "window_ms",
        on_line: "[class.refill-status]",
    },
    InvalidChange {
        from: "= \"refill-status\"",
        to: "= \"nothing\"",
        message: "unknown class",
        on_line: "[instance.clinics-1]",
    },
    InvalidChange {
        from: "wanted_ms = 2500",
        to: "wanted_ms = 250000",
        message: "wanted_ms is greater than give_up_ms",
        on_line: "[class.refill-order]",
    },
    InvalidChange {
        from: "127.0.0.1:8192",
        to: "127.0.0.1:8191",
        message: "127.0.0.1:8191 is the listen address of two frontends",
        on_line: "[instance.clinics-2]",
    },
];

#[test]
fn deployed_manifest_is_valid() {
    let manifest = Manifest::parse(DEPLOYED).unwrap();
    assert!(
        !manifest.instances.is_empty() && manifest.instances.values().all(|i| i.events.is_some())
    );
}

/// Returns the number, counted from 1, of the first line that contains `part`.
fn line_of(text: &str, part: &str) -> usize {
    text[..text.find(part).unwrap()].matches('\n').count() + 1
}

#[test]
fn invalid_entry_is_an_error_with_its_line() {
    for change in INVALID_CHANGES {
        let InvalidChange { from, on_line, .. } = change;
        let text = DEPLOYED.replacen(from, change.to, 1);
        assert_ne!(text, DEPLOYED, "{from}");
        let message = Manifest::parse(&text).unwrap_err().to_string();
        let place = format!("line {}", line_of(&text, on_line));
        assert!(
            message.contains(change.message) && message.contains(&place),
            "{place}, {}: {message}",
            change.message
        );
    }
}

#[test]
fn unknown_key_error_lists_operators_keys() {
    let text = DEPLOYED.replacen("worth = 1", "priority_weight = 1", 1);
    let message = Manifest::parse(&text).unwrap_err().to_string();
    let keys = "expected one of `repeats`, `window_ms`, `worth`, `wanted_ms`, `give_up_ms`, `late_value`, `remember_s`";
    assert!(
        message.contains("unknown field `priority_weight`") && message.contains(keys),
        "{message}"
    );
}

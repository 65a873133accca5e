//! The deployed manifest, valid and with one invalid entry at a time.

use super::Manifest;

const GOOD: &str = include_str!("../../../../deploy/partners.toml");

#[test]
fn deployed_manifest_is_valid() {
    let manifest = Manifest::parse(GOOD).unwrap();
    assert!(
        !manifest.instances.is_empty() && manifest.instances.values().all(|i| i.events.is_some())
    );
}

#[test]
fn invalid_entry_is_an_error_with_its_line() {
    let line_of =
        |text: &str, part: &str| text[..text.find(part).unwrap()].matches('\n').count() + 1;
    for (from, to, why, table) in [
        ("worth = 1", "worht = 1", "worht", "worht"),
        (
            "[limits]",
            "[fleet]\nelsewhere = 20000\n[limits]",
            "elsewhere is 10000 at most",
            "[fleet]",
        ),
        (
            "window_ms = 6000",
            "",
            "needs window_ms",
            "[class.refill-order]",
        ),
        (
            "repeats = \"free\"",
            "repeats = \"free\"\nwindow_ms = 5",
            "window_ms",
            "[class.refill-status]",
        ),
        (
            "= \"refill-status\"",
            "= \"nothing\"",
            "unknown class",
            "[instance.clinics-1]",
        ),
        (
            "wanted_ms = 2500",
            "wanted_ms = 250000",
            "beyond give_up_ms",
            "[class.refill-order]",
        ),
        (
            "127.0.0.1:8192",
            "127.0.0.1:8191",
            "listened at twice",
            "[instance.clinics-2]",
        ),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let message = Manifest::parse(&text).unwrap_err().to_string();
        let place = format!("line {}", line_of(&text, table));
        assert!(
            message.contains(why) && message.contains(&place),
            "{place}, {why}: {message}"
        );
    }
}

#[test]
fn unknown_key_error_lists_operators_keys() {
    let text = GOOD.replacen("worth = 1", "priority_weight = 1", 1);
    let message = Manifest::parse(&text).unwrap_err().to_string();
    let keys = "expected one of `repeats`, `window_ms`, `worth`, `wanted_ms`, `give_up_ms`, `late_value`, `remember_s`";
    assert!(
        message.contains("unknown field `priority_weight`") && message.contains(keys),
        "{message}"
    );
}

//! Tests of evaluating, activating, storing and restoring lists.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{active_lists, check_property, rules, ValidList, FILE, VALID_LIST};
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoredList};
use marblefall_endpoint_lists::{ActiveLists, Candidate, ListRules};

/// While a file is being written in place, it starts with the new content and ends with the old content, or is truncated
/// if the new content is longer.
#[test]
fn partially_written_file_changes_nothing() {
    check_property(
        3,
        20,
        |(ValidList(old), ValidList(mut new)): (ValidList, ValidList)| {
            new.revision += old.revision + 1;
            let (before, after) = (old.to_toml(), new.to_toml());
            let mut active = ActiveLists::new(ListRules::default());
            active.activate(active.evaluate("a", before.as_bytes()).unwrap());
            let unchanged = active.clone();
            (0..after.len()).all(|switch_offset| {
                let tail = before.as_bytes().get(switch_offset..).unwrap_or_default();
                let mixed = [&after.as_bytes()[..switch_offset], tail].concat();
                let changes_nothing = |candidate: Candidate| candidate.changes.is_empty();
                active.evaluate("a", &mixed).map_or(true, changes_nothing) && active == unchanged
            })
        },
    );
}

#[test]
fn destination_of_an_active_list_is_rejected_in_a_second_file() {
    let mut active = active_lists();
    let text = "revision = 1\n[destination.bole]\nendpoints = [{ name = \"x\", address = \"127.0.0.1:1\" }]\n[end]\nrevision = 1\n";
    let report = active.evaluate("second.toml", text.as_bytes()).unwrap_err();
    assert_eq!(report.diagnostics[0].code, "two-files");
    // A destination is moved in two steps: it is removed from the old file, and then added to the new file.
    let bole = VALID_LIST.find("[destination.bole]").unwrap()
        ..VALID_LIST.find("[destination.kaz").unwrap();
    let allowed =
        "revision = 9\nallow_loss = { revision = 9, destinations = [\"bole\"], endpoints = true }\n";
    let mut rest = VALID_LIST
        .replacen("revision = 8\n", allowed, 1)
        .replace("revision = 8", "revision = 9");
    rest = rest.replace(&VALID_LIST[bole], "");
    active.activate(active.evaluate(FILE, rest.as_bytes()).unwrap());
    assert_eq!(active.destinations_without_list(), ["bole"]);
    active.activate(active.evaluate("second.toml", text.as_bytes()).unwrap());
    assert!(active.destinations_without_list().is_empty());
    // The endpoints of a destination that is removed from the manifest are omitted, but the list stays active.
    let mut fewer_destinations = rules();
    fewer_destinations
        .destinations
        .as_mut()
        .unwrap()
        .remove("bole");
    active.set_rules(fewer_destinations);
    assert!(active.endpoints().all(|(name, _)| name == "kazanchis"));
    active.set_rules(rules());
    assert!(active.endpoints().any(|(name, _)| name == "bole"));
}

#[test]
fn last_good_list_survives_a_crash_at_any_point() {
    let folder = std::env::temp_dir().join(format!("marblefall-last-good-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let store = LastGoodStore::at(&folder);
    assert!(store.read().unwrap().is_empty());
    store.write(FILE, VALID_LIST.as_bytes()).unwrap();
    // A crash while the next list is being written leaves a temporary file with a part of that list.
    std::fs::write(folder.join("roster.toml.new"), &VALID_LIST.as_bytes()[..40]).unwrap();
    let stored = store.read().unwrap();
    let complete = StoredList {
        file: FILE.to_owned(),
        bytes: VALID_LIST.as_bytes().to_vec(),
    };
    assert_eq!(stored, [complete]);
    // After a crash between writing and activating a list, the next incarnation restores that list.
    let next = VALID_LIST
        .replace("weight = 3", "weight = 4")
        .replace("revision = 8", "revision = 9");
    store.write(FILE, next.as_bytes()).unwrap();
    let mut active = ActiveLists::new(rules());
    for StoredList { file, bytes } in store.read().unwrap() {
        active.restore(&file, &bytes).unwrap();
    }
    assert_eq!(active.lists()[FILE].revision, 9);
    assert!(active
        .evaluate(FILE, next.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    std::fs::remove_dir_all(&folder).unwrap();
}

//! Tests that this version reads the data that an earlier version of the program stored: a member's home with its voter's
//! log and the policy in force, and a fleet's home with the endpoint list in force. The fixtures in `tests/fixtures` were
//! written by an earlier version and must not be changed.

use marblefall_control_plane::endpoint_directory::CompactApplied;
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::list_watcher::{FileState, LastGoodLists, ListStatus};
use marblefall_control_plane::manifest::name_hash;
use marblefall_control_plane::plan::Applied;
use marblefall_coordination::persistent_state::PersistentState;
use marblefall_coordination::replicated_state::ChangeOutcome;
use std::fs;
use std::path::PathBuf;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

#[test]
fn stored_membership_and_applied_policy_are_read() {
    let home = fixture("member");
    let applied = Applied::read(&home).unwrap();
    assert_eq!(applied.revision, 2);
    assert_eq!(
        applied.manifest.instances.keys().collect::<Vec<_>>(),
        ["east-1", "north-1", "south-1"]
    );
    assert_eq!(
        applied.manifest.classes["refill-order"].latency_objective_ms,
        2000
    );
    assert_eq!(applied.manifest.limits.max_open, 128);
    let membership = Membership::read(&home).unwrap().unwrap();
    assert_eq!(
        (membership.name.as_str(), membership.group.name.as_str()),
        ("east", "clinics")
    );
    assert_eq!(membership.names(), ["east", "north", "south"]);
    // Encoding it again yields the same keys and values.
    let before: serde_json::Value =
        serde_json::from_slice(&fs::read(home.join("applied.json")).unwrap()).unwrap();
    assert_eq!(serde_json::to_value(&applied).unwrap(), before);
}

#[test]
fn voter_state_is_decoded_and_encoded_byte_for_byte() {
    let bytes = fs::read(fixture("member/group/votes")).unwrap();
    let stored = PersistentState::decode(&bytes, name_hash("clinics/east")).unwrap();
    assert!(stored.log_length() >= 2, "{} entries", stored.log_length());
    assert!(!stored.is_configuration_ending());
    let mut state = stored.base_state();
    for entry in stored.entries_from(0) {
        state.apply(entry);
    }
    assert_eq!(
        (state.committed.0, state.voters.len(), state.history.len()),
        (2, 3, 2)
    );
    assert!(state.pending.is_none() && state.excluded.is_empty());
    assert!(state
        .history
        .iter()
        .all(|change| matches!(change.outcome, ChangeOutcome::InForce(_))));
    assert_eq!(stored.encode(), bytes);
}

#[test]
fn stored_last_good_list_and_status_are_read() {
    let home = fixture("fleet");
    let applied = Applied::read(&home).unwrap();
    assert_eq!(applied.revision, 1);
    let last_good = LastGoodLists::read(&home, &applied.manifest).unwrap();
    assert!(last_good.unreadable.is_empty());
    let names: Vec<_> = last_good
        .lists
        .endpoints()
        .map(|(destination, endpoint)| (destination, endpoint.name.as_str()))
        .collect();
    assert_eq!(names, [("toy", "toy-1"), ("toy", "toy-2")]);
    let status = ListStatus::read(&home).unwrap();
    let file = &status.files["toy.toml"];
    assert!(matches!(file.state, FileState::InForce));
    assert_eq!((file.revision, status.unlisted.len()), (Some(1), 0));
}

#[test]
fn compact_read_equals_full_read_of_applied_file() {
    for (home, origins) in [("member", 0), ("fleet", 1)] {
        let full = Applied::read(&fixture(home)).unwrap();
        let compact = CompactApplied::read(&fixture(home)).unwrap();
        let names: Vec<_> = compact
            .directory
            .destination_table
            .entries()
            .map(|entry| entry.name.to_owned())
            .collect();
        assert_eq!(names.len(), full.manifest.destinations.len());
        assert!(names
            .iter()
            .all(|name| full.manifest.destinations.contains_key(name)));
        assert_eq!(
            compact
                .manifest
                .list_rules()
                .destinations
                .map(|all| all.len()),
            Some(origins)
        );
        let mut manifest = full.manifest;
        manifest.destinations.clear();
        manifest.endpoint_origins = compact.manifest.endpoint_origins.clone();
        assert_eq!(
            (compact.revision, compact.manifest),
            (full.revision, manifest)
        );
    }
}

#[test]
fn applied_file_keeps_every_key() {
    let stored = serde_json::json!({
        "revision": 7,
        "fleet": {
            "limits": {
                "slots": 17, "max_open": 129, "max_attempts": 9, "sockets": 513, "disk_mb": 17.0,
                "remember": 10001, "dial_ms": 1501, "idle_ms": 10002, "retry_after_ms": 30001
            },
            "classes": {
                "keyed": {
                    "repeats": "keyed", "window_ms": 6000, "worth": 2.0, "wanted_ms": 1000,
                    "give_up_ms": 5000, "late_value": 0.5, "remember_s": 86401
                },
                "free": {
                    "repeats": "free", "window_ms": null, "worth": 1.0, "wanted_ms": 1000,
                    "give_up_ms": 5000, "late_value": 0.0, "remember_s": 86400
                },
                "never": {
                    "repeats": "never", "window_ms": null, "worth": 1.0, "wanted_ms": 1000,
                    "give_up_ms": 5000, "late_value": 0.0, "remember_s": 86400
                }
            },
            "destinations": {
                "toy": {
                    "mode": "binary", "path": "/events", "rate": 20.0,
                    "endpoints": [{ "name": "toy-1", "address": "127.0.0.1:9001", "draining": true }]
                }
            },
            "instances": {
                "first": {
                    "events": {
                        "listen": "127.0.0.1:8190", "path": "/events",
                        "destination_attribute": "clinic", "types": { "status": "free" }
                    },
                    "relay": {
                        "listen": "127.0.0.1:8191", "notices": "127.0.0.1:8192",
                        "numbers": { "1": "toy" }
                    },
                    "limits": null
                }
            },
            "elsewhere": 3,
            "roster": {
                "path": "/srv/rosters", "poll_ms": 2001, "max_kb": 8193,
                "most_weight_lost": 0.25, "most_endpoints_lost": 0.75
            },
            "group": {
                "name": "clinics", "on_cut": "serve", "term_ms": 3001, "check_ms": 5001, "stop_ms": 8001,
                "members": {
                    "east": { "link": "127.0.0.1:7301", "instances": ["first"], "votes": true }
                }
            }
        }
    });
    let applied: Applied = serde_json::from_value(stored.clone()).unwrap();
    assert_eq!(serde_json::to_value(&applied).unwrap(), stored);
}

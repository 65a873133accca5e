//! Data that an earlier version of the program stored, in `tests/fixtures`, is read by this one: a member's home with
//! its voter's log and the policy in force, and a fleet with the endpoint list in force. The fixtures were written by
//! the version before the packages moved to `crates/`, and are never written anew.

use marblefall_control_plane::file::number_of;
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::plan::Applied;
use marblefall_control_plane::watch::{self, Standing, Status};
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
fn members_home_and_policy_in_force_are_read() {
    let home = fixture("member");
    let applied = Applied::read(&home).unwrap();
    assert_eq!(applied.revision, 2);
    assert_eq!(
        applied.fleet.instances.keys().collect::<Vec<_>>(),
        ["east-1", "north-1", "south-1"]
    );
    assert_eq!(applied.fleet.classes["refill-order"].wanted_ms, 2000);
    assert_eq!(applied.fleet.limits.max_open, 128);
    let membership = Membership::read(&home).unwrap().unwrap();
    assert_eq!(
        (membership.name.as_str(), membership.group.name.as_str()),
        ("east", "clinics")
    );
    assert_eq!(membership.names(), ["east", "north", "south"]);
    // Written again it is the same, key by key.
    let before: serde_json::Value =
        serde_json::from_slice(&fs::read(home.join("applied.json")).unwrap()).unwrap();
    assert_eq!(serde_json::to_value(&applied).unwrap(), before);
}

#[test]
fn voters_log_is_read_and_written_byte_for_byte() {
    let bytes = fs::read(fixture("member/group/votes")).unwrap();
    let stored = PersistentState::decode(&bytes, number_of("clinics/east")).unwrap();
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
fn list_in_force_is_read_under_the_applied_fleet() {
    let home = fixture("fleet");
    let applied = Applied::read(&home).unwrap();
    assert_eq!(applied.revision, 1);
    let (book, unreadable) = watch::kept(&home, &applied.fleet).unwrap();
    assert!(unreadable.is_empty());
    let names: Vec<_> = book
        .endpoints()
        .map(|(destination, endpoint)| (destination, endpoint.name.as_str()))
        .collect();
    assert_eq!(names, [("toy", "toy-1"), ("toy", "toy-2")]);
    let status = Status::read(&home).unwrap();
    let file = &status.files["toy.toml"];
    assert!(matches!(file.standing, Standing::InForce));
    assert_eq!((file.revision, status.unlisted.len()), (Some(1), 0));
}

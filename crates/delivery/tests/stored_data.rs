//! Tests that this version of the program reads data stored by an earlier version: a journal of two generations, the marks
//! of two incarnations, and a snapshot of destinations. The data is in `tests/fixtures` and is never regenerated.

#![allow(clippy::too_many_lines, reason = "a test is one sequence of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_atomic_file::LocalDisk;
use marblefall_delivery::core::journal::Generation;
use marblefall_delivery::core::message_record::{
    AttemptRecord, MessageRecord, MessageState, NoticeState,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::snapshot::DestinationRecord;
use marblefall_delivery::core::{FinalOutcome, Origin};
use marblefall_delivery::hot_restart::incarnation::{Incarnation, PredecessorState};
use marblefall_delivery::snapshot_store;
use marblefall_scheduler::{ClassId, DestinationId, IdleRecord, Time};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Time at which the messages in the fixtures were accepted, as Unix time in milliseconds.
const STORED_AT_MS: i64 = 1_800_000_000_000;
/// Maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 3_000_000;

/// Copies a fixture to a folder that a test may write to, and returns the folder.
fn copy_fixture(fixture: &str, test: &str) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    let to = std::env::temp_dir().join(format!("marblefall-stored-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&to);
    fs::create_dir_all(&to).unwrap();
    for file in fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
    to
}

fn classes() -> Vec<String> {
    vec!["keyed".to_owned(), "free".to_owned()]
}

fn message<'a>(store: &'a MessageStore, identity: &str) -> &'a MessageRecord {
    let id = store
        .by_identity(identity.as_bytes())
        .unwrap_or_else(|| panic!("{identity} is not stored"));
    store.get(id).unwrap()
}

fn attempt(after_ms: i64, endpoint: &str) -> Option<AttemptRecord> {
    Some(AttemptRecord {
        started_ms: STORED_AT_MS + after_ms,
        endpoint: endpoint.to_owned(),
    })
}

#[test]
fn journal_of_two_generations_restores_every_message_state() {
    let folder = copy_fixture("journal", "states");
    let store = MessageStore::open(&folder, MAX_BYTES, classes()).unwrap();

    let accepted = message(&store, "accepted");
    assert_eq!(
        (accepted.attempts, &accepted.state),
        (0, &MessageState::Pending)
    );
    assert_eq!(accepted.message.origin, Origin::Platform);
    assert_eq!(accepted.message.class, ClassId(0));
    assert_eq!(accepted.message.destination, DestinationId(7));
    assert_eq!(accepted.message.expires_ms, STORED_AT_MS + 20_000);
    assert_eq!(
        accepted.message.idempotency_key.as_deref(),
        Some(&b"key of accepted"[..])
    );
    assert_eq!(accepted.message.attributes, b"attributes of accepted");
    assert_eq!(accepted.message.body, b"body of accepted");

    // The process exited during the attempt, which may therefore have been executed.
    let in_flight = message(&store, "in-flight");
    assert_eq!(
        (in_flight.attempts, &in_flight.state),
        (1, &MessageState::Pending)
    );
    assert_eq!(in_flight.first_possible_execution, attempt(100, "bole-1"));

    let in_backoff = message(&store, "in-backoff");
    assert_eq!(
        (in_backoff.attempts, &in_backoff.state),
        (1, &MessageState::Pending)
    );
    assert_eq!(
        (
            in_backoff.message.origin,
            &in_backoff.first_possible_execution
        ),
        (Origin::CloudEvents, &None)
    );

    let unacknowledged = message(&store, "notice-owed");
    let completion = unacknowledged.completion().unwrap();
    assert_eq!(
        (completion.outcome, completion.notice),
        (FinalOutcome::Failed, NoticeState::Pending)
    );
    assert_eq!(completion.retain_until_ms, STORED_AT_MS + 60_000);
    assert_eq!(
        unacknowledged.first_possible_execution,
        attempt(300, "bole-1")
    );
    assert!(unacknowledged.message.body.is_empty() && unacknowledged.message.attributes.is_empty());

    let aliased = message(&store, "aliased");
    let completion = aliased.completion().unwrap();
    assert_eq!(
        completion.outcome,
        FinalOutcome::Returned {
            retry_after_ms: 1500
        }
    );
    assert_eq!(completion.notice, NoticeState::NotRequired);
    assert_eq!(aliased.aliases, [b"second-identity".to_vec()]);
    assert_eq!(
        store.by_identity(b"second-identity"),
        store.by_identity(b"aliased")
    );
    assert_eq!(
        store.by_idempotency_key(DestinationId(7), b"key of aliased"),
        store.by_identity(b"aliased")
    );

    assert_eq!(store.by_identity(b"forgotten"), None);

    // After the handover, the results of two attempts were reported: a rejection and a delivery.
    let handed_over = message(&store, "handed-over");
    assert_eq!(
        (handed_over.attempts, &handed_over.state),
        (1, &MessageState::Pending)
    );
    assert_eq!(handed_over.first_possible_execution, None);
    let delivered = message(&store, "delivered-after-handover")
        .completion()
        .unwrap()
        .clone();
    assert_eq!(
        (delivered.outcome, delivered.notice),
        (FinalOutcome::Delivered, NoticeState::NotRequired)
    );
    assert_eq!(delivered.retain_until_ms, STORED_AT_MS + 60_000);

    for name in ["accepted-after-handover", "accepted-by-second"] {
        assert_eq!(message(&store, name).state, MessageState::Pending, "{name}");
    }
    assert_eq!((store.messages().len(), store.open_count()), (9, 6));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn journal_restores_backoffs_and_routes_of_concurrent_incarnations() {
    let folder = copy_fixture("journal", "concurrent");
    let mut store = MessageStore::begin(&folder, MAX_BYTES, classes(), Generation(3)).unwrap();
    let recovered = store.take_over(&[], Some(Generation(1))).unwrap();
    let backoffs: BTreeMap<_, _> = [("bole-1", 4_000), ("bole-2", 9_000)]
        .map(|(name, after)| ((DestinationId(7), name.to_owned()), STORED_AT_MS + after))
        .into();
    assert_eq!(store.backoffs(), &backoffs);
    let unix = |after_ms: i64| Some(Time((STORED_AT_MS + after_ms) * 1000));
    let routes: Vec<_> = recovered
        .routes
        .iter()
        .map(|route| (route.destination, route.endpoint.as_deref(), route.state))
        .collect();
    let separate = IdleRecord {
        backoff_until: unix(5_000),
        ejected_since: unix(-1_000),
        recovering_since: None,
        mean_latency_ms: Some(12.5),
        baseline_rate: 0.75,
    };
    let shared = IdleRecord {
        recovering_since: unix(0),
        baseline_rate: 2.0,
        ..IdleRecord::default()
    };
    assert_eq!(
        routes,
        [
            (DestinationId(7), Some("bole-1"), separate),
            (DestinationId(8), None, shared)
        ]
    );
    assert!(
        recovered.in_flight.is_empty(),
        "both incarnations have exited"
    );
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn marks_of_earlier_incarnations_are_read() {
    let folder = copy_fixture("marks", "marks");
    // The first incarnation has handed over and is still running. The second one has exited.
    let running = fs::OpenOptions::new()
        .read(true)
        .append(true)
        .open(folder.join("life-1"))
        .unwrap();
    running.try_lock().unwrap();
    let mut third = Incarnation::claim(&folder).unwrap();
    assert_eq!(third.generation(), Generation(3));
    let predecessors = third.running_predecessors().unwrap();
    assert_eq!(predecessors.len(), 1);
    assert_eq!(
        (predecessors[0].generation, predecessors[0].state),
        (Generation(1), PredecessorState::Inactive)
    );
    assert!(third.has_exited(Generation(2)));
    drop(running);
    assert_eq!(third.running_predecessors().unwrap(), []);
    assert!(third.has_exited(Generation(1)));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn snapshot_restores_every_destination_field() {
    let folder = copy_fixture("snapshot", "snapshot");
    let records = snapshot_store::read(&LocalDisk, &folder).unwrap();
    let expected = [1, 2, 3].map(|number: u64| DestinationRecord {
        destination: number << 40,
        ejected_since_ms: (number == 1).then_some(STORED_AT_MS - 5),
        recovering_since_ms: (number == 2).then_some(STORED_AT_MS - 50),
        backoff_until_ms: (number == 1).then_some(STORED_AT_MS + 900),
        mean_latency_ms: Some(12.5),
        baseline_rate: 0.25,
        pending: 3,
        in_flight: 1,
        active: number < 2,
    });
    assert_eq!(records, expected);
    fs::remove_dir_all(folder).unwrap();
}

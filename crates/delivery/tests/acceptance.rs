//! Acceptance of submissions and detection of repeats by the engine. The tests use no network and set the clock themselves.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::restarting_engine::{
    attempt_finished, message, open_store, segment_path, submission, RestartingEngine,
    IDEMPOTENT_CLASS, KEYED_CLASS,
};
use common::{folder as temporary_folder, notice_outcomes, responses, started_attempts, START_MS};
use marblefall_delivery::core::engine::{EngineEvent, EngineLoad};
use marblefall_delivery::core::message_record::{AttemptRecord, Execution, NoticeState};
use marblefall_delivery::core::{FinalOutcome, Origin, RequestId, SubmitResponse};
use marblefall_scheduler::{DestinationId, Outcome};
use std::fs;
use std::rc::Rc;

#[test]
fn message_is_journalled_before_acceptance_and_finishes_once() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("once"), 0);
    let commands = incarnation.step(
        10,
        vec![submission(1, "m", Origin::CloudEvents, KEYED_CLASS)],
    );
    assert_eq!(responses(&commands), [(1, SubmitResponse::Accepted)]);
    let started = started_attempts(&commands)[0];
    // The message and its attempt can be read from the folder immediately.
    let other = open_store(&incarnation.folder);
    let record = other.get(started.0).unwrap();
    assert_eq!(
        (
            record.attempts,
            record.first_possible_execution.is_some(),
            record.message.body.len()
        ),
        (1, true, 9)
    );
    let commands = incarnation.step(
        200,
        vec![
            attempt_finished(started, Outcome::Delivered),
            attempt_finished(started, Outcome::Delivered),
        ],
    );
    assert_eq!(
        responses(&commands),
        [(1, SubmitResponse::Finished(FinalOutcome::Delivered))]
    );
}

/// A client that submits the id of another client's message must neither cancel that message by disconnecting nor cause it
/// to be sent again.
#[test]
fn repeat_by_another_client_cannot_cancel_platform_message() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("first-client"), 0);
    let submission = |request| submission(request, "m", Origin::Platform, IDEMPOTENT_CLASS);
    let commands = incarnation.step(0, vec![submission(1), submission(2)]);
    assert_eq!(
        responses(&commands),
        [(2, SubmitResponse::Conflict), (1, SubmitResponse::Accepted)]
    );
    let (mut incarnation, commands) = RestartingEngine::start(incarnation.folder.clone(), 100);
    let started = started_attempts(&commands)[0];
    assert_eq!(
        responses(&incarnation.step(10, vec![submission(3)])),
        [(3, SubmitResponse::Accepted)]
    );
    incarnation.step(20, vec![EngineEvent::ClientGone(RequestId(3))]);
    assert_eq!(
        incarnation.engine.load().open_messages,
        1,
        "the message is still open for its first client"
    );
    incarnation.step(30, vec![attempt_finished(started, Outcome::Delivered)]);
    let commands = incarnation.step(40, vec![submission(4)]);
    assert_eq!(
        (responses(&commands), started_attempts(&commands).len()),
        (vec![(4, SubmitResponse::Conflict)], 0)
    );
    let commands = incarnation.step(30_000, vec![submission(5)]);
    assert_eq!(
        responses(&commands),
        [(5, SubmitResponse::Finished(FinalOutcome::Expired))],
        "the message's identity is no longer retained, and the message has expired"
    );
}

/// A client that disconnects while its request waits for the engine may submit the message again under another id. The first
/// submission must not be delivered in addition.
#[test]
fn disconnect_before_journalling_cancels_the_submission() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("disconnected"), 0);
    let submission = |request, name| submission(request, name, Origin::Platform, IDEMPOTENT_CLASS);
    let commands = incarnation.step(
        10,
        vec![
            submission(1, "first"),
            submission(2, "other"),
            EngineEvent::ClientGone(RequestId(1)),
            submission(3, "again"),
            submission(4, "again"),
        ],
    );
    assert_eq!(started_attempts(&commands).len(), 2);
    assert_eq!(
        incarnation.engine.load(),
        EngineLoad {
            open_messages: 2,
            in_flight: 2
        }
    );
    assert_eq!(
        responses(&commands),
        [
            (4, SubmitResponse::Conflict),
            (2, SubmitResponse::Accepted),
            (3, SubmitResponse::Accepted)
        ]
    );
    assert!(open_store(&incarnation.folder)
        .by_identity(b"first")
        .is_none());
    // After the message is journalled, a disconnect cancels it: no further attempt is started, and no notice is sent.
    let commands = incarnation.step(20, vec![submission(5, "late")]);
    assert_eq!(responses(&commands), [(5, SubmitResponse::Accepted)]);
    let commands = incarnation.step(30, vec![EngineEvent::ClientGone(RequestId(5))]);
    assert_eq!(
        (
            notice_outcomes(&commands),
            incarnation.engine.load().open_messages
        ),
        (Vec::new(), 2)
    );
}

/// Guards against a lost message: an event with the key of a platform message joined it after a restart, and its client
/// withdrew the message by disconnecting.
#[test]
fn event_that_joins_a_platform_message_cannot_cancel_it() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("joined-by-event"), 0);
    let mut accepted = message("m", Origin::Platform, KEYED_CLASS, 9);
    accepted.idempotency_key = Some(b"shared key".to_vec());
    let commands = incarnation.step(0, vec![EngineEvent::Submitted(RequestId(1), accepted)]);
    assert_eq!(responses(&commands), [(1, SubmitResponse::Accepted)]);
    let event = |request| submission_with_key(request, "event", b"shared key");
    // In the same incarnation, and in one that does not know the client of the message.
    incarnation.step(10, vec![event(2)]);
    incarnation.step(20, vec![EngineEvent::ClientGone(RequestId(2))]);
    assert_eq!(incarnation.engine.load().open_messages, 1);
    let (mut incarnation, _) = RestartingEngine::start(incarnation.folder.clone(), 100);
    incarnation.step(10, vec![event(3), event(4)]);
    for request in [3, 4] {
        incarnation.step(20, vec![EngineEvent::ClientGone(RequestId(request))]);
        assert_eq!(incarnation.engine.load().open_messages, 1);
    }
}

#[test]
fn submission_to_unlisted_destination_is_rejected() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("unlisted"), 0);
    let mut unlisted = message("m", Origin::Platform, IDEMPOTENT_CLASS, 9);
    unlisted.destination = DestinationId(8);
    let commands = incarnation.step(0, vec![EngineEvent::Submitted(RequestId(1), unlisted)]);
    assert!(matches!(
        responses(&commands)[..],
        [(1, SubmitResponse::Rejected { .. })]
    ));
    assert_eq!(incarnation.engine.load().open_messages, 0);
}

/// Creates the submission of an event with the given idempotency key.
fn submission_with_key(request: u64, name: &str, key: &[u8]) -> EngineEvent {
    let mut message = message(name, Origin::CloudEvents, KEYED_CLASS, 9);
    message.idempotency_key = Some(key.to_vec());
    EngineEvent::Submitted(RequestId(request), message)
}

#[test]
fn repeated_event_joins_the_first_message() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("repeat"), 0);
    let batch = vec![
        submission(1, "m", Origin::CloudEvents, KEYED_CLASS),
        submission(2, "m", Origin::CloudEvents, KEYED_CLASS),
        submission_with_key(3, "m", b"other"),
    ];
    let commands = incarnation.step(0, batch);
    assert_eq!(started_attempts(&commands).len(), 1);
    let mut received = responses(&commands);
    received.sort_by_key(|(request, _)| *request);
    assert_eq!(
        received,
        [
            (1, SubmitResponse::Accepted),
            (2, SubmitResponse::Accepted),
            (3, SubmitResponse::Conflict)
        ]
    );
    let joined = incarnation.step(10, vec![submission_with_key(4, "n", b"key of m")]);
    assert_eq!(
        (started_attempts(&joined).len(), responses(&joined)),
        (0, vec![(4, SubmitResponse::Accepted)])
    );
    let delivered = attempt_finished(started_attempts(&commands)[0], Outcome::Delivered);
    let commands = incarnation.step(90, vec![delivered]);
    let outcome = SubmitResponse::Finished(FinalOutcome::Delivered);
    assert_eq!(
        responses(&commands),
        [(1, outcome), (2, outcome), (4, outcome)]
    );
}

#[test]
fn repeat_of_finished_event_has_its_outcome_until_retention_ends() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("finished"), 0);
    let event = submission(1, "m", Origin::CloudEvents, KEYED_CLASS);
    let started = started_attempts(&incarnation.step(0, vec![event]))[0];
    incarnation.step(10, vec![submission_with_key(4, "n", b"key of m")]);
    incarnation.step(90, vec![attempt_finished(started, Outcome::Delivered)]);
    let (mut incarnation, _) = RestartingEngine::start(incarnation.folder.clone(), 1000);
    let repeats = vec![
        submission(5, "m", Origin::CloudEvents, KEYED_CLASS),
        submission_with_key(6, "n", b"key of m"),
    ];
    let commands = incarnation.step(1, repeats);
    let outcome = SubmitResponse::Finished(FinalOutcome::Delivered);
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(5, outcome), (6, outcome)])
    );
    // After its retention has ended, a repeat is accepted as a new message.
    let (mut incarnation, _) = RestartingEngine::start(incarnation.folder.clone(), 120_000);
    let mut late = message("m", Origin::CloudEvents, KEYED_CLASS, 9);
    late.expires_ms += 200_000;
    let commands = incarnation.step(1, vec![EngineEvent::Submitted(RequestId(7), late)]);
    assert_eq!(started_attempts(&commands).len(), 1);
}

#[test]
fn event_fails_once_its_deduplication_window_closes() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("again"), 0);
    let submission = |request| vec![submission(request, "m", Origin::CloudEvents, KEYED_CLASS)];
    let started = started_attempts(&incarnation.step(0, submission(1)))[0];
    let commands = incarnation.step(500, vec![attempt_finished(started, Outcome::Error)]);
    // Within the window the event is sent again. After the window has closed it fails, because a resubmission could not be
    // sent either.
    let started = started_attempts(&commands)[0];
    let commands = incarnation.step(5900, vec![attempt_finished(started, Outcome::Error)]);
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(1, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
    let commands = incarnation.step(6000, submission(2));
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(2, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
}

#[test]
fn returned_event_fails_when_resubmitted_after_its_window() {
    // The first submission was returned within its window, after an attempt that may have been executed.
    let folder = temporary_folder("window-over");
    let mut store = open_store(&folder);
    let id = store.allocate_id();
    store
        .accept(
            id,
            Rc::new(message("m", Origin::CloudEvents, KEYED_CLASS, 9)),
            None,
        )
        .unwrap();
    store
        .attempt_started(
            id,
            AttemptRecord {
                started_ms: START_MS,
                endpoint: "h".to_owned(),
            },
        )
        .unwrap();
    store.attempt_finished(id, Execution::Possible).unwrap();
    assert!(store
        .finish(
            id,
            FinalOutcome::Returned {
                retry_after_ms: 1000
            },
            NoticeState::NotRequired,
            START_MS + 60_000
        )
        .unwrap());
    drop(store);
    for (after_ms, response, attempts) in [
        (3000, SubmitResponse::Accepted, 1),
        (7000, SubmitResponse::Finished(FinalOutcome::Failed), 0),
    ] {
        let copy = temporary_folder(&format!("window-over-{after_ms}"));
        fs::create_dir_all(&copy).unwrap();
        for file in fs::read_dir(&folder).unwrap().flatten() {
            fs::copy(file.path(), copy.join(file.file_name())).unwrap();
        }
        let (mut incarnation, _) = RestartingEngine::start(copy, after_ms);
        let commands = incarnation.step(
            1,
            vec![submission(1, "m", Origin::CloudEvents, KEYED_CLASS)],
        );
        assert_eq!(
            (responses(&commands), started_attempts(&commands).len()),
            (vec![(1, response)], attempts)
        );
    }
}

#[test]
fn submission_is_rejected_while_journal_is_unwritable() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("unwritable"), 0);
    // The next segments cannot be created because folders occupy their paths.
    for after in 1..200 {
        fs::create_dir(segment_path(&incarnation.folder, after)).unwrap();
    }
    let mut is_rejected = false;
    for n in 0..10 {
        let submission = EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), Origin::Platform, IDEMPOTENT_CLASS, 40_000),
        );
        let commands = incarnation.step(10 + n as i64, vec![submission]);
        if let (_, SubmitResponse::Rejected { .. }) = responses(&commands)[0] {
            is_rejected = true;
            assert!(
                started_attempts(&commands).is_empty(),
                "a message that is not journalled is not sent"
            );
        }
    }
    assert!(is_rejected);
}

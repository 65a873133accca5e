//! The engine over a journal, without any wire, with a clock set by the tests.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    endpoint, engine_settings, folder, limits, responses, started_attempts, KEYED, START_MS,
};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::journal::{segments, Journal};
use marblefall_delivery::core::message_record::AttemptRecord;
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    FinalOutcome, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;

fn classes() -> Vec<String> {
    vec!["keyed".to_owned(), "free".to_owned()]
}

fn message(name: &str, origin: Origin, class: usize, body: usize) -> Message {
    Message {
        origin,
        identity: name.into(),
        idempotency_key: (class == 0).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + 20_000,
        attributes: b"attributes".to_vec(),
        body: vec![b'x'; body],
    }
}

fn test_settings() -> EngineSettings {
    let limits = Limits {
        cancellation_allowed: true,
        ..limits(50)
    };
    EngineSettings {
        retention_ms: vec![60_000; 2],
        max_remembered: 100,
        ..engine_settings(&[KEYED, Idempotency::Idempotent], limits)
    }
}

fn list() -> EngineEvent {
    EngineEvent::EndpointsReplaced(vec![endpoint("h")])
}

/// An engine over a folder, with a clock.
struct Fixture {
    engine: Engine,
    dir: PathBuf,
    ms: i64,
}

impl Fixture {
    fn start(dir: PathBuf, ms: i64) -> (Fixture, Vec<EngineCommand>) {
        let store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
        let mut commands = Vec::new();
        // Each incarnation's monotonic clock starts at zero.
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let mut fixture = Fixture {
            engine: Engine::new(test_settings(), store, now, &mut commands),
            dir,
            ms,
        };
        commands.extend(fixture.step_at(now, vec![list()]));
        (fixture, commands)
    }

    fn step_at(&mut self, now: Timestamp, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        commands
    }

    /// Steps so many milliseconds after this incarnation's start.
    fn step(&mut self, after: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = Timestamp {
            monotonic: Time(after * 1000),
            unix_ms: START_MS + self.ms + after,
        };
        self.step_at(now, events)
    }
}

fn notices(commands: &[EngineCommand]) -> Vec<FinalOutcome> {
    let notice = |command: &EngineCommand| match command {
        EngineCommand::SendNotice { outcome, .. } => Some(*outcome),
        _ => None,
    };
    commands.iter().filter_map(notice).collect()
}

fn attempt_finished((id, attempt): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    common::attempt_finished(id, attempt, outcome)
}

#[test]
fn message_is_journalled_before_acceptance_and_finishes_once() {
    let (mut fixture, _) = Fixture::start(folder("once"), 0);
    let commands = fixture.step(
        10,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::CloudEvents, 0, 9),
        )],
    );
    assert_eq!(responses(&commands), [(1, SubmitResponse::Accepted)]);
    let started = started_attempts(&commands)[0];
    // Seen by another reader of the folder at this moment: the message and its attempt.
    let other = MessageStore::open(&fixture.dir, 3_000_000, classes()).unwrap();
    let record = other.get(started.0).unwrap();
    assert_eq!(
        (
            record.attempts,
            record.first_possible_execution.is_some(),
            record.message.body.len()
        ),
        (1, true, 9)
    );
    let commands = fixture.step(
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

#[test]
fn deduplication_window_and_attempt_count_survive_a_restart() {
    for (gap, repeats) in [(3000, true), (5900, false)] {
        let (mut fixture, _) = Fixture::start(folder(&format!("window-{gap}")), 0);
        let commands = fixture.step(
            0,
            vec![EngineEvent::Submitted(
                RequestId(1),
                message("m", Origin::Platform, 0, 9),
            )],
        );
        assert_eq!(started_attempts(&commands)[0].1, 0);
        let (_, commands) = Fixture::start(fixture.dir.clone(), gap);
        let second = started_attempts(&commands);
        assert_eq!(
            second.len(),
            usize::from(repeats),
            "{gap} ms after the first attempt"
        );
        assert_eq!(notices(&commands).len(), usize::from(!repeats));
        assert!(
            second.iter().all(|started| started.1 == 1),
            "attempts are counted on"
        );
    }
}

#[test]
fn first_attempt_bounds_the_window_after_several_crashes() {
    let (mut fixture, _) = Fixture::start(folder("crashes"), 0);
    fixture.step(
        0,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::Platform, 0, 9),
        )],
    );
    assert_eq!(
        started_attempts(&Fixture::start(fixture.dir.clone(), 2000).1).len(),
        1,
        "within the window of the first attempt"
    );
    // The second attempt is within its own window still, but the first one's has closed.
    let (_, commands) = Fixture::start(fixture.dir.clone(), 6500);
    assert_eq!(
        (started_attempts(&commands).len(), notices(&commands).len()),
        (0, 1)
    );
}

#[test]
fn unacknowledged_notice_is_sent_again_after_a_restart() {
    let (mut fixture, _) = Fixture::start(folder("owed"), 0);
    fixture.step(
        0,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::Platform, 0, 9),
        )],
    );
    let (mut fixture, commands) = Fixture::start(fixture.dir.clone(), 7000);
    assert_eq!(notices(&commands).len(), 1);
    let Some(EngineCommand::SendNotice { message_id: id, .. }) = commands
        .iter()
        .find(|command| matches!(command, EngineCommand::SendNotice { .. }))
    else {
        unreachable!()
    };
    fixture.step(10, vec![]);
    let (_, reopened) = Fixture::start(fixture.dir.clone(), 7100);
    assert_eq!(notices(&reopened).len(), 1, "not acknowledged yet");
    fixture.step(20, vec![EngineEvent::NoticeAcknowledged(*id)]);
    assert!(notices(&Fixture::start(fixture.dir.clone(), 7200).1).is_empty());
}

/// Whoever submits another client's id must neither cancel that message by going away nor have it sent again.
#[test]
fn known_platform_id_belongs_to_its_first_client() {
    let (mut fixture, _) = Fixture::start(folder("stranger"), 0);
    let submission =
        |request| EngineEvent::Submitted(RequestId(request), message("m", Origin::Platform, 1, 9));
    let commands = fixture.step(0, vec![submission(1), submission(2)]);
    assert_eq!(
        responses(&commands),
        [(2, SubmitResponse::Conflict), (1, SubmitResponse::Accepted)]
    );
    let (mut fixture, commands) = Fixture::start(fixture.dir.clone(), 100);
    let started = started_attempts(&commands)[0];
    assert_eq!(
        responses(&fixture.step(10, vec![submission(3)])),
        [(3, SubmitResponse::Accepted)]
    );
    fixture.step(20, vec![EngineEvent::ClientGone(RequestId(3))]);
    assert_eq!(fixture.engine.load().0, 1, "still open for the first");
    fixture.step(30, vec![attempt_finished(started, Outcome::Delivered)]);
    let commands = fixture.step(40, vec![submission(4)]);
    assert_eq!(
        (responses(&commands), started_attempts(&commands).len()),
        (vec![(4, SubmitResponse::Conflict)], 0)
    );
    let commands = fixture.step(30_000, vec![submission(5)]);
    assert_eq!(
        responses(&commands),
        [(5, SubmitResponse::Finished(FinalOutcome::Expired))],
        "no longer known, and expired"
    );
}

/// The message of a client that left while its request waited for the engine was accepted and delivered all the same, under
/// an id that no longer counted, while the client submitted it again under another.
#[test]
fn client_gone_before_journalling_has_submitted_nothing() {
    let (mut fixture, _) = Fixture::start(folder("gone"), 0);
    let submission = |request, name| {
        EngineEvent::Submitted(RequestId(request), message(name, Origin::Platform, 1, 9))
    };
    let commands = fixture.step(
        10,
        vec![
            submission(1, "left"),
            submission(2, "stays"),
            EngineEvent::ClientGone(RequestId(1)),
            submission(3, "again"),
            submission(4, "again"),
        ],
    );
    assert_eq!(started_attempts(&commands).len(), 2);
    assert_eq!(fixture.engine.load(), (2, 2));
    assert_eq!(
        responses(&commands),
        [
            (4, SubmitResponse::Conflict),
            (2, SubmitResponse::Accepted),
            (3, SubmitResponse::Accepted)
        ]
    );
    assert!(MessageStore::open(&fixture.dir, 3_000_000, classes())
        .unwrap()
        .by_identity(b"left")
        .is_none());
    // Once the message is journalled, its client's going cancels it: nothing more is started, and no notice is sent.
    let commands = fixture.step(20, vec![submission(5, "late")]);
    assert_eq!(responses(&commands), [(5, SubmitResponse::Accepted)]);
    let commands = fixture.step(30, vec![EngineEvent::ClientGone(RequestId(5))]);
    assert_eq!(
        (notices(&commands), fixture.engine.load().0),
        (Vec::new(), 2)
    );
}

#[test]
fn unlisted_destination_is_rejected() {
    let (mut fixture, _) = Fixture::start(folder("nowhere"), 0);
    let mut nowhere = message("m", Origin::Platform, 1, 9);
    nowhere.destination = DestinationId(8);
    let commands = fixture.step(0, vec![EngineEvent::Submitted(RequestId(1), nowhere)]);
    assert!(matches!(
        responses(&commands)[..],
        [(1, SubmitResponse::Rejected { .. })]
    ));
    assert_eq!(fixture.engine.load().0, 0);
}

#[test]
fn removed_endpoints_leave_nothing_behind() {
    let (mut fixture, _) = Fixture::start(folder("gone"), 0);
    let endpoint = |n: u32, listing| {
        let EngineEvent::EndpointsReplaced(mut endpoints) = list() else {
            unreachable!()
        };
        ListedEndpoint {
            name: format!("h-{n}"),
            status: listing,
            ..endpoints.remove(0)
        }
    };
    let gone = |commands: &[EngineCommand]| {
        commands
            .iter()
            .filter(|command| matches!(command, EngineCommand::EndpointRemoved(_)))
            .count()
    };
    for n in 1..100 {
        let changed = vec![
            endpoint(n, EndpointStatus::Active),
            endpoint(n - 1, EndpointStatus::Removed),
        ];
        assert_eq!(
            gone(&fixture.step(n.into(), vec![EngineEvent::EndpointsUpdated(changed)])),
            1
        );
    }
    // A whole list removes what is still known and not in it: the first list's endpoint.
    assert_eq!(
        gone(&fixture.step(
            200,
            vec![EngineEvent::EndpointsReplaced(vec![endpoint(
                99,
                EndpointStatus::Active
            )])]
        )),
        1
    );
}

#[test]
fn repeated_event_joins_the_first_message() {
    let (mut fixture, _) = Fixture::start(folder("repeat"), 0);
    let submission = |request, name| {
        EngineEvent::Submitted(RequestId(request), message(name, Origin::CloudEvents, 0, 9))
    };
    let mut other_key = message("m", Origin::CloudEvents, 0, 9);
    other_key.idempotency_key = Some(b"other".to_vec());
    let mut same_key = message("n", Origin::CloudEvents, 0, 9);
    same_key.idempotency_key = Some(b"key of m".to_vec());
    let batch = vec![
        submission(1, "m"),
        submission(2, "m"),
        EngineEvent::Submitted(RequestId(3), other_key),
    ];
    let commands = fixture.step(0, batch);
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
    let orders_too = fixture.step(
        10,
        vec![EngineEvent::Submitted(RequestId(4), same_key.clone())],
    );
    assert_eq!(
        (started_attempts(&orders_too).len(), responses(&orders_too)),
        (0, vec![(4, SubmitResponse::Accepted)])
    );
    let commands = fixture.step(
        90,
        vec![attempt_finished(
            started_attempts(&commands)[0],
            Outcome::Delivered,
        )],
    );
    let outcome = SubmitResponse::Finished(FinalOutcome::Delivered);
    assert_eq!(
        responses(&commands),
        [(1, outcome), (2, outcome), (4, outcome)]
    );
    let (mut fixture, _) = Fixture::start(fixture.dir.clone(), 1000);
    let commands = fixture.step(
        1,
        vec![
            submission(5, "m"),
            EngineEvent::Submitted(RequestId(6), same_key),
        ],
    );
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(5, outcome), (6, outcome)])
    );
    // Forgotten once no repeat can come any more: then it is a new message.
    let (mut fixture, _) = Fixture::start(fixture.dir.clone(), 120_000);
    let mut late = message("m", Origin::CloudEvents, 0, 9);
    late.expires_ms += 200_000;
    assert_eq!(
        started_attempts(&fixture.step(1, vec![EngineEvent::Submitted(RequestId(7), late)])).len(),
        1
    );
}

#[test]
fn resubmitted_event_keeps_its_first_attempts_window() {
    let (mut fixture, _) = Fixture::start(folder("again"), 0);
    let submission = |request| {
        vec![EngineEvent::Submitted(
            RequestId(request),
            message("m", Origin::CloudEvents, 0, 9),
        )]
    };
    let started = started_attempts(&fixture.step(0, submission(1)))[0];
    let commands = fixture.step(500, vec![attempt_finished(started, Outcome::Error)]);
    // Within the window it is sent again; once that has closed, to submit it again would be of no use.
    let started = started_attempts(&commands)[0];
    let commands = fixture.step(5900, vec![attempt_finished(started, Outcome::Error)]);
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(1, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
    let commands = fixture.step(6000, submission(2));
    assert_eq!(
        (started_attempts(&commands).len(), responses(&commands)),
        (0, vec![(2, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
}

#[test]
fn resubmission_after_the_window_fails() {
    // The first submission was returned within its window, after an attempt that may have been executed.
    let dir = folder("window-over");
    let mut store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
    let id = store.allocate_id();
    store
        .accept(id, Rc::new(message("m", Origin::CloudEvents, 0, 9)), None)
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
    store.attempt_finished(id, true).unwrap();
    assert!(store
        .finish(
            id,
            FinalOutcome::Returned {
                retry_after_ms: 1000
            },
            false,
            START_MS + 60_000
        )
        .unwrap());
    drop(store);
    for (after, response, attempts) in [
        (3000, SubmitResponse::Accepted, 1),
        (7000, SubmitResponse::Finished(FinalOutcome::Failed), 0),
    ] {
        let again_dir = folder(&format!("window-over-{after}"));
        fs::create_dir_all(&again_dir).unwrap();
        for file in fs::read_dir(&dir).unwrap().flatten() {
            fs::copy(file.path(), again_dir.join(file.file_name())).unwrap();
        }
        let (mut fixture, _) = Fixture::start(again_dir, after);
        let commands = fixture.step(
            1,
            vec![EngineEvent::Submitted(
                RequestId(1),
                message("m", Origin::CloudEvents, 0, 9),
            )],
        );
        assert_eq!(
            (responses(&commands), started_attempts(&commands).len()),
            (vec![(1, response)], attempts)
        );
    }
}

#[test]
fn remembered_messages_leave_room_for_new_ones() {
    let dir = folder("remembered");
    let mut store = MessageStore::open(&dir, 1_000_000, classes()).unwrap();
    for n in 0..5000 {
        let message = message(&format!("event {n}"), Origin::CloudEvents, 1, 100);
        assert!(store.has_room(&message), "after {n} that finished");
        let id = store.allocate_id();
        store.accept(id, Rc::new(message), None).unwrap();
        assert!(store
            .finish(id, FinalOutcome::Delivered, false, START_MS + 60_000)
            .unwrap());
        store.sweep(START_MS, 100_000).unwrap();
    }
    assert!(store.by_identity(b"event 4999").is_some() && store.by_identity(b"event 0").is_none());
}

#[test]
fn drain_goes_ahead_of_earlier_submissions() {
    let (mut fixture, _) = Fixture::start(folder("drain"), 0);
    let EngineEvent::EndpointsReplaced(mut endpoints) = list() else {
        unreachable!()
    };
    endpoints[0].status = EndpointStatus::Draining;
    let submission = EngineEvent::Submitted(RequestId(1), message("m", Origin::Platform, 1, 9));
    let commands = fixture.step(
        10,
        vec![submission, EngineEvent::EndpointsUpdated(endpoints)],
    );
    assert!(started_attempts(&commands).is_empty());
}

/// Operators disable an endpoint: the list saying it is active changes nothing until they enable it again.
#[test]
fn disabled_endpoint_gets_nothing_until_enabled() {
    let (mut fixture, _) = Fixture::start(folder("disabled"), 0);
    let disable = EngineEvent::EndpointsDisabled(["h".to_owned()].into());
    let submission = |n| {
        EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), Origin::Platform, 1, 9),
        )
    };
    assert!(
        started_attempts(&fixture.step(10, vec![submission(1), disable])).is_empty(),
        "disabled ahead of what was queued"
    );
    assert!(
        started_attempts(&fixture.step(20, vec![list(), submission(2)])).is_empty(),
        "the list does not enable it"
    );
    let commands = fixture.step(30, vec![EngineEvent::EndpointsDisabled(Default::default())]);
    assert_eq!(
        started_attempts(&commands).len(),
        2,
        "enabled, it gets both that wait: {commands:?}"
    );
}

#[test]
fn engine_near_its_end_starts_no_attempt() {
    let (mut fixture, _) = Fixture::start(folder("leaving"), 0);
    fixture.step(
        10,
        vec![EngineEvent::Shutdown {
            deadline: Time(3_400_000),
            hand_over: false,
        }],
    );
    let submission = |request, name| {
        EngineEvent::Submitted(RequestId(request), message(name, Origin::Platform, 1, 9))
    };
    assert_eq!(
        started_attempts(&fixture.step(100, vec![submission(1, "a")])).len(),
        1,
        "there is time yet"
    );
    let commands = fixture.step(2500, vec![submission(2, "b")]);
    assert!(started_attempts(&commands).is_empty());
    assert!(matches!(
        responses(&commands)[0],
        (2, SubmitResponse::Rejected { .. })
    ));
    assert_eq!(
        started_attempts(&Fixture::start(fixture.dir.clone(), 4000).1).len(),
        1,
        "the next incarnation recovers it"
    );
}

#[test]
fn journal_keeps_to_its_limit_and_open_messages() {
    let dir = folder("disk");
    let disk = 1_000_000;
    let mut store = MessageStore::open(&dir, disk, classes()).unwrap();
    let used = || -> u64 {
        let files = fs::read_dir(&dir).unwrap();
        files
            .map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    };
    let (mut live, mut rejections) = (std::collections::VecDeque::new(), 0);
    for n in 0..400 {
        let message = message(&format!("m{n}"), Origin::Platform, 1, 60_000);
        if store.has_room(&message) {
            let id = store.allocate_id();
            store.accept(id, Rc::new(message), None).unwrap();
            store
                .attempt_started(
                    id,
                    AttemptRecord {
                        started_ms: n,
                        endpoint: "h".to_owned(),
                    },
                )
                .unwrap();
            live.push_back(id);
        } else {
            rejections += 1;
            // A final outcome is always written, however full the folder is.
            let id = live.pop_front().unwrap();
            assert!(store.finish(id, FinalOutcome::Failed, true, 0).unwrap());
            store.forget(id).unwrap();
        }
        assert!(used() <= disk, "{} bytes after {n}", used());
    }
    assert!(rejections > 100 && live.len() > 5);
    let reopened = MessageStore::open(&dir, disk, classes()).unwrap();
    assert_eq!(
        reopened.messages().keys().copied().collect::<Vec<_>>(),
        Vec::from(live)
    );
    assert!(reopened
        .messages()
        .values()
        .all(|record| record.attempts == 1 && record.message.body.len() == 60_000));
}

/// The segment so many after the first one of a folder's journal.
fn segment(dir: &Path, after: u64) -> PathBuf {
    dir.join(format!("journal-{:010}", segments(dir).unwrap()[0] + after))
}

#[test]
fn torn_journal_tail_is_truncated() {
    let dir = folder("torn");
    let mut journal = Journal::open(&dir, 1000, |_, _| {}).unwrap();
    journal.append(b"first").unwrap();
    journal.append(b"second").unwrap();
    drop(journal);
    let path = segment(&dir, 0);
    let whole = fs::metadata(&path).unwrap().len();
    for torn in [
        &b"\x06\0"[..],
        b"\x06\0\0\0\xff\xff\xff\xffsecond",
        b"\xff\xff\xff\xff",
    ] {
        fs::OpenOptions::new()
            .append(true)
            .open(&path)
            .unwrap()
            .write_all(torn)
            .unwrap();
        let mut found = Vec::new();
        Journal::open(&dir, 1000, |_, record| found.push(record.to_vec())).unwrap();
        assert_eq!(found, [b"first".to_vec(), b"second".to_vec()]);
        assert_eq!(fs::metadata(&path).unwrap().len(), whole);
    }
}

#[test]
fn unwritable_journal_rejects_submissions() {
    let (mut fixture, _) = Fixture::start(folder("unwritable"), 0);
    // A folder in the place of the next segment makes the next roll fail.
    for after in 1..200 {
        fs::create_dir(segment(&fixture.dir, after)).unwrap();
    }
    let mut rejected = false;
    for n in 0..10 {
        let submission = EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), Origin::Platform, 1, 40_000),
        );
        let commands = fixture.step(10 + n as i64, vec![submission]);
        if let (_, SubmitResponse::Rejected { .. }) = responses(&commands)[0] {
            rejected = true;
            assert!(
                started_attempts(&commands).is_empty(),
                "what is not journalled is not sent"
            );
        }
    }
    assert!(rejected);
}

#[test]
fn unjournalled_attempt_does_not_count() {
    let dir = folder("unjournalled-attempt");
    let mut store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
    let id = store.allocate_id();
    store
        .accept(id, Rc::new(message("m", Origin::Platform, 0, 60_000)), None)
        .unwrap();
    // A folder in the place of the next segment: the first record that does not fit into this one is not written.
    fs::create_dir(segment(&dir, 1)).unwrap();
    let started = |n| AttemptRecord {
        started_ms: START_MS + n,
        endpoint: "h".repeat(1000),
    };
    let failed = (0..100).find(|n| {
        let failed = store.attempt_started(id, started(*n)).is_err();
        if !failed {
            store.attempt_finished(id, false).unwrap();
        }
        failed
    });
    assert!(failed.is_some_and(|n| n > 0));
    let record = store.get(id).unwrap();
    assert_eq!(
        (record.in_flight(), &record.first_possible_execution),
        (None, &None)
    );
}

//! The core without any wire, with a clock fed by hand.

mod common;

use common::{answers, caps, folder, host, legs, setup, KEYED, START_MS};
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

fn engine_setup() -> EngineSettings {
    let caps = Limits {
        cancellation_allowed: true,
        ..caps(50)
    };
    EngineSettings {
        remember_ms: vec![60_000; 2],
        max_remembered: 100,
        ..setup(&[KEYED, Idempotency::Idempotent], caps)
    }
}

fn list() -> EngineEvent {
    EngineEvent::EndpointsReplaced(vec![host("h")])
}

/// An engine over a folder, with a clock.
struct Bed {
    engine: Engine,
    dir: PathBuf,
    ms: i64,
}

impl Bed {
    fn life(dir: PathBuf, ms: i64) -> (Bed, Vec<EngineCommand>) {
        let store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
        let mut orders = Vec::new();
        // Each life's monotonic clock begins anew.
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let mut bed = Bed {
            engine: Engine::new(engine_setup(), store, now, &mut orders),
            dir,
            ms,
        };
        orders.extend(bed.step_at(now, vec![list()]));
        (bed, orders)
    }

    fn step_at(&mut self, now: Timestamp, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut orders = Vec::new();
        self.engine.step(now, inputs, &mut orders);
        orders
    }

    /// Steps so many milliseconds after this life's start.
    fn step(&mut self, after: i64, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = Timestamp {
            monotonic: Time(after * 1000),
            unix_ms: START_MS + self.ms + after,
        };
        self.step_at(now, inputs)
    }
}

fn notices(orders: &[EngineCommand]) -> Vec<FinalOutcome> {
    let notice = |order: &EngineCommand| match order {
        EngineCommand::SendNotice { outcome: end, .. } => Some(*end),
        _ => None,
    };
    orders.iter().filter_map(notice).collect()
}

fn ended((seq, copy): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    common::ended(seq, copy, outcome)
}

#[test]
fn a_message_is_journalled_before_it_is_taken_on_and_ends_once() {
    let (mut bed, _) = Bed::life(folder("once"), 0);
    let orders = bed.step(
        10,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::CloudEvents, 0, 9),
        )],
    );
    assert_eq!(answers(&orders), [(1, SubmitResponse::Accepted)]);
    let leg = legs(&orders)[0];
    // Seen by another reader of the folder at this moment: the message and its leg.
    let other = MessageStore::open(&bed.dir, 3_000_000, classes()).unwrap();
    let entry = other.get(leg.0).unwrap();
    assert_eq!(
        (
            entry.attempts,
            entry.first_executed.is_some(),
            entry.message.body.len()
        ),
        (1, true, 9)
    );
    let orders = bed.step(
        200,
        vec![
            ended(leg, Outcome::Delivered),
            ended(leg, Outcome::Delivered),
        ],
    );
    assert_eq!(
        answers(&orders),
        [(1, SubmitResponse::Finished(FinalOutcome::Delivered))]
    );
}

#[test]
fn the_window_and_the_count_of_attempts_hold_across_lives() {
    for (gap, repeats) in [(3000, true), (5900, false)] {
        let (mut bed, _) = Bed::life(folder(&format!("window-{gap}")), 0);
        let orders = bed.step(
            0,
            vec![EngineEvent::Submitted(
                RequestId(1),
                message("m", Origin::Platform, 0, 9),
            )],
        );
        assert_eq!(legs(&orders)[0].1, 0);
        let (_, orders) = Bed::life(bed.dir.clone(), gap);
        let second = legs(&orders);
        assert_eq!(
            second.len(),
            usize::from(repeats),
            "{gap} ms after the first leg"
        );
        assert_eq!(notices(&orders).len(), usize::from(!repeats));
        assert!(
            second.iter().all(|leg| leg.1 == 1),
            "attempts go on counting"
        );
    }
}

#[test]
fn the_first_leg_counts_also_after_several_lives_that_each_died_with_one_out() {
    let (mut bed, _) = Bed::life(folder("lives"), 0);
    bed.step(
        0,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::Platform, 0, 9),
        )],
    );
    assert_eq!(
        legs(&Bed::life(bed.dir.clone(), 2000).1).len(),
        1,
        "within the window of the first leg"
    );
    // The second leg is within its own window still, but the first one's has closed.
    let (_, orders) = Bed::life(bed.dir.clone(), 6500);
    assert_eq!((legs(&orders).len(), notices(&orders).len()), (0, 1));
}

#[test]
fn a_notice_is_owed_until_it_is_taken_also_in_the_next_life() {
    let (mut bed, _) = Bed::life(folder("owed"), 0);
    bed.step(
        0,
        vec![EngineEvent::Submitted(
            RequestId(1),
            message("m", Origin::Platform, 0, 9),
        )],
    );
    let (mut bed, orders) = Bed::life(bed.dir.clone(), 7000);
    assert_eq!(notices(&orders).len(), 1);
    let Some(EngineCommand::SendNotice {
        message_id: seq, ..
    }) = orders
        .iter()
        .find(|order| matches!(order, EngineCommand::SendNotice { .. }))
    else {
        unreachable!()
    };
    bed.step(10, vec![]);
    let (_, again) = Bed::life(bed.dir.clone(), 7100);
    assert_eq!(notices(&again).len(), 1, "not taken yet");
    bed.step(20, vec![EngineEvent::NoticeAcknowledged(*seq)]);
    assert!(notices(&Bed::life(bed.dir.clone(), 7200).1).is_empty());
}

/// Whoever brings another client's id must neither withdraw that message by going away nor have it sent again.
#[test]
fn an_id_of_the_platform_that_is_known_belongs_to_the_first_who_brought_it() {
    let (mut bed, _) = Bed::life(folder("stranger"), 0);
    let offer =
        |ticket| EngineEvent::Submitted(RequestId(ticket), message("m", Origin::Platform, 1, 9));
    let orders = bed.step(0, vec![offer(1), offer(2)]);
    assert_eq!(
        answers(&orders),
        [(2, SubmitResponse::Conflict), (1, SubmitResponse::Accepted)]
    );
    let (mut bed, orders) = Bed::life(bed.dir.clone(), 100);
    let leg = legs(&orders)[0];
    assert_eq!(
        answers(&bed.step(10, vec![offer(3)])),
        [(3, SubmitResponse::Accepted)]
    );
    bed.step(20, vec![EngineEvent::ClientGone(RequestId(3))]);
    assert_eq!(bed.engine.load().0, 1, "still owed to the first");
    bed.step(30, vec![ended(leg, Outcome::Delivered)]);
    let orders = bed.step(40, vec![offer(4)]);
    assert_eq!(
        (answers(&orders), legs(&orders).len()),
        (vec![(4, SubmitResponse::Conflict)], 0)
    );
    let orders = bed.step(30_000, vec![offer(5)]);
    assert_eq!(
        answers(&orders),
        [(5, SubmitResponse::Finished(FinalOutcome::Expired))],
        "no longer known, and past its time"
    );
}

/// A client that left while its request waited for the engine had its message taken on and delivered all the same, under an
/// id that no longer counted, while it handed it in again under another.
#[test]
fn a_client_that_is_gone_before_its_message_is_journalled_has_handed_nothing_in() {
    let (mut bed, _) = Bed::life(folder("gone"), 0);
    let offer = |ticket, name| {
        EngineEvent::Submitted(RequestId(ticket), message(name, Origin::Platform, 1, 9))
    };
    let orders = bed.step(
        10,
        vec![
            offer(1, "left"),
            offer(2, "stays"),
            EngineEvent::ClientGone(RequestId(1)),
            offer(3, "again"),
            offer(4, "again"),
        ],
    );
    assert_eq!(legs(&orders).len(), 2);
    assert_eq!(bed.engine.load(), (2, 2));
    assert_eq!(
        answers(&orders),
        [
            (4, SubmitResponse::Conflict),
            (2, SubmitResponse::Accepted),
            (3, SubmitResponse::Accepted)
        ]
    );
    assert!(MessageStore::open(&bed.dir, 3_000_000, classes())
        .unwrap()
        .by_identity(b"left")
        .is_none());
    // Once it is journalled, its leaving ends it: nothing more is begun for it, and nothing is owed.
    let orders = bed.step(20, vec![offer(5, "late")]);
    assert_eq!(answers(&orders), [(5, SubmitResponse::Accepted)]);
    let orders = bed.step(30, vec![EngineEvent::ClientGone(RequestId(5))]);
    assert_eq!((notices(&orders), bed.engine.load().0), (Vec::new(), 2));
}

#[test]
fn a_destination_that_no_list_has_named_is_declined() {
    let (mut bed, _) = Bed::life(folder("nowhere"), 0);
    let mut nowhere = message("m", Origin::Platform, 1, 9);
    nowhere.destination = DestinationId(8);
    let orders = bed.step(0, vec![EngineEvent::Submitted(RequestId(1), nowhere)]);
    assert!(matches!(
        answers(&orders)[..],
        [(1, SubmitResponse::Rejected { .. })]
    ));
    assert_eq!(bed.engine.load().0, 0);
}

#[test]
fn hosts_that_are_gone_leave_nothing_behind() {
    let (mut bed, _) = Bed::life(folder("gone"), 0);
    let host = |n: u32, listing| {
        let EngineEvent::EndpointsReplaced(mut hosts) = list() else {
            unreachable!()
        };
        ListedEndpoint {
            name: format!("h-{n}"),
            status: listing,
            ..hosts.remove(0)
        }
    };
    let gone = |orders: &[EngineCommand]| {
        orders
            .iter()
            .filter(|order| matches!(order, EngineCommand::EndpointRemoved(_)))
            .count()
    };
    for n in 1..100 {
        let changed = vec![
            host(n, EndpointStatus::Active),
            host(n - 1, EndpointStatus::Removed),
        ];
        assert_eq!(
            gone(&bed.step(n.into(), vec![EngineEvent::EndpointsUpdated(changed)])),
            1
        );
    }
    // A whole list ends what is still known and not in it: the first list's host.
    assert_eq!(
        gone(&bed.step(
            200,
            vec![EngineEvent::EndpointsReplaced(vec![host(
                99,
                EndpointStatus::Active
            )])]
        )),
        1
    );
}

#[test]
fn a_repeat_of_an_event_never_makes_a_second_message() {
    let (mut bed, _) = Bed::life(folder("repeat"), 0);
    let offer = |ticket, name| {
        EngineEvent::Submitted(RequestId(ticket), message(name, Origin::CloudEvents, 0, 9))
    };
    let mut other_key = message("m", Origin::CloudEvents, 0, 9);
    other_key.idempotency_key = Some(b"other".to_vec());
    let mut same_key = message("n", Origin::CloudEvents, 0, 9);
    same_key.idempotency_key = Some(b"key of m".to_vec());
    let batch = vec![
        offer(1, "m"),
        offer(2, "m"),
        EngineEvent::Submitted(RequestId(3), other_key),
    ];
    let orders = bed.step(0, batch);
    assert_eq!(legs(&orders).len(), 1);
    let mut told = answers(&orders);
    told.sort_by_key(|(ticket, _)| *ticket);
    assert_eq!(
        told,
        [
            (1, SubmitResponse::Accepted),
            (2, SubmitResponse::Accepted),
            (3, SubmitResponse::Conflict)
        ]
    );
    let orders_too = bed.step(
        10,
        vec![EngineEvent::Submitted(RequestId(4), same_key.clone())],
    );
    assert_eq!(
        (legs(&orders_too).len(), answers(&orders_too)),
        (0, vec![(4, SubmitResponse::Accepted)])
    );
    let orders = bed.step(90, vec![ended(legs(&orders)[0], Outcome::Delivered)]);
    let end = SubmitResponse::Finished(FinalOutcome::Delivered);
    assert_eq!(answers(&orders), [(1, end), (2, end), (4, end)]);
    let (mut bed, _) = Bed::life(bed.dir.clone(), 1000);
    let orders = bed.step(
        1,
        vec![
            offer(5, "m"),
            EngineEvent::Submitted(RequestId(6), same_key),
        ],
    );
    assert_eq!(
        (legs(&orders).len(), answers(&orders)),
        (0, vec![(5, end), (6, end)])
    );
    // Forgotten once no repeat can come any more: then it is a new message.
    let (mut bed, _) = Bed::life(bed.dir.clone(), 120_000);
    let mut late = message("m", Origin::CloudEvents, 0, 9);
    late.expires_ms += 200_000;
    assert_eq!(
        legs(&bed.step(1, vec![EngineEvent::Submitted(RequestId(7), late)])).len(),
        1
    );
}

#[test]
fn an_event_told_to_come_again_is_bound_by_what_its_first_try_may_have_done() {
    let (mut bed, _) = Bed::life(folder("again"), 0);
    let offer = |ticket| {
        vec![EngineEvent::Submitted(
            RequestId(ticket),
            message("m", Origin::CloudEvents, 0, 9),
        )]
    };
    let leg = legs(&bed.step(0, offer(1)))[0];
    let orders = bed.step(500, vec![ended(leg, Outcome::Error)]);
    // Within the window it goes out again; once that has closed, to come again would be of no use.
    let leg = legs(&orders)[0];
    let orders = bed.step(5900, vec![ended(leg, Outcome::Error)]);
    assert_eq!(
        (legs(&orders).len(), answers(&orders)),
        (0, vec![(1, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
    let orders = bed.step(6000, offer(2));
    assert_eq!(
        (legs(&orders).len(), answers(&orders)),
        (0, vec![(2, SubmitResponse::Finished(FinalOutcome::Failed))])
    );
}

#[test]
fn a_new_try_after_the_window_of_the_first_is_told_that_it_failed() {
    // The first try was given up within its window, after a leg that may have run.
    let dir = folder("window-over");
    let mut store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
    let seq = store.allocate_id();
    store
        .accept(seq, Rc::new(message("m", Origin::CloudEvents, 0, 9)), None)
        .unwrap();
    store
        .attempt_started(
            seq,
            AttemptRecord {
                started_ms: START_MS,
                endpoint: "h".to_owned(),
            },
        )
        .unwrap();
    store.attempt_finished(seq, true).unwrap();
    assert!(store
        .finish(
            seq,
            FinalOutcome::Returned {
                retry_after_ms: 1000
            },
            false,
            START_MS + 60_000
        )
        .unwrap());
    drop(store);
    for (after, answer, legs_out) in [
        (3000, SubmitResponse::Accepted, 1),
        (7000, SubmitResponse::Finished(FinalOutcome::Failed), 0),
    ] {
        let copy = folder(&format!("window-over-{after}"));
        fs::create_dir_all(&copy).unwrap();
        for file in fs::read_dir(&dir).unwrap().flatten() {
            fs::copy(file.path(), copy.join(file.file_name())).unwrap();
        }
        let (mut bed, _) = Bed::life(copy, after);
        let orders = bed.step(
            1,
            vec![EngineEvent::Submitted(
                RequestId(1),
                message("m", Origin::CloudEvents, 0, 9),
            )],
        );
        assert_eq!(
            (answers(&orders), legs(&orders).len()),
            (vec![(1, answer)], legs_out)
        );
    }
}

#[test]
fn what_is_remembered_does_not_keep_new_messages_out() {
    let dir = folder("remembered");
    let mut store = MessageStore::open(&dir, 1_000_000, classes()).unwrap();
    for n in 0..5000 {
        let message = message(&format!("event {n}"), Origin::CloudEvents, 1, 100);
        assert!(store.has_room(&message), "after {n} that ended");
        let seq = store.allocate_id();
        store.accept(seq, Rc::new(message), None).unwrap();
        assert!(store
            .finish(seq, FinalOutcome::Delivered, false, START_MS + 60_000)
            .unwrap());
        store.sweep(START_MS, 100_000).unwrap();
    }
    assert!(store.by_identity(b"event 4999").is_some() && store.by_identity(b"event 0").is_none());
}

#[test]
fn a_list_that_drains_a_host_goes_ahead_of_what_is_queued_before_it() {
    let (mut bed, _) = Bed::life(folder("drain"), 0);
    let EngineEvent::EndpointsReplaced(mut hosts) = list() else {
        unreachable!()
    };
    hosts[0].status = EndpointStatus::Draining;
    let offer = EngineEvent::Submitted(RequestId(1), message("m", Origin::Platform, 1, 9));
    let orders = bed.step(10, vec![offer, EngineEvent::EndpointsUpdated(hosts)]);
    assert!(legs(&orders).is_empty());
}

/// Operators hold a host out by hand: the list saying it serves changes nothing until they let it in again.
#[test]
fn a_host_held_out_gets_nothing_new_whatever_the_list_says_until_it_is_let_in() {
    let (mut bed, _) = Bed::life(folder("held-out"), 0);
    let held = EngineEvent::EndpointsDisabled(["h".to_owned()].into());
    let offer = |n| {
        EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), Origin::Platform, 1, 9),
        )
    };
    assert!(
        legs(&bed.step(10, vec![offer(1), held])).is_empty(),
        "held out ahead of what was queued"
    );
    assert!(
        legs(&bed.step(20, vec![list(), offer(2)])).is_empty(),
        "the list does not let it in"
    );
    let orders = bed.step(30, vec![EngineEvent::EndpointsDisabled(Default::default())]);
    assert_eq!(
        legs(&orders).len(),
        2,
        "let in, it serves both that wait: {orders:?}"
    );
}

#[test]
fn a_leaving_engine_begins_no_leg_and_keeps_what_it_holds() {
    let (mut bed, _) = Bed::life(folder("leaving"), 0);
    bed.step(
        10,
        vec![EngineEvent::Shutdown {
            deadline: Time(3_400_000),
            hand_over: false,
        }],
    );
    let offer = |ticket, name| {
        EngineEvent::Submitted(RequestId(ticket), message(name, Origin::Platform, 1, 9))
    };
    assert_eq!(
        legs(&bed.step(100, vec![offer(1, "a")])).len(),
        1,
        "there is time yet"
    );
    let orders = bed.step(2500, vec![offer(2, "b")]);
    assert!(legs(&orders).is_empty());
    assert!(matches!(
        answers(&orders)[0],
        (2, SubmitResponse::Rejected { .. })
    ));
    assert_eq!(
        legs(&Bed::life(bed.dir.clone(), 4000).1).len(),
        1,
        "the next life takes it up"
    );
}

#[test]
fn the_journal_stays_within_its_disk_and_keeps_what_is_live() {
    let dir = folder("disk");
    let disk = 1_000_000;
    let mut store = MessageStore::open(&dir, disk, classes()).unwrap();
    let used = || -> u64 {
        let files = fs::read_dir(&dir).unwrap();
        files
            .map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    };
    let (mut live, mut declined) = (std::collections::VecDeque::new(), 0);
    for n in 0..400 {
        let message = message(&format!("m{n}"), Origin::Platform, 1, 60_000);
        if store.has_room(&message) {
            let seq = store.allocate_id();
            store.accept(seq, Rc::new(message), None).unwrap();
            store
                .attempt_started(
                    seq,
                    AttemptRecord {
                        started_ms: n,
                        endpoint: "h".to_owned(),
                    },
                )
                .unwrap();
            live.push_back(seq);
        } else {
            declined += 1;
            // An end is always written, however full the folder is.
            let seq = live.pop_front().unwrap();
            assert!(store.finish(seq, FinalOutcome::Failed, true, 0).unwrap());
            store.forget(seq).unwrap();
        }
        assert!(used() <= disk, "{} bytes after {n}", used());
    }
    assert!(declined > 100 && live.len() > 5);
    let again = MessageStore::open(&dir, disk, classes()).unwrap();
    assert_eq!(
        again.messages().keys().copied().collect::<Vec<_>>(),
        Vec::from(live)
    );
    assert!(again
        .messages()
        .values()
        .all(|entry| entry.attempts == 1 && entry.message.body.len() == 60_000));
}

/// The segment so many after the first one of a folder's journal.
fn segment(dir: &Path, after: u64) -> PathBuf {
    dir.join(format!("journal-{:010}", segments(dir).unwrap()[0] + after))
}

#[test]
fn a_torn_tail_is_cut_off_and_what_stands_before_it_is_kept() {
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
fn a_journal_that_does_not_write_declines() {
    let (mut bed, _) = Bed::life(folder("unwritable"), 0);
    // A folder in the place of the next segment makes the next roll fail.
    for after in 1..200 {
        fs::create_dir(segment(&bed.dir, after)).unwrap();
    }
    let mut declined = false;
    for n in 0..10 {
        let offer = EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), Origin::Platform, 1, 40_000),
        );
        let orders = bed.step(10 + n as i64, vec![offer]);
        if let (_, SubmitResponse::Rejected { .. }) = answers(&orders)[0] {
            declined = true;
            assert!(
                legs(&orders).is_empty(),
                "what the journal does not know of does not go out"
            );
        }
    }
    assert!(declined);
}

#[test]
fn a_leg_that_the_journal_did_not_take_does_not_count_as_sent() {
    let dir = folder("untaken-leg");
    let mut store = MessageStore::open(&dir, 3_000_000, classes()).unwrap();
    let seq = store.allocate_id();
    store
        .accept(
            seq,
            Rc::new(message("m", Origin::Platform, 0, 60_000)),
            None,
        )
        .unwrap();
    // A folder in the place of the next segment: the first note that does not fit into this one is not taken.
    fs::create_dir(segment(&dir, 1)).unwrap();
    let leg = |n| AttemptRecord {
        started_ms: START_MS + n,
        endpoint: "h".repeat(1000),
    };
    let refused = (0..100).find(|n| {
        let refused = store.attempt_started(seq, leg(*n)).is_err();
        if !refused {
            store.attempt_finished(seq, false).unwrap();
        }
        refused
    });
    assert!(refused.is_some_and(|n| n > 0));
    let entry = store.get(seq).unwrap();
    assert_eq!((entry.in_flight(), &entry.first_executed), (None, &None));
}

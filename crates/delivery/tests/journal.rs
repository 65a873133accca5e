//! Tests of a message store's journal: its size limit, and disks that leave torn or unwritable segments.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::restarting_engine::{
    classes, message, open_store, segment_path, IDEMPOTENT_CLASS, KEYED_CLASS,
};
use common::{folder as temporary_folder, START_MS};
use marblefall_delivery::core::journal::Journal;
use marblefall_delivery::core::message_record::{AttemptRecord, Execution, NoticeState};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{FinalOutcome, Origin};
use std::collections::VecDeque;
use std::fs;
use std::io::Write;
use std::rc::Rc;

#[test]
fn retained_messages_do_not_displace_new_ones() {
    let folder = temporary_folder("retained");
    let mut store = MessageStore::open(&folder, 1_000_000, classes()).unwrap();
    for n in 0..5000 {
        let message = message(
            &format!("event {n}"),
            Origin::CloudEvents,
            IDEMPOTENT_CLASS,
            100,
        );
        assert!(
            store.has_capacity_for(&message),
            "no capacity after {n} finished messages"
        );
        let id = store.allocate_id();
        store.accept(id, Rc::new(message), None).unwrap();
        assert!(store
            .finish(
                id,
                FinalOutcome::Delivered,
                NoticeState::NotRequired,
                START_MS + 60_000
            )
            .unwrap());
        store.sweep(START_MS, 100_000).unwrap();
    }
    assert!(store.by_identity(b"event 4999").is_some() && store.by_identity(b"event 0").is_none());
}

#[test]
fn journal_stays_within_limit_and_preserves_open_messages() {
    let folder = temporary_folder("disk");
    let max_bytes = 1_000_000;
    let mut store = MessageStore::open(&folder, max_bytes, classes()).unwrap();
    let used_bytes = || -> u64 {
        let files = fs::read_dir(&folder).unwrap();
        files
            .map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    };
    let (mut live, mut rejections) = (VecDeque::new(), 0);
    for n in 0..400 {
        let message = message(&format!("m{n}"), Origin::Platform, IDEMPOTENT_CLASS, 60_000);
        if store.has_capacity_for(&message) {
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
            // A final outcome can always be written, even if the journal has reached its limit.
            let id = live.pop_front().unwrap();
            assert!(store
                .finish(id, FinalOutcome::Failed, NoticeState::Pending, 0)
                .unwrap());
            store.remove(id).unwrap();
        }
        assert!(
            used_bytes() <= max_bytes,
            "{} bytes after {n} submissions",
            used_bytes()
        );
    }
    assert!(rejections > 100 && live.len() > 5);
    let reopened = MessageStore::open(&folder, max_bytes, classes()).unwrap();
    assert_eq!(
        reopened.messages().keys().copied().collect::<Vec<_>>(),
        Vec::from(live)
    );
    assert!(reopened
        .messages()
        .values()
        .all(|record| record.attempts == 1 && record.message.body.len() == 60_000));
}

#[test]
fn torn_journal_tail_is_truncated() {
    let folder = temporary_folder("torn");
    let mut journal = Journal::open(&folder, 1000, |_, _| {}).unwrap();
    journal.append(b"first").unwrap();
    journal.append(b"second").unwrap();
    drop(journal);
    let path = segment_path(&folder, 0);
    let valid_len = fs::metadata(&path).unwrap().len();
    for torn_tail in [
        &b"\x06\0"[..],
        b"\x06\0\0\0\xff\xff\xff\xffsecond",
        b"\xff\xff\xff\xff",
    ] {
        fs::OpenOptions::new()
            .append(true)
            .open(&path)
            .unwrap()
            .write_all(torn_tail)
            .unwrap();
        let mut found = Vec::new();
        Journal::open(&folder, 1000, |_, record| found.push(record.to_vec())).unwrap();
        assert_eq!(found, [b"first".to_vec(), b"second".to_vec()]);
        assert_eq!(fs::metadata(&path).unwrap().len(), valid_len);
    }
}

#[test]
fn attempt_that_cannot_be_journalled_does_not_count() {
    let folder = temporary_folder("unjournalled-attempt");
    let mut store = open_store(&folder);
    let id = store.allocate_id();
    store
        .accept(
            id,
            Rc::new(message("m", Origin::Platform, KEYED_CLASS, 60_000)),
            None,
        )
        .unwrap();
    // The next segment cannot be created, so the first record that does not fit into the current one is not written.
    fs::create_dir(segment_path(&folder, 1)).unwrap();
    let started = |n| AttemptRecord {
        started_ms: START_MS + n,
        endpoint: "h".repeat(1000),
    };
    let failed = (0..100).find(|n| {
        let failed = store.attempt_started(id, started(*n)).is_err();
        if !failed {
            store.attempt_finished(id, Execution::RuledOut).unwrap();
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

//! Tests that a restart restores all messages, regardless of how often the journal was compacted.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::folder as temporary_folder;
use marblefall_delivery::core::message_record::{AttemptRecord, Execution, NoticeState};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{FinalOutcome, Message, MessageId, Origin};
use marblefall_scheduler::{ClassId, DestinationId};
use std::path::Path;
use std::rc::Rc;

/// Maximum size of the journal, in bytes. At this size, it is compacted every few thousand records, with messages open.
const MAX_BYTES: u64 = 800_000;
const STEPS: usize = 60_000;
const STEPS_BETWEEN_CHECKS: usize = 1500;
const MAX_OPEN: usize = 30;

fn message(number: u64) -> Rc<Message> {
    Rc::new(Message {
        origin: Origin::Platform,
        identity: format!("m-{number}").into_bytes(),
        idempotency_key: None,
        class: ClassId(0),
        destination: DestinationId(number % 3),
        expires_ms: i64::MAX / 2,
        attributes: Vec::new(),
        body: vec![7; (number % 900) as usize],
    })
}

fn attempt(started_ms: i64) -> AttemptRecord {
    AttemptRecord {
        started_ms,
        endpoint: "s-1".to_owned(),
    }
}

/// Opens a copy of the folder, as a newly started process would.
fn restart(folder: &Path) -> MessageStore {
    let copy = folder.with_extension("copy");
    let _ = std::fs::remove_dir_all(&copy);
    std::fs::create_dir_all(&copy).unwrap();
    for file in std::fs::read_dir(folder).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), copy.join(file.file_name())).unwrap();
    }
    MessageStore::open(&copy, MAX_BYTES, vec!["status".to_owned()]).unwrap()
}

/// Guards against an attempt that counts twice because the journal is compacted while the attempt is journalled. The first
/// of the two would be recorded as possibly executed, and the message would never be retried.
#[test]
fn replay_restores_the_messages_in_memory() {
    let folder = temporary_folder("replay");
    let mut store = MessageStore::open(&folder, MAX_BYTES, vec!["status".to_owned()]).unwrap();
    let mut random = fastrand::Rng::with_seed(11);
    let mut open: Vec<MessageId> = Vec::new();
    for step in 0..STEPS {
        let number = step as u64;
        if open.len() < MAX_OPEN {
            let id = store.allocate_id();
            store.accept(id, message(number), None).unwrap();
            open.push(id);
        }
        let index = random.usize(..open.len());
        let id = open[index];
        store.attempt_started(id, attempt(step as i64)).unwrap();
        match random.u16(..2000) {
            0 => {
                store
                    .finish(id, FinalOutcome::Delivered, NoticeState::NotRequired, 0)
                    .unwrap();
                store.remove(id).unwrap();
                open.swap_remove(index);
            }
            1..=10 => store.attempt_finished(id, Execution::Possible).unwrap(),
            _ => store.attempt_finished(id, Execution::RuledOut).unwrap(),
        }
        if step % STEPS_BETWEEN_CHECKS == 0 {
            let restarted = restart(&folder);
            assert_eq!(restarted.messages(), store.messages(), "after step {step}");
        }
    }
}

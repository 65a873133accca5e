//! Tests of hot restarts while a segment of the journal cannot be read, temporarily or permanently.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::incarnation::{is_accepted, started_attempts, TestIncarnation, IDEMPOTENT_CLASS};
use common::{attempt_finished, folder as temporary_folder};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent, EngineLoad};
use marblefall_delivery::core::journal::{segment_numbers, Generation};
use marblefall_scheduler::Outcome;
use std::fs;
use std::path::{Path, PathBuf};

/// A segment of the journal that cannot be read until it is restored.
struct UnreadableSegment {
    path: PathBuf,
    /// Path of the segment's file while the segment is unreadable.
    moved_to: PathBuf,
}

impl UnreadableSegment {
    /// Replaces the first segment of a generation by a link that cannot be read: reads fail with EIO.
    fn of(folder: &Path, generation: Generation) -> UnreadableSegment {
        let all = segment_numbers(folder).unwrap();
        let number = all
            .iter()
            .find(|number| Generation::of(**number) == generation)
            .unwrap();
        let path = folder.join(format!("journal-{number:010}"));
        let moved_to = folder.join("moved-segment");
        fs::rename(&path, &moved_to).unwrap();
        std::os::unix::fs::symlink("/proc/self/mem", &path).unwrap();
        UnreadableSegment { path, moved_to }
    }

    /// Makes the segment readable again.
    fn restore(self) {
        fs::remove_file(&self.path).unwrap();
        fs::rename(&self.moved_to, &self.path).unwrap();
    }
}

#[test]
fn unreadable_segment_ends_recovery_but_not_the_takeover() {
    let folder = temporary_folder("unreadable");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    assert_eq!(
        started_attempts(&predecessor.submit(10, "a", IDEMPOTENT_CLASS)).len(),
        1
    );
    let mut successor = TestIncarnation::standby(&folder, 50);
    let first = *segment_numbers(&folder)
        .unwrap()
        .iter()
        .find(|number| Generation::of(**number) == predecessor.generation)
        .unwrap();
    // A folder with the name of a segment makes that segment unreadable.
    fs::create_dir(folder.join(format!("journal-{:010}", first + 7))).unwrap();
    let mut commands = successor.take_over(60, &[], predecessor.generation);
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, EngineCommand::Log(_))),
        "the error is logged"
    );
    // The recovered message is delivered, although its first attempt may have been executed.
    let mut events = Vec::new();
    for ms in 70..400 {
        events.extend(
            started_attempts(&commands)
                .into_iter()
                .map(|(id, attempt, _)| attempt_finished(id, attempt, Outcome::Delivered)),
        );
        commands = successor.step(ms, std::mem::take(&mut events));
    }
    assert_eq!(
        successor.engine.load(),
        EngineLoad {
            open_messages: 0,
            in_flight: 0
        }
    );
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn takeover_is_retried_after_a_transient_read_error() {
    let folder = temporary_folder("retried-takeover");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    predecessor.submit(10, "a", IDEMPOTENT_CLASS);
    let mut successor = TestIncarnation::standby(&folder, 50);
    successor.submit(60, "b", IDEMPOTENT_CLASS);
    let generation = predecessor.generation;
    drop(predecessor);
    let unreadable = UnreadableSegment::of(&folder, generation);
    let commands = successor.take_over(70, &[], generation);
    assert_eq!(
        started_attempts(&commands),
        [],
        "no message is recovered yet"
    );
    assert!(
        is_accepted(&successor.submit(80, "c", IDEMPOTENT_CLASS)),
        "the successor still accepts messages"
    );
    assert!(
        successor.engine.next_wake().is_some(),
        "the takeover is to be retried"
    );
    unreadable.restore();
    assert_eq!(successor.deliver_all(90..800), ["a", "b", "c"]);
    let _ = fs::remove_dir_all(&folder);
}

/// The exit of a standby is reported only once, so the engine must retry the adoption by itself.
#[test]
fn adoption_of_exited_standby_is_retried_after_read_error() {
    let folder = temporary_folder("retried-adoption");
    let (mut active, _) = TestIncarnation::start_alone(&folder, 0);
    let mut standby = TestIncarnation::standby(&folder, 50);
    assert!(is_accepted(&standby.submit(60, "a", IDEMPOTENT_CLASS)));
    let generation = standby.generation;
    drop(standby);
    let unreadable = UnreadableSegment::of(&folder, generation);
    let exited = EngineEvent::StandbyExited(generation.next());
    assert_eq!(started_attempts(&active.step(70, vec![exited])), []);
    unreadable.restore();
    assert_eq!(active.deliver_all(80..800), ["a"]);
    let _ = fs::remove_dir_all(&folder);
}

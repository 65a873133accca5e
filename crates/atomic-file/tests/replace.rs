//! Tests of the replacement of a file, with a fault at each change of the disk followed by a restart.

use marblefall_atomic_file::faulty_disk::{Fault, FaultyDisk, Unsynced};
use marblefall_atomic_file::{replace, Disk, Durability};
use std::path::Path;

const PATH: &str = "/home/state";
const OLD: &[u8] = b"the old content, which is a bit longer";
const NEW: &[u8] = b"the newest content";

/// Maximum number of changes of the disk in a replacement.
const MAX_CHANGES: usize = 4;

/// A disk after a replacement with an injected fault.
struct FaultyReplacement {
    disk: FaultyDisk,
    /// Whether the replacement succeeded.
    succeeded: bool,
}

/// Stores the old content durably, then replaces it with the new content, with a fault injected into one change.
fn replace_with_fault(
    durability: Durability,
    changes_before: usize,
    fault: Fault,
) -> FaultyReplacement {
    let disk = FaultyDisk::new();
    replace(&disk, Path::new(PATH), OLD, Durability::PowerLoss).expect("no fault is injected yet");
    disk.inject_fault(changes_before, fault);
    let succeeded = replace(&disk, Path::new(PATH), NEW, durability).is_ok();
    FaultyReplacement { disk, succeeded }
}

/// Returns the content of the file after a restart.
fn content_after_restart(disk: &FaultyDisk, unsynced: Unsynced) -> Vec<u8> {
    let restarted = disk.after_restart(unsynced);
    restarted.read(Path::new(PATH)).expect("the file exists")
}

/// Returns every fault at every change, for every number of bytes that a write may have written.
fn faults() -> impl Iterator<Item = (usize, Fault)> {
    let faults = (0..=NEW.len()).flat_map(|bytes_written| {
        [
            Fault::NoSpace { bytes_written },
            Fault::Crash { bytes_written },
        ]
    });
    faults.flat_map(|fault| (0..MAX_CHANGES).map(move |changes_before| (changes_before, fault)))
}

#[test]
fn old_or_new_content_survives_a_crash_at_every_change() {
    for durability in [
        Durability::ProcessDeath,
        Durability::Atomic,
        Durability::PowerLoss,
    ] {
        for (changes_before, fault) in faults() {
            let FaultyReplacement { disk, succeeded } =
                replace_with_fault(durability, changes_before, fault);
            let content = content_after_restart(&disk, Unsynced::Survives);
            assert!(
                content == OLD || content == NEW,
                "{fault:?} at change {changes_before}: {content:?}"
            );
            assert!(
                !succeeded || content == NEW,
                "{fault:?} at change {changes_before}: reported success without the new content"
            );
        }
    }
}

#[test]
fn old_or_new_content_survives_power_loss_if_requested() {
    for (changes_before, fault) in faults() {
        for unsynced in [Unsynced::Survives, Unsynced::Lost, Unsynced::NamesSurvive] {
            for durability in [Durability::Atomic, Durability::PowerLoss] {
                let FaultyReplacement { disk, succeeded } =
                    replace_with_fault(durability, changes_before, fault);
                let content = content_after_restart(&disk, unsynced);
                assert!(
                    content == OLD || content == NEW,
                    "{fault:?} at change {changes_before}, {unsynced:?}: {content:?}"
                );
                let must_be_new = durability == Durability::PowerLoss && succeeded;
                assert!(
                    !must_be_new || content == NEW,
                    "{fault:?} at change {changes_before}, {unsynced:?}: reported success without the new content"
                );
            }
        }
    }
}

#[test]
fn replacement_succeeds_after_the_disk_was_full() {
    let disk_full = faults().filter(|(_, fault)| matches!(fault, Fault::NoSpace { .. }));
    for (changes_before, fault) in disk_full {
        let FaultyReplacement { disk, .. } =
            replace_with_fault(Durability::PowerLoss, changes_before, fault);
        replace(&disk, Path::new(PATH), NEW, Durability::PowerLoss)
            .expect("the disk has space again");
        assert_eq!(content_after_restart(&disk, Unsynced::Lost), NEW);
    }
}

/// Tests the in-memory disk itself: content that was not synced does not survive every restart.
#[test]
fn unsynced_content_may_be_truncated_or_lost() {
    let (disk, path) = (FaultyDisk::new(), Path::new(PATH));
    replace(&disk, path, NEW, Durability::ProcessDeath).expect("no fault is injected");
    assert!(disk.after_restart(Unsynced::Lost).read(path).is_err());
    assert_eq!(
        content_after_restart(&disk, Unsynced::NamesSurvive),
        &NEW[..NEW.len() / 2]
    );
    assert_eq!(content_after_restart(&disk, Unsynced::Survives), NEW);
}

//! A file that is replaced, with a fault at each change of the disk and every loss of power after it.

use marblefall_atomic_file::faulty_disk::{Fault, FaultyDisk, Unsynced};
use marblefall_atomic_file::{replace, Disk, Durability};
use std::path::Path;

const OLD: &[u8] = b"what stood there before, and is longer";
const NEW: &[u8] = b"what comes instead";

/// The old content in its place for good, and a fault at one of the changes that bring the new.
fn replace_with_fault(durability: Durability, after: usize, fault: Fault) -> (FaultyDisk, bool) {
    let (disk, path) = (FaultyDisk::new(), Path::new("/home/state"));
    replace(&disk, path, OLD, Durability::PowerLoss).expect("no fault yet");
    disk.inject_fault(after, fault);
    let done = replace(&disk, path, NEW, durability).is_ok();
    (disk, done)
}

/// A fault at each of the four changes, with each cut that a write can have.
fn faults() -> impl Iterator<Item = (usize, Fault)> {
    let cuts = (0..=NEW.len()).flat_map(|cut| [Fault::Fail(cut), Fault::Crash(cut)]);
    cuts.flat_map(|fault| (0..4).map(move |after| (after, fault)))
}

#[test]
fn old_or_new_content_survives_a_crash_at_every_change() {
    for durability in [
        Durability::ProcessDeath,
        Durability::Atomic,
        Durability::PowerLoss,
    ] {
        for (after, fault) in faults() {
            let (disk, done) = replace_with_fault(durability, after, fault);
            let left = disk
                .after_restart(Unsynced::Survives)
                .read(Path::new("/home/state"))
                .expect("it is there");
            assert!(left == OLD || left == NEW, "{fault:?} at {after}: {left:?}");
            assert!(
                !done || left == NEW,
                "{fault:?} at {after}: said to be done"
            );
        }
    }
}

#[test]
fn old_or_new_content_survives_power_loss_where_requested() {
    for (after, fault) in faults() {
        for unsynced in [Unsynced::Survives, Unsynced::Lost, Unsynced::NamesSurvive] {
            for durability in [Durability::Atomic, Durability::PowerLoss] {
                let (disk, done) = replace_with_fault(durability, after, fault);
                let left = disk
                    .after_restart(unsynced)
                    .read(Path::new("/home/state"))
                    .expect("it is there");
                assert!(
                    left == OLD || left == NEW,
                    "{fault:?} at {after}, {unsynced:?}: {left:?}"
                );
                let sure = durability == Durability::PowerLoss && done;
                assert!(
                    !sure || left == NEW,
                    "{fault:?} at {after}, {unsynced:?}: said to be done"
                );
            }
        }
    }
}

#[test]
fn replacement_succeeds_after_the_disk_was_full() {
    for (after, fault) in faults().filter(|(_, fault)| matches!(fault, Fault::Fail(_))) {
        let (disk, _) = replace_with_fault(Durability::PowerLoss, after, fault);
        replace(&disk, Path::new("/home/state"), NEW, Durability::PowerLoss)
            .expect("there is room again");
        assert_eq!(
            disk.after_restart(Unsynced::Lost)
                .read(Path::new("/home/state"))
                .expect("it is there"),
            NEW
        );
    }
}

/// The disk itself: what is not synced is lost with the power.
#[test]
fn unsynced_content_may_be_torn_or_lost() {
    let (disk, path) = (FaultyDisk::new(), Path::new("/home/state"));
    replace(&disk, path, NEW, Durability::ProcessDeath).expect("no fault");
    assert!(disk.after_restart(Unsynced::Lost).read(path).is_err());
    assert_eq!(
        disk.after_restart(Unsynced::NamesSurvive)
            .read(path)
            .expect("the name is there"),
        &NEW[..NEW.len() / 2]
    );
    assert_eq!(
        disk.after_restart(Unsynced::Survives)
            .read(path)
            .expect("all is there"),
        NEW
    );
}

//! A file that is replaced, with a fault at each change of the disk and every loss of power after it.

use marblefall_atomic_file::faulty_disk::{Fault, Rig, Unsynced};
use marblefall_atomic_file::{replace, Disk, Outlasts};
use std::path::Path;

const OLD: &[u8] = b"what stood there before, and is longer";
const NEW: &[u8] = b"what comes instead";

/// The old content in its place for good, and a fault at one of the changes that bring the new.
fn struck(outlasts: Outlasts, after: usize, fault: Fault) -> (Rig, bool) {
    let (rig, path) = (Rig::new(), Path::new("/home/state"));
    replace(&rig, path, OLD, Outlasts::Power).expect("no fault yet");
    rig.strike(after, fault);
    let done = replace(&rig, path, NEW, outlasts).is_ok();
    (rig, done)
}

/// A fault at each of the four changes, with each cut that a write can have.
fn faults() -> impl Iterator<Item = (usize, Fault)> {
    let cuts = (0..=NEW.len()).flat_map(|cut| [Fault::Fails(cut), Fault::Dies(cut)]);
    cuts.flat_map(|fault| (0..4).map(move |after| (after, fault)))
}

#[test]
fn the_old_or_the_new_outlasts_the_process_at_every_change() {
    for outlasts in [Outlasts::Process, Outlasts::Whole, Outlasts::Power] {
        for (after, fault) in faults() {
            let (rig, done) = struck(outlasts, after, fault);
            let left = rig
                .after(Unsynced::Kept)
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
fn the_old_or_the_new_outlasts_the_power_where_that_is_asked() {
    for (after, fault) in faults() {
        for unsynced in [Unsynced::Kept, Unsynced::Lost, Unsynced::NamesOnly] {
            for outlasts in [Outlasts::Whole, Outlasts::Power] {
                let (rig, done) = struck(outlasts, after, fault);
                let left = rig
                    .after(unsynced)
                    .read(Path::new("/home/state"))
                    .expect("it is there");
                assert!(
                    left == OLD || left == NEW,
                    "{fault:?} at {after}, {unsynced:?}: {left:?}"
                );
                let sure = outlasts == Outlasts::Power && done;
                assert!(
                    !sure || left == NEW,
                    "{fault:?} at {after}, {unsynced:?}: said to be done"
                );
            }
        }
    }
}

#[test]
fn a_disk_that_was_full_takes_the_next_one() {
    for (after, fault) in faults().filter(|(_, fault)| matches!(fault, Fault::Fails(_))) {
        let (rig, _) = struck(Outlasts::Power, after, fault);
        replace(&rig, Path::new("/home/state"), NEW, Outlasts::Power).expect("there is room again");
        assert_eq!(
            rig.after(Unsynced::Lost)
                .read(Path::new("/home/state"))
                .expect("it is there"),
            NEW
        );
    }
}

/// The rig itself: what is not synced is lost with the power.
#[test]
fn what_is_not_synced_may_be_torn_or_lost() {
    let (rig, path) = (Rig::new(), Path::new("/home/state"));
    replace(&rig, path, NEW, Outlasts::Process).expect("no fault");
    assert!(rig.after(Unsynced::Lost).read(path).is_err());
    assert_eq!(
        rig.after(Unsynced::NamesOnly)
            .read(path)
            .expect("the name is there"),
        &NEW[..NEW.len() / 2]
    );
    assert_eq!(
        rig.after(Unsynced::Kept).read(path).expect("all is there"),
        NEW
    );
}

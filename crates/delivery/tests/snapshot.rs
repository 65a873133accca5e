//! The snapshot of destinations on a disk that fails at each of its changes.

use marblefall_atomic_file::faulty_disk::{Fault, FaultyDisk, Unsynced};
use marblefall_atomic_file::Disk;
use marblefall_delivery::core::snapshot::{encode, DestinationRecord, VERSION};
use marblefall_delivery::snapshot_store::{read, SnapshotStore};
use std::path::Path;

const FOLDER: &str = "/home/instances/one";

fn records(out: u64) -> Vec<DestinationRecord> {
    (0..out)
        .map(|destination| DestinationRecord {
            destination,
            ejected_since_ms: Some(1_000),
            ..DestinationRecord::default()
        })
        .collect()
}

#[test]
fn a_fault_at_each_write_leaves_one_of_the_two_or_nothing_that_is_believed() {
    let folder = Path::new(FOLDER);
    let length = encode(&records(2)).len();
    let cuts = (0..=length).flat_map(|cut| [Fault::Fail(cut), Fault::Crash(cut)]);
    for fault in cuts {
        // One of them strikes the first snapshot, so that there is none before it.
        for after in 0..4 {
            let rig = FaultyDisk::new();
            rig.inject_fault(after, fault);
            let (mut keep, known) = SnapshotStore::open(rig.clone(), folder);
            assert_eq!(known, []);
            let (old, new) = (records(1), records(2));
            keep.write(&old);
            keep.write(&new);
            for unsynced in [Unsynced::Survives, Unsynced::Lost, Unsynced::NamesSurvive] {
                let left = keep.disk().after_restart(unsynced);
                let (mut next, known) = SnapshotStore::open(left, folder);
                assert!(
                    known.is_empty() || known == old || known == new,
                    "{fault:?} at {after}, {unsynced:?}: {known:?}"
                );
                if unsynced == Unsynced::Survives && after >= 2 {
                    assert!(
                        known == old || known == new,
                        "what outlasts the process: {known:?}"
                    );
                }
                // The next life writes its own over whatever is there.
                next.write(&records(3));
                assert_eq!(read(next.disk(), folder).unwrap(), records(3));
            }
            // A disk that was full for a moment takes the same records when they come again.
            if matches!(fault, Fault::Fail(_)) {
                keep.write(&new);
                assert_eq!(read(keep.disk(), folder).unwrap(), new);
            }
        }
    }
}

#[test]
fn a_snapshot_of_a_newer_version_is_passed_over_and_replaced() {
    let (folder, rig) = (Path::new(FOLDER), FaultyDisk::new());
    let mut bytes = encode(&records(2));
    bytes[4..6].copy_from_slice(&(VERSION + 1).to_le_bytes());
    rig.write(&folder.join("destinations.bin"), &bytes)
        .expect("no fault");
    let cause = read(&rig, folder).expect_err("it is not this version's");
    assert!(
        cause
            .to_string()
            .contains(&format!("version {}", VERSION + 1)),
        "{cause}"
    );
    let (mut keep, known) = SnapshotStore::open(rig, folder);
    assert_eq!(known, []);
    keep.write(&records(1));
    assert_eq!(read(keep.disk(), folder).unwrap(), records(1));
}

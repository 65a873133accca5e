//! Tests of the snapshot of destinations on a disk on which each operation fails in turn.

use marblefall_atomic_file::faulty_disk::{Fault, FaultyDisk, Unsynced};
use marblefall_atomic_file::Disk;
use marblefall_delivery::core::snapshot::{encode, DestinationRecord, VERSION};
use marblefall_delivery::snapshot_store::{read, OpenedSnapshot, SnapshotStore};
use std::path::Path;

const FOLDER: &str = "/home/instances/one";

fn records(count: u64) -> Vec<DestinationRecord> {
    (0..count)
        .map(|destination| DestinationRecord {
            destination,
            ejected_since_ms: Some(1_000),
            ..DestinationRecord::default()
        })
        .collect()
}

#[test]
fn fault_at_any_write_leaves_a_complete_snapshot_or_none() {
    let folder = Path::new(FOLDER);
    let length = encode(&records(2)).len();
    let faults = (0..=length).flat_map(|bytes_written| {
        [
            Fault::NoSpace { bytes_written },
            Fault::Crash { bytes_written },
        ]
    });
    for fault in faults {
        // The first two operations write the first snapshot. If they fail, there may be no snapshot.
        for after in 0..4 {
            let disk = FaultyDisk::new();
            disk.inject_fault(after, fault);
            let OpenedSnapshot {
                mut store,
                records: restored,
            } = SnapshotStore::open(disk.clone(), folder);
            assert_eq!(restored, []);
            let (old, new) = (records(1), records(2));
            store.write(&old);
            store.write(&new);
            for unsynced in [Unsynced::Survives, Unsynced::Lost, Unsynced::NamesSurvive] {
                let after_crash = store.disk().after_restart(unsynced);
                let OpenedSnapshot {
                    store: mut reopened,
                    records: restored,
                } = SnapshotStore::open(after_crash, folder);
                assert!(
                    restored.is_empty() || restored == old || restored == new,
                    "{fault:?} after {after} operations, {unsynced:?}: {restored:?}"
                );
                if unsynced == Unsynced::Survives && after >= 2 {
                    assert!(
                        restored == old || restored == new,
                        "no snapshot after the process exited: {restored:?}"
                    );
                }
                // The next incarnation replaces the file regardless of its content.
                reopened.write(&records(3));
                assert_eq!(read(reopened.disk(), folder).unwrap(), records(3));
            }
            // After a transient failure, the same records are written again.
            if matches!(fault, Fault::NoSpace { .. }) {
                store.write(&new);
                assert_eq!(read(store.disk(), folder).unwrap(), new);
            }
        }
    }
}

#[test]
fn snapshot_of_a_newer_version_is_ignored_and_replaced() {
    let (folder, disk) = (Path::new(FOLDER), FaultyDisk::new());
    let mut bytes = encode(&records(2));
    bytes[4..6].copy_from_slice(&(VERSION + 1).to_le_bytes());
    disk.write(&folder.join("destinations.bin"), &bytes)
        .expect("no fault");
    let cause = read(&disk, folder).expect_err("the version is unsupported");
    assert!(
        cause
            .to_string()
            .contains(&format!("version {}", VERSION + 1)),
        "{cause}"
    );
    let OpenedSnapshot {
        mut store,
        records: restored,
    } = SnapshotStore::open(disk, folder);
    assert_eq!(restored, []);
    store.write(&records(1));
    assert_eq!(read(store.disk(), folder).unwrap(), records(1));
}

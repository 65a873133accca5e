//! Reads and writes the file with an instance's snapshot of destinations.

use crate::core::snapshot::{decode, encode, DestinationRecord, SnapshotError};
use crate::log_line;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::io;
use std::path::{Path, PathBuf};

/// Name of the snapshot file in the state folder.
const FILE_NAME: &str = "destinations.bin";

/// An error that prevents a snapshot from being read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file is not a usable snapshot.
    #[error(transparent)]
    Content(#[from] SnapshotError),
}

/// The snapshot file of one instance.
#[derive(Debug)]
pub struct SnapshotStore<D = LocalDisk> {
    disk: D,
    path: PathBuf,
    /// Bytes of the last successful write; initially the encoded records that were read from the file.
    last_written: Vec<u8>,
    /// Whether the last write failed.
    failed: bool,
}

/// An opened snapshot: its store, and the records in the file.
#[derive(Debug)]
pub struct OpenedSnapshot<D = LocalDisk> {
    /// Store for later snapshots of this incarnation.
    pub store: SnapshotStore<D>,
    /// Records of an earlier incarnation; empty if there was no usable snapshot.
    pub records: Vec<DestinationRecord>,
}

impl<D: Disk> SnapshotStore<D> {
    /// Opens the snapshot in a state folder, and reads its records. A snapshot that cannot be used is logged and ignored.
    pub fn open(disk: D, folder: &Path) -> OpenedSnapshot<D> {
        let path = folder.join(FILE_NAME);
        let (last_written, records) = match read(&disk, folder) {
            Ok(records) => (encode(&records), records),
            Err(cause) => {
                log_line!(code = "snapshot-ignored", "{}: {cause}", path.display());
                Default::default()
            }
        };
        let store = SnapshotStore {
            disk,
            path,
            last_written,
            failed: false,
        };
        OpenedSnapshot { store, records }
    }

    /// Returns the disk that the snapshots are written to.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Writes the records if they have changed. The instance works without a snapshot, so a failure is only logged, and
    /// only once until a write succeeds again. The file is not synced: a power failure may lose it or leave it
    /// torn, and the checksum detects a torn file.
    pub fn write(&mut self, records: &[DestinationRecord]) {
        let bytes = encode(records);
        if bytes == self.last_written {
            return;
        }
        match replace(&self.disk, &self.path, &bytes, Durability::ProcessDeath) {
            Ok(()) => {
                self.last_written = bytes;
                self.failed = false;
            }
            Err(error) => {
                if !std::mem::replace(&mut self.failed, true) {
                    log_line!(
                        code = "snapshot-not-written",
                        "{}: {error}",
                        self.path.display()
                    );
                }
            }
        }
    }
}

/// Reads the records of the snapshot in a state folder; none if there is no snapshot.
///
/// # Errors
/// The file cannot be read, or is not a usable snapshot.
pub fn read(disk: &impl Disk, folder: &Path) -> Result<Vec<DestinationRecord>, ReadError> {
    match disk.read(&folder.join(FILE_NAME)) {
        Ok(bytes) => Ok(decode(&bytes)?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.into()),
    }
}

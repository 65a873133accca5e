//! The snapshot of destinations on disk.

use crate::core::snapshot::{decode, encode, DestinationRecord, SnapshotError};
use crate::log_line;
use marblefall_atomic_file::{replace, Disk, Durability, LocalDisk};
use std::io;
use std::path::{Path, PathBuf};

/// The file's name in an instance's folder.
const FILE: &str = "destinations.bin";

/// Why a snapshot cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file is no usable snapshot.
    #[error(transparent)]
    Content(#[from] SnapshotError),
}

/// An instance's snapshot.
#[derive(Debug)]
pub struct SnapshotStore<D = LocalDisk> {
    disk: D,
    path: PathBuf,
    /// What was last written, or was there at the start.
    last_written: Vec<u8>,
    /// Whether the last write failed.
    failed: bool,
}

impl<D: Disk> SnapshotStore<D> {
    /// The snapshot in an instance's folder, with what an earlier incarnation left. One that is torn or of another
    /// version is ignored with a log line.
    pub fn open(disk: D, folder: &Path) -> (SnapshotStore<D>, Vec<DestinationRecord>) {
        let path = folder.join(FILE);
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
        (store, records)
    }

    /// The disk that it writes to.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Replaces the records, if they differ. A failure is logged once until a write succeeds again: the service goes on
    /// without. They need not outlast a loss of power: the checksum finds what is torn, and a sync each second would
    /// cost more than an outage that is forgotten.
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

/// Reads the snapshot in an instance's folder; no records where there is none.
///
/// # Errors
/// The file cannot be read, or is no usable snapshot.
pub fn read(disk: &impl Disk, folder: &Path) -> Result<Vec<DestinationRecord>, ReadError> {
    match disk.read(&folder.join(FILE)) {
        Ok(bytes) => Ok(decode(&bytes)?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.into()),
    }
}

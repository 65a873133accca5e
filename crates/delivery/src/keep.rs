//! The snapshot of destinations on disk.

use crate::core::snapshot::{decode, encode, Record};
use crate::say;
use marblefall_atomic_file::{replace, Disk, Outlasts, Real};
use std::io;
use std::path::{Path, PathBuf};

/// The file's name in an instance's folder.
const FILE: &str = "destinations.bin";

/// An instance's snapshot.
#[derive(Debug)]
pub struct Keep<D = Real> {
    disk: D,
    path: PathBuf,
    /// What was last written, or was there at the start.
    last: Vec<u8>,
    failed: bool,
}

impl<D: Disk> Keep<D> {
    /// The one in an instance's folder on a disk, with what an earlier life left. One that is torn or of another version
    /// is passed over with a line.
    pub fn open(disk: D, folder: &Path) -> (Keep<D>, Vec<Record>) {
        let path = folder.join(FILE);
        let (last, records) = match read(&disk, folder) {
            Ok(records) => (encode(&records), records),
            Err(cause) => {
                say!(code = "snapshot-ignored", "{}: {cause}", path.display());
                Default::default()
            }
        };
        (Keep { disk, path, last, failed: false }, records)
    }

    /// The disk that it writes to.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Replaces the records, if they differ. A fault is said once until a write succeeds again: the service goes on
    /// without. They need not outlast a loss of power: the checksum finds what is torn, and a sync each second would
    /// cost more than an outage that is forgotten.
    pub fn write(&mut self, records: &[Record]) {
        let bytes = encode(records);
        if bytes == self.last {
            return;
        }
        match replace(&self.disk, &self.path, &bytes, Outlasts::Process) {
            Ok(()) => (self.last, self.failed) = (bytes, false),
            Err(error) => {
                if !std::mem::replace(&mut self.failed, true) {
                    say!(code = "snapshot-not-written", "{}: {error}", self.path.display());
                }
            }
        }
    }
}

/// Reads the snapshot in an instance's folder; nothing where there is none.
///
/// # Errors
/// What stands in the way, in words.
pub fn read(disk: &impl Disk, folder: &Path) -> Result<Vec<Record>, String> {
    match disk.read(&folder.join(FILE)) {
        Ok(bytes) => decode(&bytes).map_err(|unfit| unfit.to_string()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.to_string()),
    }
}

//! The snapshot of destinations on disk.

use crate::core::snapshot::{decode, encode, Record};
use crate::say;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The file's name in an instance's folder.
const FILE: &str = "destinations.bin";

/// An instance's snapshot.
#[derive(Debug)]
pub struct Keep {
    path: PathBuf,
    /// What was last written, or was there at the start.
    last: Vec<u8>,
    failed: bool,
}

impl Keep {
    /// The one in an instance's folder, with what an earlier life left. One that is torn or of another version is put
    /// aside with a line.
    pub fn open(folder: &Path) -> (Keep, Vec<Record>) {
        let path = folder.join(FILE);
        let (last, records) = match read(folder) {
            Ok(records) => (encode(&records), records),
            Err(cause) => {
                say!(code = "snapshot-ignored", "{}: {cause}", path.display());
                Default::default()
            }
        };
        (Keep { path, last, failed: false }, records)
    }

    /// Writes records beside the old ones and renames them over, if they differ. A fault is said once until a write
    /// succeeds again: the service goes on without.
    pub fn write(&mut self, records: &[Record]) {
        let bytes = encode(records);
        if bytes == self.last {
            return;
        }
        let beside = self.path.with_extension("new");
        match fs::write(&beside, &bytes).and_then(|()| fs::rename(&beside, &self.path)) {
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
pub fn read(folder: &Path) -> Result<Vec<Record>, String> {
    match fs::read(folder.join(FILE)) {
        Ok(bytes) => decode(&bytes).map_err(|unfit| unfit.to_string()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.to_string()),
    }
}

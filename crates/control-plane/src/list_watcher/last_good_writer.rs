//! Writes the last good lists to disk, and retries writes that failed.

use marblefall_delivery::log_line;
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoreError};
use std::collections::BTreeMap;
use std::path::Path;

/// A change of the stored copy of a file's last good list.
pub(super) enum StoreChange {
    /// Replace the copy by this text.
    Write(Vec<u8>),
    /// Remove the copy.
    Remove,
}

/// Writes the last good lists to disk, and keeps failed changes for a retry.
pub(super) struct LastGoodWriter {
    store: LastGoodStore,
    /// Failed changes by file name.
    failed: BTreeMap<String, StoreChange>,
}

impl LastGoodWriter {
    /// Creates a writer to the folder of the last good lists.
    pub fn new(folder: &Path) -> LastGoodWriter {
        LastGoodWriter {
            store: LastGoodStore::at(folder),
            failed: BTreeMap::new(),
        }
    }

    /// Changes the stored copy of a file's list. A failure is logged with its `consequence`, and the change is kept for
    /// [`LastGoodWriter::retry_failed`].
    pub fn apply(&mut self, file: &str, change: StoreChange, consequence: &str) {
        if let Err(error) = self.try_apply(file, change) {
            log_not_stored(file, consequence, &error);
        }
    }

    /// Retries all failed changes.
    pub fn retry_failed(&mut self) {
        for (file, change) in std::mem::take(&mut self.failed) {
            match self.try_apply(&file, change) {
                Ok(()) => log_line!(
                    code = "last-good-list-written",
                    file,
                    "stored after a retry"
                ),
                Err(error) => log_not_stored(&file, "still not stored", &error),
            }
        }
    }

    /// Makes all written changes durable against a power loss. A failure is logged with the name of `file`.
    pub fn sync(&self, file: &str) {
        if let Err(error) = self.store.sync() {
            log_not_stored(file, "a power loss may restore the previous list", &error);
        }
    }

    fn try_apply(&mut self, file: &str, change: StoreChange) -> Result<(), StoreError> {
        let result = match &change {
            StoreChange::Write(bytes) => self.store.write(file, bytes),
            StoreChange::Remove => self.store.remove(file),
        };
        if result.is_ok() {
            self.failed.remove(file);
        } else {
            self.failed.insert(file.to_owned(), change);
        }
        result
    }
}

fn log_not_stored(file: &str, consequence: &str, error: &StoreError) {
    log_line!(
        code = "last-good-list-not-written",
        file,
        "{consequence}: {error}"
    );
}

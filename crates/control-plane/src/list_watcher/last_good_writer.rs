//! Writes the last good lists to disk, and retries writes that failed.

use marblefall_delivery::log_line;
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoreError};
use std::collections::BTreeMap;
use std::path::Path;

/// A change to the stored copy of one file's last good list.
pub(super) enum StoreChange {
    /// Store this text.
    Write(Vec<u8>),
    /// Remove the copy.
    Remove,
}

/// Writes the last good lists to disk.
pub(super) struct LastGoodWriter {
    store: LastGoodStore,
    /// Changes that failed, by file name.
    failed: BTreeMap<String, StoreChange>,
}

impl LastGoodWriter {
    /// A writer to the lists' folder.
    pub fn new(folder: &Path) -> LastGoodWriter {
        LastGoodWriter {
            store: LastGoodStore::at(folder),
            failed: BTreeMap::new(),
        }
    }

    /// Changes the stored copy of a file's list. A change that fails is logged with its consequence, and kept for
    /// [`LastGoodWriter::retry_failed`].
    pub fn apply(&mut self, file: &str, change: StoreChange, consequence: &str) {
        if let Err(error) = self.try_apply(file, change) {
            log_not_stored(file, consequence, &error);
        }
    }

    /// Retries the changes that failed.
    pub fn retry_failed(&mut self) {
        for (file, change) in std::mem::take(&mut self.failed) {
            match self.try_apply(&file, change) {
                Ok(()) => log_line!(code = "last-good-list-written", file, "stored after all"),
                Err(error) => log_not_stored(&file, "still not stored", &error),
            }
        }
    }

    /// Returns once everything written survives a loss of power. A failure is logged as one of `file`.
    pub fn sync(&self, file: &str) {
        if let Err(error) = self.store.sync() {
            log_not_stored(file, "a loss of power may restore the list before", &error);
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

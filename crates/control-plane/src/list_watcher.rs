//! The list watcher watches the endpoint lists of a manifest on its own thread. A valid list is stored in `HOME/rosters` as
//! the last good list and put in force, and the supervisor is notified. An invalid list is logged once, and the last good
//! list stays in force.
//!
//! The operating system reports most changes, and a slow poll finds the others. Correctness does not depend on when a scan
//! runs, because a partially written file is detected by its format.

mod file_states;
mod folder_watch;
mod last_good_writer;
mod list_files;
mod scanner;
mod shared_lists;
mod status;
mod status_reporter;
mod wakeup;

pub use list_files::{list_files, read_bounded, FileContent};
pub use status::{FileState, FileStatus, ListStatus};

use crate::manifest::Manifest;
use async_channel::Receiver;
use marblefall_delivery::log_line;
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoreError, StoredList};
use marblefall_endpoint_lists::{ActiveLists, Report};
use scanner::{ScanScope, Scanner, ScannerConfig};
use shared_lists::SharedLists;
use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use wakeup::Wakeup;

/// Name of the folder in a home that contains the last good lists and the status file.
const LISTS_FOLDER: &str = "rosters";
/// Name of the watcher's thread.
const THREAD_NAME: &str = "rosters";

/// An error that prevents the watcher from starting.
#[derive(Debug, thiserror::Error)]
pub enum ListWatcherError {
    /// The last good lists cannot be read.
    #[error(transparent)]
    LastGoodLists(#[from] StoreError),
    /// The watcher's thread cannot be started.
    #[error("{0}")]
    Thread(#[from] io::Error),
}

/// The last good lists of a home.
pub struct LastGoodLists {
    /// The lists that can be decoded. They are in force.
    pub lists: ActiveLists,
    /// A report for each list that cannot be decoded.
    pub unreadable: Vec<Report>,
}

impl LastGoodLists {
    /// Reads the last good lists of a home and applies the manifest's rules to them.
    ///
    /// # Errors
    /// The folder of the lists or a file in it cannot be read.
    pub fn read(home: &Path, manifest: &Manifest) -> Result<LastGoodLists, StoreError> {
        let mut lists = ActiveLists::new(manifest.list_rules());
        let mut unreadable = Vec::new();
        let store = LastGoodStore::at(&home.join(LISTS_FOLDER));
        for StoredList { file, bytes } in store.read()? {
            unreadable.extend(lists.restore(&file, &bytes).err());
        }
        Ok(LastGoodLists { lists, unreadable })
    }
}

/// Owns the watcher's thread, which is ended when the watcher is dropped.
pub struct ListWatcher {
    lists: SharedLists,
    wakeups: mpsc::Sender<Wakeup>,
    /// Contains a message if a list was put in force since the last receive.
    pub changes: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl ListWatcher {
    /// Puts the last good lists of a home in force, scans the files once, and starts to watch them.
    ///
    /// # Errors
    /// The last good lists cannot be read, or the thread cannot be started.
    pub fn start(home: &Path, manifest: &Manifest) -> Result<ListWatcher, ListWatcherError> {
        let last_good = LastGoodLists::read(home, manifest)?;
        for report in last_good.unreadable {
            log_line!(code = "last-good-list-unreadable", file = %report.file, "{}", report.summary());
        }
        let lists = SharedLists::new(last_good.lists);
        let (wakeup_sender, wakeups) = mpsc::channel();
        let (change_sender, changes) = async_channel::bounded(1);
        let mut scanner = Scanner::new(ScannerConfig {
            folder: home.join(LISTS_FOLDER),
            lists: lists.clone(),
            changes: change_sender,
            source: manifest.list_source.clone(),
            wakeup_sender: wakeup_sender.clone(),
            wakeups,
        });
        // The first scan also runs on the watcher's thread, because the allocator keeps freed memory for the thread that
        // used it.
        let (first_scan_done, first_scan) = mpsc::channel();
        let body = move || {
            scanner.scan(ScanScope::AllFiles);
            let _ = first_scan_done.send(());
            scanner.run();
        };
        let thread = thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(body)?;
        // Fails only if the thread has panicked. The lists in force at that time stay in force.
        let _ = first_scan.recv();
        Ok(ListWatcher {
            lists,
            wakeups: wakeup_sender,
            changes,
            thread: Some(thread),
        })
    }

    /// Replaces the manifest. Entries of the lists in force that the new manifest does not permit are ignored.
    pub fn set_manifest(&self, manifest: &Manifest) {
        self.lists
            .write(|lists| lists.set_rules(manifest.list_rules()));
        self.wake(Wakeup::SourceChanged(manifest.list_source.clone()));
    }

    /// Requests a scan of the changed files.
    pub fn rescan(&self) {
        self.wake(Wakeup::FilesChanged);
    }

    /// Calls `read` with the lists in force.
    pub fn with_lists<T>(&self, read: impl FnOnce(&ActiveLists) -> T) -> T {
        self.lists.read(read)
    }

    fn wake(&self, wakeup: Wakeup) {
        // Fails only if the thread has panicked.
        let _ = self.wakeups.send(wakeup);
    }
}

impl Drop for ListWatcher {
    fn drop(&mut self) {
        self.wake(Wakeup::Shutdown);
        if let Some(thread) = self.thread.take() {
            // A panic was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

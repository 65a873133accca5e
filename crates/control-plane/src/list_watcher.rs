//! The list watcher: watches the endpoint lists of a manifest on a thread of its own. A list that is found good is kept
//! in `HOME/rosters` as the last good one, put in force, and announced; one that is not is logged once, and changes
//! nothing.
//!
//! The system tells of changes where it can, and a slow poll finds the rest. Nothing depends on when a scan comes: a file
//! that is half written is detected by its form.

mod file_states;
mod folder_watch;
mod list_files;
mod scanner;
mod shared_lists;
mod status;

pub use list_files::{list_files, read_bounded};
pub use status::{FileState, FileStatus, ListStatus};

use crate::manifest::Manifest;
use async_channel::Receiver;
use marblefall_delivery::log_line;
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoreError};
use marblefall_endpoint_lists::{ActiveLists, Report};
use scanner::{ScanScope, Scanner, ScannerConfig, Wakeup};
use shared_lists::SharedLists;
use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

/// The folder in a home that holds the last good lists and the status.
const LISTS_FOLDER: &str = "rosters";
/// The name of the watcher's thread.
const THREAD_NAME: &str = "rosters";

/// Why the lists are not watched.
#[derive(Debug, thiserror::Error)]
pub enum ListWatcherError {
    /// The last good lists cannot be read.
    #[error(transparent)]
    LastGoodLists(#[from] StoreError),
    /// The thread cannot be started.
    #[error("{0}")]
    Thread(#[from] io::Error),
}

/// The last good lists of a home.
pub struct LastGoodLists {
    /// Those that are in force.
    pub lists: ActiveLists,
    /// What is wrong with those that were not fit to be read back.
    pub unreadable: Vec<Report>,
}

impl LastGoodLists {
    /// Reads them, under what the manifest allows.
    ///
    /// # Errors
    /// Where the folder or a file cannot be read.
    pub fn read(home: &Path, manifest: &Manifest) -> Result<LastGoodLists, StoreError> {
        let mut lists = ActiveLists::new(manifest.list_rules());
        let mut unreadable = Vec::new();
        for (file, bytes) in LastGoodStore::at(&home.join(LISTS_FOLDER)).read()? {
            unreadable.extend(lists.restore(&file, &bytes).err());
        }
        Ok(LastGoodLists { lists, unreadable })
    }
}

/// The owner of the watcher's thread, which ends with it.
pub struct ListWatcher {
    lists: SharedLists,
    wakeups: mpsc::Sender<Wakeup>,
    /// Filled when a list was put in force since it was last emptied.
    pub changes: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl ListWatcher {
    /// Puts in force the last good lists of a home and what the files say now, then goes on watching them.
    ///
    /// # Errors
    /// Where the last good lists cannot be read, or the thread cannot be started.
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
        // The first scan is on the thread as well: memory that reading needs for a moment is kept by thread.
        let (first_scan_done, first_scan) = mpsc::channel();
        let body = move || {
            scanner.scan(ScanScope::AllFiles);
            let _ = first_scan_done.send(());
            scanner.run();
        };
        let thread = thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(body)?;
        // An error means that the thread panicked; what is in force stays so.
        let _ = first_scan.recv();
        Ok(ListWatcher {
            lists,
            wakeups: wakeup_sender,
            changes,
            thread: Some(thread),
        })
    }

    /// Goes on under another manifest. What it no longer lets lists say counts for nothing from now on.
    pub fn set_manifest(&self, manifest: &Manifest) {
        self.lists
            .write(|lists| lists.set_rules(manifest.list_rules()));
        self.wake(Wakeup::SourceChanged(manifest.list_source.clone()));
    }

    /// Scans the files as if they had changed.
    pub fn rescan(&self) {
        self.wake(Wakeup::FilesChanged);
    }

    /// Reads the lists in force.
    pub fn with_lists<T>(&self, read: impl FnOnce(&ActiveLists) -> T) -> T {
        self.lists.read(read)
    }

    fn wake(&self, wakeup: Wakeup) {
        // Only a thread that panicked no longer receives.
        let _ = self.wakeups.send(wakeup);
    }
}

impl Drop for ListWatcher {
    fn drop(&mut self) {
        self.wake(Wakeup::Shutdown);
        if let Some(thread) = self.thread.take() {
            // A panic was printed by its hook.
            let _ = thread.join();
        }
    }
}

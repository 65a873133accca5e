//! The system's watch on the folders in which endpoint lists may change.

use super::scanner::Wakeup;
use marblefall_delivery::log_line;
use notify::event::{AccessKind, AccessMode};
use notify::{Event, EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use std::collections::BTreeMap;
use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

/// A folder's device and inode: one that was replaced by another of its name must be watched anew.
type FolderId = (u64, u64);

/// Wakes the scanner when the system tells of a change.
pub(super) struct FolderWatch {
    wakeups: mpsc::Sender<Wakeup>,
    active: Option<ActiveWatch>,
}

struct ActiveWatch {
    folders: BTreeMap<PathBuf, FolderId>,
    /// It watches for as long as it is held.
    _watcher: RecommendedWatcher,
}

impl FolderWatch {
    pub fn new(wakeups: mpsc::Sender<Wakeup>) -> FolderWatch {
        FolderWatch {
            wakeups,
            active: None,
        }
    }

    pub fn stop(&mut self) {
        self.active = None;
    }

    /// Watches the folders that matter to a path, if these are not watched already. Where the system cannot, lists are
    /// polled every `poll_ms`.
    pub fn follow(&mut self, path: &Path, poll_ms: u64) {
        let folders = relevant_folders(path);
        let is_followed = |active: &ActiveWatch| active.folders == folders;
        if self.active.as_ref().is_some_and(is_followed) {
            return;
        }
        let mut watcher = match notify::recommended_watcher(wake_on_change(self.wakeups.clone())) {
            Ok(watcher) => watcher,
            Err(error) => {
                log_line!(
                    code = "file-watch-unavailable",
                    "the system does not tell of changes, endpoint lists are polled every {poll_ms} ms: {error}"
                );
                self.active = None;
                return;
            }
        };
        for folder in folders.keys() {
            if let Err(error) = watcher.watch(folder, RecursiveMode::NonRecursive) {
                let folder = folder.display();
                log_line!(
                    code = "file-watch-unavailable",
                    "{folder} is only polled: {error}"
                );
            }
        }
        self.active = Some(ActiveWatch {
            folders,
            _watcher: watcher,
        });
    }
}

/// The path's own folder, the one that it is in (it may be renamed over, or go and come back), and where it really is (it
/// may be a link that is swapped, or a link into a folder behind one).
fn relevant_folders(path: &Path) -> BTreeMap<PathBuf, FolderId> {
    let real_path = fs::canonicalize(path).ok();
    let paths = [Some(path), real_path.as_deref()];
    let mut folders = BTreeMap::new();
    for folder in paths.into_iter().flatten() {
        for folder in [Some(folder), folder.parent()].into_iter().flatten() {
            if let Some(metadata) = fs::metadata(folder).ok().filter(Metadata::is_dir) {
                folders.insert(folder.to_owned(), (metadata.dev(), metadata.ino()));
            }
        }
    }
    folders
}

fn wake_on_change(wakeups: mpsc::Sender<Wakeup>) -> impl FnMut(notify::Result<Event>) {
    move |event| {
        // The scanner's own reading causes events as well; taken for a change, it would cause the next reading.
        if !event.as_ref().is_ok_and(is_read_only) {
            // A scanner that has ended needs no wake-up.
            let _ = wakeups.send(Wakeup::FilesChanged);
        }
    }
}

fn is_read_only(event: &Event) -> bool {
    let written = AccessKind::Close(AccessMode::Write);
    matches!(event.kind, EventKind::Access(kind) if kind != written)
}

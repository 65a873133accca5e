//! Watches the folders in which endpoint lists may change, with the operating system's file notifications.

use super::wakeup::Wakeup;
use marblefall_delivery::log_line;
use notify::event::{AccessKind, AccessMode};
use notify::{Event, EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use std::collections::BTreeMap;
use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

/// Identity of a folder. If a folder is replaced by another one of the same name, a new watch is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FolderId {
    device: u64,
    inode: u64,
}

impl FolderId {
    fn of(metadata: &Metadata) -> FolderId {
        FolderId {
            device: metadata.dev(),
            inode: metadata.ino(),
        }
    }
}

/// Wakes the scanner when the operating system reports a change in a watched folder.
pub(super) struct FolderWatch {
    wakeups: mpsc::Sender<Wakeup>,
    active: Option<ActiveWatch>,
}

struct ActiveWatch {
    folders: BTreeMap<PathBuf, FolderId>,
    /// Keeps the watch active until it is dropped.
    _watcher: RecommendedWatcher,
}

impl FolderWatch {
    /// Creates an inactive watch that will send [`Wakeup::FilesChanged`] to `wakeups`.
    pub fn new(wakeups: mpsc::Sender<Wakeup>) -> FolderWatch {
        FolderWatch {
            wakeups,
            active: None,
        }
    }

    /// Stops watching.
    pub fn stop(&mut self) {
        self.active = None;
    }

    /// Watches the folders in which the content of `path` may change, unless they are already watched. If the operating
    /// system cannot watch them, the lists are only polled every `poll_interval_ms`.
    pub fn follow(&mut self, path: &Path, poll_interval_ms: u64) {
        let folders = relevant_folders(path);
        let is_followed = |active: &ActiveWatch| active.folders == folders;
        if self.active.as_ref().is_some_and(is_followed) {
            return;
        }
        self.active = match notify::recommended_watcher(wake_on_change(self.wakeups.clone())) {
            Ok(watcher) => Some(ActiveWatch::start(watcher, folders)),
            Err(error) => {
                log_line!(
                    code = "file-watch-unavailable",
                    "file changes cannot be watched, endpoint lists are polled every {poll_interval_ms} ms: {error}"
                );
                None
            }
        };
    }
}

impl ActiveWatch {
    fn start(mut watcher: RecommendedWatcher, folders: BTreeMap<PathBuf, FolderId>) -> ActiveWatch {
        for folder in folders.keys() {
            if let Err(error) = watcher.watch(folder, RecursiveMode::NonRecursive) {
                let folder = folder.display();
                log_line!(
                    code = "file-watch-unavailable",
                    "{folder} cannot be watched and is only polled: {error}"
                );
            }
        }
        ActiveWatch {
            folders,
            _watcher: watcher,
        }
    }
}

/// Returns the folder at `path` and its parent, and the same two for the path with all symbolic links resolved. A change in
/// the parent may replace the path, or remove and create it again. A symbolic link may be switched to another target.
fn relevant_folders(path: &Path) -> BTreeMap<PathBuf, FolderId> {
    let real_path = fs::canonicalize(path).ok();
    let paths = [Some(path), real_path.as_deref()];
    let mut folders = BTreeMap::new();
    for folder in paths.into_iter().flatten() {
        for folder in [Some(folder), folder.parent()].into_iter().flatten() {
            if let Some(metadata) = fs::metadata(folder).ok().filter(Metadata::is_dir) {
                folders.insert(folder.to_owned(), FolderId::of(&metadata));
            }
        }
    }
    folders
}

fn wake_on_change(wakeups: mpsc::Sender<Wakeup>) -> impl FnMut(notify::Result<Event>) {
    move |event| {
        // The scanner's own reads cause events too. If they counted as changes, each scan would trigger the next one.
        if !event.as_ref().is_ok_and(is_read_only) {
            // Fails only once the scanner has ended.
            let _ = wakeups.send(Wakeup::FilesChanged);
        }
    }
}

fn is_read_only(event: &Event) -> bool {
    let written = AccessKind::Close(AccessMode::Write);
    matches!(event.kind, EventKind::Access(kind) if kind != written)
}

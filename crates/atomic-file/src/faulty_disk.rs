//! An in-memory disk with injected faults, for tests of code that stores state.
//!
//! The disk keeps the content that processes read apart from the content that is durable. The bytes of a file become durable
//! when the file is synced, and file names become durable when their folder is synced. As POSIX allows, a loss of power may
//! keep or lose any other name or content independently, and may keep a part of the bytes.

use crate::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// A fault that is injected into one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails because the disk is full. Later operations succeed.
    NoSpace {
        /// Number of bytes that a write has written when it fails.
        bytes_written: usize,
    },
    /// The process crashes during the operation: this operation and all later ones fail.
    Crash {
        /// Number of bytes that a write has written when the process crashes.
        bytes_written: usize,
    },
}

/// The effect of a restart on names and bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// All names and bytes survive, as after a crash of the process alone.
    Survives,
    /// All names and bytes that were not synced are lost, as is possible after a loss of power.
    Lost,
    /// The names and the first half of the bytes survive, as is possible after a loss of power.
    NamesSurvive,
}

#[derive(Clone, Debug, Default)]
struct FileContent {
    current: Vec<u8>,
    synced: Vec<u8>,
}

/// Index of a file in [`State::files`].
type FileIndex = usize;

#[derive(Clone, Copy, Debug)]
struct InjectedFault {
    /// Number of the change that fails, counted from 0.
    change: usize,
    fault: Fault,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<FileContent>,
    names: BTreeMap<PathBuf, FileIndex>,
    synced_names: BTreeMap<PathBuf, FileIndex>,
    /// Number of changes that were requested.
    changes: usize,
    fault: Option<InjectedFault>,
    has_crashed: bool,
}

/// A change that failed.
struct FailedChange {
    /// Number of bytes that a write has written.
    bytes_written: usize,
    error: io::Error,
}

impl FailedChange {
    fn no_space(bytes_written: usize) -> FailedChange {
        FailedChange {
            bytes_written,
            error: io::Error::new(io::ErrorKind::StorageFull, "no space left"),
        }
    }

    fn crash(bytes_written: usize) -> FailedChange {
        FailedChange {
            bytes_written,
            error: io::Error::other("the process has crashed"),
        }
    }
}

/// An in-memory disk with injected faults.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(RefCell<State>);

impl FaultyDisk {
    /// Creates an empty disk without faults.
    pub fn new() -> FaultyDisk {
        FaultyDisk::default()
    }

    /// Injects a fault into the change that follows this number of other changes; 0 stands for the next change. Reads do not
    /// count as changes.
    pub fn inject_fault(&self, changes_before: usize, fault: Fault) {
        let mut state = self.0.borrow_mut();
        let change = state.changes + changes_before;
        state.fault = Some(InjectedFault { change, fault });
    }

    /// Returns the disk as it is after a restart of the process, without faults.
    pub fn after_restart(&self, unsynced: Unsynced) -> FaultyDisk {
        let state = self.0.borrow();
        let names = match unsynced {
            Unsynced::Lost => &state.synced_names,
            Unsynced::Survives | Unsynced::NamesSurvive => &state.names,
        };
        let content = |file: &FileContent| match unsynced {
            Unsynced::Survives => file.current.clone(),
            Unsynced::Lost => file.synced.clone(),
            Unsynced::NamesSurvive if file.current == file.synced => file.synced.clone(),
            Unsynced::NamesSurvive => file.current[..file.current.len() / 2].to_vec(),
        };
        let files: Vec<FileContent> = state
            .files
            .iter()
            .map(content)
            .map(|content| FileContent {
                current: content.clone(),
                synced: content,
            })
            .collect();
        FaultyDisk(RefCell::new(State {
            files,
            names: names.clone(),
            synced_names: names.clone(),
            ..State::default()
        }))
    }

    /// Counts a change. Fails if the change has an injected fault or the process has crashed.
    fn begin_change(&self) -> Result<(), FailedChange> {
        let mut state = self.0.borrow_mut();
        let change = state.changes;
        state.changes += 1;
        if state.has_crashed {
            return Err(FailedChange::crash(0));
        }
        let injected = state.fault.filter(|fault| fault.change == change);
        match injected.map(|injected| injected.fault) {
            None => Ok(()),
            Some(Fault::NoSpace { bytes_written }) => Err(FailedChange::no_space(bytes_written)),
            Some(Fault::Crash { bytes_written }) => {
                state.has_crashed = true;
                Err(FailedChange::crash(bytes_written))
            }
        }
    }

    fn set_content(&self, path: &Path, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let new = state.files.len();
        let file = *state.names.entry(path.to_owned()).or_insert(new);
        if file == new {
            state.files.push(FileContent::default());
        }
        state.files[file].current = bytes.to_vec();
    }

    fn find_file(&self, path: &Path) -> io::Result<usize> {
        self.0
            .borrow()
            .names
            .get(path)
            .copied()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for FaultyDisk {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let file = self.find_file(path)?;
        Ok(self.0.borrow().files[file].current.clone())
    }

    fn create_folder(&self, _folder: &Path) -> io::Result<()> {
        self.begin_change().map_err(|failed| failed.error)
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let Err(failed) = self.begin_change() else {
            self.set_content(path, bytes);
            return Ok(());
        };
        // If the process crashes before the first byte is written, the file is unchanged.
        if failed.bytes_written > 0 || !self.0.borrow().has_crashed {
            self.set_content(path, &bytes[..failed.bytes_written.min(bytes.len())]);
        }
        Err(failed.error)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.begin_change().map_err(|failed| failed.error)?;
        let file = self.find_file(path)?;
        let mut state = self.0.borrow_mut();
        state.files[file].synced = state.files[file].current.clone();
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.begin_change().map_err(|failed| failed.error)?;
        let file = self.find_file(from)?;
        let mut state = self.0.borrow_mut();
        state.names.remove(from);
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.begin_change().map_err(|failed| failed.error)?;
        let mut state = self.0.borrow_mut();
        let names = state.names.clone();
        state
            .synced_names
            .retain(|path, _| path.parent() != Some(folder));
        state.synced_names.extend(
            names
                .into_iter()
                .filter(|(path, _)| path.parent() == Some(folder)),
        );
        Ok(())
    }
}

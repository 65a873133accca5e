//! A disk in memory with injected faults, for tests of code that stores state.
//!
//! It distinguishes what processes see from what is durable. A file's bytes become durable when the file is synced, names
//! when their folder is synced. A loss of power may keep or lose anything else independently, and bytes in part, as POSIX
//! allows.

use crate::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// A fault of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails because the disk is full. Later operations succeed.
    NoSpace {
        /// How many bytes a write has written before it fails.
        bytes_written: usize,
    },
    /// The process crashes during the operation: this and all later ones fail.
    Crash {
        /// How many bytes a write has written before the crash.
        bytes_written: usize,
    },
}

/// What a restart leaves of names and bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// Everything, as after a crash of the process alone.
    Survives,
    /// Nothing, as after a loss of power.
    Lost,
    /// The names, and the first half of the bytes, as after a loss of power.
    NamesSurvive,
}

#[derive(Clone, Debug, Default)]
struct FileContent {
    current: Vec<u8>,
    synced: Vec<u8>,
}

/// The index of a file's content.
type FileIndex = usize;

#[derive(Clone, Copy, Debug)]
struct InjectedFault {
    /// The number of the change that fails.
    change: usize,
    fault: Fault,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<FileContent>,
    names: BTreeMap<PathBuf, FileIndex>,
    synced_names: BTreeMap<PathBuf, FileIndex>,
    /// The number of changes that were requested.
    changes: usize,
    fault: Option<InjectedFault>,
    has_crashed: bool,
}

/// A change that failed.
struct FailedChange {
    /// How many bytes of a write were written.
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

/// A disk in memory with injected faults.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(RefCell<State>);

impl FaultyDisk {
    /// An empty disk without faults.
    pub fn new() -> FaultyDisk {
        FaultyDisk::default()
    }

    /// Injects a fault into a later change: 0 is the next one. Reads are not counted.
    pub fn inject_fault(&self, changes_before: usize, fault: Fault) {
        let mut state = self.0.borrow_mut();
        let change = state.changes + changes_before;
        state.fault = Some(InjectedFault { change, fault });
    }

    /// The disk after a restart of the process, without faults.
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

    /// Counts a change, and fails if a fault is injected into it or the process has crashed.
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
        // A process that crashes before its first byte leaves the file as it was.
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

//! A disk in memory with injected faults, for the tests of whatever stores state.
//!
//! It distinguishes what the process sees from what is on the medium. Bytes reach the medium when they are synced, names when
//! their folder is; until then a loss of power may keep or lose them, each by itself, and bytes in part: that is what
//! POSIX allows, and file systems do.

use crate::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// What happens at one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails, as where the disk is full; a write has written so many bytes by then. Later operations work.
    Fail(usize),
    /// The process crashes in it: it and all later ones fail. A write has written so many bytes by then.
    Crash(usize),
}

/// What a loss of power leaves of what was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// All of it, as if only the process had died.
    Survives,
    /// None of it.
    Lost,
    /// The names, but only the first half of the bytes.
    NamesSurvive,
}

#[derive(Clone, Debug, Default)]
struct FileContent {
    current: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<FileContent>,
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    changes: usize,
    fault: Option<(usize, Fault)>,
    crashed: bool,
}

/// A change that failed, and how many bytes of it were written.
struct FailedChange {
    written: usize,
    error: io::Error,
}

/// A disk in memory with injected faults.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(RefCell<State>);

impl FaultyDisk {
    /// An empty disk without faults.
    pub fn new() -> FaultyDisk {
        FaultyDisk::default()
    }

    /// Injects a fault so many changes from now: 0 is the next. Reads are not counted.
    pub fn inject_fault(&self, after: usize, fault: Fault) {
        let mut state = self.0.borrow_mut();
        state.fault = Some((state.changes + after, fault));
    }

    /// Changes requested so far.
    pub fn change_count(&self) -> usize {
        self.0.borrow().changes
    }

    /// The disk as the next process finds it, without faults.
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

    /// Counts a change, which may fail.
    fn change(&self) -> Result<(), FailedChange> {
        let mut state = self.0.borrow_mut();
        let index = state.changes;
        state.changes += 1;
        let crash = |written| FailedChange {
            written,
            error: io::Error::other("the process crashed here"),
        };
        if state.crashed {
            return Err(crash(0));
        }
        match state.fault {
            Some((at, Fault::Fail(written))) if at == index => Err(FailedChange {
                written,
                error: io::Error::new(io::ErrorKind::StorageFull, "no space left"),
            }),
            Some((at, Fault::Crash(written))) if at == index => {
                state.crashed = true;
                Err(crash(written))
            }
            _ => Ok(()),
        }
    }

    fn store(&self, path: &Path, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let new = state.files.len();
        let file = *state.names.entry(path.to_owned()).or_insert(new);
        if file == new {
            state.files.push(FileContent::default());
        }
        state.files[file].current = bytes.to_vec();
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
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
        let file = self.find(path)?;
        Ok(self.0.borrow().files[file].current.clone())
    }

    fn create_folder(&self, _folder: &Path) -> io::Result<()> {
        self.change().map_err(|failed| failed.error)
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let Err(FailedChange { written, error }) = self.change() else {
            self.store(path, bytes);
            return Ok(());
        };
        if written > 0 || !self.0.borrow().crashed {
            self.store(path, &bytes[..written.min(bytes.len())]);
        }
        Err(error)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.change().map_err(|failed| failed.error)?;
        let file = self.find(path)?;
        let mut state = self.0.borrow_mut();
        state.files[file].synced = state.files[file].current.clone();
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.change().map_err(|failed| failed.error)?;
        let file = self.find(from)?;
        let mut state = self.0.borrow_mut();
        state.names.remove(from);
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.change().map_err(|failed| failed.error)?;
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

//! A disk in memory that fails on purpose, for the tests of whatever keeps state.
//!
//! It tells what the process sees from what is on the medium. Bytes reach the medium when they are synced, names when
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
    /// It fails, as where the disk is full; a write has written so many bytes by then. What comes after works.
    Fails(usize),
    /// The process dies in it: it and all after it fail. A write has written so many bytes by then.
    Dies(usize),
}

/// What a loss of power leaves of what was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// All of it, as if the process had died alone.
    Kept,
    /// Nothing of it.
    Lost,
    /// The names, but of the bytes only the first half.
    NamesOnly,
}

#[derive(Clone, Debug, Default)]
struct Bytes {
    seen: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<Bytes>,
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    done: usize,
    fault: Option<(usize, Fault)>,
    dead: bool,
}

/// The disk.
#[derive(Clone, Debug, Default)]
pub struct Rig(RefCell<State>);

impl Rig {
    /// One that is empty and works.
    pub fn new() -> Rig {
        Rig::default()
    }

    /// Lets a fault strike so many changes from now: 0 is the next. Reads are not counted.
    pub fn strike(&self, after: usize, fault: Fault) {
        let mut state = self.0.borrow_mut();
        state.fault = Some((state.done + after, fault));
    }

    /// Changes asked for so far.
    pub fn changes(&self) -> usize {
        self.0.borrow().done
    }

    /// The disk as the next process finds it, in good order again.
    pub fn after(&self, unsynced: Unsynced) -> Rig {
        let state = self.0.borrow();
        let names = match unsynced {
            Unsynced::Lost => &state.synced_names,
            Unsynced::Kept | Unsynced::NamesOnly => &state.names,
        };
        let left = |file: &Bytes| match unsynced {
            Unsynced::Kept => file.seen.clone(),
            Unsynced::Lost => file.synced.clone(),
            Unsynced::NamesOnly if file.seen == file.synced => file.synced.clone(),
            Unsynced::NamesOnly => file.seen[..file.seen.len() / 2].to_vec(),
        };
        let files: Vec<Bytes> = state
            .files
            .iter()
            .map(left)
            .map(|left| Bytes {
                seen: left.clone(),
                synced: left,
            })
            .collect();
        Rig(RefCell::new(State {
            files,
            names: names.clone(),
            synced_names: names.clone(),
            ..State::default()
        }))
    }

    /// Counts a change; says with what error it fails, and after how many bytes.
    fn change(&self) -> Result<(), (usize, io::Error)> {
        let mut state = self.0.borrow_mut();
        let turn = state.done;
        state.done += 1;
        let died = || io::Error::other("the process died here");
        if state.dead {
            return Err((0, died()));
        }
        match state.fault {
            Some((at, Fault::Fails(bytes))) if at == turn => Err((
                bytes,
                io::Error::new(io::ErrorKind::StorageFull, "no space left"),
            )),
            Some((at, Fault::Dies(bytes))) if at == turn => {
                state.dead = true;
                Err((bytes, died()))
            }
            _ => Ok(()),
        }
    }

    fn put(&self, path: &Path, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let new = state.files.len();
        let file = *state.names.entry(path.to_owned()).or_insert(new);
        if file == new {
            state.files.push(Bytes::default());
        }
        state.files[file].seen = bytes.to_vec();
    }

    fn named(&self, path: &Path) -> io::Result<usize> {
        self.0
            .borrow()
            .names
            .get(path)
            .copied()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for Rig {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let file = self.named(path)?;
        Ok(self.0.borrow().files[file].seen.clone())
    }

    fn make_folder(&self, _folder: &Path) -> io::Result<()> {
        self.change().map_err(|(_, error)| error)
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        match self.change() {
            Ok(()) => self.put(path, bytes),
            Err((written, error)) => {
                if written > 0 || !self.0.borrow().dead {
                    self.put(path, &bytes[..written.min(bytes.len())]);
                }
                return Err(error);
            }
        }
        Ok(())
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.change().map_err(|(_, error)| error)?;
        let file = self.named(path)?;
        let mut state = self.0.borrow_mut();
        state.files[file].synced = state.files[file].seen.clone();
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.change().map_err(|(_, error)| error)?;
        let file = self.named(from)?;
        let mut state = self.0.borrow_mut();
        state.names.remove(from);
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_names(&self, folder: &Path) -> io::Result<()> {
        self.change().map_err(|(_, error)| error)?;
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

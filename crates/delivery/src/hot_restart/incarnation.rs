//! The lock files and marks by which incarnations of a process find each other.
//!
//! Each incarnation holds an advisory lock on a file of its own in the state folder while it is running. The system
//! releases the lock however the process ends, SIGKILL included. The file has the marks that the incarnation and its
//! successors write, one byte each. Marks are only ever appended.

mod lock_file;
mod marks;

use crate::core::journal::Generation;
use lock_file::{
    claim_generation, lock_generations, lock_path, try_lock, LockAttempt, LockedGeneration,
    UNNUMBERED, UNNUMBERED_SUCCESSOR,
};
use marks::{
    predecessor_state, read_marks, FENCED, HANDED_OVER, HANDOVER_REQUESTED, STANDBY_STARTED,
};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The marks that successors have written for this incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuccessorRequests {
    /// A successor has started as a standby; it may have exited since.
    pub standby_started: bool,
    /// This incarnation is to hand over.
    pub hand_over: bool,
}

/// Whether a predecessor may still decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorState {
    /// It may still decide.
    Active,
    /// It has handed over or is fenced.
    Inactive,
}

/// An earlier incarnation that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Its generation.
    pub generation: Generation,
    /// Whether it may still decide.
    pub state: PredecessorState,
}

/// This process's generation in the state folder, which is locked for as long as the value exists.
#[derive(Debug)]
pub struct Incarnation {
    folder: PathBuf,
    own: LockedGeneration,
    /// The marks in the own file, as it was last read.
    marks: Vec<u8>,
    /// The generations of incarnations that have exited, which are locked until this one has their messages.
    exited: Vec<LockedGeneration>,
}

impl Incarnation {
    /// Claims the generation after all existing ones.
    ///
    /// # Errors
    /// The folder or the lock file cannot be created.
    pub fn claim(folder: &Path) -> io::Result<Incarnation> {
        std::fs::create_dir_all(folder)?;
        Ok(Incarnation {
            folder: folder.to_owned(),
            own: claim_generation(folder, UNNUMBERED)?,
            marks: Vec::new(),
            exited: Vec::new(),
        })
    }

    /// The generation of this incarnation.
    pub fn generation(&self) -> Generation {
        self.own.generation
    }

    /// The earlier incarnations that are running, the latest first. The locks of those that have exited are held until
    /// [`Incarnation::release_exited`].
    ///
    /// # Errors
    /// The folder or a lock file cannot be read.
    pub fn running_predecessors(&mut self) -> io::Result<Vec<Predecessor>> {
        let mut running = Vec::new();
        for generation in lock_generations(&self.folder)?
            .into_iter()
            .rev()
            .filter(|found| *found < self.own.generation)
        {
            if self.has_exited(generation) {
                continue;
            }
            match try_lock(&self.folder, generation)? {
                LockAttempt::Acquired(file) => {
                    self.exited.push(LockedGeneration { generation, file })
                }
                LockAttempt::HeldByOther(mut file) => running.push(Predecessor {
                    generation,
                    state: predecessor_state(&read_marks(&mut file)?),
                }),
                LockAttempt::NoFile => {}
            }
        }
        Ok(running)
    }

    /// Whether a predecessor is running that may still decide.
    pub fn has_active_predecessor(&mut self) -> bool {
        let running = self.running_predecessors().unwrap_or_default();
        running
            .iter()
            .any(|predecessor| predecessor.state == PredecessorState::Active)
    }

    /// Whether a predecessor has exited.
    pub fn has_exited(&self, generation: Generation) -> bool {
        self.exited
            .iter()
            .any(|exited| exited.generation == generation)
    }

    /// Removes the lock files of exited incarnations and releases their locks, once this one has their messages.
    pub fn release_exited(&mut self) {
        for exited in self.exited.drain(..) {
            // The file is removed while it is locked. If it remains, the next incarnation finds it unlocked.
            let _ = std::fs::remove_file(lock_path(&self.folder, exited.generation));
            if exited.generation == UNNUMBERED {
                let _ = std::fs::remove_file(self.folder.join(UNNUMBERED_SUCCESSOR));
            }
        }
    }

    /// Announces to a predecessor that this incarnation has started as a standby.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn announce(&self, predecessor: Generation) -> io::Result<()> {
        if predecessor == UNNUMBERED {
            return File::create(self.folder.join(UNNUMBERED_SUCCESSOR)).map(|_| ());
        }
        self.append_mark(predecessor, STANDBY_STARTED)
    }

    /// Requests a predecessor to hand over.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn request_handover(&self, predecessor: Generation) -> io::Result<()> {
        self.append_mark(predecessor, HANDOVER_REQUESTED)
    }

    /// Keeps a predecessor from deciding anything any more. Program versions without generations are not fenced, as they do
    /// not read marks.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn fence(&self, predecessor: Generation) -> io::Result<()> {
        self.append_mark(predecessor, FENCED)
    }

    /// Marks this incarnation as having handed over.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn mark_handed_over(&mut self) -> io::Result<()> {
        self.own.file.write_all(&[HANDED_OVER])
    }

    /// The marks of successors, as far as they can be read.
    pub fn successor_requests(&mut self) -> SuccessorRequests {
        // If it fails, those that were read before still hold, as marks are only appended.
        let _ = self.read_new_marks();
        SuccessorRequests {
            standby_started: self.marks.contains(&STANDBY_STARTED),
            hand_over: self.must_hand_over(),
        }
    }

    /// Whether this incarnation surely has not been asked to hand over. A mark that cannot be read may be a fence.
    pub fn may_act(&mut self) -> bool {
        self.read_new_marks().is_ok() && !self.must_hand_over()
    }

    fn must_hand_over(&self) -> bool {
        let mut marks = self.marks.iter();
        marks.any(|mark| [HANDOVER_REQUESTED, FENCED].contains(mark))
    }

    /// Reads the own file if it has grown: where there is no successor, only its length.
    fn read_new_marks(&mut self) -> io::Result<()> {
        let len = self.own.file.metadata()?.len();
        if len != self.marks.len() as u64 {
            self.marks = read_marks(&mut self.own.file)?;
        }
        Ok(())
    }

    /// Whether a later incarnation is running.
    pub fn has_successor(&self) -> bool {
        lock_generations(&self.folder)
            .unwrap_or_default()
            .into_iter()
            .filter(|found| *found > self.own.generation)
            .rev()
            .any(|later| {
                // If its lock cannot be tested, it may be running.
                matches!(
                    try_lock(&self.folder, later),
                    Ok(LockAttempt::HeldByOther(_)) | Err(_)
                )
            })
    }

    /// Claims the generation after standbys that have all exited. `None` where there was none or one is running.
    ///
    /// # Errors
    /// The folder or a lock file cannot be read or created.
    pub fn claim_after_exited_standbys(&mut self) -> io::Result<Option<Generation>> {
        let mut exited = Vec::new();
        for later in lock_generations(&self.folder)?
            .into_iter()
            .filter(|found| *found > self.own.generation)
        {
            match try_lock(&self.folder, later)? {
                LockAttempt::Acquired(file) => exited.push(LockedGeneration {
                    generation: later,
                    file,
                }),
                LockAttempt::HeldByOther(_) => return Ok(None),
                LockAttempt::NoFile => {}
            }
        }
        if exited.is_empty() {
            return Ok(None);
        }
        let claimed = claim_generation(&self.folder, self.own.generation)?;
        let generation = claimed.generation;
        exited.push(std::mem::replace(&mut self.own, claimed));
        self.marks.clear();
        self.exited.extend(exited);
        Ok(Some(generation))
    }

    fn append_mark(&self, predecessor: Generation, mark: u8) -> io::Result<()> {
        if predecessor == UNNUMBERED {
            return Ok(());
        }
        OpenOptions::new()
            .append(true)
            .open(lock_path(&self.folder, predecessor))?
            .write_all(&[mark])
    }
}

#[cfg(test)]
mod tests;

//! The lock files and marks by which incarnations of a process find each other.
//!
//! Each incarnation holds an advisory lock on a file of its own in the state folder while it is running. The operating
//! system releases the lock however the process ends, also after SIGKILL. The file contains the marks that the incarnation
//! and its successors write, one byte each. Marks are only ever appended.

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

/// The requests that successors have marked for this incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuccessorRequests {
    /// Whether a successor has started as a standby; it may have exited since.
    pub standby_started: bool,
    /// Whether this incarnation must hand over, because a successor requested it or fenced this incarnation.
    pub hand_over: bool,
}

/// The state of a predecessor, as derived from the marks in its lock file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorState {
    /// The predecessor may still decide.
    Active,
    /// The predecessor has handed over or is fenced.
    Inactive,
}

/// An earlier incarnation that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Generation of the predecessor.
    pub generation: Generation,
    /// Whether the predecessor may still decide.
    pub state: PredecessorState,
}

/// This process's claim to a generation in the state folder. The generation stays locked until the value is dropped.
#[derive(Debug)]
pub struct Incarnation {
    folder: PathBuf,
    own: LockedGeneration,
    /// The marks in this incarnation's lock file when it was last read.
    marks: Vec<u8>,
    /// Generations of incarnations that have exited. They stay locked until this incarnation has adopted their messages.
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

    /// Returns the generation of this incarnation.
    pub fn generation(&self) -> Generation {
        self.own.generation
    }

    /// Returns the earlier incarnations that are running, the latest first. Locks the generations of those that have exited
    /// until [`Incarnation::release_exited`] is called.
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

    /// Returns whether a predecessor is running that may still decide.
    pub fn has_active_predecessor(&mut self) -> bool {
        let running = self.running_predecessors().unwrap_or_default();
        running
            .iter()
            .any(|predecessor| predecessor.state == PredecessorState::Active)
    }

    /// Returns whether a predecessor was found to have exited and has not been released yet.
    pub fn has_exited(&self, generation: Generation) -> bool {
        self.exited
            .iter()
            .any(|exited| exited.generation == generation)
    }

    /// Removes the lock files of exited incarnations and releases their locks. Called once this incarnation has adopted
    /// their messages.
    pub fn release_exited(&mut self) {
        for exited in self.exited.drain(..) {
            // The file is removed while it is locked. If the removal fails, the next incarnation finds the file unlocked.
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

    /// Fences a predecessor: it must not decide anything from then on. Program versions without generations are not fenced,
    /// as they do not read marks.
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

    /// Returns the requests that successors have marked, as far as the marks can be read.
    pub fn successor_requests(&mut self) -> SuccessorRequests {
        // If the read fails, the marks that were read before still hold, as marks are only appended.
        let _ = self.read_new_marks();
        SuccessorRequests {
            standby_started: self.marks.contains(&STANDBY_STARTED),
            hand_over: self.must_hand_over(),
        }
    }

    /// Returns whether it is certain that no successor has requested this incarnation to hand over or has fenced it. A mark
    /// that cannot be read may be a fence.
    pub fn may_act(&mut self) -> bool {
        self.read_new_marks().is_ok() && !self.must_hand_over()
    }

    fn must_hand_over(&self) -> bool {
        let mut marks = self.marks.iter();
        marks.any(|mark| [HANDOVER_REQUESTED, FENCED].contains(mark))
    }

    /// Reads the marks in this incarnation's lock file if the file has grown. Without a successor, only its length is read.
    fn read_new_marks(&mut self) -> io::Result<()> {
        let len = self.own.file.metadata()?.len();
        if len != self.marks.len() as u64 {
            self.marks = read_marks(&mut self.own.file)?;
        }
        Ok(())
    }

    /// Returns whether a later incarnation is running.
    pub fn has_successor(&self) -> bool {
        lock_generations(&self.folder)
            .unwrap_or_default()
            .into_iter()
            .filter(|found| *found > self.own.generation)
            .rev()
            .any(|later| {
                // An incarnation whose lock cannot be tested may be running.
                matches!(
                    try_lock(&self.folder, later),
                    Ok(LockAttempt::HeldByOther(_)) | Err(_)
                )
            })
    }

    /// Claims a generation after those of standbys that have all exited. Returns `None` if there was no standby, or if one
    /// is running.
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

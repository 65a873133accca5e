//! The lock files of incarnations, one for each generation.

use crate::core::journal::{latest_generation, Generation};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Prefix of the name of a lock file, before the generation.
const LOCK_PREFIX: &str = "life-";
/// The lock file of program versions without generations, which count as generation 0.
pub(super) const UNNUMBERED_LOCK: &str = "life.lock";
/// The file that a successor of those versions creates. They check for it when they are shut down.
pub(super) const UNNUMBERED_SUCCESSOR: &str = "life.next";
/// The generation that stands for program versions without generations.
pub(super) const UNNUMBERED: Generation = Generation(0);

/// The result of testing the lock of an incarnation.
pub(super) enum LockAttempt {
    /// The lock was free, so its owner has exited.
    Acquired(File),
    /// The lock is held, so its owner is running.
    HeldByOther(File),
    /// The lock file does not exist.
    NoFile,
}

/// A generation whose lock file this process has locked.
#[derive(Debug)]
pub(super) struct LockedGeneration {
    pub(super) generation: Generation,
    pub(super) file: File,
}

/// Creates and locks the file of the generation after `after` and all existing ones.
pub(super) fn claim_generation(folder: &Path, after: Generation) -> io::Result<LockedGeneration> {
    let mut generation = lock_generations(folder)?
        .into_iter()
        .chain([latest_generation(folder)?, after])
        .max()
        .unwrap_or_default();
    loop {
        generation = generation.next();
        let created = OpenOptions::new()
            .create_new(true)
            .read(true)
            .append(true)
            .open(lock_path(folder, generation));
        let file = match created {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
            Err(error) => return Err(error),
        };
        match file.try_lock() {
            Ok(()) => return Ok(LockedGeneration { generation, file }),
            Err(TryLockError::Error(error)) if is_locking_unsupported(&error) => {
                return Ok(LockedGeneration { generation, file })
            }
            Err(TryLockError::Error(error)) => {
                // To other incarnations, an unlocked file means that its incarnation has exited.
                let _ = std::fs::remove_file(lock_path(folder, generation));
                return Err(error);
            }
            // Another incarnation locked the file first, and considers its owner to have exited.
            Err(TryLockError::WouldBlock) => continue,
        }
    }
}

/// Tests whether the owner of a lock file is running.
pub(super) fn try_lock(folder: &Path, generation: Generation) -> io::Result<LockAttempt> {
    let opened = OpenOptions::new()
        .read(true)
        .append(true)
        .open(lock_path(folder, generation));
    let file = match opened {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(LockAttempt::NoFile),
        Err(error) => return Err(error),
    };
    match file.try_lock() {
        Ok(()) => Ok(LockAttempt::Acquired(file)),
        Err(TryLockError::WouldBlock) => Ok(LockAttempt::HeldByOther(file)),
        Err(TryLockError::Error(error)) if is_locking_unsupported(&error) => {
            Ok(LockAttempt::Acquired(file))
        }
        // It is unknown whether the owner is running.
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Returns whether a lock failed because the system does not support advisory locks. In that case the platform runs one
/// incarnation at a time.
fn is_locking_unsupported(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Unsupported
}

/// Returns the generations of the lock files in a folder, in ascending order.
pub(super) fn lock_generations(folder: &Path) -> io::Result<Vec<Generation>> {
    let mut found = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let name = file?.file_name();
        let Some(name) = name.to_str() else { continue };
        if name == UNNUMBERED_LOCK {
            found.push(UNNUMBERED);
        } else {
            let number = name
                .strip_prefix(LOCK_PREFIX)
                .and_then(|number| number.parse().ok());
            found.extend(number.map(Generation));
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Returns the path of the lock file of a generation.
pub(super) fn lock_path(folder: &Path, generation: Generation) -> PathBuf {
    match generation {
        UNNUMBERED => folder.join(UNNUMBERED_LOCK),
        Generation(number) => folder.join(format!("{LOCK_PREFIX}{number}")),
    }
}

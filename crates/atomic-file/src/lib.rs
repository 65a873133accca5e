//! Atomic replacement of files. Every state file that is not a journal is written by [`replace`].
//!
//! Tests use a [`faulty_disk::FaultyDisk`] in place of the [`LocalDisk`] to inject errors, short writes, crashes and losses
//! of power.

#![forbid(unsafe_code)]

pub mod faulty_disk;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file operations that [`replace`] and its callers use.
pub trait Disk {
    /// Reads the content of a file.
    ///
    /// # Errors
    /// The errors of [`std::fs::read`]; the kind is `NotFound` if the file does not exist.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates a folder and its parents if they do not exist.
    ///
    /// # Errors
    /// The errors of [`std::fs::create_dir_all`].
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Replaces the content of a file with these bytes; creates the file if it does not exist.
    ///
    /// # Errors
    /// The errors of [`std::fs::write`]. Some of the bytes may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Syncs a file: its content survives a loss of power once this returns.
    ///
    /// # Errors
    /// The errors of [`std::fs::File::sync_all`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file, and replaces any file that already has the new name.
    ///
    /// # Errors
    /// The errors of [`std::fs::rename`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Syncs a folder: the file names in it survive a loss of power once this returns.
    ///
    /// # Errors
    /// The errors of [`std::fs::File::sync_all`].
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The file system of this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDisk;

impl Disk for LocalDisk {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        File::create(path)?.write_all(bytes)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        File::options().write(true).open(path)?.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

/// The failures that a replacement survives: after them, the file has either its complete old or its complete new content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process at any moment. After a loss of power the content may be incomplete, so this is only for files
    /// that are checked when they are read and whose loss is tolerable.
    ProcessDeath,
    /// A crash of the process or a loss of power. A loss of power may restore the old content until the folder is synced
    /// with [`Disk::sync_folder`]. This is for callers that must not wait for that sync. It takes one sync.
    Atomic,
    /// A crash of the process or a loss of power. The new content is durable once the call has returned. It takes two syncs.
    PowerLoss,
}

/// Replaces the content of a file atomically: writes a temporary file in the same folder and renames it.
///
/// # Errors
/// The first error of the disk. The file is unchanged unless the error occurred when its folder was synced. In that case
/// the file has the new content, but a loss of power may restore the old content.
pub fn replace(
    disk: &impl Disk,
    path: &Path,
    bytes: &[u8],
    durability: Durability,
) -> io::Result<()> {
    let temporary = temporary_path(path);
    disk.write(&temporary, bytes)?;
    if durability != Durability::ProcessDeath {
        disk.sync(&temporary)?;
    }
    disk.rename(&temporary, path)?;
    match path.parent() {
        Some(folder) if durability == Durability::PowerLoss => disk.sync_folder(folder),
        _ => Ok(()),
    }
}

/// Returns the path of the temporary file: `applied.json.new` for `applied.json`.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    path.with_file_name(name)
}

//! Atomic replacement of files. Every file of state that is not a journal is written by [`replace`].
//!
//! Tests use a [`faulty_disk::FaultyDisk`] in place of the [`LocalDisk`], with injected errors, short writes, crashes and
//! losses of power.

#![forbid(unsafe_code)]

pub mod faulty_disk;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The operations of a disk.
pub trait Disk {
    /// Reads a file.
    ///
    /// # Errors
    /// Those of [`std::fs::read`]; the kind is `NotFound` if the file does not exist.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates a folder and its parents if they do not exist.
    ///
    /// # Errors
    /// Those of [`std::fs::create_dir_all`].
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Creates a file with these bytes, or replaces its content.
    ///
    /// # Errors
    /// Those of [`std::fs::write`]; a part may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Returns once the bytes of a file survive a loss of power.
    ///
    /// # Errors
    /// Those of [`std::fs::File::sync_all`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file, and replaces the one that has the new name.
    ///
    /// # Errors
    /// Those of [`std::fs::rename`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Returns once the names in a folder survive a loss of power.
    ///
    /// # Errors
    /// Those of [`std::fs::File::sync_all`].
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The file systems of this machine.
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

/// What a replaced file survives. In each case it has either its old or its new content completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process at any moment. After a loss of power the content may be incomplete, so this is for files
    /// that readers check and can do without.
    ProcessDeath,
    /// A loss of power as well, but either content may be left until the folder is synced ([`Disk::sync_folder`]). For
    /// callers that must not wait for that. Takes one sync.
    Atomic,
    /// A loss of power as well; the new content is left once the call has returned. Takes two syncs.
    PowerLoss,
}

/// Replaces the content of a file: writes a temporary file in the same folder and renames it.
///
/// # Errors
/// The first error of the disk. The file is then unchanged, unless syncing its folder has failed: it has the new content
/// then, but either content may be left by a loss of power.
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

/// The path of the temporary file: `applied.json.new` for `applied.json`.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    path.with_file_name(name)
}

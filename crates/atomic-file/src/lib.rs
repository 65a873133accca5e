//! Files replaced atomically. Every file of state that is not a journal is written by [`replace`]; tests use a
//! [`faulty_disk::FaultyDisk`] in place of the disk, which fails, tears writes and loses power where they say.

#![forbid(unsafe_code)]

pub mod faulty_disk;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The operations that a disk must offer.
pub trait Disk {
    /// The bytes of a file.
    ///
    /// # Errors
    /// As of [`std::fs::read`]; of kind `NotFound` where there is none.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates a folder and its parents, if need be.
    ///
    /// # Errors
    /// As of [`std::fs::create_dir_all`].
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Creates a file with these bytes, or replaces what it holds.
    ///
    /// # Errors
    /// As of [`std::fs::write`]; a part may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Returns once a file's bytes would survive a loss of power.
    ///
    /// # Errors
    /// As of [`std::fs::File::sync_all`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file, replacing the one that had the name.
    ///
    /// # Errors
    /// As of [`std::fs::rename`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Returns once the names in a folder would survive a loss of power.
    ///
    /// # Errors
    /// As of [`std::fs::File::sync_all`].
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// The machine's own file systems.
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

/// What the file survives with either its old or its new content, whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The death of the process at any moment. After a loss of power the file may be torn: for what its reader checks
    /// and can do without.
    ProcessDeath,
    /// A loss of power too, but which of the two contents is left then is only sure once the folder is synced
    /// ([`Disk::sync_folder`]): for what must not wait for that. Costs one sync.
    Atomic,
    /// A loss of power too; once the call returns the new content is left. Costs two syncs.
    PowerLoss,
}

/// Replaces a file: writes a new one beside it and renames that over it.
///
/// # Errors
/// The first error of the disk. The file is then as it was, except if the folder could not be synced at the end: then it
/// is the new one, and what a loss of power would leave is not known.
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

/// Where a file is written before it takes its name: `applied.json.new` for `applied.json`.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    path.with_file_name(name)
}

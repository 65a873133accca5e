//! Files that are replaced whole. Every file of state that is not a journal goes to disk by [`replace`]; tests put a
//! [`faulty_disk::Rig`] in the place of the disk, which fails, tears writes and loses power where they say.

pub mod faulty_disk;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What is asked of a disk.
pub trait Disk {
    /// The bytes of a file.
    ///
    /// # Errors
    /// As of [`std::fs::read`]; of kind `NotFound` where there is none.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Makes a folder and those above it, if need be.
    ///
    /// # Errors
    /// As of [`std::fs::create_dir_all`].
    fn make_folder(&self, folder: &Path) -> io::Result<()>;

    /// Makes a file with these bytes, or puts them in the place of what it holds.
    ///
    /// # Errors
    /// As of [`std::fs::write`]; a part may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Returns once a file's bytes would outlast a loss of power.
    ///
    /// # Errors
    /// As of [`std::fs::File::sync_all`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Gives a file another name, in place of the file that had it.
    ///
    /// # Errors
    /// As of [`std::fs::rename`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Returns once the names in a folder would outlast a loss of power.
    ///
    /// # Errors
    /// As of [`std::fs::File::sync_all`].
    fn sync_names(&self, folder: &Path) -> io::Result<()>;
}

/// The machine's own file systems.
#[derive(Clone, Copy, Debug, Default)]
pub struct Real;

impl Disk for Real {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn make_folder(&self, folder: &Path) -> io::Result<()> {
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

    fn sync_names(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

/// What a file's old or new content, one of the two and whole, outlasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlasts {
    /// The death of the process at any moment. After a loss of power the file may be torn: for what its reader checks,
    /// and can do without.
    Process,
    /// The loss of power too, but which of the two it is then is only sure once the folder's names are synced
    /// ([`Disk::sync_names`]): for what must not wait for that. Costs one sync.
    Whole,
    /// The loss of power too; once the call returns it is the new content. Costs two syncs.
    Power,
}

/// Writes a file beside the one that is there and renames it over.
///
/// # Errors
/// The first fault of the disk. The file is then as it was, except if the names could not be synced at the end: then it
/// is the new one, and what a loss of power would leave is not known.
pub fn replace(disk: &impl Disk, path: &Path, bytes: &[u8], outlasts: Outlasts) -> io::Result<()> {
    let beside = beside(path);
    disk.write(&beside, bytes)?;
    if outlasts != Outlasts::Process {
        disk.sync(&beside)?;
    }
    disk.rename(&beside, path)?;
    match path.parent() {
        Some(folder) if outlasts == Outlasts::Power => disk.sync_names(folder),
        _ => Ok(()),
    }
}

/// Where a file is written before it takes its name: `applied.json.new` for `applied.json`.
fn beside(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    path.with_file_name(name)
}

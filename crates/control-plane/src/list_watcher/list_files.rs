//! The files of endpoint lists: which there are, how they are read, and whether one has changed since.

use std::collections::BTreeMap;
use std::fs::{self, Metadata, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A file that changed so shortly before it was read may have changed once more without a trace in its times.
const RACY_AGE: Duration = Duration::from_secs(2);
/// Entries of a folder that are looked at, at most.
const MAX_FILES: usize = 20_000;

/// The endpoint lists' files at a path, by name: the file itself, or those of the folder that end in `.toml`.
///
/// # Errors
/// Where the path is not there, or the folder cannot be read.
pub fn list_files(path: &Path) -> io::Result<BTreeMap<String, PathBuf>> {
    let with_name = |path: PathBuf| Some((path.file_name()?.to_str()?.to_owned(), path));
    if !fs::metadata(path)?.is_dir() {
        return Ok(with_name(path.to_owned()).into_iter().collect());
    }
    let entries = fs::read_dir(path)?
        .take(MAX_FILES)
        .collect::<io::Result<Vec<_>>>()?;
    // What starts with a dot is an editor's or a mount's own.
    let is_list = |name: &str| name.ends_with(".toml") && !name.starts_with('.');
    Ok(entries
        .into_iter()
        .filter_map(|entry| with_name(entry.path()))
        .filter(|(name, _)| is_list(name))
        .collect())
}

/// Reads a file to its end, but no more than one byte over the limit, and only a plain file: a pipe would never end.
///
/// # Errors
/// Where the file cannot be read, or is no plain one.
pub fn read_bounded(path: &Path, max_bytes: usize) -> io::Result<(Vec<u8>, Metadata)> {
    let nonblock = rustix::fs::OFlags::NONBLOCK.bits() as i32;
    let file = OpenOptions::new()
        .read(true)
        .custom_flags(nonblock)
        .open(path)?;
    let metadata = file.metadata()?;
    if !metadata.is_file() {
        return Err(io::Error::other("it is no plain file"));
    }
    let mut bytes = Vec::with_capacity(max_bytes.min(metadata.len() as usize) + 1);
    file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    Ok((bytes, metadata))
}

/// What the system said of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileIdentity {
    device: u64,
    inode: u64,
    length: u64,
    modified_ns: i64,
    changed_s: i64,
    changed_ns: i64,
}

impl FileIdentity {
    fn of(metadata: &Metadata) -> FileIdentity {
        FileIdentity {
            device: metadata.dev(),
            inode: metadata.ino(),
            length: metadata.len(),
            modified_ns: metadata.mtime_nsec(),
            changed_s: metadata.ctime(),
            changed_ns: metadata.ctime_nsec(),
        }
    }
}

/// By what a file that was read is known to be unchanged.
#[derive(Clone, Debug)]
pub(super) struct FileFingerprint {
    identity: FileIdentity,
    read_at: SystemTime,
}

impl FileFingerprint {
    /// Of a file that was read just now.
    pub fn of(metadata: &Metadata) -> FileFingerprint {
        FileFingerprint {
            identity: FileIdentity::of(metadata),
            read_at: SystemTime::now(),
        }
    }

    /// Whether a file of which the system says this now surely holds what it held then.
    pub fn matches(&self, metadata: &Metadata) -> bool {
        let changed_s = Duration::from_secs(metadata.ctime().max(0) as u64);
        let age = self
            .read_at
            .duration_since(SystemTime::UNIX_EPOCH + changed_s);
        self.identity == FileIdentity::of(metadata) && age.is_ok_and(|age| age > RACY_AGE)
    }
}

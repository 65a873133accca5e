//! Finds and reads the files of endpoint lists, and detects whether a file has changed since it was read.

use std::collections::BTreeMap;
use std::fs::{self, Metadata, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Minimum time between a file's last change and the read. After a shorter time, the file may change again within the
/// resolution of its timestamps, so that equal timestamps do not prove equal content.
const MIN_RELIABLE_AGE: Duration = Duration::from_secs(2);
/// Maximum number of entries that are read from a folder.
const MAX_FILES: usize = 20_000;

/// Returns the files of endpoint lists at a path, by file name: the file itself, or the folder's files that end in `.toml`.
///
/// # Errors
/// The path does not exist, or the folder cannot be read.
pub fn list_files(path: &Path) -> io::Result<BTreeMap<String, PathBuf>> {
    let with_name = |path: PathBuf| Some((path.file_name()?.to_str()?.to_owned(), path));
    if !fs::metadata(path)?.is_dir() {
        return Ok(with_name(path.to_owned()).into_iter().collect());
    }
    let entries = fs::read_dir(path)?
        .take(MAX_FILES)
        .collect::<io::Result<Vec<_>>>()?;
    // File names that start with a dot belong to editors and to mounted volumes.
    let is_list = |name: &str| name.ends_with(".toml") && !name.starts_with('.');
    Ok(entries
        .into_iter()
        .filter_map(|entry| with_name(entry.path()))
        .filter(|(name, _)| is_list(name))
        .collect())
}

/// The content of a file, and its metadata after it was opened.
pub struct FileContent {
    /// The content, truncated to one byte more than the size limit.
    pub bytes: Vec<u8>,
    /// The metadata after the file was opened, before the content was read.
    pub metadata: Metadata,
}

/// Reads a regular file to its end, but at most one byte more than `max_bytes`. Other kinds of files are rejected, because
/// reading from a pipe might never end.
///
/// # Errors
/// The file cannot be read, or is not a regular file.
pub fn read_bounded(path: &Path, max_bytes: usize) -> io::Result<FileContent> {
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
    Ok(FileContent { bytes, metadata })
}

/// The part of a file's metadata that is compared to detect a change.
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

/// The identity of a file at the time when it was read.
#[derive(Clone, Debug)]
pub(super) struct FileFingerprint {
    identity: FileIdentity,
    read_at: SystemTime,
}

impl FileFingerprint {
    /// Creates the fingerprint of a file that has just been read.
    pub fn of(metadata: &Metadata) -> FileFingerprint {
        FileFingerprint {
            identity: FileIdentity::of(metadata),
            read_at: SystemTime::now(),
        }
    }

    /// Returns whether a file with this metadata certainly still has the content that was read.
    pub fn matches(&self, metadata: &Metadata) -> bool {
        let changed_s = Duration::from_secs(metadata.ctime().max(0) as u64);
        let age = self
            .read_at
            .duration_since(SystemTime::UNIX_EPOCH + changed_s);
        self.identity == FileIdentity::of(metadata) && age.is_ok_and(|age| age > MIN_RELIABLE_AGE)
    }
}

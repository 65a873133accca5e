//! Segment files: their names, and the framing of the records in them.
//!
//! Each record is preceded by its length and its checksum, both as little-endian numbers of four bytes.

use super::Generation;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// Length of the header of each record, which holds the record's length and checksum, in bytes.
const HEADER_BYTES: usize = 2 * NUMBER_BYTES;
/// Length of each number in the header, in bytes.
const NUMBER_BYTES: usize = 4;
/// Maximum length of a record, in bytes. A greater length means that the segment is corrupt.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Prefix of the file name of each segment.
const FILE_PREFIX: &str = "journal-";

/// Returns the numbers of the segments in a folder, in ascending order.
///
/// # Errors
/// The folder cannot be read.
pub fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(FILE_PREFIX))
            .and_then(|number| number.parse().ok());
        numbers.extend(number.map(|number: u64| number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Returns the latest generation that has segments in a folder; generation 0 if there are none.
///
/// # Errors
/// The folder cannot be read.
pub fn latest_generation(folder: &Path) -> io::Result<Generation> {
    Ok(segment_numbers(folder)?
        .last()
        .map_or(Generation(0), |last| Generation::of(*last)))
}

/// Returns the path of a segment's file.
pub(super) fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{number:010}"))
}

/// Creates the file of a segment.
pub(super) fn create(folder: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new()
        .create_new(true)
        .append(true)
        .open(path_of(folder, number))
}

/// Truncates the file of a segment.
pub(super) fn truncate(folder: &Path, number: u64, len: u64) -> io::Result<()> {
    OpenOptions::new()
        .write(true)
        .open(path_of(folder, number))?
        .set_len(len)
}

/// Returns a record, preceded by its header.
pub(super) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
    record.extend((payload.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(payload).to_le_bytes());
    record.extend(payload);
    record
}

/// Passes all records up to the first incomplete or corrupt one to `visit`. Returns their total length in bytes.
pub(super) fn read_records(bytes: &[u8], mut visit: impl FnMut(&[u8])) -> usize {
    let mut offset = 0;
    while let Some(record) = first_record(&bytes[offset..]) {
        visit(record);
        offset += HEADER_BYTES + record.len();
    }
    offset
}

/// Returns the record at the start of `bytes`, if it is complete and its checksum matches.
fn first_record(bytes: &[u8]) -> Option<&[u8]> {
    let read_number = |offset: usize| {
        let bytes = bytes.get(offset..offset + NUMBER_BYTES)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    let (len, checksum) = (read_number(0)? as usize, read_number(NUMBER_BYTES)?);
    let payload = bytes
        .get(HEADER_BYTES..HEADER_BYTES + len)
        .filter(|_| len > 0 && len <= MAX_RECORD_BYTES)?;
    (crc32fast::hash(payload) == checksum).then_some(payload)
}

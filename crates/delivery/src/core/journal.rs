//! The journal: an append-only log in segments, in which each record is preceded by its length and a checksum.
//!
//! The journal does not interpret its records. The message store determines which of them are live, and copies these to
//! the end of the journal before a segment is removed.
//!
//! Each incarnation of the process writes its own segments, in a range of numbers that belongs to its generation. Two
//! incarnations may write to one folder at the same time. In the order of their numbers, all segments form one log.

mod adoption;
mod generation;
mod segment;

pub use adoption::Tail;
pub use generation::Generation;
pub use segment::{latest_generation, segment_numbers};

use segment::{create, frame, path_of};
use std::collections::VecDeque;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Size of the disk blocks in which file sizes are counted, in bytes.
const BLOCK_BYTES: u64 = 512;

/// A segment that this incarnation has written or taken over.
struct Segment {
    number: u64,
    /// Length of the file, in bytes.
    len: u64,
}

/// The newest segment, to which records are appended.
struct Head {
    segment: Segment,
    file: File,
    /// Whether a failed write may have left an incomplete record at the end. Nothing is appended then, as a reader would
    /// stop at the incomplete record.
    is_torn: bool,
}

impl Head {
    fn create(folder: &Path, number: u64) -> io::Result<Head> {
        Ok(Head {
            segment: Segment { number, len: 0 },
            file: create(folder, number)?,
            is_torn: false,
        })
    }
}

/// The journal of one instance.
pub struct Journal {
    folder: PathBuf,
    /// Length beyond which a new segment is begun, in bytes.
    segment_len: u64,
    /// All segments except the head, in ascending order of their numbers.
    closed: VecDeque<Segment>,
    head: Head,
}

impl Journal {
    /// Begins the first segment of an incarnation in a folder, without reading the segments of other incarnations.
    ///
    /// # Errors
    /// The folder or the segment cannot be created.
    pub fn begin(folder: &Path, segment_len: u64, generation: Generation) -> io::Result<Journal> {
        fs::create_dir_all(folder)?;
        Ok(Journal {
            folder: folder.to_owned(),
            segment_len,
            closed: VecDeque::new(),
            head: Head::create(folder, generation.first_segment())?,
        })
    }

    /// Opens the journal in a folder that no other incarnation writes to, passes its records to `replay` with the number of
    /// their segment, and begins a new segment. An incomplete record that a killed process left at the end is truncated.
    ///
    /// # Errors
    /// The folder or a segment cannot be read or written.
    pub fn open(
        folder: &Path,
        segment_len: u64,
        replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<Journal> {
        fs::create_dir_all(folder)?;
        let mut journal = Journal::begin(folder, segment_len, latest_generation(folder)?.next())?;
        journal.take_over(&[], &[], replay)?;
        Ok(journal)
    }

    /// Continues under a generation that is later than all others, so that all of their segments can be taken over.
    ///
    /// # Errors
    /// The segment cannot be created.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        if self.generation() == generation {
            return Ok(());
        }
        self.begin_segment(generation.first_segment())
    }

    /// Returns the generation under which this journal is written.
    fn generation(&self) -> Generation {
        Generation::of(self.head.segment.number)
    }

    /// Returns the size of all segments on disk, in bytes. Each file counts in whole blocks.
    pub fn size(&self) -> u64 {
        self.closed
            .iter()
            .chain([&self.head.segment])
            .map(|segment| segment.len.div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// Returns the number of the oldest segment; `None` if the head is the only one.
    pub fn oldest(&self) -> Option<u64> {
        self.closed.front().map(|segment| segment.number)
    }

    /// Returns whether a segment is one that this incarnation has written or taken over.
    pub fn has_adopted(&self, number: u64) -> bool {
        let mut segments = self.closed.iter().chain([&self.head.segment]);
        segments.any(|segment| segment.number == number)
    }

    /// Returns the number of segments, including the head.
    pub fn segment_count(&self) -> usize {
        self.closed.len() + 1
    }

    /// Appends a record, and returns the number of its segment.
    ///
    /// # Errors
    /// The record cannot be written, and is not part of the journal.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        self.repair_head()?;
        let record = frame(payload);
        let head_len = self.head.segment.len;
        if head_len > 0 && head_len + record.len() as u64 > self.segment_len {
            self.roll()?;
        }
        if let Err(error) = self.head.file.write_all(&record) {
            self.head.is_torn = true;
            // If the repair fails as well, it is retried before the next record.
            let _ = self.repair_head();
            return Err(error);
        }
        self.head.segment.len += record.len() as u64;
        Ok(self.head.segment.number)
    }

    /// Closes the head, and begins a new segment.
    ///
    /// # Errors
    /// The segment cannot be created.
    pub fn roll(&mut self) -> io::Result<()> {
        self.begin_segment(self.head.segment.number + 1)
    }

    fn begin_segment(&mut self, number: u64) -> io::Result<()> {
        let head = Head::create(&self.folder, number)?;
        let previous = std::mem::replace(&mut self.head, head);
        self.closed.push_back(previous.segment);
        Ok(())
    }

    /// Truncates the incomplete record that a failed write left at the end of the head, or else begins a new segment.
    fn repair_head(&mut self) -> io::Result<()> {
        if !self.head.is_torn {
            return Ok(());
        }
        if self.head.file.set_len(self.head.segment.len).is_err() {
            return self.roll();
        }
        self.head.is_torn = false;
        Ok(())
    }

    /// Removes the oldest segment. Its live records must have been copied to a later one.
    ///
    /// # Errors
    /// The file cannot be removed.
    pub fn remove_oldest(&mut self) -> io::Result<()> {
        if let Some(number) = self.oldest() {
            fs::remove_file(path_of(&self.folder, number))?;
            self.closed.pop_front();
        }
        Ok(())
    }
}

//! The journal: an append-only log in segments, in which each record has a length and a checksum in front.
//!
//! The journal does not know what the records say. The message store decides which are live, and copies them forward
//! before a segment is removed.
//!
//! Each incarnation of the process writes segments of its own, numbered from its generation on. Two incarnations may
//! write to one folder at the same time; in the order of their numbers, their segments are one log.

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

/// File sizes count in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;

/// A segment of this incarnation, or one that it has taken over.
struct Segment {
    number: u64,
    /// Its length in bytes.
    len: u64,
}

/// The segment that is written to.
struct Head {
    segment: Segment,
    file: File,
    /// Whether a failed write may have left a part of a record at the end. Nothing is appended to it, as a reader would
    /// stop there.
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

/// The log of one instance.
pub struct Journal {
    folder: PathBuf,
    /// The length beyond which a new segment is begun, in bytes.
    segment_len: u64,
    /// All segments but the head, in ascending order.
    closed: VecDeque<Segment>,
    head: Head,
}

impl Journal {
    /// Begins the first segment of an incarnation in a folder. The segments of others are not read.
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

    /// Opens the log in a folder that no other incarnation writes to, passes its records to `replay` with the number of
    /// their segment, and begins a new segment. The torn tail that a killed process leaves is truncated.
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
        journal.take_over(&[], replay)?;
        Ok(journal)
    }

    /// Continues under a generation that is later than all others, so that their segments can be taken over.
    ///
    /// # Errors
    /// The segment cannot be created.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        if self.generation() == generation {
            return Ok(());
        }
        self.begin_segment(generation.first_segment())
    }

    /// The generation under which this log is written.
    fn generation(&self) -> Generation {
        Generation::of(self.head.segment.number)
    }

    /// The size of all segments on disk in bytes, in whole blocks.
    pub fn size(&self) -> u64 {
        self.closed
            .iter()
            .chain([&self.head.segment])
            .map(|segment| segment.len.div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// The number of the oldest segment, unless it is the head.
    pub fn oldest(&self) -> Option<u64> {
        self.closed.front().map(|segment| segment.number)
    }

    /// How many segments there are.
    pub fn segment_count(&self) -> usize {
        self.closed.len() + 1
    }

    /// Appends a record, and returns the number of its segment.
    ///
    /// # Errors
    /// The record cannot be written; the log does not have it then.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        self.repair_head()?;
        let record = frame(payload);
        let head_len = self.head.segment.len;
        if head_len > 0 && head_len + record.len() as u64 > self.segment_len {
            self.roll()?;
        }
        if let Err(error) = self.head.file.write_all(&record) {
            self.head.is_torn = true;
            // If that fails as well, it is tried again before the next record.
            let _ = self.repair_head();
            return Err(error);
        }
        self.head.segment.len += record.len() as u64;
        Ok(self.head.segment.number)
    }

    /// Begins another segment.
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

    /// Truncates what a failed write left at the head's end, or begins another segment.
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

    /// Removes the oldest segment, whose live records must have been copied forward.
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

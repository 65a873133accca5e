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

use segment::{create, frame, path_of, HEADER_BYTES};
use std::collections::VecDeque;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File sizes count in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;

struct Segment {
    number: u64,
    /// Its length in bytes.
    len: u64,
}

/// The log of one instance.
pub struct Journal {
    folder: PathBuf,
    /// The length beyond which a new segment is begun, in bytes.
    segment_len: u64,
    segments: VecDeque<Segment>,
    /// The file of the last segment, to which records are appended.
    head: File,
    /// Whether a failed write may have left a part of a record at the head's end. Nothing is appended to it, as a reader
    /// would stop there.
    head_is_torn: bool,
}

impl Journal {
    /// Begins the first segment of an incarnation in a folder. The segments of others are not read.
    ///
    /// # Errors
    /// The folder or the segment cannot be created.
    pub fn begin(folder: &Path, segment_len: u64, generation: Generation) -> io::Result<Journal> {
        fs::create_dir_all(folder)?;
        let head = create(folder, generation.first_segment())?;
        let segments = VecDeque::from([Segment {
            number: generation.first_segment(),
            len: 0,
        }]);
        Ok(Journal {
            folder: folder.to_owned(),
            segment_len,
            segments,
            head,
            head_is_torn: false,
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
        Generation::of(self.segments.back().map_or(0, |head| head.number))
    }

    /// The size of all segments on disk in bytes, in whole blocks.
    pub fn size(&self) -> u64 {
        self.segments
            .iter()
            .map(|segment| segment.len.div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// The number of the oldest segment, unless it is the head.
    pub fn oldest(&self) -> Option<u64> {
        self.segments
            .front()
            .filter(|_| self.segments.len() > 1)
            .map(|segment| segment.number)
    }

    /// How many segments there are.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Appends a record, and returns the number of its segment.
    ///
    /// # Errors
    /// The record cannot be written; the log does not have it then.
    ///
    /// # Panics
    /// Never: there is always a segment to write to.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        self.repair_head()?;
        let last = self.segments.back().expect("there is always a head");
        if last.len > 0 && last.len + (HEADER_BYTES + payload.len()) as u64 > self.segment_len {
            self.roll()?;
        }
        let record = frame(payload);
        if let Err(error) = self.head.write_all(&record) {
            self.head_is_torn = true;
            // If that fails as well, it is tried again before the next record.
            let _ = self.repair_head();
            return Err(error);
        }
        let last = self.segments.back_mut().expect("there is always a head");
        last.len += record.len() as u64;
        Ok(last.number)
    }

    /// Begins another segment.
    ///
    /// # Errors
    /// The segment cannot be created.
    pub fn roll(&mut self) -> io::Result<()> {
        let next = self.segments.back().map_or(1, |last| last.number + 1);
        self.begin_segment(next)
    }

    fn begin_segment(&mut self, number: u64) -> io::Result<()> {
        self.head = create(&self.folder, number)?;
        self.head_is_torn = false;
        self.segments.push_back(Segment { number, len: 0 });
        Ok(())
    }

    /// Truncates what a failed write left at the head's end, or begins another segment.
    fn repair_head(&mut self) -> io::Result<()> {
        if !self.head_is_torn {
            return Ok(());
        }
        let len = self.segments.back().map_or(0, |last| last.len);
        if self.head.set_len(len).is_err() {
            return self.roll();
        }
        self.head_is_torn = false;
        Ok(())
    }

    /// Removes the oldest segment, whose live records must have been copied forward.
    ///
    /// # Errors
    /// The file cannot be removed.
    pub fn remove_oldest(&mut self) -> io::Result<()> {
        if let Some(number) = self.oldest() {
            fs::remove_file(path_of(&self.folder, number))?;
            self.segments.pop_front();
        }
        Ok(())
    }
}

//! Takes over the segments of earlier incarnations, and follows the segments of incarnations that are still running.

use super::segment::{path_of, read_records, segment_numbers, truncate};
use super::{Generation, Journal, Segment};
use crate::system_error::is_transient;
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};

/// The position up to which the journal of a running incarnation was read.
#[derive(Debug)]
pub struct Tail {
    /// Generation of the running incarnation.
    pub generation: Generation,
    segment: u64,
    offset: u64,
}

impl Tail {
    /// Returns whether a segment is read by following this tail.
    fn covers(&self, number: u64) -> bool {
        Generation::of(number) == self.generation && number >= self.segment
    }
}

/// The content of a segment of another incarnation.
struct SegmentContent {
    number: u64,
    bytes: Vec<u8>,
}

/// The readable segments that have not been taken over yet.
#[derive(Default)]
struct UnadoptedSegments {
    segments: Vec<SegmentContent>,
    /// Permanent error of the next segment, which cannot be read.
    unreadable: Option<io::Error>,
}

impl Journal {
    /// Takes over the segments of all earlier incarnations in their order, and passes their records to `replay` with the
    /// number of their segment. The latest segment of each `running` incarnation is not taken over. Returns the tails of
    /// these segments, which are to be followed. Segments that are `followed` already are not read again.
    ///
    /// # Errors
    /// A segment cannot be read. After a transient error nothing is taken over; otherwise the preceding segments are.
    pub fn take_over(
        &mut self,
        running: &[Generation],
        followed: &[Tail],
        mut replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<Vec<Tail>> {
        let own_generation = self.generation();
        let numbers: Vec<u64> = segment_numbers(&self.folder)?
            .into_iter()
            .filter(|number| Generation::of(*number) < own_generation)
            .filter(|number| !followed.iter().any(|tail| tail.covers(*number)))
            .collect();
        // All segments are read before any is replayed, as a state without the middle of the log would be useless.
        let UnadoptedSegments {
            segments,
            unreadable,
        } = self.read_unadopted(&numbers)?;
        let mut tails = Vec::new();
        for SegmentContent { number, bytes } in segments {
            let generation = Generation::of(number);
            let is_latest = numbers
                .iter()
                .rfind(|other| Generation::of(**other) == generation)
                == Some(&number);
            let valid_len = read_records(&bytes, |record| replay(number, record)) as u64;
            if is_latest && running.contains(&generation) {
                tails.push(Tail {
                    generation,
                    segment: number,
                    offset: valid_len,
                });
                continue;
            }
            self.adopt_segment(number, valid_len, bytes.len() as u64);
        }
        unreadable.map_or(Ok(tails), Err)
    }

    /// Reads the segments that have not been taken over yet, up to the first with a permanent error.
    fn read_unadopted(&self, numbers: &[u64]) -> io::Result<UnadoptedSegments> {
        let mut unadopted = UnadoptedSegments::default();
        for &number in numbers.iter().filter(|number| !self.has_adopted(**number)) {
            match fs::read(path_of(&self.folder, number)) {
                Ok(bytes) => unadopted.segments.push(SegmentContent { number, bytes }),
                // A running incarnation may have removed the segment by compaction meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) if is_transient(&error) => return Err(error),
                Err(error) => {
                    unadopted.unreadable = Some(error);
                    break;
                }
            }
        }
        Ok(unadopted)
    }

    /// Reads the records that a running incarnation has written since the last call.
    ///
    /// # Errors
    /// A segment cannot be read.
    pub fn follow(
        &mut self,
        tail: &mut Tail,
        mut replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<()> {
        loop {
            // Checked before reading: once the next segment exists, nothing more is appended to the current one.
            let has_next = path_of(&self.folder, tail.segment + 1).exists();
            let mut file = File::open(path_of(&self.folder, tail.segment))?;
            if file.metadata()?.len() > tail.offset {
                let mut bytes = Vec::new();
                file.seek(SeekFrom::Start(tail.offset))?;
                file.read_to_end(&mut bytes)?;
                tail.offset += read_records(&bytes, |record| replay(tail.segment, record)) as u64;
            }
            if !has_next {
                return Ok(());
            }
            self.adopt_segment(tail.segment, tail.offset, tail.offset);
            (tail.segment, tail.offset) = (tail.segment + 1, 0);
        }
    }

    /// Reads the remaining records of an incarnation that has exited, and takes over its last segment.
    ///
    /// # Errors
    /// A segment cannot be read. The next call continues from the position of the tail.
    pub fn finish_following(
        &mut self,
        tail: &mut Tail,
        replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<()> {
        self.follow(tail, replay)?;
        let len = fs::metadata(path_of(&self.folder, tail.segment))?.len();
        self.adopt_segment(tail.segment, tail.offset, len);
        Ok(())
    }

    /// Adds a segment to those of this incarnation, and truncates it to its valid length. If the truncation fails, the
    /// invalid end only takes up space, as nothing more is appended to the segment.
    fn adopt_segment(&mut self, number: u64, valid_len: u64, len: u64) {
        let keeps_invalid_end =
            valid_len < len && truncate(&self.folder, number, valid_len).is_err();
        let len = if keeps_invalid_end { len } else { valid_len };
        let index = self
            .closed
            .partition_point(|segment| segment.number < number);
        self.closed.insert(index, Segment { number, len });
    }
}

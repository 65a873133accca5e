//! An append-only log in segments: each record has a length and a checksum in front. Knows nothing of what
//! the records say; the message store decides which are live and copies them forward before a segment is removed.
//!
//! Each incarnation of the process writes segments of its own, numbered from its generation on: two incarnations may
//! write beside each other in one folder, and read in the order of their numbers their segments are one log.

use crate::system_error::is_transient;
use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Bytes in front of each record: its length and its checksum.
const HEADER_BYTES: usize = 8;
/// Longer records do not occur; a longer length is damage. In bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// File sizes count in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;
/// Segments that one incarnation may write: at a hundred a second, it would have to run for months.
const SEGMENTS_PER_GENERATION: u64 = 1_000_000_000;

/// The number of a process incarnation: later ones have higher numbers. Journals from before there were generations
/// belong to 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation that a segment belongs to.
    pub fn of(segment: u64) -> Generation {
        Generation(segment / SEGMENTS_PER_GENERATION)
    }

    /// The next generation.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    fn first_segment(self) -> u64 {
        self.0 * SEGMENTS_PER_GENERATION + 1
    }
}

struct Segment {
    number: u64,
    len: u64,
}

/// What a segment of another incarnation holds.
struct SegmentContent {
    number: u64,
    bytes: Vec<u8>,
}

/// The segments that are to be taken over.
#[derive(Default)]
struct UnadoptedSegments {
    segments: Vec<SegmentContent>,
    /// Why the next one can never be read.
    unreadable: Option<io::Error>,
}

/// The segments that a folder holds, by number.
///
/// # Errors
/// The folder cannot be read.
pub fn segments(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for found in fs::read_dir(folder)? {
        let name = found?.file_name();
        let number = name
            .to_str()
            .and_then(|n| n.strip_prefix("journal-"))
            .and_then(|n| n.parse().ok());
        numbers.extend(number.map(|number: u64| number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// The last generation that wrote segments in a folder.
///
/// # Errors
/// The folder cannot be read.
pub fn latest(folder: &Path) -> io::Result<Generation> {
    Ok(segments(folder)?
        .last()
        .map_or(Generation(0), |last| Generation::of(*last)))
}

/// How far the log of another incarnation that still runs was read.
#[derive(Debug)]
pub struct Tail {
    /// The incarnation.
    pub generation: Generation,
    segment: u64,
    offset: u64,
}

/// The log of one instance.
pub struct Journal {
    folder: PathBuf,
    segment_len: u64,
    segments: VecDeque<Segment>,
    head: File,
    /// Whether a write that failed may have left a part of a record at the head's end. Nothing is written behind it: a
    /// reader stops there.
    head_is_torn: bool,
}

impl Journal {
    /// Begins a segment of an incarnation's own in a folder. What others left there is not read.
    ///
    /// # Errors
    /// The folder or the segment cannot be made.
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
    /// their segment, and starts a new segment. A torn tail, as a killed process leaves it, is cut off.
    ///
    /// # Errors
    /// Of the disk.
    pub fn open(
        folder: &Path,
        segment_len: u64,
        replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<Journal> {
        fs::create_dir_all(folder)?;
        let mut journal = Journal::begin(folder, segment_len, latest(folder)?.next())?;
        journal.take_over(&[], replay)?;
        Ok(journal)
    }

    /// Goes on under another generation, later than all before: what they left can then be taken over.
    ///
    /// # Errors
    /// The segment cannot be made.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        if self.generation() == generation {
            return Ok(());
        }
        self.begin_segment(generation.first_segment())
    }

    /// The generation that this log is written under.
    fn generation(&self) -> Generation {
        Generation::of(self.segments.back().map_or(0, |head| head.number))
    }

    /// Takes over the segments of all earlier incarnations, in their order, and passes their records to `replay`. Of
    /// incarnations that still run (`running`) the latest segment stays theirs; a tail of each is returned, to be
    /// followed.
    ///
    /// # Errors
    /// A segment cannot be read. Where that passes by itself, nothing is taken over; else what stands before it is.
    pub fn take_over(
        &mut self,
        running: &[Generation],
        mut replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<Vec<Tail>> {
        let own = self.generation();
        let numbers: Vec<u64> = segments(&self.folder)?
            .into_iter()
            .filter(|n| Generation::of(*n) < own)
            .collect();
        // All is read before any of it is applied: nothing can go on from a state that lacks the middle of the log.
        let UnadoptedSegments {
            segments,
            unreadable,
        } = self.read_unadopted(&numbers)?;
        let mut tails = Vec::new();
        for SegmentContent { number, bytes } in segments {
            let generation = Generation::of(number);
            let latest =
                numbers.iter().rfind(|n| Generation::of(**n) == generation) == Some(&number);
            let at = records(&bytes, |record| replay(number, record)) as u64;
            if latest && running.contains(&generation) {
                tails.push(Tail {
                    generation,
                    segment: number,
                    offset: at,
                });
                continue;
            }
            self.adopt_segment(number, at, bytes.len() as u64);
        }
        unreadable.map_or(Ok(tails), Err)
    }

    /// Reads those segments that are not this incarnation's yet, up to one that can never be read.
    fn read_unadopted(&self, numbers: &[u64]) -> io::Result<UnadoptedSegments> {
        let mut read = UnadoptedSegments::default();
        let is_adopted = |number: u64| self.segments.iter().any(|have| have.number == number);
        for &number in numbers.iter().filter(|number| !is_adopted(**number)) {
            match fs::read(path_of(&self.folder, number)) {
                Ok(bytes) => read.segments.push(SegmentContent { number, bytes }),
                // An incarnation that runs may have copied it forward meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) if is_transient(&error) => return Err(error),
                Err(error) => {
                    read.unreadable = Some(error);
                    break;
                }
            }
        }
        Ok(read)
    }

    /// Reads on in the log of an incarnation that still runs.
    ///
    /// # Errors
    /// A segment cannot be read.
    pub fn follow(
        &mut self,
        tail: &mut Tail,
        mut replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<()> {
        loop {
            // The next segment is looked for first: once it is there, nothing more is written to this one.
            let next = path_of(&self.folder, tail.segment + 1).exists();
            let mut file = File::open(path_of(&self.folder, tail.segment))?;
            if file.metadata()?.len() > tail.offset {
                let mut bytes = Vec::new();
                file.seek(SeekFrom::Start(tail.offset))?;
                file.read_to_end(&mut bytes)?;
                tail.offset += records(&bytes, |record| replay(tail.segment, record)) as u64;
            }
            if !next {
                return Ok(());
            }
            self.adopt_segment(tail.segment, tail.offset, tail.offset);
            (tail.segment, tail.offset) = (tail.segment + 1, 0);
        }
    }

    /// Reads the rest of the log of an incarnation that has exited; its last segment is this one's from now on.
    ///
    /// # Errors
    /// A segment cannot be read; the tail says where reading goes on.
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

    /// Counts a segment as this incarnation's, with its torn end cut off if the disk lets it: nothing is written there any
    /// more, so that what stays only takes room.
    fn adopt_segment(&mut self, number: u64, len: u64, found: u64) {
        let cut = || {
            OpenOptions::new()
                .write(true)
                .open(path_of(&self.folder, number))?
                .set_len(len)
        };
        let len = if len < found && cut().is_err() {
            found
        } else {
            len
        };
        let place = self.segments.partition_point(|have| have.number < number);
        self.segments.insert(place, Segment { number, len });
    }

    /// Bytes that all files take, in whole blocks.
    pub fn size(&self) -> u64 {
        self.segments
            .iter()
            .map(|segment| segment.len.div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// The oldest segment, unless it is the one being written.
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

    /// Writes one record and returns the number of its segment.
    ///
    /// # Errors
    /// The disk does not take it; nothing of it is in the log then.
    ///
    /// # Panics
    /// Never: there is always a segment to write to.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        self.repair_head()?;
        let last = self.segments.back().expect("there is always a head");
        if last.len > 0 && last.len + (HEADER_BYTES + payload.len()) as u64 > self.segment_len {
            self.roll()?;
        }
        let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
        record.extend((payload.len() as u32).to_le_bytes());
        record.extend(crc32fast::hash(payload).to_le_bytes());
        record.extend(payload);
        if let Err(error) = self.head.write_all(&record) {
            self.head_is_torn = true;
            // Where that fails as well, the next record tries again first.
            let _ = self.repair_head();
            return Err(error);
        }
        let last = self.segments.back_mut().expect("there is always a head");
        last.len += record.len() as u64;
        Ok(last.number)
    }

    /// Starts another segment.
    ///
    /// # Errors
    /// The segment cannot be made.
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

    /// Cuts off what a failed write left at the head's end, or goes on in another segment.
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

    /// Removes the oldest segment; its live records must have been copied forward.
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

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number:010}"))
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new()
        .create_new(true)
        .append(true)
        .open(path_of(folder, number))
}

/// Passes all whole records to `each`; returns how many bytes they take.
fn records(bytes: &[u8], mut each: impl FnMut(&[u8])) -> usize {
    let mut at = 0;
    while let Some(record) = record_at(&bytes[at..]) {
        each(record);
        at += HEADER_BYTES + record.len();
    }
    at
}

fn record_at(bytes: &[u8]) -> Option<&[u8]> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes
        .get(HEADER_BYTES..HEADER_BYTES + len)
        .filter(|_| len > 0 && len <= MAX_RECORD_BYTES)?;
    (crc32fast::hash(payload) == sum).then_some(payload)
}

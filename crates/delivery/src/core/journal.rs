//! An append-only log in segments: each record has a length and a checksum in front. Knows nothing of what
//! the records say; `ledger` decides which are live and copies them forward before a segment goes.
//!
//! Each life of the process writes segments of its own, numbered from its generation on: two lives may write beside
//! each other in one folder, and read in the order of their numbers their segments are one log.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const HEAD: usize = 8;
/// Longer records do not occur; a longer length is damage.
const LONGEST: usize = 1 << 20;
/// File sizes count in whole blocks of this size.
const BLOCK: u64 = 512;
/// Segments that one life may write: at a hundred a second, it would have to run for months.
const SPAN: u64 = 1_000_000_000;

/// Which life of the process: later ones have higher numbers. Journals from before there were any belong to 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl Generation {
    /// The one that a segment belongs to.
    pub fn of(segment: u64) -> Generation {
        Generation(segment / SPAN)
    }

    /// The one after it.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    fn first(self) -> u64 {
        self.0 * SPAN + 1
    }
}

struct Segment {
    number: u64,
    len: u64,
}

/// The segments that a folder holds, by number.
///
/// # Errors
/// The folder cannot be read.
pub fn segments(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for found in fs::read_dir(dir)? {
        let name = found?.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix("journal-")).and_then(|n| n.parse().ok());
        numbers.extend(number.map(|number: u64| number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// The last generation that wrote segments in a folder.
///
/// # Errors
/// The folder cannot be read.
pub fn latest(dir: &Path) -> io::Result<Generation> {
    Ok(segments(dir)?.last().map_or(Generation(0), |last| Generation::of(*last)))
}

/// Where the log of another life that still runs was read up to.
#[derive(Debug)]
pub struct Tail {
    /// Whose it is.
    pub generation: Generation,
    number: u64,
    at: u64,
}

/// The log of one courier.
pub struct Journal {
    dir: PathBuf,
    segment_len: u64,
    segments: VecDeque<Segment>,
    head: File,
}

impl Journal {
    /// Begins a segment of a life's own in a folder. What others left there is not read.
    ///
    /// # Errors
    /// The folder or the segment cannot be made.
    pub fn begin(dir: &Path, segment_len: u64, generation: Generation) -> io::Result<Journal> {
        fs::create_dir_all(dir)?;
        let head = create(dir, generation.first())?;
        let segments = VecDeque::from([Segment { number: generation.first(), len: 0 }]);
        Ok(Journal { dir: dir.to_owned(), segment_len, segments, head })
    }

    /// Opens the log in a folder that no other life writes to, gives the records it holds to `replay` with the number
    /// of their segment, and starts a new segment. A torn tail, as a killed process leaves it, is cut off.
    ///
    /// # Errors
    /// Of the disk.
    pub fn open(dir: &Path, segment_len: u64, replay: impl FnMut(u64, &[u8])) -> io::Result<Journal> {
        fs::create_dir_all(dir)?;
        let mut journal = Journal::begin(dir, segment_len, latest(dir)?.next())?;
        journal.take_up(&[], replay)?;
        Ok(journal)
    }

    /// Goes on under another generation, later than all before: what they left can then be taken up.
    ///
    /// # Errors
    /// The segment cannot be made.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        self.head = create(&self.dir, generation.first())?;
        self.segments.push_back(Segment { number: generation.first(), len: 0 });
        Ok(())
    }

    /// Takes up the segments of all earlier lives, in their order, and gives their records to `replay`. Of lives that
    /// still run (`living`) the latest segment stays theirs; a tail of each is given back, to be followed.
    ///
    /// # Errors
    /// A segment cannot be read, or a torn one not be cut.
    pub fn take_up(
        &mut self,
        living: &[Generation],
        mut replay: impl FnMut(u64, &[u8]),
    ) -> io::Result<Vec<Tail>> {
        let own = Generation::of(self.segments.back().map_or(0, |head| head.number));
        let numbers: Vec<u64> =
            segments(&self.dir)?.into_iter().filter(|n| Generation::of(*n) < own).collect();
        let mut tails = Vec::new();
        for &number in &numbers {
            if self.segments.iter().any(|have| have.number == number) {
                continue;
            }
            let generation = Generation::of(number);
            let latest = numbers.iter().rfind(|n| Generation::of(**n) == generation) == Some(&number);
            let mut bytes = Vec::new();
            match File::open(path_of(&self.dir, number)) {
                Ok(mut file) => drop(file.read_to_end(&mut bytes)?),
                // A life that runs may have copied it forward meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => return Err(error),
            }
            let at = records(&bytes, |record| replay(number, record)) as u64;
            if latest && living.contains(&generation) {
                tails.push(Tail { generation, number, at });
                continue;
            }
            self.hold(number, at, bytes.len() as u64)?;
        }
        Ok(tails)
    }

    /// Reads on in the log of a life that still runs.
    ///
    /// # Errors
    /// A segment cannot be read.
    pub fn follow(&mut self, tail: &mut Tail, mut replay: impl FnMut(u64, &[u8])) -> io::Result<()> {
        loop {
            // What follows is looked for first: once it is there, nothing more is written to this one.
            let next = path_of(&self.dir, tail.number + 1).exists();
            let mut file = File::open(path_of(&self.dir, tail.number))?;
            if file.metadata()?.len() > tail.at {
                let mut bytes = Vec::new();
                file.seek(SeekFrom::Start(tail.at))?;
                file.read_to_end(&mut bytes)?;
                tail.at += records(&bytes, |record| replay(tail.number, record)) as u64;
            }
            if !next {
                return Ok(());
            }
            self.hold(tail.number, tail.at, tail.at)?;
            (tail.number, tail.at) = (tail.number + 1, 0);
        }
    }

    /// Reads the rest of the log of a life that has ended; its last segment is this one's from now on.
    ///
    /// # Errors
    /// A segment cannot be read or cut.
    pub fn settle(&mut self, mut tail: Tail, replay: impl FnMut(u64, &[u8])) -> io::Result<()> {
        self.follow(&mut tail, replay)?;
        let len = fs::metadata(path_of(&self.dir, tail.number))?.len();
        self.hold(tail.number, tail.at, len)
    }

    /// Counts a segment as this life's, with its torn end cut off.
    fn hold(&mut self, number: u64, len: u64, found: u64) -> io::Result<()> {
        if len < found {
            OpenOptions::new().write(true).open(path_of(&self.dir, number))?.set_len(len)?;
        }
        let place = self.segments.partition_point(|have| have.number < number);
        self.segments.insert(place, Segment { number, len });
        Ok(())
    }

    /// Bytes that all files take as they are counted.
    pub fn size(&self) -> u64 {
        self.segments.iter().map(|segment| segment.len.div_ceil(BLOCK) * BLOCK).sum()
    }

    /// The oldest segment, unless it is the one being written.
    pub fn oldest(&self) -> Option<u64> {
        self.segments.front().filter(|_| self.segments.len() > 1).map(|segment| segment.number)
    }

    /// Segments there are.
    pub fn segments(&self) -> usize {
        self.segments.len()
    }

    /// Writes one record and gives the number of its segment. After an error nothing of it is in the log.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        let last = self.segments.back().expect("there is always a head");
        if last.len > 0 && last.len + (HEAD + payload.len()) as u64 > self.segment_len {
            self.roll()?;
        }
        let mut record = Vec::with_capacity(HEAD + payload.len());
        record.extend((payload.len() as u32).to_le_bytes());
        record.extend(crc32fast::hash(payload).to_le_bytes());
        record.extend(payload);
        let written = self.head.write_all(&record);
        let last = self.segments.back_mut().expect("there is always a head");
        if let Err(error) = written {
            // A part of it may have been written: without the cut, all that follows would be lost with it.
            if self.head.set_len(last.len).is_err() {
                self.roll()?;
            }
            return Err(error);
        }
        last.len += record.len() as u64;
        Ok(last.number)
    }

    /// Starts another segment.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn roll(&mut self) -> io::Result<()> {
        let next = self.segments.back().map_or(1, |last| last.number + 1);
        self.head = create(&self.dir, next)?;
        self.segments.push_back(Segment { number: next, len: 0 });
        Ok(())
    }

    /// Removes the oldest segment; its live records must have been copied forward.
    pub fn drop_oldest(&mut self) -> io::Result<()> {
        if let Some(number) = self.oldest() {
            fs::remove_file(path_of(&self.dir, number))?;
            self.segments.pop_front();
        }
        Ok(())
    }
}

fn path_of(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("journal-{number:010}"))
}

fn create(dir: &Path, number: u64) -> io::Result<File> {
    OpenOptions::new().create_new(true).append(true).open(path_of(dir, number))
}

/// Gives all whole records to `each`, and how many bytes they take.
fn records(bytes: &[u8], mut each: impl FnMut(&[u8])) -> usize {
    let mut at = 0;
    while let Some(record) = record_at(&bytes[at..]) {
        each(record);
        at += HEAD + record.len();
    }
    at
}

fn record_at(bytes: &[u8]) -> Option<&[u8]> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (len, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes.get(HEAD..HEAD + len).filter(|_| len > 0 && len <= LONGEST)?;
    (crc32fast::hash(payload) == sum).then_some(payload)
}

//! What a voter keeps: its part of the log, and how far it has shown others that it had come. It is written as one file
//! that is replaced whole; in memory it is what the consensus library reads and writes.

use crate::book::{Book, Incarnation, Line};
use crate::words::Member;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The form of the file.
const VERSION: u8 = 1;
const MARK: &[u8; 7] = b"mfgroup";

/// Why a file is not what this voter wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It does not begin as such a file does.
    #[error("it is no file of a group")]
    Foreign,
    /// A later program wrote it.
    #[error("a later version of the program wrote it")]
    Newer,
    /// Its checksum does not fit.
    #[error("it is torn")]
    Torn,
    /// It is of a group or a member with another name.
    #[error("it is of another group or another member")]
    Another,
}

impl Entry for Line {
    type Snapshot = NoSnapshot;
}

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The group's and the member's names, as one number.
    pub name: u64,
    /// Which folder this is.
    pub incarnation: Incarnation,
    /// How often it was written: all that leaves a voter tells the writing that it rests on.
    pub stand: u64,
    /// Which folder the other voters showed, and how far it had come.
    pub seen: BTreeMap<Member, (Incarnation, u64)>,
    /// The configuration of voters that the log is of; 0 before there was any.
    pub config: u32,
    /// What the log began with in this configuration.
    pub base: Option<Book>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    lines: Vec<Line>,
}

impl Kept {
    /// A folder that is new.
    pub fn new(name: u64, incarnation: Incarnation) -> Kept {
        let (stand, seen, config, base, promise, accepted, decided, lines) = Default::default();
        Kept {
            name,
            incarnation,
            stand,
            seen,
            config,
            base,
            promise,
            accepted,
            decided,
            lines,
        }
    }

    /// Begins another configuration: an empty log after this book.
    pub fn begin(&mut self, config: u32, base: Book) {
        let known = |member: &Member| self.seen.get(member).copied();
        let mut seen = BTreeMap::new();
        for (member, incarnation) in &base.voters {
            // One that was let in as new has shown nothing yet.
            let same = known(member).filter(|known| known.0 == *incarnation);
            seen.insert(*member, same.unwrap_or((*incarnation, 0)));
        }
        let (name, incarnation, stand) = (self.name, self.incarnation, self.stand);
        *self = Kept {
            stand,
            seen,
            config,
            base: Some(base),
            ..Kept::new(name, incarnation)
        };
    }

    /// What the log began with: an empty book before there was a configuration.
    pub fn book(&self) -> Book {
        self.base
            .clone()
            .unwrap_or_else(|| Book::new(BTreeMap::new()))
    }

    /// Lines of the log, decided or not.
    pub fn length(&self) -> usize {
        self.lines.len()
    }

    /// Lines from this one on.
    pub fn since(&self, from: usize) -> Vec<Line> {
        self.lines
            .get(from..)
            .map_or_else(Vec::new, <[Line]>::to_vec)
    }

    /// Whether the end of this configuration stands in the log, decided or not.
    pub fn is_ending(&self) -> bool {
        self.lines.iter().any(|line| matches!(line, Line::Ends(_)))
    }

    /// The bytes of the file.
    pub fn encode(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = MARK.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Reads a file that [`Kept::encode`] made.
    ///
    /// # Errors
    /// Where it is something else, torn, later than this program, or of another name.
    pub fn decode(bytes: &[u8], name: u64) -> Result<Kept, Unreadable> {
        let rest = bytes.strip_prefix(&MARK[..]).ok_or(Unreadable::Foreign)?;
        let (&version, rest) = rest.split_first().ok_or(Unreadable::Torn)?;
        if version != VERSION {
            return Err(Unreadable::Newer);
        }
        let (sum, body) = rest.split_first_chunk::<4>().ok_or(Unreadable::Torn)?;
        if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
            return Err(Unreadable::Torn);
        }
        let kept: Kept = postcard::from_bytes(body).map_err(|_| Unreadable::Torn)?;
        if kept.name != name {
            return Err(Unreadable::Another);
        }
        Ok(kept)
    }
}

/// The library's hands on what is kept. Nothing here fails: it is in memory, and what rests on it leaves the voter only
/// once the file is written.
#[derive(Clone)]
pub struct Store {
    /// What is kept.
    pub kept: Rc<RefCell<Kept>>,
    /// Whether something was changed that must be on disk before anybody hears of it.
    pub dirty: Rc<Cell<bool>>,
}

impl Store {
    /// Around what is kept.
    pub fn new(kept: Kept) -> Store {
        Store {
            kept: Rc::new(RefCell::new(kept)),
            dirty: Rc::default(),
        }
    }

    /// Adds a line without the library, where there is nobody to agree with.
    pub fn put(&self, line: Line) {
        self.kept.borrow_mut().lines.push(line);
        self.dirty.set(true);
    }

    fn change(&self, with: impl FnOnce(&mut Kept)) -> StorageResult<()> {
        with(&mut self.kept.borrow_mut());
        self.dirty.set(true);
        Ok(())
    }
}

impl Storage<Line> for Store {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Line>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(line) => self.append_entry(line)?,
                StorageOp::AppendEntries(lines) => self.append_entries(lines)?,
                StorageOp::AppendOnPrefix(from, lines) => self.append_on_prefix(from, lines)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(decided) => self.set_decided_idx(decided)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                // A configuration ends by a line of ours, and with it the log is cut: the library's own end of a
                // configuration loses count where its leader changes before it is decided.
                StorageOp::SetStopsign(_) => {}
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, line: Line) -> StorageResult<()> {
        self.change(|kept| kept.lines.push(line))
    }

    fn append_entries(&mut self, lines: Vec<Line>) -> StorageResult<()> {
        if lines.is_empty() {
            return Ok(());
        }
        self.change(|kept| kept.lines.extend(lines))
    }

    fn append_on_prefix(&mut self, from: usize, lines: Vec<Line>) -> StorageResult<()> {
        self.change(|kept| {
            kept.lines.truncate(from);
            kept.lines.extend(lines);
        })
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        let same = self.kept.borrow().promise == Some(promise);
        if same || promise == Ballot::default() {
            return Ok(());
        }
        self.change(|kept| kept.promise = Some(promise))
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        // Others know it as well, and tell it again: it need not be on disk.
        self.kept.borrow_mut().decided = decided;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.kept.borrow().decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        if self.kept.borrow().accepted == Some(round) {
            return Ok(());
        }
        self.change(|kept| kept.accepted = Some(round))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.kept.borrow().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Line>> {
        Ok(self
            .kept
            .borrow()
            .lines
            .get(from..to)
            .map_or_else(Vec::new, <[Line]>::to_vec))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.kept.borrow().lines.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Line>> {
        Ok(self.kept.borrow().since(from))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.kept.borrow().promise)
    }

    fn set_stopsign(&mut self, _stop: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _idx: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _idx: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

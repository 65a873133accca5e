//! The state of every message the courier has taken on, kept in memory and in the journal alike. A message
//! has exactly one end here; one that ended stays until its notice was taken and no repeat can harm.

mod lives;

pub use lives::{Known, TakenUp, Told};

use super::journal::{self, Journal, Tail};
use super::record::Record;
use super::{Authorisation, End, Seq};
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Room for the files' last blocks and for records that must not be declined.
const MARGIN: u64 = 32 * 1024;
const SEGMENT: u64 = 128 * 1024;
/// Live records fill this part of the disk at most, in hundredths: the rest keeps compaction cheap.
const LIVE_PART: u64 = 80;
/// What a record of an ended message takes about, beside its identity.
const END_COST: u64 = 256;

/// A leg that was begun.
#[derive(Clone, Debug, PartialEq)]
pub struct Leg {
    /// Unix time in milliseconds.
    pub at_ms: i64,
    /// The endpoint, by the name that stays the same.
    pub host: String,
}

/// What the courier knows of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The message; without its body once it has ended.
    pub authorisation: Rc<Authorisation>,
    /// Legs begun.
    pub attempts: u32,
    /// The first leg that may have run.
    pub ran: Option<Leg>,
    /// The leg that is out.
    pub out: Option<Leg>,
    /// Its end.
    pub end: Option<End>,
    /// Whether the platform must still be told of the end.
    pub owed: bool,
    /// Unix time in milliseconds until which a repeat must be known again.
    pub keep_until_ms: i64,
    /// Other identities under which it was handed in.
    pub aliases: Vec<Vec<u8>>,
}

impl Entry {
    /// One that was just taken on.
    pub fn new(authorisation: Rc<Authorisation>) -> Entry {
        let (attempts, ran, out, end, owed, keep_until_ms) = (0, None, None, None, false, 0);
        Entry { authorisation, attempts, ran, out, end, owed, keep_until_ms, aliases: Vec::new() }
    }

    fn cost(&self) -> u64 {
        let a = &self.authorisation;
        let aliases: usize = self.aliases.iter().map(|alias| alias.len() + 8).sum();
        (a.identity.len() + a.attributes.len() + a.body.len() + aliases) as u64 + END_COST
    }
}

/// All messages of one courier.
pub struct Ledger {
    journal: Journal,
    /// Bytes that this life's part of the journal may take; beyond `soft` it is compacted.
    budget: u64,
    soft: u64,
    entries: BTreeMap<Seq, Entry>,
    /// The segment that holds each message's latest full record.
    places: BTreeMap<Seq, u64>,
    identities: HashMap<Vec<u8>, Seq>,
    keys: HashMap<(DestinationId, Vec<u8>), Seq>,
    live: u64,
    /// Messages that have not ended.
    open: usize,
    next: Seq,
    /// Messages that ended and are only remembered, those first that may be forgotten first.
    remembered: BTreeSet<(i64, Seq)>,
    /// What these take of what is live.
    remembered_cost: u64,
    classes: Vec<String>,
    /// Waits that hosts told which still run, until a Unix time in milliseconds.
    waits: BTreeMap<(DestinationId, String), i64>,
    /// The logs of lives that have handed over and still run.
    tails: Vec<Tail>,
    /// Another life reads what this one still writes.
    handed_over: bool,
    /// What this life's part may take while it is the only one.
    alone: u64,
}

impl Ledger {
    /// Opens the journal in a folder that may hold `disk` bytes and that no other life writes to, and reads what earlier
    /// ones left. Classes are journalled by name, as their order may change between two lives.
    ///
    /// # Errors
    /// Of the disk.
    pub fn open(dir: &Path, disk: u64, classes: Vec<String>) -> io::Result<Ledger> {
        std::fs::create_dir_all(dir)?;
        let mut ledger = Ledger::begin(dir, disk, classes, journal::latest(dir)?.next())?;
        ledger.take_up(&[], None)?;
        Ok(ledger)
    }

    fn index(&mut self, seq: Seq) {
        let entry = &self.entries[&seq];
        self.live += entry.cost();
        self.open += usize::from(entry.end.is_none());
        self.identities.insert(entry.authorisation.identity.clone(), seq);
        self.identities.extend(entry.aliases.iter().map(|alias| (alias.clone(), seq)));
        if let Some(key) = &entry.authorisation.repeat_key {
            self.keys.insert((entry.authorisation.destination, key.clone()), seq);
        }
        if entry.end.is_some() && !entry.owed {
            self.remember(seq);
        }
    }

    fn remember(&mut self, seq: Seq) {
        let entry = &self.entries[&seq];
        if self.remembered.insert((entry.keep_until_ms, seq)) {
            self.remembered_cost += entry.cost();
        }
    }

    /// The names of the classes, in their order.
    pub fn class_names(&self) -> &[String] {
        &self.classes
    }

    /// Takes up other names of classes. Those that were known keep their places, so that what is held stays of its class.
    pub fn name_classes(&mut self, classes: Vec<String>) {
        self.classes = classes;
    }

    /// All messages, by number.
    pub fn entries(&self) -> &BTreeMap<Seq, Entry> {
        &self.entries
    }

    /// One message.
    pub fn get(&self, seq: Seq) -> Option<&Entry> {
        self.entries.get(&seq)
    }

    /// The message with an identity.
    pub fn by_identity(&self, identity: &[u8]) -> Option<Seq> {
        self.identities.get(identity).copied()
    }

    /// The message with a repeat key at a destination.
    pub fn by_key(&self, destination: DestinationId, key: &[u8]) -> Option<Seq> {
        self.keys.get(&(destination, key.to_vec())).copied()
    }

    /// Messages that have not ended.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Whether one more message of this size may be taken on: what is live must leave room for ends and for
    /// copying records forward.
    pub fn has_room(&self, authorisation: &Authorisation) -> bool {
        let more = Entry::new(Rc::new(Authorisation { body: vec![], ..authorisation.clone() })).cost()
            + authorisation.body.len() as u64;
        self.live + more <= self.room()
    }

    /// What live records may take.
    fn room(&self) -> u64 {
        self.soft * LIVE_PART / 100
    }

    /// A number for a message; not used again even if it is never taken on.
    pub fn number(&mut self) -> Seq {
        self.next += 1;
        self.next - 1
    }

    /// Takes a message on: it is in the journal when this returns.
    /// `ran` is what an earlier try of the same message may have done.
    pub fn take_on(
        &mut self,
        seq: Seq,
        authorisation: Rc<Authorisation>,
        ran: Option<Leg>,
    ) -> io::Result<()> {
        let entry = Entry { ran, ..Entry::new(authorisation) };
        let segment = self.write(&Record::Full(entry.clone()).encode(seq, &self.classes))?;
        self.places.insert(seq, segment);
        self.entries.insert(seq, entry);
        self.index(seq);
        Ok(())
    }

    /// Notes another identity of a message: it must not become a message of its own later.
    pub fn alias(&mut self, seq: Seq, identity: &[u8]) -> io::Result<()> {
        if !self.entries.contains_key(&seq) || self.identities.contains_key(identity) {
            return Ok(());
        }
        self.identities.insert(identity.to_vec(), seq);
        let cost = identity.len() as u64 + 8;
        self.live += cost;
        if self.entries[&seq].end.is_some() {
            self.remembered_cost += cost;
        }
        self.note(seq, Record::Alias(identity.to_vec()))
    }

    /// Notes a leg before its first byte goes out.
    pub fn leg_begins(&mut self, seq: Seq, leg: Leg) -> io::Result<()> {
        let noted = self.note(seq, Record::Begins(leg));
        if noted.is_err() {
            // Such a leg is not sent, so it must not count later as one that may have run.
            self.entries.get_mut(&seq).into_iter().for_each(|entry| entry.out = None);
        }
        noted
    }

    /// Notes how a leg ended: whether it may have run.
    pub fn leg_ended(&mut self, seq: Seq, may_have_run: bool) -> io::Result<()> {
        self.note(seq, Record::LegEnded(may_have_run))
    }

    /// Ends a message; false if it had ended, for each has one end.
    pub fn end(&mut self, seq: Seq, end: End, owed: bool, keep_until_ms: i64) -> io::Result<bool> {
        let Some(entry) = self.entries.get(&seq).filter(|entry| entry.end.is_none()) else {
            return Ok(false);
        };
        let before = entry.cost();
        self.open -= 1;
        let written = self.note(seq, Record::Ended(end, owed, keep_until_ms));
        self.live = self.live.saturating_sub(before) + self.entries[&seq].cost();
        if !owed {
            self.remember(seq);
        }
        written.map(|()| true)
    }

    /// Forgets a message altogether.
    pub fn forget(&mut self, seq: Seq) -> io::Result<()> {
        if !self.entries.contains_key(&seq) {
            return Ok(());
        }
        self.unindex(seq);
        self.note(seq, Record::Forgotten)
    }

    /// Undoes [`Ledger::index`].
    fn unindex(&mut self, seq: Seq) {
        let entry = &self.entries[&seq];
        let a = entry.authorisation.clone();
        self.open -= usize::from(entry.end.is_none());
        if self.remembered.remove(&(entry.keep_until_ms, seq)) {
            self.remembered_cost = self.remembered_cost.saturating_sub(entry.cost());
        }
        self.live = self.live.saturating_sub(entry.cost());
        for identity in entry.aliases.iter().chain([&a.identity]) {
            if self.identities.get(identity) == Some(&seq) {
                self.identities.remove(identity);
            }
        }
        let key = a.repeat_key.as_ref().map(|key| (a.destination, key.clone()));
        if let Some(key) = key.filter(|key| self.keys.get(key) == Some(&seq)) {
            self.keys.remove(&key);
        }
        self.places.remove(&seq);
    }

    /// Forgets what ended so long ago that no repeat can harm, and the oldest beyond a number of them or beyond
    /// half of the room: what is remembered must not keep new messages out.
    pub fn sweep(&mut self, now_ms: i64, most: usize) -> io::Result<()> {
        self.waits.retain(|_, until| *until > now_ms);
        while let Some(&(until, seq)) = self.remembered.first() {
            let much = self.remembered.len() > most || self.remembered_cost > self.room() / 2;
            if until > now_ms && !much {
                break;
            }
            self.forget(seq)?;
        }
        Ok(())
    }

    /// In memory first: what happened has happened, even where the disk does not take it.
    fn note(&mut self, seq: Seq, record: Record) -> io::Result<()> {
        if !self.entries.contains_key(&seq) {
            return Ok(());
        }
        let bytes = record.encode(seq, &self.classes);
        record.apply(seq, &mut self.entries);
        self.write(&bytes).map(|_| ())
    }

    fn write(&mut self, payload: &[u8]) -> io::Result<u64> {
        for _ in 0..self.journal.segments() {
            let fits = self.journal.size() + payload.len() as u64 <= self.soft;
            if fits || self.handed_over || !self.clean()? {
                break;
            }
        }
        if self.journal.size() + payload.len() as u64 + 1024 > self.budget {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal's folder is full"));
        }
        self.journal.append(payload)
    }

    /// Copies what is live in the oldest segment forward, then drops it.
    fn clean(&mut self) -> io::Result<bool> {
        let Some(oldest) = self.journal.oldest() else { return Ok(false) };
        let live: Vec<Seq> =
            self.places.iter().filter(|(_, at)| **at == oldest).map(|(seq, _)| *seq).collect();
        for seq in live {
            let segment =
                self.journal.append(&Record::Full(self.entries[&seq].clone()).encode(seq, &self.classes))?;
            self.places.insert(seq, segment);
        }
        self.journal.drop_oldest()?;
        // What was told may have stood there; there are no more of these than hosts.
        for ((destination, host), until) in self.waits.clone() {
            self.journal.append(&Record::Told(destination, host, until).encode(0, &self.classes))?;
        }
        Ok(true)
    }
}

//! The ledger between two lives of the process: what a new one takes up, what it follows of one that still runs, and
//! what the old one leaves behind.

use super::{Ledger, MARGIN, SEGMENT};
use crate::core::journal::{Generation, Journal};
use crate::core::record::{Closed, Record};
use crate::core::Seq;
use marblefall_scheduler::{Cold, DestinationId};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// A life leaves a quarter of the folder to one that may come up beside it, but no more than this.
const SUCCESSOR_MOST: u64 = 8 << 20;
/// What one that has handed over may still write: ends of its legs, and what its last clients hand in.
const LAST: u64 = 128 * 1024;
/// Bits of a message's number that count within one life.
const OWN_BITS: u32 = 40;

/// What an earlier life knew of a route: its destination, its host where that is a route of its own.
pub type Known = (DestinationId, Option<String>, Cold);

/// What a life that still runs wrote since it was last looked at.
#[derive(Debug, PartialEq)]
pub enum Told {
    /// It took a message on.
    TakenOn(Seq),
    /// A leg of its is over.
    Closed(Seq, Closed),
}

/// What was taken up.
#[derive(Debug, Default)]
pub struct TakenUp {
    /// What was known of routes.
    pub known: Vec<Known>,
    /// Messages whose leg is out at a life that still runs.
    pub away: Vec<Seq>,
}

impl Ledger {
    /// Begins this life's part of the journal in a folder that may hold `disk` bytes. Until it takes up what others
    /// left it keeps to the room that they leave.
    ///
    /// # Errors
    /// Of the disk.
    pub fn begin(dir: &Path, disk: u64, classes: Vec<String>, generation: Generation) -> io::Result<Ledger> {
        let journal = Journal::begin(dir, SEGMENT, generation)?;
        let whole = disk.saturating_sub(MARGIN);
        let successor = (disk / 4).min(SUCCESSOR_MOST);
        let mut used = 0;
        for file in std::fs::read_dir(dir)? {
            used += file?.metadata().map_or(0, |file| file.len());
        }
        // Two segments are for copying forward, once this life does so.
        let beside = successor.saturating_sub(2 * SEGMENT).min(whole.saturating_sub(used + LAST));
        let (entries, places, identities, keys, live, open, remembered, remembered_cost) = Default::default();
        Ok(Ledger {
            journal,
            budget: beside,
            soft: beside,
            entries,
            places,
            identities,
            keys,
            live,
            open,
            next: (generation.0 << OWN_BITS) + 1,
            remembered,
            remembered_cost,
            classes,
            waits: BTreeMap::new(),
            tails: Vec::new(),
            handed_over: false,
            alone: whole.saturating_sub(successor),
        })
    }

    /// Takes up all that earlier lives left, in their order, and serves from now on. Those in `living` still run and have
    /// handed over: what they write is followed from here, and their legs that are out stay theirs. Lives from `beside`
    /// on ran when this one began: the waits that they were told bind it, and what they knew is given. Those of lives
    /// that ended before do not: a restart ends a wait.
    ///
    /// # Errors
    /// Of the disk.
    pub fn take_up(&mut self, living: &[Generation], beside: Option<Generation>) -> io::Result<TakenUp> {
        let (mut taken, mut waits) = (TakenUp::default(), BTreeMap::new());
        let own: Vec<Seq> = self.entries.keys().copied().collect();
        let (mut entries, mut places) = (std::mem::take(&mut self.entries), BTreeMap::new());
        let classes = &self.classes;
        let ran = |segment: u64| beside.is_some_and(|first| Generation::of(segment) >= first);
        let tails = self.journal.take_up(living, |segment, payload| {
            let Some((seq, record)) = Record::decode(payload, classes) else { return };
            match record {
                Record::Told(destination, host, until) if ran(segment) => {
                    waits.insert((destination, host), until);
                }
                Record::Known(destination, host, cold) if ran(segment) => {
                    taken.known.push((destination, host, cold));
                }
                Record::Told(..) | Record::Known(..) => {}
                Record::Full(_) => {
                    places.insert(seq, segment);
                    record.apply(seq, &mut entries);
                }
                record => record.apply(seq, &mut entries),
            }
        });
        self.entries = entries;
        // What was read before a fault is this life's, and nothing of it is known to be out elsewhere.
        let (tails, read) = tails.map_or_else(|fault| (Vec::new(), Err(fault)), |tails| (tails, Ok(())));
        let living = !tails.is_empty();
        self.tails.extend(tails);
        (self.budget, self.soft) = (self.alone, self.alone.saturating_sub(2 * SEGMENT));
        places.retain(|seq, _| self.entries.contains_key(seq));
        self.places.extend(places);
        let found: Vec<Seq> =
            self.entries.keys().copied().filter(|seq| own.binary_search(seq).is_err()).collect();
        for &seq in &found {
            self.index(seq);
        }
        for seq in found {
            if self.entries[&seq].out.is_none() {
                continue;
            }
            if living {
                taken.away.push(seq);
            } else {
                // A leg that was out when its process ended may have run.
                self.leg_ended(seq, true)?;
            }
        }
        // Said again here, so that the next life need not know when this one began.
        for ((destination, host), until) in waits {
            self.told(destination, host, until)?;
        }
        read.map(|()| taken)
    }

    /// Reads on what lives that have handed over still write. Given are messages that they took on, which are this
    /// life's now, and ends of their legs; the ledger notes those only once it is told.
    ///
    /// # Errors
    /// Of the disk; what was read before is given with the next call.
    pub fn follow(&mut self, found: &mut Vec<Told>) -> io::Result<()> {
        let mut tails = std::mem::take(&mut self.tails);
        let done = tails.iter_mut().try_for_each(|tail| {
            let mut read = Vec::new();
            let done = self.journal.follow(tail, |segment, payload| read.push((segment, payload.to_vec())));
            self.heard(read, found);
            done
        });
        self.tails = tails;
        done
    }

    /// Reads the rest of what a life has written that has ended.
    ///
    /// # Errors
    /// Of the disk.
    pub fn settle(&mut self, generation: Generation, found: &mut Vec<Told>) -> io::Result<()> {
        while let Some(at) = self.tails.iter().position(|tail| tail.generation == generation) {
            let (tail, mut read) = (self.tails.remove(at), Vec::new());
            let done = self.journal.settle(tail, |segment, payload| read.push((segment, payload.to_vec())));
            self.heard(read, found);
            done?;
        }
        Ok(())
    }

    fn heard(&mut self, read: Vec<(u64, Vec<u8>)>, found: &mut Vec<Told>) {
        for (segment, payload) in read {
            match Record::decode(&payload, &self.classes) {
                Some((seq, record @ Record::Full(_))) if !self.entries.contains_key(&seq) => {
                    record.apply(seq, &mut self.entries);
                    self.places.insert(seq, segment);
                    self.index(seq);
                    found.push(Told::TakenOn(seq));
                }
                Some((seq, Record::Closed(closed))) => found.push(Told::Closed(seq, *closed)),
                _ => {}
            }
        }
    }

    /// Whether lives that have handed over still run.
    pub fn follows(&self) -> bool {
        !self.tails.is_empty()
    }

    /// Hands over: another life reads the journal from now on, with what is known of routes. What is still written goes
    /// into a segment of its own, and nothing is removed any more.
    ///
    /// # Errors
    /// Of the disk; it is handed over all the same.
    pub fn hand_over(&mut self, known: Vec<Known>) -> io::Result<()> {
        self.handed_over = true;
        self.budget = self.journal.size() + LAST;
        self.journal.roll()?;
        for (destination, host, cold) in known {
            self.write(&Record::Known(destination, host, cold).encode(0, &self.classes))?;
        }
        Ok(())
    }

    /// Tells the life that decides now how a leg of this one ended.
    ///
    /// # Errors
    /// Of the disk.
    pub fn closed(&mut self, seq: Seq, closed: Closed) -> io::Result<()> {
        self.write(&Record::Closed(Box::new(closed)).encode(seq, &self.classes)).map(|_| ())
    }

    /// Notes that a host told to be left alone until a Unix time in milliseconds.
    ///
    /// # Errors
    /// Of the disk; it binds this life all the same.
    pub fn told(&mut self, destination: DestinationId, host: String, until_ms: i64) -> io::Result<()> {
        let until = self.waits.entry((destination, host.clone())).or_insert(i64::MIN);
        *until = until_ms.max(*until);
        let record = Record::Told(destination, host, *until);
        self.write(&record.encode(0, &self.classes)).map(|_| ())
    }

    /// Waits that were told and may still run.
    pub fn waits(&self) -> &BTreeMap<(DestinationId, String), i64> {
        &self.waits
    }

    /// Goes on under a later generation, so that what lives between left can be taken up.
    ///
    /// # Errors
    /// Of the disk.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        self.journal.renew(generation)?;
        self.next = (generation.0 << OWN_BITS) + 1;
        Ok(())
    }
}

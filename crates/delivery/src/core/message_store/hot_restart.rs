//! The store between two incarnations of the process: what a new one takes over, what it follows of one that still
//! runs, and what the old one leaves behind.

use super::{MessageStore, RESERVED_BYTES, SEGMENT_BYTES};
use crate::core::journal::{Generation, Journal, Tail};
use crate::core::journal_record::{
    AttemptReport, BackoffRecord, JournalRecord, RouteRecord, NO_MESSAGE,
};
use crate::core::MessageId;
use crate::system_error::is_transient;
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;

/// An incarnation leaves a quarter of the folder to one that may start beside it, but no more than this, in bytes.
const MAX_SUCCESSOR_BYTES: u64 = 8 << 20;
/// What one that has handed over may still write, in bytes: ends of its attempts, and what its last clients submit.
const AFTER_HANDOVER_BYTES: u64 = 128 * 1024;
/// Compaction needs room for so many segments.
const COMPACTION_SEGMENTS: u64 = 2;
/// Bits of a message's id that count within one incarnation.
const ID_BITS_PER_GENERATION: u32 = 40;

/// What an incarnation that still runs wrote since it was last looked at.
#[derive(Debug, PartialEq)]
pub enum PredecessorEvent {
    /// It accepted a message.
    Accepted(MessageId),
    /// An attempt of its ended.
    AttemptFinished(MessageId, AttemptReport),
}

/// What was taken over.
#[derive(Debug, Default)]
pub struct Recovered {
    /// What was known of routes.
    pub routes: Vec<RouteRecord>,
    /// Messages whose attempt is in flight at an incarnation that still runs.
    pub in_flight_elsewhere: Vec<MessageId>,
}

/// What the journal of earlier incarnations holds besides messages.
#[derive(Default)]
struct Replayed {
    routes: Vec<RouteRecord>,
    backoffs: BTreeMap<(DestinationId, String), i64>,
    segments: BTreeMap<MessageId, u64>,
}

impl MessageStore {
    /// Begins this incarnation's part of the journal in a folder that may hold `disk` bytes. Until it takes over it
    /// keeps to the room that the others leave.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn begin(
        folder: &Path,
        disk: u64,
        class_names: Vec<String>,
        generation: Generation,
    ) -> io::Result<MessageStore> {
        let whole = disk.saturating_sub(RESERVED_BYTES);
        let successor = (disk / 4).min(MAX_SUCCESSOR_BYTES);
        let mut used = 0;
        for file in std::fs::read_dir(folder)? {
            used += file?.metadata().map_or(0, |file| file.len());
        }
        let journal = Journal::begin(folder, SEGMENT_BYTES, generation)?;
        let for_compaction = COMPACTION_SEGMENTS * SEGMENT_BYTES;
        let unused = whole.saturating_sub(used + AFTER_HANDOVER_BYTES);
        let standby_limit = successor.saturating_sub(for_compaction).min(unused);
        Ok(MessageStore {
            journal,
            hard_limit: standby_limit,
            compact_above: standby_limit,
            messages: BTreeMap::new(),
            segments: BTreeMap::new(),
            identities: Default::default(),
            idempotency_keys: Default::default(),
            live_cost: 0,
            open_count: 0,
            next_id: first_id(generation),
            remembered: Default::default(),
            remembered_cost: 0,
            class_names,
            backoffs: BTreeMap::new(),
            tails: Vec::new(),
            unwritten: BTreeSet::new(),
            handed_over: false,
            exclusive_limit: whole.saturating_sub(successor),
        })
    }

    /// Takes over all that earlier incarnations left, in their order. Those in `running` still run and have handed
    /// over: what they write is followed from here, and their attempts in flight stay theirs. Incarnations from
    /// `first_concurrent` on ran when this one began: the backoffs they were asked for bind it, and what they knew of
    /// routes is returned. Those of incarnations that ended before do not: a restart ends a backoff.
    ///
    /// What the journal does not take meanwhile is left to [`MessageStore::retry_unwritten`].
    ///
    /// # Errors
    /// The journal cannot be read. Where that passes by itself, nothing is taken over; else what stands before the error
    /// is.
    pub fn take_over(
        &mut self,
        running: &[Generation],
        first_concurrent: Option<Generation>,
    ) -> io::Result<Recovered> {
        let own: Vec<MessageId> = self.messages.keys().copied().collect();
        let mut replayed = Replayed::default();
        let replay = self.replay(running, first_concurrent, &mut replayed);
        // What was read before a fault is this incarnation's, and nothing of it is known to be in flight elsewhere.
        let (tails, read) = match replay {
            Ok(tails) => (tails, Ok(())),
            Err(error) if is_transient(&error) => return Err(error),
            Err(error) => (Vec::new(), Err(error)),
        };
        let some_still_run = !tails.is_empty();
        self.tails.extend(tails);
        self.hard_limit = self.exclusive_limit;
        self.compact_above = self
            .exclusive_limit
            .saturating_sub(COMPACTION_SEGMENTS * SEGMENT_BYTES);
        replayed
            .segments
            .retain(|id, _| self.messages.contains_key(id));
        self.segments.extend(replayed.segments);
        let all = self.messages.keys().copied();
        let found: Vec<MessageId> = all.filter(|id| own.binary_search(id).is_err()).collect();
        for &id in &found {
            self.index(id);
        }
        let in_flight_elsewhere = self.settle_in_flight(found, some_still_run);
        // Said again here, so that the next incarnation need not know when this one began.
        for ((destination, endpoint), until_ms) in replayed.backoffs {
            // Where it is not written it binds this incarnation alone, and a restart ends a backoff.
            let _ = self.note_backoff(destination, endpoint, until_ms);
        }
        let routes = replayed.routes;
        read.map(|()| Recovered {
            routes,
            in_flight_elsewhere,
        })
    }

    /// Reads the journal of earlier incarnations into the messages.
    fn replay(
        &mut self,
        running: &[Generation],
        first_concurrent: Option<Generation>,
        replayed: &mut Replayed,
    ) -> io::Result<Vec<Tail>> {
        let class_names = &self.class_names;
        let messages = &mut self.messages;
        let was_concurrent =
            |segment: u64| first_concurrent.is_some_and(|first| Generation::of(segment) >= first);
        self.journal.take_over(running, |segment, payload| {
            let Some((id, record)) = JournalRecord::decode(payload, class_names) else {
                return;
            };
            match record {
                JournalRecord::Backoff(backoff) if was_concurrent(segment) => {
                    let route = (backoff.destination, backoff.endpoint);
                    replayed.backoffs.insert(route, backoff.until_ms);
                }
                JournalRecord::Route(route) if was_concurrent(segment) => {
                    replayed.routes.push(route)
                }
                JournalRecord::Backoff(_) | JournalRecord::Route(_) => {}
                JournalRecord::Message(_) => {
                    replayed.segments.insert(id, segment);
                    record.apply(id, messages);
                }
                record => record.apply(id, messages),
            }
        })
    }

    /// Attempts that were in flight when their process ended may have been executed; those at incarnations that still
    /// run are given back.
    fn settle_in_flight(&mut self, found: Vec<MessageId>, some_still_run: bool) -> Vec<MessageId> {
        let mut elsewhere = Vec::new();
        for id in found {
            if self.messages[&id].in_flight().is_none() {
                continue;
            }
            if some_still_run {
                elsewhere.push(id);
            } else {
                // Where it is not written it stays in flight there, which the next incarnation takes for the same.
                let _ = self.attempt_finished(id, true);
            }
        }
        elsewhere
    }

    /// Reads on what incarnations that have handed over still write. Returned are messages that they accepted, which
    /// are this incarnation's now, and ends of their attempts; the store notes those only once it is told.
    ///
    /// # Errors
    /// The journal cannot be read; what was read before is returned with the next call.
    pub fn follow(&mut self, found: &mut Vec<PredecessorEvent>) -> io::Result<()> {
        let mut tails = std::mem::take(&mut self.tails);
        let followed = tails.iter_mut().try_for_each(|tail| {
            let mut read = Vec::new();
            let done = self.journal.follow(tail, |segment, payload| {
                read.push((segment, payload.to_vec()))
            });
            self.absorb(read, found);
            done
        });
        self.tails = tails;
        followed
    }

    /// Reads the rest of what an incarnation has written that has exited.
    ///
    /// # Errors
    /// The journal cannot be read. Where that passes by itself, the next call reads on.
    pub fn finish_following(
        &mut self,
        generation: Generation,
        found: &mut Vec<PredecessorEvent>,
    ) -> io::Result<()> {
        while let Some(at) = self
            .tails
            .iter()
            .position(|tail| tail.generation == generation)
        {
            let mut tail = self.tails.remove(at);
            let mut read = Vec::new();
            let done = self
                .journal
                .finish_following(&mut tail, |segment, payload| {
                    read.push((segment, payload.to_vec()));
                });
            self.absorb(read, found);
            if done.as_ref().is_err_and(is_transient) {
                self.tails.insert(at, tail);
            }
            done?;
        }
        Ok(())
    }

    /// Takes in what an incarnation wrote after it had handed over.
    fn absorb(&mut self, read: Vec<(u64, Vec<u8>)>, found: &mut Vec<PredecessorEvent>) {
        for (segment, payload) in read {
            match JournalRecord::decode(&payload, &self.class_names) {
                Some((id, record @ JournalRecord::Message(_)))
                    if !self.messages.contains_key(&id) =>
                {
                    record.apply(id, &mut self.messages);
                    self.segments.insert(id, segment);
                    self.index(id);
                    found.push(PredecessorEvent::Accepted(id));
                }
                Some((id, JournalRecord::AttemptReported(report))) => {
                    found.push(PredecessorEvent::AttemptFinished(id, *report));
                }
                _ => {}
            }
        }
    }

    /// Whether incarnations that have handed over still run.
    pub fn is_following(&self) -> bool {
        !self.tails.is_empty()
    }

    /// Hands over: another incarnation reads the journal from now on, with what is known of routes. What is still
    /// written goes into a segment of its own, and nothing is removed any more.
    ///
    /// # Errors
    /// The journal cannot be written; it is handed over all the same.
    pub fn hand_over(&mut self, routes: Vec<RouteRecord>) -> io::Result<()> {
        // The successor reads what is in the journal: the last chance for what it did not take.
        let _ = self.retry_unwritten();
        self.handed_over = true;
        self.hard_limit = self.journal.size() + AFTER_HANDOVER_BYTES;
        self.journal.roll()?;
        for route in routes {
            self.write(&JournalRecord::Route(route).encode(NO_MESSAGE, &self.class_names))?;
        }
        Ok(())
    }

    /// Reports to the incarnation that is active now how an attempt of this one ended.
    ///
    /// # Errors
    /// The journal is full or cannot be written.
    pub fn report_attempt(&mut self, id: MessageId, report: AttemptReport) -> io::Result<()> {
        let record = JournalRecord::AttemptReported(Box::new(report));
        self.write(&record.encode(id, &self.class_names))
            .map(|_| ())
    }

    /// Notes that an endpoint asked for a backoff until a Unix time in milliseconds; the longest one holds.
    ///
    /// # Errors
    /// The journal is full or cannot be written; it binds this incarnation all the same.
    pub fn note_backoff(
        &mut self,
        destination: DestinationId,
        endpoint: String,
        until_ms: i64,
    ) -> io::Result<()> {
        let longest = self
            .backoffs
            .entry((destination, endpoint.clone()))
            .or_insert(i64::MIN);
        *longest = until_ms.max(*longest);
        let record = JournalRecord::Backoff(BackoffRecord {
            destination,
            endpoint,
            until_ms: *longest,
        });
        self.write(&record.encode(NO_MESSAGE, &self.class_names))
            .map(|_| ())
    }

    /// Backoffs that endpoints asked for and that may still run, until a Unix time in milliseconds.
    pub fn backoffs(&self) -> &BTreeMap<(DestinationId, String), i64> {
        &self.backoffs
    }

    /// Goes on under a later generation, so that what incarnations in between left can be taken over.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        self.journal.renew(generation)?;
        self.next_id = first_id(generation);
        Ok(())
    }
}

/// The first id that an incarnation gives.
fn first_id(generation: Generation) -> MessageId {
    MessageId((generation.0 << ID_BITS_PER_GENERATION) + 1)
}

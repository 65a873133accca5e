//! The state of every accepted message, kept in memory and in the journal alike. A message gets exactly one final
//! outcome here; a finished one stays until its notice was taken and no repeat can do harm.

mod hot_restart;

pub use hot_restart::{PredecessorEvent, Recovered};

use super::journal::{self, Journal, Tail};
use super::journal_record::{BackoffRecord, JournalRecord, NO_MESSAGE};
use super::message_record::{alias_cost, message_cost, AttemptRecord, MessageRecord};
use super::{FinalOutcome, Message, MessageId};
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Room for the files' last blocks and for records that must always be written, in bytes.
const RESERVED_BYTES: u64 = 32 * 1024;
/// Length of a journal segment, in bytes.
const SEGMENT_BYTES: u64 = 128 * 1024;
/// Live records fill this percentage of the disk at most: the rest keeps compaction cheap.
const MAX_LIVE_PERCENT: u64 = 80;
/// Left free behind each record, in bytes.
const APPEND_MARGIN: u64 = 1024;

/// All messages of one instance.
pub struct MessageStore {
    journal: Journal,
    /// Bytes that this incarnation's part of the journal may take.
    hard_limit: u64,
    /// Beyond so many bytes it is compacted.
    compact_above: u64,
    messages: BTreeMap<MessageId, MessageRecord>,
    /// The segment that holds each message's latest full record.
    segments: BTreeMap<MessageId, u64>,
    identities: HashMap<Vec<u8>, MessageId>,
    idempotency_keys: HashMap<(DestinationId, Vec<u8>), MessageId>,
    live_cost: u64,
    open_count: usize,
    next_id: MessageId,
    /// Finished messages that are only remembered, those first that may be forgotten first.
    remembered: BTreeSet<(i64, MessageId)>,
    remembered_cost: u64,
    class_names: Vec<String>,
    /// Backoffs that endpoints asked for and that still run, until a Unix time in milliseconds.
    backoffs: BTreeMap<(DestinationId, String), i64>,
    /// The logs of incarnations that have handed over and still run.
    tails: Vec<Tail>,
    /// Messages of which the journal did not take what was last noted.
    unwritten: BTreeSet<MessageId>,
    /// Another incarnation reads what this one still writes.
    handed_over: bool,
    /// What this incarnation's part of the journal may take while it is the only one, in bytes.
    exclusive_limit: u64,
}

impl MessageStore {
    /// Opens the journal in a folder that may hold `disk` bytes and that no other incarnation writes to, and reads what
    /// earlier ones left. Classes are journalled by name, as their order may change between two incarnations.
    ///
    /// # Errors
    /// The folder cannot be made, read or written.
    pub fn open(folder: &Path, disk: u64, class_names: Vec<String>) -> io::Result<MessageStore> {
        std::fs::create_dir_all(folder)?;
        let generation = journal::latest(folder)?.next();
        let mut store = MessageStore::begin(folder, disk, class_names, generation)?;
        store.take_over(&[], None)?;
        Ok(store)
    }

    /// The names of the classes, in their order.
    pub fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// Replaces the names of the classes. Those that were known keep their places, so that each message stays of its
    /// class.
    pub fn set_class_names(&mut self, class_names: Vec<String>) {
        self.class_names = class_names;
    }

    /// All messages, by id.
    pub fn messages(&self) -> &BTreeMap<MessageId, MessageRecord> {
        &self.messages
    }

    /// The messages without a final outcome.
    pub fn open_messages(&self) -> impl Iterator<Item = (MessageId, &MessageRecord)> {
        let messages = self.messages.iter().map(|(id, record)| (*id, record));
        messages.filter(|(_, record)| record.is_open())
    }

    /// One message.
    pub fn get(&self, id: MessageId) -> Option<&MessageRecord> {
        self.messages.get(&id)
    }

    /// The message with an identity.
    pub fn by_identity(&self, identity: &[u8]) -> Option<MessageId> {
        self.identities.get(identity).copied()
    }

    /// The message with an idempotency key at a destination.
    pub fn by_idempotency_key(&self, destination: DestinationId, key: &[u8]) -> Option<MessageId> {
        self.idempotency_keys
            .get(&(destination, key.to_vec()))
            .copied()
    }

    /// How many messages have no final outcome.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Whether one more message of this size may be accepted: live records must leave room for final outcomes and for
    /// copying records forward.
    pub fn has_room(&self, message: &Message) -> bool {
        self.live_cost + message_cost(message) <= self.max_live_cost()
    }

    fn max_live_cost(&self) -> u64 {
        self.compact_above * MAX_LIVE_PERCENT / 100
    }

    /// An id for a message; it is not used again even if the message is never accepted.
    pub fn allocate_id(&mut self) -> MessageId {
        let id = self.next_id;
        self.next_id = MessageId(id.0 + 1);
        id
    }

    /// Accepts a message: it is in the journal when this returns. `first_possible_execution` is what an earlier submission of the
    /// same message may have done.
    ///
    /// # Errors
    /// The journal is full or cannot be written; the message is not accepted.
    pub fn accept(
        &mut self,
        id: MessageId,
        message: Rc<Message>,
        first_possible_execution: Option<AttemptRecord>,
    ) -> io::Result<()> {
        let record = MessageRecord {
            first_possible_execution,
            ..MessageRecord::new(message)
        };
        let segment =
            self.write(&JournalRecord::Message(record.clone()).encode(id, &self.class_names))?;
        self.segments.insert(id, segment);
        self.messages.insert(id, record);
        self.index(id);
        Ok(())
    }

    /// Notes another identity of a message: it must not become a message of its own later.
    ///
    /// # Errors
    /// The journal is full or cannot be written; the alias holds for this incarnation all the same.
    pub fn add_alias(&mut self, id: MessageId, identity: &[u8]) -> io::Result<()> {
        if !self.messages.contains_key(&id) || self.identities.contains_key(identity) {
            return Ok(());
        }
        self.identities.insert(identity.to_vec(), id);
        let cost = alias_cost(identity);
        self.live_cost += cost;
        if !self.messages[&id].is_open() {
            self.remembered_cost += cost;
        }
        self.note(id, JournalRecord::Alias(identity.to_vec()))
    }

    /// Notes an attempt before its first byte goes out.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The attempt must not be sent then; it was none.
    pub fn attempt_started(&mut self, id: MessageId, attempt: AttemptRecord) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        if self.unwritten.contains(&id) {
            self.write_whole(id)?;
        }
        // Written first: a compaction on the way would copy an attempt that is then noted once more.
        let record = JournalRecord::AttemptStarted(attempt);
        self.write(&record.encode(id, &self.class_names))?;
        record.apply(id, &mut self.messages);
        Ok(())
    }

    /// Notes that the attempt in flight ended, and whether it may have been executed.
    ///
    /// # Errors
    /// The journal is full or cannot be written; it holds for this incarnation all the same.
    pub fn attempt_finished(&mut self, id: MessageId, may_have_executed: bool) -> io::Result<()> {
        self.note(id, JournalRecord::AttemptFinished { may_have_executed })
    }

    /// Gives a message its final outcome; false if it had one already.
    ///
    /// # Errors
    /// The journal is full or cannot be written; it holds for this incarnation all the same.
    pub fn finish(
        &mut self,
        id: MessageId,
        outcome: FinalOutcome,
        notice_owed: bool,
        keep_until_ms: i64,
    ) -> io::Result<bool> {
        let Some(record) = self.messages.get(&id).filter(|record| record.is_open()) else {
            return Ok(false);
        };
        let cost_before = record.journal_cost();
        self.open_count -= 1;
        let written = self.note(
            id,
            JournalRecord::Finished {
                outcome,
                notice_owed,
                keep_until_ms,
            },
        );
        let cost_after = self.messages[&id].journal_cost();
        self.live_cost = self.live_cost.saturating_sub(cost_before) + cost_after;
        if !notice_owed {
            self.remember(id);
        }
        written.map(|()| true)
    }

    /// Forgets a message altogether.
    ///
    /// # Errors
    /// The journal is full or cannot be written; it holds for this incarnation all the same.
    pub fn forget(&mut self, id: MessageId) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        self.unindex(id);
        self.note(id, JournalRecord::Forgotten)
    }

    /// Forgets what finished so long ago that no repeat can do harm, and the oldest beyond `max_remembered` of them or
    /// beyond half of the room: what is remembered must not keep new messages out.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub fn sweep(&mut self, now_ms: i64, max_remembered: usize) -> io::Result<()> {
        self.backoffs.retain(|_, until| *until > now_ms);
        while let Some(&(keep_until_ms, id)) = self.remembered.first() {
            let too_many = self.remembered.len() > max_remembered;
            let too_large = self.remembered_cost > self.max_live_cost() / 2;
            if keep_until_ms > now_ms && !too_many && !too_large {
                break;
            }
            self.forget(id)?;
        }
        Ok(())
    }

    fn index(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let message = record.message.clone();
        self.live_cost += record.journal_cost();
        self.open_count += usize::from(record.is_open());
        self.identities.insert(message.identity.clone(), id);
        for alias in &record.aliases {
            self.identities.insert(alias.clone(), id);
        }
        if let Some(key) = &message.idempotency_key {
            self.idempotency_keys
                .insert((message.destination, key.clone()), id);
        }
        if !record.is_open() && !record.notice_owed() {
            self.remember(id);
        }
    }

    /// Undoes [`MessageStore::index`].
    fn unindex(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let message = record.message.clone();
        let cost = record.journal_cost();
        let keep_until_ms = record
            .completion()
            .map_or(0, |completion| completion.keep_until_ms);
        self.open_count -= usize::from(record.is_open());
        if self.remembered.remove(&(keep_until_ms, id)) {
            self.remembered_cost = self.remembered_cost.saturating_sub(cost);
        }
        self.live_cost = self.live_cost.saturating_sub(cost);
        for identity in record.aliases.iter().chain([&message.identity]) {
            if self.identities.get(identity) == Some(&id) {
                self.identities.remove(identity);
            }
        }
        let key = message
            .idempotency_key
            .as_ref()
            .map(|key| (message.destination, key.clone()));
        if let Some(key) = key.filter(|key| self.idempotency_keys.get(key) == Some(&id)) {
            self.idempotency_keys.remove(&key);
        }
        self.segments.remove(&id);
    }

    fn remember(&mut self, id: MessageId) {
        let record = &self.messages[&id];
        let Some(completion) = record.completion() else {
            return;
        };
        if self.remembered.insert((completion.keep_until_ms, id)) {
            self.remembered_cost += record.journal_cost();
        }
    }

    /// Notes something of a message, in memory first: what happened has happened, even where the disk does not take it.
    /// The journal is then told later, by [`MessageStore::retry_unwritten`].
    fn note(&mut self, id: MessageId, record: JournalRecord) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        let bytes = record.encode(id, &self.class_names);
        record.apply(id, &mut self.messages);
        if self.unwritten.contains(&id) {
            // Behind a gap, a note alone would be read as of another state.
            return self.write_whole(id);
        }
        let written = self.write(&bytes);
        if written.is_err() {
            self.unwritten.insert(id);
        }
        written.map(|_| ())
    }

    /// Whether there is something that the journal did not take.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Writes what the journal did not take when it was noted.
    ///
    /// # Errors
    /// The journal is full or cannot be written; the rest is kept for the next call.
    pub fn retry_unwritten(&mut self) -> io::Result<()> {
        while let Some(id) = self.unwritten.first().copied() {
            self.write_whole(id)?;
        }
        Ok(())
    }

    /// Writes all that is known of a message, in place of what the journal did not take.
    fn write_whole(&mut self, id: MessageId) -> io::Result<()> {
        let known = self.messages.get(&id).cloned();
        let is_known = known.is_some();
        let record = known.map_or(JournalRecord::Forgotten, JournalRecord::Message);
        let segment = self.write(&record.encode(id, &self.class_names))?;
        if is_known {
            self.segments.insert(id, segment);
        }
        self.unwritten.remove(&id);
        Ok(())
    }

    /// Writes a record, compacting first where it would not fit; gives its segment.
    fn write(&mut self, payload: &[u8]) -> io::Result<u64> {
        for _ in 0..self.journal.segment_count() {
            let fits = self.journal.size() + payload.len() as u64 <= self.compact_above;
            if fits || self.handed_over || !self.compact()? {
                break;
            }
        }
        if self.journal.size() + payload.len() as u64 + APPEND_MARGIN > self.hard_limit {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's folder is full",
            ));
        }
        self.journal.append(payload)
    }

    /// Copies what is live in the oldest segment forward, then removes that segment; false where there is none.
    fn compact(&mut self) -> io::Result<bool> {
        let Some(oldest) = self.journal.oldest() else {
            return Ok(false);
        };
        let in_oldest = self
            .segments
            .iter()
            .filter(|(_, segment)| **segment == oldest);
        let live: Vec<MessageId> = in_oldest.map(|(id, _)| *id).collect();
        for id in live {
            let record = JournalRecord::Message(self.messages[&id].clone());
            let segment = self.journal.append(&record.encode(id, &self.class_names))?;
            self.segments.insert(id, segment);
        }
        // Backoffs may stand there; there are no more of them than endpoints.
        for ((destination, endpoint), until_ms) in self.backoffs.clone() {
            let record = JournalRecord::Backoff(BackoffRecord {
                destination,
                endpoint,
                until_ms,
            });
            self.journal
                .append(&record.encode(NO_MESSAGE, &self.class_names))?;
        }
        self.journal.remove_oldest()?;
        Ok(true)
    }
}

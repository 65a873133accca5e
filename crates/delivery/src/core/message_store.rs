//! The store of all accepted messages, in memory and in the journal.
//!
//! Each message has exactly one final outcome. A finished message is retained until its notice is acknowledged and
//! repeats of it no longer need to be recognised.

mod backoffs;
mod followed_records;
mod following;
mod handover;
mod index;
mod journalling;
mod repeat_index;
mod takeover;

pub use following::PredecessorEvent;
pub use takeover::Recovered;

use super::journal::{self, Journal, Tail};
use super::journal_record::JournalRecord;
use super::message_record::{
    estimated_alias_bytes, estimated_message_bytes, AttemptRecord, Execution, MessageRecord,
    NoticeState,
};
use super::recent_completions::EndedMessage;
use super::{FinalOutcome, Message, MessageId};
use followed_records::FollowedRecords;
use marblefall_scheduler::DestinationId;
use repeat_index::RepeatIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Space reserved for the last block of each file, and for records that must always be written, in bytes.
const RESERVED_BYTES: u64 = 32 * 1024;
/// Length of a journal segment, in bytes.
const SEGMENT_BYTES: u64 = 128 * 1024;
/// Maximum share of the journal that live records may fill, in percent. The free rest keeps compaction cheap.
const MAX_LIVE_PERCENT: u64 = 80;
const PERCENT: u64 = 100;

/// The messages of one instance, with their journal and indexes.
pub struct MessageStore {
    journal: Journal,
    /// Maximum size of this incarnation's part of the journal, in bytes.
    hard_limit: u64,
    /// Size above which the journal is compacted, in bytes.
    compact_above: u64,
    messages: BTreeMap<MessageId, MessageRecord>,
    /// Number of the segment with each message's latest full record.
    segments: BTreeMap<MessageId, u64>,
    /// Messages by identity and idempotency key.
    repeats: RepeatIndex,
    /// Estimated size of all live records in the journal, in bytes.
    live_bytes: u64,
    /// Number of messages without a final outcome.
    open_count: usize,
    next_id: MessageId,
    /// Finished messages without a pending notice, ordered by the Unix time in milliseconds until which they are retained.
    retained: BTreeSet<(i64, MessageId)>,
    /// Estimated size of the retained messages' records in the journal, in bytes.
    retained_bytes: u64,
    class_names: Vec<String>,
    /// End of the backoff that each endpoint requested, as Unix time in milliseconds.
    backoffs: BTreeMap<(DestinationId, String), i64>,
    /// Read positions in the journals of predecessors that are still running.
    tails: Vec<Tail>,
    /// Full records that remain in the journal although later segments are removed.
    followed_records: FollowedRecords,
    /// Messages whose latest records could not be journalled.
    unwritten: BTreeSet<MessageId>,
    /// Whether this incarnation has handed over, so that a successor follows its journal.
    handed_over: bool,
    /// Maximum size of this incarnation's part of the journal after its takeover, in bytes.
    active_limit: u64,
    /// Messages of the platform that earlier incarnations have ended, as far as the journal has their records.
    ended: Vec<EndedMessage>,
    /// Maximum size of the live records for which there is memory, in bytes.
    memory_limit: u64,
}

impl MessageStore {
    /// Opens the journal in a folder that no other incarnation writes to, and recovers the messages of earlier
    /// incarnations. The folder may grow to `max_bytes`. Classes are journalled by name, as their order may change between
    /// two incarnations.
    ///
    /// # Errors
    /// The folder cannot be created, read or written.
    pub fn open(
        folder: &Path,
        max_bytes: u64,
        class_names: Vec<String>,
    ) -> io::Result<MessageStore> {
        std::fs::create_dir_all(folder)?;
        let generation = journal::latest_generation(folder)?.next();
        let mut store = MessageStore::begin(folder, max_bytes, class_names, generation)?;
        store.take_over(&[], None)?;
        Ok(store)
    }

    /// Returns the names of the classes, in the order of their ids.
    pub fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// Replaces the names of the classes. Known classes must keep their positions, as messages refer to classes by position.
    pub fn set_class_names(&mut self, class_names: Vec<String>) {
        self.class_names = class_names;
    }

    /// Returns all messages, ordered by id.
    pub fn messages(&self) -> &BTreeMap<MessageId, MessageRecord> {
        &self.messages
    }

    /// Returns the messages without a final outcome.
    pub fn open_messages(&self) -> impl Iterator<Item = (MessageId, &MessageRecord)> {
        let messages = self.messages.iter().map(|(id, record)| (*id, record));
        messages.filter(|(_, record)| record.is_open())
    }

    /// Returns the record of a message.
    pub fn get(&self, id: MessageId) -> Option<&MessageRecord> {
        self.messages.get(&id)
    }

    /// Returns the newest message that has an identity, also as an alias.
    pub fn by_identity(&self, identity: &[u8]) -> Option<MessageId> {
        self.repeats.with_identity(identity).next_back()
    }

    /// Returns the newest message with an idempotency key at a destination.
    pub fn by_idempotency_key(&self, destination: DestinationId, key: &[u8]) -> Option<MessageId> {
        self.repeats
            .with_idempotency_key(destination, key)
            .next_back()
    }

    /// Returns the messages that have an identity, also as an alias, the newest last.
    pub fn with_identity(
        &self,
        identity: &[u8],
    ) -> impl DoubleEndedIterator<Item = (MessageId, &MessageRecord)> {
        let ids = self.repeats.with_identity(identity);
        ids.filter_map(|id| Some((id, self.messages.get(&id)?)))
    }

    /// Returns the messages with an idempotency key at a destination, the newest last.
    pub fn with_idempotency_key(
        &self,
        destination: DestinationId,
        key: &[u8],
    ) -> impl DoubleEndedIterator<Item = (MessageId, &MessageRecord)> {
        let ids = self.repeats.with_idempotency_key(destination, key);
        ids.filter_map(|id| Some((id, self.messages.get(&id)?)))
    }

    /// Takes the messages of the platform that earlier incarnations have ended, in that order.
    pub fn take_ended(&mut self) -> Vec<EndedMessage> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the number of messages without a final outcome.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns whether the journal and the memory have space for a message. Space for final outcomes and for compaction stays reserved.
    pub fn has_capacity_for(&self, message: &Message) -> bool {
        self.live_bytes + estimated_message_bytes(message) <= self.max_live_bytes()
    }

    /// Limits the size of the live records by the memory for their messages, in bytes of the journal.
    pub fn limit_memory(&mut self, journal_bytes: u64) {
        self.memory_limit = journal_bytes;
    }

    fn max_live_bytes(&self) -> u64 {
        let in_journal = self.compact_above * MAX_LIVE_PERCENT / PERCENT;
        in_journal.min(self.memory_limit)
    }

    /// Allocates an id for a message. The id is not reused, even if the message is never accepted.
    pub fn allocate_id(&mut self) -> MessageId {
        let id = self.next_id;
        self.next_id = MessageId(id.0 + 1);
        id
    }

    /// Accepts a message, which is in the journal when this returns, as are all records that the journal did not accept
    /// before. `first_possible_execution` is an attempt that was started for an earlier submission of the same message.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The message is not accepted.
    pub fn accept(
        &mut self,
        id: MessageId,
        message: Rc<Message>,
        first_possible_execution: Option<AttemptRecord>,
    ) -> io::Result<()> {
        if !self.handed_over {
            self.retry_unwritten()?;
        }
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

    /// Adds a further identity to a message, by which its repeats are also recognised.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The alias is still in force in this incarnation.
    pub fn add_alias(&mut self, id: MessageId, identity: &[u8]) -> io::Result<()> {
        let stored = self.messages.get(&id);
        if stored.is_none_or(|record| record.has_identity(identity)) {
            return Ok(());
        }
        self.repeats.add_identity(id, identity);
        let bytes = estimated_alias_bytes(identity);
        self.live_bytes += bytes;
        if !self.messages[&id].is_open() {
            self.retained_bytes += bytes;
        }
        self.update(id, JournalRecord::Alias(identity.to_vec()))
    }

    /// Limits the attempts of a message by one that an earlier message with its identity may have executed.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The limit is still in force in this incarnation.
    pub fn limit_attempts(&mut self, id: MessageId, executed: AttemptRecord) -> io::Result<()> {
        let Some(record) = self.messages.get_mut(&id) else {
            return Ok(());
        };
        record.first_possible_execution.get_or_insert(executed);
        self.journal_full_record(id)
    }

    /// Journals an attempt before its first byte is sent.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The attempt does not count, and must not be sent.
    pub fn attempt_started(&mut self, id: MessageId, attempt: AttemptRecord) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        if self.unwritten.contains(&id) {
            self.journal_full_record(id)?;
        }
        // Errors are ignored: the attempt depends on the records of its own message only.
        let _ = self.retry_unwritten();
        // The record is written before it is applied. Otherwise a compaction during the write would copy the message with
        // the attempt, and a replay of the attempt's own record would count it twice.
        let record = JournalRecord::AttemptStarted(attempt);
        self.write(&record.encode(id, &self.class_names))?;
        record.apply(id, &mut self.messages);
        Ok(())
    }

    /// Records the end of the attempt in flight.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The result is still in force in this incarnation.
    pub fn attempt_finished(&mut self, id: MessageId, execution: Execution) -> io::Result<()> {
        self.update(id, JournalRecord::AttemptFinished(execution))
    }

    /// Sets the final outcome of a message. Returns false if the message already had one.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The outcome is still in force in this incarnation.
    pub fn finish(
        &mut self,
        id: MessageId,
        outcome: FinalOutcome,
        notice: NoticeState,
        retain_until_ms: i64,
    ) -> io::Result<bool> {
        let Some(record) = self.messages.get(&id).filter(|record| record.is_open()) else {
            return Ok(false);
        };
        let bytes_before = record.estimated_journal_bytes();
        self.open_count -= 1;
        let result = self.update(
            id,
            JournalRecord::Finished {
                outcome,
                notice,
                retain_until_ms,
            },
        );
        let bytes_after = self.messages[&id].estimated_journal_bytes();
        self.live_bytes = self.live_bytes.saturating_sub(bytes_before) + bytes_after;
        if notice == NoticeState::NotRequired {
            self.retain(id);
        }
        result.map(|()| true)
    }

    /// Removes a message.
    ///
    /// # Errors
    /// The journal is full or cannot be written. The message is still removed in this incarnation.
    pub fn remove(&mut self, id: MessageId) -> io::Result<()> {
        if !self.messages.contains_key(&id) {
            return Ok(());
        }
        self.unindex(id);
        self.followed_records.message_removed(id);
        self.update(id, JournalRecord::Removed)
    }

    /// Removes backoffs and retained messages whose time has ended. Also removes the oldest retained messages while there
    /// are more than `max_retained`, or while they use more than half of the space for live records: retained messages must
    /// not displace new ones.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub fn sweep(&mut self, now_ms: i64, max_retained: usize) -> io::Result<()> {
        self.backoffs.retain(|_, until| *until > now_ms);
        while let Some(&(retain_until_ms, id)) = self.retained.first() {
            let too_many = self.retained.len() > max_retained;
            let too_large = self.retained_bytes > self.max_live_bytes() / 2;
            if retain_until_ms > now_ms && !too_many && !too_large {
                break;
            }
            self.remove(id)?;
        }
        Ok(())
    }
}

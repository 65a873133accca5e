//! Begins an incarnation's part of the journal, and recovers the messages of earlier incarnations.

use super::{MessageStore, RESERVED_BYTES, SEGMENT_BYTES};
use crate::core::journal::{Generation, Journal, Tail};
use crate::core::journal_record::{AttemptReport, JournalRecord, ReportConclusion, RouteRecord};
use crate::core::message_record::{Execution, NoticeState};
use crate::core::recent_completions::EndedMessage;
use crate::core::{FinalOutcome, MessageId};
use crate::system_error::is_transient;
use marblefall_scheduler::DestinationId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;

/// Divisor of the folder's maximum size that yields the space left to a successor.
const SUCCESSOR_DIVISOR: u64 = 4;
/// Maximum space that an incarnation leaves to a successor, in bytes.
const MAX_SUCCESSOR_BYTES: u64 = 8 << 20;
/// Space for the records that an incarnation writes after it has handed over, in bytes: results of its attempts, and
/// submissions of its remaining clients.
pub(super) const AFTER_HANDOVER_BYTES: u64 = 128 * 1024;
/// Number of segments that compaction needs space for.
const COMPACTION_SEGMENTS: u64 = 2;
/// Maximum number of ended messages that a replay remembers.
const MAX_ENDED: usize = 16 * 1024;
/// Number of low bits of a message's id that count within one incarnation.
const ID_BITS_PER_GENERATION: u32 = 40;

/// The data recovered from earlier incarnations besides their messages.
#[derive(Debug, Default)]
pub struct Recovered {
    /// States of the routes that predecessors journalled at their handover.
    pub routes: Vec<RouteRecord>,
    /// Messages whose attempt is still in flight in a running incarnation.
    pub in_flight: Vec<MessageId>,
}

/// The data replayed from the journals of earlier incarnations besides the messages.
#[derive(Default)]
struct Replayed {
    routes: Vec<RouteRecord>,
    backoffs: BTreeMap<(DestinationId, String), i64>,
    segments: BTreeMap<MessageId, u64>,
    /// Messages with a full record in each segment.
    full_records: BTreeMap<u64, BTreeSet<MessageId>>,
    /// The last report on an attempt of each message.
    reports: BTreeMap<MessageId, AttemptReport>,
    /// The last of the messages that were removed.
    ended: VecDeque<EndedMessage>,
}

impl Replayed {
    fn add_ended(&mut self, ended: Option<EndedMessage>) {
        self.ended.extend(ended);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}

impl MessageStore {
    /// Begins this incarnation's part of the journal in a folder that may grow to `max_bytes`. Until it takes over, the
    /// incarnation uses only the space that its predecessors leave.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn begin(
        folder: &Path,
        max_bytes: u64,
        class_names: Vec<String>,
        generation: Generation,
    ) -> io::Result<MessageStore> {
        let usable_bytes = max_bytes.saturating_sub(RESERVED_BYTES);
        let successor_bytes = (max_bytes / SUCCESSOR_DIVISOR).min(MAX_SUCCESSOR_BYTES);
        let mut used_bytes = 0;
        for file in std::fs::read_dir(folder)? {
            used_bytes += file?.metadata().map_or(0, |file| file.len());
        }
        let journal = Journal::begin(folder, SEGMENT_BYTES, generation)?;
        let compaction_bytes = COMPACTION_SEGMENTS * SEGMENT_BYTES;
        let unused_bytes = usable_bytes.saturating_sub(used_bytes + AFTER_HANDOVER_BYTES);
        let standby_limit = successor_bytes
            .saturating_sub(compaction_bytes)
            .min(unused_bytes);
        Ok(MessageStore {
            journal,
            hard_limit: standby_limit,
            compact_above: standby_limit,
            messages: BTreeMap::new(),
            segments: BTreeMap::new(),
            repeats: Default::default(),
            live_bytes: 0,
            open_count: 0,
            next_id: first_id(generation),
            retained: Default::default(),
            retained_bytes: 0,
            class_names,
            backoffs: BTreeMap::new(),
            tails: Vec::new(),
            followed_records: Default::default(),
            unwritten: BTreeSet::new(),
            handed_over: false,
            active_limit: usable_bytes.saturating_sub(successor_bytes),
            ended: Vec::new(),
            memory_limit: u64::MAX,
        })
    }

    /// Recovers the messages of all earlier incarnations, in the order of their generations. The `running` incarnations
    /// have handed over. Their journals are followed from now on, and their attempts in flight are not ended.
    ///
    /// Incarnations from `first_concurrent` on were running when this one started. Only their backoffs remain in force,
    /// and only their states of routes are returned, as a restart ends a backoff.
    ///
    /// Records that cannot be journalled during the takeover are journalled later by [`MessageStore::retry_unwritten`].
    ///
    /// # Errors
    /// The journal cannot be read. After a transient error nothing is recovered; otherwise the records that precede the
    /// error are recovered.
    pub fn take_over(
        &mut self,
        running: &[Generation],
        first_concurrent: Option<Generation>,
    ) -> io::Result<Recovered> {
        let own_ids: Vec<MessageId> = self.messages.keys().copied().collect();
        let mut replayed = Replayed::default();
        let replay = self.replay(running, first_concurrent, &mut replayed);
        // After a permanent error, the records that precede it are recovered, and all their attempts in flight are ended.
        let (tails, replay_result) = match replay {
            Ok(tails) => (tails, Ok(())),
            Err(error) if is_transient(&error) => return Err(error),
            Err(error) => (Vec::new(), Err(error)),
        };
        let has_running_predecessors = !tails.is_empty();
        self.tails.extend(tails);
        self.use_active_limit();
        replayed
            .segments
            .retain(|id, _| self.messages.contains_key(id));
        self.segments.extend(replayed.segments);
        self.remember_followed_records(replayed.full_records);
        let all_ids = self.messages.keys().copied();
        let recovered_ids: Vec<MessageId> = all_ids
            .filter(|id| own_ids.binary_search(id).is_err())
            .collect();
        for &id in &recovered_ids {
            self.index(id);
        }
        self.apply_superseded_reports(replayed.reports);
        let in_flight = self.resolve_in_flight(recovered_ids, has_running_predecessors);
        self.rejournal_backoffs(replayed.backoffs);
        self.ended.extend(replayed.ended);
        replay_result.map(|()| Recovered {
            routes: replayed.routes,
            in_flight,
        })
    }

    /// Applies reports on attempts that are still in flight according to the replay. The full record of a message may have
    /// been copied to a later segment than that of the report before the report was handled, and then replaces the
    /// reported state.
    fn apply_superseded_reports(&mut self, reports: BTreeMap<MessageId, AttemptReport>) {
        for (id, report) in reports {
            let result = &report.result;
            let is_superseded = self.messages.get(&id).is_some_and(|record| {
                record.in_flight().is_some() && record.attempts == result.attempt + 1
            });
            if !is_superseded {
                continue;
            }
            // Errors are ignored: the result is in force, and records that are not journalled are written again.
            let _ = self.attempt_finished(id, Execution::after(result.outcome));
            match report.conclusion(&self.messages[&id]) {
                ReportConclusion::Open => {}
                ReportConclusion::Removed => drop(self.remove(id)),
                ReportConclusion::Delivered => drop(self.finish(
                    id,
                    FinalOutcome::Delivered,
                    NoticeState::NotRequired,
                    report.retain_until_ms,
                )),
            }
        }
    }

    /// Remembers the full records in replayed segments that have not been adopted.
    fn remember_followed_records(&mut self, mut full_records: BTreeMap<u64, BTreeSet<MessageId>>) {
        full_records.retain(|segment, _| !self.journal.has_adopted(*segment));
        self.followed_records.extend(full_records);
        for id in self.followed_records.ids() {
            if !self.messages.contains_key(&id) {
                self.followed_records.message_removed(id);
            }
        }
    }

    /// Sets the size limits of an incarnation that has taken over.
    fn use_active_limit(&mut self) {
        self.hard_limit = self.active_limit;
        self.compact_above = self
            .active_limit
            .saturating_sub(COMPACTION_SEGMENTS * SEGMENT_BYTES);
    }

    /// Journals the backoffs of predecessors as backoffs of this incarnation. Its successor then does not need to know when
    /// this incarnation started.
    fn rejournal_backoffs(&mut self, backoffs: BTreeMap<(DestinationId, String), i64>) {
        for ((destination, endpoint), until_ms) in backoffs {
            // The error is ignored: without its record, the backoff is still in force in this incarnation, and a restart
            // ends a backoff anyway.
            let _ = self.record_backoff(destination, endpoint, until_ms);
        }
    }

    /// Applies the journals of earlier incarnations to the messages.
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
        self.journal
            .take_over(running, &self.tails, |segment, payload| {
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
                        replayed.full_records.entry(segment).or_default().insert(id);
                        record.apply(id, messages);
                    }
                    JournalRecord::AttemptReported(report) => {
                        replayed.reports.insert(id, *report);
                        let before = messages.get(&id).cloned();
                        JournalRecord::AttemptReported(report).apply(id, messages);
                        let removed = before.filter(|_| !messages.contains_key(&id));
                        let ended = removed.as_ref().and_then(EndedMessage::of_delivered);
                        replayed.add_ended(ended);
                    }
                    JournalRecord::Removed => {
                        let removed = messages.remove(&id);
                        let ended = removed.as_ref().and_then(EndedMessage::of_removed);
                        replayed.add_ended(ended);
                    }
                    record => record.apply(id, messages),
                }
            })
    }

    /// Ends the attempts in flight as possibly executed, as their incarnations have exited. If some incarnations are still
    /// running, ends none, and returns the messages with an attempt in flight instead.
    fn resolve_in_flight(
        &mut self,
        recovered_ids: Vec<MessageId>,
        has_running_predecessors: bool,
    ) -> Vec<MessageId> {
        let mut in_flight = Vec::new();
        for id in recovered_ids {
            let is_in_flight = self
                .messages
                .get(&id)
                .is_some_and(|record| record.in_flight().is_some());
            if !is_in_flight {
                continue;
            }
            if has_running_predecessors {
                in_flight.push(id);
            } else {
                // The error is ignored: the next incarnation then finds the attempt in flight and ends it.
                let _ = self.attempt_finished(id, Execution::Possible);
            }
        }
        in_flight
    }

    /// Continues the journal under a later generation, so that messages of the generations in between can be recovered.
    /// Backoffs are written again: a successor respects only those in the generations that ran beside it.
    ///
    /// # Errors
    /// The journal cannot be written.
    pub fn renew(&mut self, generation: Generation) -> io::Result<()> {
        self.journal.renew(generation)?;
        self.next_id = first_id(generation);
        self.copy_backoffs_forward()
    }
}

/// Returns the first message id of an incarnation.
fn first_id(generation: Generation) -> MessageId {
    MessageId((generation.0 << ID_BITS_PER_GENERATION) + 1)
}

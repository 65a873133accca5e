//! Reads the journals of predecessors that have handed over and are still running.

use super::MessageStore;
use crate::core::attempt_result::AttemptResult;
use crate::core::journal::Generation;
use crate::core::journal_record::JournalRecord;
use crate::core::MessageId;
use crate::system_error::is_transient;
use std::io;

/// An event that a predecessor journalled after it handed over.
#[derive(Debug, PartialEq)]
pub enum PredecessorEvent {
    /// The predecessor accepted a message.
    Accepted(MessageId),
    /// The predecessor reported the result of an attempt.
    AttemptFinished(AttemptResult),
}

impl MessageStore {
    /// Reads the records that running predecessors have journalled since the last call, and adds the events to `events`.
    /// Messages that a predecessor accepted are also stored as messages of this incarnation. Results of its attempts are
    /// not applied.
    ///
    /// # Errors
    /// The journal cannot be read. Events that precede the error have been added to `events`.
    pub fn follow(&mut self, events: &mut Vec<PredecessorEvent>) -> io::Result<()> {
        let mut tails = std::mem::take(&mut self.tails);
        let followed_all = tails.iter_mut().try_for_each(|tail| {
            let mut records = Vec::new();
            let result = self.journal.follow(tail, |segment, payload| {
                records.push((segment, payload.to_vec()))
            });
            self.apply_followed(records, events);
            result
        });
        self.tails = tails;
        followed_all
    }

    /// Reads the remaining records of a predecessor that has exited.
    ///
    /// # Errors
    /// The journal cannot be read. After a transient error the next call continues.
    pub fn finish_following(
        &mut self,
        generation: Generation,
        events: &mut Vec<PredecessorEvent>,
    ) -> io::Result<()> {
        while let Some(at) = self
            .tails
            .iter()
            .position(|tail| tail.generation == generation)
        {
            let mut tail = self.tails.remove(at);
            let mut records = Vec::new();
            let result = self
                .journal
                .finish_following(&mut tail, |segment, payload| {
                    records.push((segment, payload.to_vec()));
                });
            self.apply_followed(records, events);
            if result.as_ref().is_err_and(is_transient) {
                self.tails.insert(at, tail);
            }
            result?;
        }
        Ok(())
    }

    /// Stores the messages among records that a predecessor journalled after it handed over, and adds the events to
    /// `events`.
    fn apply_followed(&mut self, records: Vec<(u64, Vec<u8>)>, events: &mut Vec<PredecessorEvent>) {
        for (segment, payload) in records {
            match JournalRecord::decode(&payload, &self.class_names) {
                Some((id, record @ JournalRecord::Message(_))) => {
                    self.followed_records.insert(segment, id);
                    if self.messages.contains_key(&id) {
                        continue;
                    }
                    record.apply(id, &mut self.messages);
                    self.segments.insert(id, segment);
                    self.index(id);
                    events.push(PredecessorEvent::Accepted(id));
                }
                Some((_, JournalRecord::AttemptReported(report))) => {
                    events.push(PredecessorEvent::AttemptFinished(report.result));
                }
                _ => {}
            }
        }
    }

    /// Returns whether the journal of any predecessor is still followed.
    pub fn is_following(&self) -> bool {
        !self.tails.is_empty()
    }
}

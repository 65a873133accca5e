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
    /// Reads the records that running predecessors have journalled since the last call, and adds their events to `found`.
    /// Messages that a predecessor accepted are also stored as messages of this incarnation. Results of its attempts are
    /// not applied.
    ///
    /// # Errors
    /// The journal cannot be read. Events that precede the error have been added to `found`.
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

    /// Reads the remaining records of a predecessor that has exited.
    ///
    /// # Errors
    /// The journal cannot be read. After a transient error the next call continues.
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

    /// Stores the messages among records that a predecessor journalled after it handed over, and adds the events to
    /// `found`.
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
                Some((_, JournalRecord::AttemptReported(report))) => {
                    found.push(PredecessorEvent::AttemptFinished(report.result));
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

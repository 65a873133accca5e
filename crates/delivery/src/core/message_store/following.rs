//! Follows the journals of predecessors that have handed over and are still running.

use super::MessageStore;
use crate::core::attempt_result::AttemptResult;
use crate::core::journal::Generation;
use crate::core::journal_record::JournalRecord;
use crate::core::MessageId;
use crate::system_error::is_transient;
use std::io;

/// What a running predecessor has journalled.
#[derive(Debug, PartialEq)]
pub enum PredecessorEvent {
    /// It accepted a message.
    Accepted(MessageId),
    /// It reported the result of an attempt.
    AttemptFinished(AttemptResult),
}

impl MessageStore {
    /// Reads what running predecessors have journalled since the last call. The messages that they accepted are stored as
    /// this incarnation's. The results of their attempts are only added to `found`.
    ///
    /// # Errors
    /// The journal cannot be read. What was read before the error has been added to `found`.
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

    /// Reads the rest of what a predecessor has journalled that has exited.
    ///
    /// # Errors
    /// The journal cannot be read. After a transient error the next call reads on.
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

    /// Handles the records that a predecessor journalled after it had handed over.
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

    /// Whether predecessors are still running.
    pub fn is_following(&self) -> bool {
        !self.tails.is_empty()
    }
}

//! The identities of the platform's messages that ended recently, by which repeats are not mistaken for new messages.

use super::message_record::{AttemptRecord, MessageRecord};
use super::{FinalOutcome, Origin};
use marblefall_scheduler::{Span, Time};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Time for which an identity is retained: longer than the deadline of any message of the platform.
const RETENTION: Span = Span(20_000_000);
/// Maximum memory of all identities, in bytes. Beyond it, the oldest are forgotten early.
const MAX_BYTES: usize = 2_000_000;
/// Memory of an entry besides its identity, in bytes.
const ENTRY_OVERHEAD: usize = 128;

/// Whether a message that ended was executed.
#[derive(Clone, Debug, PartialEq)]
pub enum EndedExecution {
    /// It was delivered.
    Delivered,
    /// It may have been executed by this attempt or a later one.
    Possible(AttemptRecord),
    /// It was certainly not executed.
    RuledOut,
}

/// A message of the platform that has ended and is no longer stored.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedMessage {
    /// The message's identity.
    pub identity: Vec<u8>,
    /// Whether it was executed.
    pub execution: EndedExecution,
}

impl EndedMessage {
    /// Creates the entry of a removed message; `None` for an event, whose record is retained while its repeats are recognised.
    pub fn of_removed(record: &MessageRecord) -> Option<EndedMessage> {
        let outcome = record.completion().map(|completion| completion.outcome);
        let execution = match (outcome, record.first_possibly_executed()) {
            (Some(FinalOutcome::Delivered), _) => EndedExecution::Delivered,
            (_, Some(attempt)) => EndedExecution::Possible(attempt.clone()),
            (_, None) => EndedExecution::RuledOut,
        };
        (record.message.origin == Origin::Platform).then(|| EndedMessage {
            identity: record.message.identity.clone(),
            execution,
        })
    }

    /// Creates the entry of a message that was removed with the report of its delivery.
    pub fn of_delivered(record: &MessageRecord) -> Option<EndedMessage> {
        Some(EndedMessage {
            execution: EndedExecution::Delivered,
            ..EndedMessage::of_removed(record)?
        })
    }
}

/// The messages that ended recently.
#[derive(Debug, Default)]
pub struct RecentCompletions {
    executions: HashMap<Rc<[u8]>, EndedExecution>,
    by_time: VecDeque<(Time, Rc<[u8]>)>,
    bytes: usize,
}

impl RecentCompletions {
    /// Inserts a message that ends now.
    pub fn insert(&mut self, now: Time, ended: EndedMessage) {
        let identity: Rc<[u8]> = ended.identity.into();
        let known = self.executions.insert(identity.clone(), ended.execution);
        if known.is_none() {
            self.bytes += entry_bytes(&identity);
            self.by_time.push_back((now, identity));
        }
        while self.bytes > MAX_BYTES {
            self.forget_oldest();
        }
    }

    /// Returns whether a recently ended message with this identity was executed; `None` if there is none.
    pub fn execution(&self, identity: &[u8]) -> Option<&EndedExecution> {
        self.executions.get(identity)
    }

    /// Removes the messages whose retention has ended.
    pub fn sweep(&mut self, now: Time) {
        while self
            .by_time
            .front()
            .is_some_and(|(at, _)| now - *at >= RETENTION)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, identity)) = self.by_time.pop_front() {
            self.bytes -= entry_bytes(&identity);
            self.executions.remove(&identity);
        }
    }
}

fn entry_bytes(identity: &[u8]) -> usize {
    identity.len() + ENTRY_OVERHEAD
}

#[cfg(test)]
mod tests;

//! Messages of the platform that two incarnations have accepted under one identity.
//!
//! While one process takes over from another, both accept messages, and neither knows those of the other. A client that left
//! without its response may then submit a message to the other process. Each identity is one message, which is executed as
//! often as its class permits and has one final outcome, whichever process accepted it first.

use super::{log_journal_error, Engine, EngineCommand};
use crate::core::message_record::{AttemptRecord, MessageRecord};
use crate::core::recent_completions::EndedExecution;
use crate::core::{FinalOutcome, MessageId, Origin, Timestamp};

/// The consequence of an earlier message with the same identity.
enum RepeatResolution {
    /// The earlier message is open, or was delivered, so the repeat is dropped.
    Drop,
    /// The earlier message may have been executed, which limits the attempts of the repeat.
    Limit(AttemptRecord),
}

/// The messages that count as earlier ones than a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlierMessages {
    /// Those with a lower id.
    LowerIds,
    /// All others, as a predecessor accepted the repeat after it handed over.
    All,
}

impl Engine {
    /// Drops or limits the stored messages that repeat others, before any of them is resumed.
    pub(super) fn resolve_repeated_identities(
        &mut self,
        now: Timestamp,
        commands: &mut Vec<EngineCommand>,
    ) {
        for ended in self.store.take_ended() {
            self.recent_completions.insert(now.monotonic, ended);
        }
        let all: Vec<MessageId> = self.store.messages().keys().copied().collect();
        for id in all {
            self.resolve_if_repeated(id, EarlierMessages::LowerIds, commands);
        }
    }

    /// Drops or limits a message if it repeats an earlier one. Returns whether it was dropped.
    pub(super) fn resolve_if_repeated(
        &mut self,
        id: MessageId,
        earlier: EarlierMessages,
        commands: &mut Vec<EngineCommand>,
    ) -> bool {
        match self.repeat_resolution(id, earlier) {
            None => false,
            Some(RepeatResolution::Limit(attempt)) => {
                log_journal_error(self.store.limit_attempts(id, attempt), commands);
                false
            }
            Some(RepeatResolution::Drop) => {
                self.drop_repeat(id, commands);
                true
            }
        }
    }

    fn repeat_resolution(
        &self,
        id: MessageId,
        earlier: EarlierMessages,
    ) -> Option<RepeatResolution> {
        let is_platform = |record: &MessageRecord| record.message.origin == Origin::Platform;
        let repeat = self.store.get(id).filter(|record| is_platform(record))?;
        if !repeat.is_open() || repeat.attempts > 0 {
            return None;
        }
        let identity = &repeat.message.identity;
        let is_earlier = |other: MessageId| match earlier {
            EarlierMessages::LowerIds => other < id,
            EarlierMessages::All => other != id,
        };
        let mut stored = self.store.with_identity(identity);
        let stored = stored.rfind(|(other, record)| is_earlier(*other) && is_platform(record));
        match (stored, self.recent_completions.execution(identity)) {
            (Some((_, record)), _) => resolution_by_stored(record),
            (None, Some(EndedExecution::Delivered)) => Some(RepeatResolution::Drop),
            (None, Some(EndedExecution::Possible(attempt))) => {
                Some(RepeatResolution::Limit(attempt.clone()))
            }
            (None, Some(EndedExecution::RuledOut) | None) => None,
        }
    }

    /// Removes a message without a final outcome of its own, which is that of the message it repeats.
    fn drop_repeat(&mut self, id: MessageId, commands: &mut Vec<EngineCommand>) {
        commands.push(EngineCommand::Log(format!(
            "message {} repeats one that another process has accepted, and is dropped",
            id.0
        )));
        self.waiting_clients.remove(&id);
        log_journal_error(self.store.remove(id), commands);
    }
}

fn resolution_by_stored(record: &MessageRecord) -> Option<RepeatResolution> {
    let outcome = record.completion().map(|completion| completion.outcome);
    match outcome {
        None | Some(FinalOutcome::Delivered) => Some(RepeatResolution::Drop),
        Some(_) => {
            let attempt = record.first_possibly_executed().cloned();
            attempt.map(RepeatResolution::Limit)
        }
    }
}

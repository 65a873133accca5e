//! The stored state of one message, as a state machine.
//!
//! A message is [`Pending`](MessageState::Pending) once it is accepted, and [`InFlight`](MessageState::InFlight) during
//! an attempt. It becomes pending again after an attempt without a final outcome, and
//! [`Finished`](MessageState::Finished) with its final outcome, which never changes. The record of a finished message is
//! retained until its notice is acknowledged and repeats of the message no longer need to be recognised.

use super::{FinalOutcome, Message};
use marblefall_scheduler::Outcome;
use std::rc::Rc;

/// Estimated size of a record in the journal, excluding the message's identity, attributes and body, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 256;
/// Estimated size of an alias in the journal, excluding its content, in bytes.
const ALIAS_OVERHEAD_BYTES: u64 = 8;

/// The record of a started attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Start of the attempt, as Unix time in milliseconds.
    pub started_ms: i64,
    /// Name of the endpoint that the attempt was sent to.
    pub endpoint: String,
}

/// Whether an attempt may have been executed by its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt may have been executed.
    Possible,
    /// The attempt was certainly not executed.
    RuledOut,
}

impl Execution {
    /// Returns whether an attempt with this outcome may have been executed.
    pub fn after(outcome: Outcome) -> Execution {
        if outcome.proves_not_executed() {
            Execution::RuledOut
        } else {
            Execution::Possible
        }
    }
}

/// Whether the platform must be notified of a final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeState {
    /// A notice is sent repeatedly until the platform acknowledges it.
    Pending,
    /// No notice is needed.
    NotRequired,
}

/// The final outcome of a message, and the conditions under which its record may be removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Final outcome of the message.
    pub outcome: FinalOutcome,
    /// Whether the platform must be notified of the final outcome.
    pub notice: NoticeState,
    /// Unix time in milliseconds until which repeats of the message must be recognised.
    pub retain_until_ms: i64,
    /// An attempt whose result had not been reported when the message finished.
    pub unreported: Option<AttemptRecord>,
}

/// The state of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    /// The message waits for its first or next attempt.
    Pending,
    /// An attempt is in flight.
    InFlight(AttemptRecord),
    /// The message has its final outcome.
    Finished(Completion),
}

/// The record of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageRecord {
    /// The message. Its body and attributes are empty once it has finished.
    pub message: Rc<Message>,
    /// Number of started attempts.
    pub attempts: u32,
    /// The first ended attempt that may have been executed, if any.
    pub first_possible_execution: Option<AttemptRecord>,
    /// State of the message.
    pub state: MessageState,
    /// Other identities under which the message was submitted.
    pub aliases: Vec<Vec<u8>>,
}

impl MessageRecord {
    /// Creates the record of a newly accepted message.
    pub fn new(message: Rc<Message>) -> MessageRecord {
        MessageRecord {
            message,
            attempts: 0,
            first_possible_execution: None,
            state: MessageState::Pending,
            aliases: Vec::new(),
        }
    }

    /// Returns all identities under which the message was submitted.
    pub fn identities(&self) -> impl Iterator<Item = &[u8]> {
        let all = [&self.message.identity].into_iter().chain(&self.aliases);
        all.map(Vec::as_slice)
    }

    /// Returns whether the message was submitted under an identity.
    pub fn has_identity(&self, identity: &[u8]) -> bool {
        self.identities().any(|known| known == identity)
    }

    /// Returns the final outcome, if the message has one.
    pub fn completion(&self) -> Option<&Completion> {
        match &self.state {
            MessageState::Finished(completion) => Some(completion),
            MessageState::Pending | MessageState::InFlight(_) => None,
        }
    }

    /// Returns whether the message has no final outcome yet.
    pub fn is_open(&self) -> bool {
        self.completion().is_none()
    }

    /// Returns whether a notice of the final outcome has not been acknowledged yet.
    pub fn has_pending_notice(&self) -> bool {
        self.completion()
            .is_some_and(|completion| completion.notice == NoticeState::Pending)
    }

    /// Returns the attempt whose result has not been reported.
    pub fn in_flight(&self) -> Option<&AttemptRecord> {
        match &self.state {
            MessageState::Pending => None,
            MessageState::InFlight(attempt) => Some(attempt),
            MessageState::Finished(completion) => completion.unreported.as_ref(),
        }
    }

    /// Returns the first attempt that may have been executed, also if its result has not been reported.
    pub fn first_possibly_executed(&self) -> Option<&AttemptRecord> {
        let ended = self.first_possible_execution.as_ref();
        ended.or_else(|| self.in_flight())
    }

    /// Starts an attempt. If an earlier attempt is still in flight, its process ended before the result was known. That
    /// attempt is recorded as possibly executed: otherwise a repeat could be sent after the receiver's deduplication
    /// window.
    pub(super) fn start_attempt(&mut self, attempt: AttemptRecord) {
        self.attempts += 1;
        let unfinished = match &mut self.state {
            MessageState::Finished(completion) => completion.unreported.replace(attempt),
            MessageState::Pending | MessageState::InFlight(_) => {
                let unfinished = self.take_in_flight();
                self.state = MessageState::InFlight(attempt);
                unfinished
            }
        };
        if let Some(unfinished) = unfinished {
            self.first_possible_execution.get_or_insert(unfinished);
        }
    }

    /// Ends the attempt in flight. Returns whether there was one.
    pub(super) fn finish_attempt(&mut self, execution: Execution) -> bool {
        let Some(attempt) = self.take_in_flight() else {
            return false;
        };
        if execution == Execution::Possible {
            self.first_possible_execution.get_or_insert(attempt);
        }
        true
    }

    /// Sets the final outcome of the message, and drops its body and attributes.
    pub(super) fn finish(
        &mut self,
        outcome: FinalOutcome,
        notice: NoticeState,
        retain_until_ms: i64,
    ) {
        let unreported = self.take_in_flight();
        let without_content = Message {
            body: Vec::new(),
            attributes: Vec::new(),
            ..(*self.message).clone()
        };
        self.message = Rc::new(without_content);
        self.state = MessageState::Finished(Completion {
            outcome,
            notice,
            retain_until_ms,
            unreported,
        });
    }

    fn take_in_flight(&mut self) -> Option<AttemptRecord> {
        match &mut self.state {
            MessageState::Pending => None,
            MessageState::Finished(completion) => completion.unreported.take(),
            MessageState::InFlight(_) => {
                match std::mem::replace(&mut self.state, MessageState::Pending) {
                    MessageState::InFlight(attempt) => Some(attempt),
                    MessageState::Pending | MessageState::Finished(_) => None,
                }
            }
        }
    }

    /// Returns the estimated size of this record in the journal, in bytes.
    pub(super) fn estimated_journal_bytes(&self) -> u64 {
        let aliases: u64 = self
            .aliases
            .iter()
            .map(|alias| estimated_alias_bytes(alias))
            .sum();
        estimated_message_bytes(&self.message) + aliases
    }
}

/// Returns the estimated size of an alias in the journal, in bytes.
pub(super) fn estimated_alias_bytes(alias: &[u8]) -> u64 {
    alias.len() as u64 + ALIAS_OVERHEAD_BYTES
}

/// Returns the estimated size of an accepted message in the journal, in bytes.
pub(super) fn estimated_message_bytes(message: &Message) -> u64 {
    let content = message.identity.len() + message.attributes.len() + message.body.len();
    content as u64 + RECORD_OVERHEAD_BYTES
}

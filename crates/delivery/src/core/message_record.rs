//! The stored state of one message, as a state machine.
//!
//! A message is [`Pending`](MessageState::Pending) from its acceptance, [`InFlight`](MessageState::InFlight) during an
//! attempt, pending again after an attempt without a final outcome, and [`Finished`](MessageState::Finished) once. The
//! record of a finished message is retained until its notice is acknowledged and repeats of it need no longer be
//! recognised.

use super::{FinalOutcome, Message};
use marblefall_scheduler::Outcome;
use std::rc::Rc;

/// Estimated size of a record in the journal without the message's identity, attributes and body, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 256;
/// Estimated size of an alias in the journal without its content, in bytes.
const ALIAS_OVERHEAD_BYTES: u64 = 8;

/// An attempt that was started.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// When it was started, as Unix time in milliseconds.
    pub started_ms: i64,
    /// The name of its endpoint.
    pub endpoint: String,
}

/// Whether an attempt may have been executed by its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It may have been executed.
    Possible,
    /// It was certainly not executed.
    RuledOut,
}

impl Execution {
    /// Whether an attempt with this outcome may have been executed.
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
    /// A notice is sent until the platform acknowledges it.
    Pending,
    /// No notice is needed.
    NotRequired,
}

/// The final outcome of a message, and how long its record is needed.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The final outcome.
    pub outcome: FinalOutcome,
    /// Whether the platform must be notified of it.
    pub notice: NoticeState,
    /// Unix time in milliseconds until which a repeat must be recognised.
    pub retain_until_ms: i64,
    /// An attempt whose result had not been reported when the message finished.
    pub unreported: Option<AttemptRecord>,
}

/// The state of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    /// Waiting for its first or next attempt.
    Pending,
    /// An attempt is in flight.
    InFlight(AttemptRecord),
    /// It has its final outcome.
    Finished(Completion),
}

/// The record of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageRecord {
    /// The message; without its body and attributes once it has finished.
    pub message: Rc<Message>,
    /// How many attempts were started.
    pub attempts: u32,
    /// The first attempt that may have been executed.
    pub first_possible_execution: Option<AttemptRecord>,
    /// Its state.
    pub state: MessageState,
    /// Other identities under which it was submitted.
    pub aliases: Vec<Vec<u8>>,
}

impl MessageRecord {
    /// The record of a message that was just accepted.
    pub fn new(message: Rc<Message>) -> MessageRecord {
        MessageRecord {
            message,
            attempts: 0,
            first_possible_execution: None,
            state: MessageState::Pending,
            aliases: Vec::new(),
        }
    }

    /// The final outcome, if it has one.
    pub fn completion(&self) -> Option<&Completion> {
        match &self.state {
            MessageState::Finished(completion) => Some(completion),
            MessageState::Pending | MessageState::InFlight(_) => None,
        }
    }

    /// Whether it has no final outcome yet.
    pub fn is_open(&self) -> bool {
        self.completion().is_none()
    }

    /// Whether a notice of its final outcome has not been acknowledged yet.
    pub fn has_pending_notice(&self) -> bool {
        self.completion()
            .is_some_and(|completion| completion.notice == NoticeState::Pending)
    }

    /// The attempt whose result has not been reported.
    pub fn in_flight(&self) -> Option<&AttemptRecord> {
        match &self.state {
            MessageState::Pending => None,
            MessageState::InFlight(attempt) => Some(attempt),
            MessageState::Finished(completion) => completion.unreported.as_ref(),
        }
    }

    /// Starts an attempt. An earlier attempt that is still in flight was so when its process ended. It may have been
    /// executed, and is recorded so: otherwise a repeat could be sent after the receiver's deduplication window.
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

    /// Ends the attempt in flight; returns whether there was one.
    pub(super) fn finish_attempt(&mut self, execution: Execution) -> bool {
        let Some(attempt) = self.take_in_flight() else {
            return false;
        };
        if execution == Execution::Possible {
            self.first_possible_execution.get_or_insert(attempt);
        }
        true
    }

    /// Gives it its final outcome, and drops the body and the attributes.
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

    /// Estimated size of its record in the journal, in bytes.
    pub(super) fn journal_cost(&self) -> u64 {
        let aliases: u64 = self.aliases.iter().map(|alias| alias_cost(alias)).sum();
        message_cost(&self.message) + aliases
    }
}

/// Estimated size of an alias in the journal, in bytes.
pub(super) fn alias_cost(alias: &[u8]) -> u64 {
    alias.len() as u64 + ALIAS_OVERHEAD_BYTES
}

/// Estimated size of an accepted message in the journal, in bytes.
pub(super) fn message_cost(message: &Message) -> u64 {
    let content = message.identity.len() + message.attributes.len() + message.body.len();
    content as u64 + RECORD_OVERHEAD_BYTES
}

//! What the store knows of one message, as a state machine.
//!
//! A message is [`Pending`](MessageState::Pending) from its acceptance, [`InFlight`](MessageState::InFlight) while an
//! attempt of it is out, pending again when that attempt ended without a final outcome, and
//! [`Finished`](MessageState::Finished) once. A finished record stays until its notice was taken and no repeat can do
//! harm.

use super::{FinalOutcome, Message};
use std::rc::Rc;

/// What a record of a finished message takes in the journal besides its identity, in bytes, roughly.
const RECORD_OVERHEAD: u64 = 256;
/// What an alias takes besides its bytes.
const ALIAS_OVERHEAD: u64 = 8;

/// An attempt that was started.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// When, as Unix time in milliseconds.
    pub started_ms: i64,
    /// The endpoint, by the name that stays the same.
    pub endpoint: String,
}

/// The final outcome of a message, and what is still owed for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// How it ended.
    pub outcome: FinalOutcome,
    /// Whether the platform must still be told.
    pub notice_owed: bool,
    /// Unix time in milliseconds until which a repeat must be recognised.
    pub keep_until_ms: i64,
    /// An attempt whose end had not been reported when the message finished.
    pub unreported: Option<AttemptRecord>,
}

/// Where a message stands.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageState {
    /// Waiting for its first or next attempt.
    Pending,
    /// An attempt is in flight.
    InFlight(AttemptRecord),
    /// It has its final outcome.
    Finished(Completion),
}

/// What is known of one message.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageRecord {
    /// The message; without its body and attributes once it has finished.
    pub message: Rc<Message>,
    /// Attempts started.
    pub attempts: u32,
    /// The first attempt that may have been executed.
    pub first_possible_execution: Option<AttemptRecord>,
    /// Where it stands.
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

    /// Whether a notice of its final outcome is owed.
    pub fn notice_owed(&self) -> bool {
        self.completion()
            .is_some_and(|completion| completion.notice_owed)
    }

    /// The attempt whose end has not been reported.
    pub fn in_flight(&self) -> Option<&AttemptRecord> {
        match &self.state {
            MessageState::Pending => None,
            MessageState::InFlight(attempt) => Some(attempt),
            MessageState::Finished(completion) => completion.unreported.as_ref(),
        }
    }

    /// An attempt starts. One that is still in flight here was when its process ended: lost behind the next one, it
    /// would let a repeat go out after the receiver's window, so it counts as one that may have been executed.
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

    /// The attempt in flight ended; returns whether there was one.
    pub(super) fn finish_attempt(&mut self, may_have_executed: bool) -> bool {
        let Some(attempt) = self.take_in_flight() else {
            return false;
        };
        if may_have_executed {
            self.first_possible_execution.get_or_insert(attempt);
        }
        true
    }

    /// Gives it its final outcome. The body and the attributes are needed no more.
    pub(super) fn finish(&mut self, outcome: FinalOutcome, notice_owed: bool, keep_until_ms: i64) {
        let unreported = self.take_in_flight();
        let body_and_attributes_dropped = Message {
            body: Vec::new(),
            attributes: Vec::new(),
            ..(*self.message).clone()
        };
        self.message = Rc::new(body_and_attributes_dropped);
        self.state = MessageState::Finished(Completion {
            outcome,
            notice_owed,
            keep_until_ms,
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

    /// What it takes in the journal, in bytes, roughly.
    pub(super) fn journal_cost(&self) -> u64 {
        let message = &self.message;
        let content = message.identity.len() + message.attributes.len() + message.body.len();
        let aliases: u64 = self.aliases.iter().map(|alias| alias_cost(alias)).sum();
        content as u64 + aliases + RECORD_OVERHEAD
    }
}

/// What an alias takes in the journal, in bytes, roughly.
pub(super) fn alias_cost(alias: &[u8]) -> u64 {
    alias.len() as u64 + ALIAS_OVERHEAD
}

/// What a message of this size would take in the journal, in bytes, roughly.
pub(super) fn message_cost(message: &Message) -> u64 {
    let content = message.identity.len() + message.attributes.len() + message.body.len();
    content as u64 + RECORD_OVERHEAD
}

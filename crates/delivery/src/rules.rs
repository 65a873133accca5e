//! The one place that says whether an attempt may be started, whether its bytes may be sent, and whether a connection may
//! be closed, and that names the rule which forbids it.
//!
//! Whoever acts asks here at the moment of acting. The scheduler and the pool choose by the same rules, so that a start
//! which is refused here is a fault of this program: it is counted as a violation and logged, and nothing is sent.

use crate::core::message_record::MessageRecord;
use crate::core::Timestamp;
use marblefall_scheduler::{Idempotency, MessageClass};
use std::fmt;
use std::time::Instant;

/// A rule that an action of this program would break, or has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A message has one attempt in flight at most.
    OneAttemptInFlight,
    /// Nothing is sent for a message that has its final outcome.
    NothingAfterTheEnd,
    /// What may have been executed and must not be executed twice is not sent again.
    NoRepeat,
    /// A repeat is sent within its receivers' window only.
    RepeatWithinWindow,
    /// Nothing is sent on a route that asked to back off.
    BackoffKept,
    /// A request that was read is answered before its connection ends.
    RequestAnswered,
}

impl Rule {
    /// The rule's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAttemptInFlight => "one-attempt-in-flight",
            Rule::NothingAfterTheEnd => "nothing-after-the-end",
            Rule::NoRepeat => "no-repeat",
            Rule::RepeatWithinWindow => "repeat-within-window",
            Rule::BackoffKept => "backoff-kept",
            Rule::RequestAnswered => "request-answered",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether an attempt of a message may be started.
///
/// # Errors
/// The rule that forbids it.
pub fn may_start(
    record: &MessageRecord,
    class: Option<&MessageClass>,
    now: Timestamp,
) -> Result<(), Rule> {
    if !record.is_open() {
        return Err(Rule::NothingAfterTheEnd);
    }
    if record.in_flight().is_some() {
        return Err(Rule::OneAttemptInFlight);
    }
    let (Some(first), Some(class)) = (&record.first_possible_execution, class) else {
        return Ok(());
    };
    match class.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NonIdempotent => Err(Rule::NoRepeat),
        Idempotency::IdempotencyKey { window, .. } => {
            let window_end = now.monotonic_of(first.started_ms) + window;
            if now.monotonic < window_end {
                Ok(())
            } else {
                Err(Rule::RepeatWithinWindow)
            }
        }
    }
}

/// Why the bytes of an attempt are withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Its endpoint drains, is removed, or has moved.
    EndpointGone,
    /// Its route is in backoff.
    Backoff,
    /// Its last byte could not be written in time any more.
    Late,
}

/// What decides whether the bytes of an attempt may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// Whether its endpoint takes attempts where its connection leads.
    pub endpoint_accepts: bool,
    /// Until when its route is in backoff.
    pub backoff_until: Option<Instant>,
    /// Its last byte is written before then or not at all: a window for repeats, or its time-out.
    pub write_by: Instant,
}

impl SendConditions {
    /// Whether the first byte may be sent now.
    ///
    /// # Errors
    /// Why not.
    pub fn may_begin(&self, now: Instant) -> Result<(), Withheld> {
        if !self.endpoint_accepts {
            return Err(Withheld::EndpointGone);
        }
        self.may_go_on(now)
    }

    /// Whether more may be sent of a request that has begun: what drains meanwhile gets the rest.
    ///
    /// # Errors
    /// Why not.
    pub fn may_go_on(&self, now: Instant) -> Result<(), Withheld> {
        if self.backoff_until.is_some_and(|until| now < until) {
            return Err(Withheld::Backoff);
        }
        if now >= self.write_by {
            return Err(Withheld::Late);
        }
        Ok(())
    }
}

/// What decides whether a client's connection may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseConditions {
    /// Whether a request may begin or go on there.
    pub may_send_request: bool,
    /// Whether bytes have come that nobody has read.
    pub has_unread: bool,
}

impl CloseConditions {
    /// Whether it may be closed: not over bytes that may be a request, or its last part.
    pub fn may_close(self) -> bool {
        !(self.may_send_request && self.has_unread)
    }
}

#[cfg(test)]
mod tests;

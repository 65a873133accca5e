//! The invariants of delivery, which determine whether an attempt may be started, whether its bytes may be sent, and
//! whether a connection may be closed.
//!
//! The invariants are checked immediately before each action. The scheduler and the pool decide by the same rules, so an
//! attempt that is refused here indicates a fault in this program. The refusal is counted as a violation and logged, and
//! nothing is sent.

use crate::core::message_record::MessageRecord;
use crate::core::Timestamp;
use marblefall_scheduler::{DeduplicationScope, Idempotency, MessageClass};
use std::fmt;
use std::time::Instant;

/// An invariant of delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A message has at most one attempt in flight.
    OneAttemptInFlight,
    /// No attempt is sent for a message that has its final outcome.
    NothingAfterFinalOutcome,
    /// A message that is not idempotent is not sent again after an attempt that may have been executed.
    NoRepeat,
    /// A repeat is sent only within its receiver's deduplication window.
    RepeatWithinWindow,
    /// Nothing is sent on a route in backoff.
    RespectBackoff,
    /// A request that was read is answered before its connection is closed.
    RequestAnswered,
}

impl Rule {
    /// Returns the name of the rule in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAttemptInFlight => "one-attempt-in-flight",
            Rule::NothingAfterFinalOutcome => "nothing-after-final-outcome",
            Rule::NoRepeat => "no-repeat",
            Rule::RepeatWithinWindow => "repeat-within-window",
            Rule::RespectBackoff => "respect-backoff",
            Rule::RequestAnswered => "request-answered",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Checks that an attempt of a message may be started.
///
/// # Errors
/// Returns the rule that the attempt would violate.
pub fn may_start(
    record: &MessageRecord,
    class: Option<&MessageClass>,
    now: Timestamp,
) -> Result<(), Rule> {
    if !record.is_open() {
        return Err(Rule::NothingAfterFinalOutcome);
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

/// Returns whether a client may be told to submit a message again. It may submit the message to another instance, which
/// knows nothing of the attempts of this one.
pub fn may_return(record: &MessageRecord, class: Option<&MessageClass>) -> bool {
    let may_have_been_executed =
        record.first_possible_execution.is_some() || record.in_flight().is_some();
    let idempotency = class.map(|class| class.idempotency);
    match idempotency {
        _ if !may_have_been_executed => true,
        Some(
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            },
        ) => true,
        Some(Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent) | None => false,
    }
}

/// The reason for which the bytes of an attempt are withheld. The names of the variants are written to log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The endpoint is draining, was removed, or has another address.
    EndpointGone,
    /// The route is in backoff.
    Backoff,
    /// The last byte can no longer be written in time.
    Late,
}

/// The conditions for sending the bytes of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// Whether the endpoint accepts attempts at the address of the connection.
    pub endpoint_accepts: bool,
    /// End of the route's backoff; `None` if the route is not in backoff.
    pub backoff_until: Option<Instant>,
    /// Time by which the last byte must have been written: the timeout of the attempt, or the end of the deduplication
    /// window for a repeat, whichever is earlier.
    pub write_by: Instant,
}

impl SendConditions {
    /// Checks that the first byte may be sent now.
    ///
    /// # Errors
    /// Returns the reason for which the attempt is withheld.
    pub fn may_begin(&self, now: Instant) -> Result<(), Withheld> {
        if !self.endpoint_accepts {
            return Err(Withheld::EndpointGone);
        }
        self.may_continue(now)
    }

    /// Checks that more bytes of a partly sent request may be sent. A draining endpoint still receives the rest.
    ///
    /// # Errors
    /// Returns the reason for which the rest is withheld.
    pub fn may_continue(&self, now: Instant) -> Result<(), Withheld> {
        if self.backoff_until.is_some_and(|until| now < until) {
            return Err(Withheld::Backoff);
        }
        if now >= self.write_by {
            return Err(Withheld::Late);
        }
        Ok(())
    }
}

/// The conditions for closing a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseConditions {
    /// Whether the client may begin or continue a request on the connection.
    pub may_send_request: bool,
    /// Whether received bytes have not been read yet.
    pub has_unread: bool,
}

impl CloseConditions {
    /// Returns whether the connection may be closed. It may not while unread bytes may be a request or part of a request.
    pub fn may_close(self) -> bool {
        !(self.may_send_request && self.has_unread)
    }
}

#[cfg(test)]
mod tests;

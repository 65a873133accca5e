//! Counters of an instance, printed on request and at exit.
//!
//! Where the printed name differs from the field's, operators' tools read the printed one.

use crate::log_line;
use crate::rules::Rule;
use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $printed:literal),* $(,)?) => {
        /// Counts since the process started.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!($printed, "={} "), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Messages submitted.
    submitted = "offered",
    /// Of these, accepted.
    accepted = "taken_on",
    /// Of these, rejected.
    rejected = "declined",
    /// Messages that an earlier incarnation had accepted.
    recovered = "resumed",
    /// Requests that could not be read or used.
    unreadable_requests = "rejected",
    /// Attempts started.
    attempts = "legs",
    /// Connections opened to endpoints.
    connections_opened = "dialled",
    /// Attempts whose response says delivered.
    attempts_delivered = "delivered",
    /// Attempts that were rejected.
    attempts_rejected = "turned_away",
    /// Of these, those that found no slot free.
    attempts_without_slot = "no_slot",
    /// Attempts whose response is an error.
    attempts_failed = "errors",
    /// Attempts abandoned without a response.
    attempts_timed_out = "timed_out",
    /// Attempts that got no connection.
    attempts_unconnected = "unconnected",
    /// Attempts whose connection broke.
    attempts_reset = "resets",
    /// Attempts that were cancelled.
    attempts_cancelled = "cancelled",
    /// Attempts not sent after all.
    attempts_not_sent = "not_begun",
    /// Messages returned to be submitted again.
    returned = "returned",
    /// Messages that failed.
    failed = "failed",
    /// Messages that expired.
    expired = "expired",
    /// Notices that the platform has acknowledged.
    notices_acknowledged = "notices",
    /// Submissions rejected as the instance holds as many messages as it may, or its journal is full.
    rejected_full = "rejected_full",
    /// Submissions rejected as the process ends.
    rejected_ending = "rejected_ending",
    /// Submissions rejected as no endpoint list has named their destination.
    rejected_unknown = "rejected_unknown",
    /// Submissions rejected as the journal could not be written.
    rejected_unjournalled = "rejected_unjournalled",
    /// Submissions rejected as the scheduler had no use for them.
    rejected_by_scheduler = "rejected_by_scheduler",
    /// Rules that were broken, or would have been had the action not been refused.
    violations = "violations",
    /// The longest that the engine kept everything else of the instance waiting, in microseconds: no count.
    longest_step_us = "longest_step_us",
}

impl Counters {
    /// Counts and logs a rule that was broken, or would have been.
    pub fn violated(&self, rule: Rule, what: &dyn fmt::Display) {
        add(&self.violations);
        log_line!(code = "invariant-violated", rule = rule.name(), "{what}");
    }
}

/// Adds one.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

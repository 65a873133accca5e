//! Counters of an instance, printed on request and at exit. Operators' tools read the printed names.

use crate::log_line;
use crate::rules::Rule;
use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $printed:literal),* $(,)?) => {
        /// Counts of one instance since its process started.
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
    /// Messages accepted.
    accepted = "taken_on",
    /// Submissions rejected.
    rejected = "declined",
    /// Open messages recovered from earlier incarnations.
    recovered = "resumed",
    /// Requests that could not be parsed or were invalid.
    unreadable_requests = "rejected",
    /// Client connections closed because the last request came once more.
    requests_repeated = "repeated",
    /// Attempts started.
    attempts = "legs",
    /// Connections opened to endpoints.
    connections_opened = "dialled",
    /// Attempts for which an idle connection was reused.
    connections_reused = "reused",
    /// Connections closed because of bytes that no request had asked for.
    connections_unrequested = "unrequested",
    /// Attempts whose response reports the delivery.
    attempts_delivered = "delivered",
    /// Attempts that were rejected.
    attempts_rejected = "turned_away",
    /// Attempts whose response is an error.
    attempts_failed = "errors",
    /// Attempts abandoned at their timeout.
    attempts_timed_out = "timed_out",
    /// Attempts for which no connection could be established.
    attempts_unconnected = "unconnected",
    /// Attempts whose connection was lost.
    attempts_reset = "resets",
    /// Attempts that were cancelled.
    attempts_cancelled = "cancelled",
    /// Attempts withheld before their first byte.
    attempts_not_sent = "not_begun",
    /// Messages returned to their clients, which may submit them again.
    returned = "returned",
    /// Messages that failed.
    failed = "failed",
    /// Messages that expired.
    expired = "expired",
    /// Notices acknowledged by the platform.
    notices_acknowledged = "notices",
    /// Submissions rejected because the limit on open messages was reached or the journal is full.
    rejected_full = "rejected_full",
    /// Submissions rejected because the process is about to end.
    rejected_ending = "rejected_ending",
    /// Submissions rejected because their destination never had an endpoint.
    rejected_unknown = "rejected_unknown",
    /// Submissions rejected because the journal could not be written.
    rejected_unjournalled = "rejected_unjournalled",
    /// Requests rejected because there was no memory to receive them.
    rejected_for_memory = "rejected_for_memory",
    /// Submissions rejected by the scheduler.
    rejected_by_scheduler = "rejected_by_scheduler",
    /// Client connections that were closed with unread bytes, and therefore reset.
    connections_closed_unread = "closed_unread",
    /// Invariants that an action violated, or would have violated if it had not been refused.
    violations = "violations",
    /// Duration of the engine's longest step, in microseconds.
    longest_step_us = "longest_step_us",
}

impl Counters {
    /// Counts and logs an invariant that an action violated, or would have violated.
    pub fn violated(&self, rule: Rule, description: &dyn fmt::Display) {
        add(&self.violations);
        log_line!(
            code = "invariant-violated",
            rule = rule.name(),
            "{description}"
        );
    }
}

/// Increments a counter.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

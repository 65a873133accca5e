//! What an instance took in, sent and answered, printed on request and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the process started.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Messages handed in.
    offered,
    /// Of these, taken on.
    taken_on,
    /// Of these, declined.
    declined,
    /// Messages an earlier life of the process had taken on.
    resumed,
    /// Requests that could not be read or used.
    rejected,
    /// Legs begun.
    legs,
    /// Connections opened to endpoints.
    dialled,
    /// Legs that were answered as delivered.
    delivered,
    /// Legs turned away.
    turned_away,
    /// Of these, those that found no slot free.
    no_slot,
    /// Legs answered with an error.
    errors,
    /// Legs abandoned without an answer.
    timed_out,
    /// Legs that got no connection.
    unconnected,
    /// Legs whose connection broke.
    resets,
    /// Legs called off.
    cancelled,
    /// Legs not begun after all.
    not_begun,
    /// Messages given back to be handed in again.
    returned,
    /// Messages given up for good.
    failed,
    /// Messages whose time ran out.
    expired,
    /// Notices that the platform has taken.
    notices,
    /// The longest that the engine kept everything else of the instance waiting, in microseconds: no count.
    longest_step_us,
}

/// Adds one.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

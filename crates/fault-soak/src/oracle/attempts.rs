//! Rules for the attempts of a message: a message that may have been executed is repeated only as its class permits, at
//! most one attempt is in flight at a time, and all attempts go to the message's destination.

use super::{Oracle, SLACK};
use crate::endpoint::destination_of;
use crate::record::{Call, Class, DEDUPLICATION_WINDOW_MS};
use marblefall_process_harness::{Micros, MILLISECOND};

/// Maximum delay between the close of a connection and its detection by a proxy or an endpoint.
const CLOSE_DELAY: Micros = 60 * MILLISECOND;

impl Oracle<'_> {
    /// Checks that a message that may have been executed is repeated only as its class permits.
    pub(super) fn check_duplicates(&mut self) {
        for (id, calls) in self.calls_by_id.clone() {
            let Some(request) = self.requests_by_id.get(id) else {
                continue;
            };
            let executed: Vec<&Call> = calls
                .into_iter()
                .filter(|call| call.is_possibly_executed())
                .collect();
            let (Some(first), Some(last)) = (executed.first(), executed.last()) else {
                continue;
            };
            let span = last.last_byte_at - first.last_byte_at;
            let is_after_window = span > DEDUPLICATION_WINDOW_MS * MILLISECOND + SLACK;
            let problem = match request.class {
                Class::NonIdempotent if executed.len() > 1 => "executed twice",
                Class::Keyed if is_after_window && !self.was_disturbed(last) => {
                    "repeated after its window"
                }
                _ => continue,
            };
            let times: Vec<i64> = executed
                .iter()
                .map(|call| self.ms(call.last_byte_at))
                .collect();
            self.report("duplicate", format!("{id}: {problem}, at {times:?} ms"));
        }
    }

    /// Checks that each call of a message is read only after the previous call has ended.
    pub(super) fn check_one_attempt_at_a_time(&mut self) {
        for (id, calls) in self.calls_by_id.clone() {
            for pair in calls.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                // The process may have abandoned an attempt whose bytes a proxy still delays.
                if self.was_disturbed(before) || self.was_disturbed(after) {
                    continue;
                }
                if after.last_byte_at + CLOSE_DELAY < before.ended_at {
                    let observed = format!(
                        "{id}: read at {} ms, the previous attempt ended at {} ms",
                        self.ms(after.last_byte_at),
                        self.ms(before.ended_at)
                    );
                    self.report("two attempts at once", observed);
                }
            }
        }
    }

    /// Checks that each call goes to an endpoint of its message's destination.
    pub(super) fn check_destinations(&mut self) {
        for call in &self.record.calls {
            let destination = destination_of(call.endpoint);
            let request = self.request_of(call);
            if request.is_some_and(|request| request.destination != destination) {
                let observed = format!("{} at endpoint {}", call.id, call.endpoint);
                self.report("wrong destination", observed);
            }
        }
    }
}

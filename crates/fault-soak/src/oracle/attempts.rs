//! Attempts of one message: what may have been executed is repeated only as its class permits, one attempt is in flight
//! at a time, and all go to the message's destination.

use super::{Oracle, SLACK};
use crate::endpoint::destination_of;
use crate::record::{Call, Class, DEDUPLICATION_WINDOW_MS};
use marblefall_process_harness::{Micros, MILLISECOND};

/// How much later the other end of a connection may see its end than a proxy or an endpoint.
const CLOSE_DELAY: Micros = 60 * MILLISECOND;

impl Oracle<'_> {
    /// What may have been executed is repeated only as its class permits.
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

    /// A call is read only once the one before it has ended.
    pub(super) fn check_one_attempt_at_a_time(&mut self) {
        for (id, calls) in self.calls_by_id.clone() {
            for pair in calls.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                // An attempt that a proxy delays may have been abandoned before.
                if self.was_disturbed(before) || self.was_disturbed(after) {
                    continue;
                }
                if after.last_byte_at + CLOSE_DELAY < before.ended_at {
                    let observed = format!(
                        "{id}: read at {} ms, the one before ended at {} ms",
                        self.ms(after.last_byte_at),
                        self.ms(before.ended_at)
                    );
                    self.report("two attempts at once", observed);
                }
            }
        }
    }

    /// A call goes to an endpoint of its message's destination.
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

//! Rule for Retry-After: a process sends no calls to a destination for as long as a response of the destination requested.

use super::{Oracle, SLACK};
use crate::endpoint::destination_of;
use crate::record::{Call, CallResult};
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::BTreeMap;

/// Time after a response with Retry-After in which calls that were already in flight may still arrive.
const IN_FLIGHT_GRACE: Micros = 100 * MILLISECOND;

impl<'a> Oracle<'a> {
    pub(super) fn check_retry_after(&mut self) {
        for ((process, destination), calls) in self.calls_by_route() {
            for rejected in &calls {
                let CallResult::Response {
                    retry_after_ms: Some(retry_after_ms),
                    ..
                } = rejected.result
                else {
                    continue;
                };
                let until = rejected.ended_at + retry_after_ms * MILLISECOND;
                // A process that was down or whose reads failed may not have read the response. A restart ends the backoff.
                let is_unread = self.was_down(process, rejected.ended_at, until)
                    || self.were_connections_broken(process, rejected.ended_at, rejected.ended_at)
                    || self.was_disturbed(rejected);
                if is_unread {
                    continue;
                }
                let from = rejected.ended_at + IN_FLIGHT_GRACE + SLACK;
                let is_early = |call: &&&Call| {
                    call.first_byte_at > from
                        && call.last_byte_at < until - SLACK
                        && !self.was_disturbed(call)
                };
                if let Some(call) = calls.iter().find(is_early) {
                    let observed = format!(
                        "{} to destination {destination} by process {process} at {} ms, rejected at {} ms for \
                         {retry_after_ms} ms",
                        call.id,
                        self.ms(call.last_byte_at),
                        self.ms(rejected.ended_at)
                    );
                    self.report("retry-after", observed);
                }
            }
        }
    }

    /// Groups the calls by process and destination, in the order in which they were read.
    fn calls_by_route(&self) -> BTreeMap<(usize, usize), Vec<&'a Call>> {
        let mut by_route: BTreeMap<(usize, usize), Vec<&Call>> = BTreeMap::new();
        for call in &self.record.calls {
            if let Some(request) = self.request_of(call) {
                let route = (request.process, destination_of(call.endpoint));
                by_route.entry(route).or_default().push(call);
            }
        }
        for calls in by_route.values_mut() {
            calls.sort_by_key(|call| call.last_byte_at);
        }
        by_route
    }
}

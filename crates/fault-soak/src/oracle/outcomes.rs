//! Rules for outcomes: every request that was read receives a response in time, and every accepted message reaches its
//! final outcome in time.

use super::{Oracle, OBSERVATION_DELAY, SLACK};
use crate::record::{ClientResult, ProcessEventKind, Request};
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::HashMap;

/// Time after the expiry of a message in which its response may still be sent.
const RESPONSE_GRACE: Micros = 500 * MILLISECOND;
/// Time after its expiry from which a message without a final outcome counts as lost.
const OUTCOME_GRACE: Micros = 300 * MILLISECOND;
/// Time for which a restarted process must be ready before outcomes are due.
const RESTART_GRACE: Micros = 1500 * MILLISECOND;

impl Oracle<'_> {
    /// Checks that a request that was read receives a response at most half a second after its message expires.
    pub(super) fn check_responses(&mut self) {
        for request in &self.record.requests {
            let late_at = request.expires_at + RESPONSE_GRACE + OBSERVATION_DELAY;
            let problem = match request.result {
                ClientResult::Closed => "read, then closed without a response",
                ClientResult::TimedOut => "no response",
                ClientResult::Response(_) if request.ended_at > late_at => "responded too late",
                ClientResult::Response(_) | ClientResult::Reset => continue,
            };
            let (sent_at, ended_at) = (request.sent_at, request.ended_at);
            let is_excused = self.was_killed(request.process, sent_at, ended_at)
                || self.were_connections_broken(request.process, sent_at, ended_at);
            if !is_excused {
                let observed = format!(
                    "{} at process {}: {problem}, sent at {} ms, ended at {} ms",
                    request.id,
                    request.process,
                    self.ms(sent_at),
                    self.ms(ended_at)
                );
                self.report("response", observed);
            }
        }
    }

    /// Checks that an accepted message is delivered or reported by a notice in time.
    pub(super) fn check_outcomes(&mut self) {
        let mut notified_at: HashMap<&str, Micros> = HashMap::new();
        for notice in &self.record.notices {
            notified_at.entry(&notice.id).or_insert(notice.received_at);
        }
        let accepted = self.record.requests.iter();
        for request in accepted.filter(|request| request.is_accepted()) {
            let notified_at = notified_at.get(request.id.as_str()).copied();
            let outcome_at = self
                .delivered_at(request)
                .into_iter()
                .chain(notified_at)
                .min();
            let due_at = self.outcome_due_at(request);
            let problem = match outcome_at {
                None => "no outcome".to_owned(),
                Some(at) if at > due_at => format!("its outcome was at {} ms", self.ms(at)),
                Some(_) => continue,
            };
            let observed = format!(
                "{} ({:?}) at process {}: {problem}; sent at {} ms, due at {} ms",
                request.id,
                request.class,
                request.process,
                self.ms(request.sent_at),
                self.ms(due_at)
            );
            self.report("outcome", observed);
        }
    }

    fn delivered_at(&self, request: &Request) -> Option<Micros> {
        let calls = self.calls_by_id.get(request.id.as_str())?;
        let delivered = calls.iter().filter(|call| call.is_delivered());
        delivered.map(|call| call.ended_at).min()
    }

    /// Returns the time from which a message without an outcome counts as lost. No outcome is due while its process is
    /// between two incarnations.
    fn outcome_due_at(&self, request: &Request) -> Micros {
        let grace = OUTCOME_GRACE + SLACK + OBSERVATION_DELAY;
        let mut due_at = request.expires_at + grace;
        let mut down_since = None;
        for (at, kind) in self.process_events(request.process) {
            match kind {
                ProcessEventKind::Terminated
                | ProcessEventKind::Killed
                | ProcessEventKind::Ended
                | ProcessEventKind::Crashed => {
                    down_since.get_or_insert(at);
                }
                ProcessEventKind::Ready => {
                    let was_down = down_since.take();
                    if was_down.is_some_and(|since| since <= due_at) {
                        due_at = due_at.max(at + RESTART_GRACE + grace);
                    }
                }
                ProcessEventKind::Started | ProcessEventKind::Suspended => {}
            }
        }
        due_at
    }
}

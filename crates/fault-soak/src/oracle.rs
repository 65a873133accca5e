//! Judges a run from outside: by what clients, endpoints and discovery recorded, on one clock.

mod attempts;
mod drain;
mod outcomes;
mod processes;
mod recovery;
mod retry_after;

use crate::record::{Call, Period, ProcessEventKind, Record, Request};
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The slack of the protocol's time limits on sockets.
const SLACK: Micros = 50 * MILLISECOND;
/// What the machine and the threads of this program may add to a time that is observed from outside.
const OBSERVATION_DELAY: Micros = 250 * MILLISECOND;
/// Violations of a rule that are reported.
const MAX_REPORTED: usize = 5;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What was observed.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.observed)
    }
}

/// The judge of one run.
pub struct Oracle<'a> {
    record: &'a Record,
    started_at: Micros,
    requests_by_id: HashMap<&'a str, &'a Request>,
    /// The calls of each message, in the order in which they were read.
    calls_by_id: BTreeMap<&'a str, Vec<&'a Call>>,
    violations: Vec<Violation>,
}

impl<'a> Oracle<'a> {
    /// Judges a run that started at a time.
    pub fn judge(record: &'a Record, started_at: Micros) -> Vec<Violation> {
        let mut oracle = Oracle::new(record, started_at);
        oracle.check_responses();
        oracle.check_outcomes();
        oracle.check_duplicates();
        oracle.check_one_attempt_at_a_time();
        oracle.check_destinations();
        oracle.check_drains();
        oracle.check_retry_after();
        oracle.check_slow_start();
        oracle.check_time_to_ready();
        for problem in &record.process_problems {
            oracle.report("process", problem.clone());
        }
        oracle.violations
    }

    fn new(record: &'a Record, started_at: Micros) -> Oracle<'a> {
        let requests = record.requests.iter();
        let mut calls_by_id: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
        for call in &record.calls {
            calls_by_id.entry(&call.id).or_default().push(call);
        }
        for calls in calls_by_id.values_mut() {
            calls.sort_by_key(|call| call.last_byte_at);
        }
        Oracle {
            record,
            started_at,
            requests_by_id: requests
                .map(|request| (request.id.as_str(), request))
                .collect(),
            calls_by_id,
            violations: Vec::new(),
        }
    }

    fn report(&mut self, rule: &'static str, observed: String) {
        let reported = self.violations.iter();
        let reported = reported.filter(|violation| violation.rule == rule);
        if reported.count() < MAX_REPORTED {
            self.violations.push(Violation { rule, observed });
        }
    }

    /// A time of the run, in milliseconds.
    fn ms(&self, at: Micros) -> i64 {
        (at - self.started_at) / MILLISECOND
    }

    fn request_of(&self, call: &Call) -> Option<&'a Request> {
        self.requests_by_id.get(call.id.as_str()).copied()
    }

    fn process_events(
        &self,
        process: usize,
    ) -> impl Iterator<Item = (Micros, ProcessEventKind)> + 'a {
        let events = self.record.process_events.iter();
        events
            .filter(move |event| event.process == process)
            .map(|event| (event.at, event.kind))
    }

    /// Whether a process was killed or not running at some moment of a span.
    fn was_down(&self, process: usize, from: Micros, until: Micros) -> bool {
        let mut down_since: Option<Micros> = None;
        let mut was_down = false;
        for (at, kind) in self.process_events(process) {
            match kind {
                ProcessEventKind::Killed | ProcessEventKind::Ended | ProcessEventKind::Crashed => {
                    down_since = Some(at);
                }
                ProcessEventKind::Started => {
                    if let Some(since) = down_since.take() {
                        was_down |=
                            since - OBSERVATION_DELAY <= until && from <= at + OBSERVATION_DELAY;
                    }
                }
                ProcessEventKind::Ready
                | ProcessEventKind::Terminated
                | ProcessEventKind::Suspended => {}
            }
        }
        was_down || down_since.is_some_and(|since| since - OBSERVATION_DELAY <= until)
    }

    /// Whether a process was killed or crashed within a span. One that ends by itself owes a response to each request that it
    /// has read.
    fn was_killed(&self, process: usize, from: Micros, until: Micros) -> bool {
        let span = from - OBSERVATION_DELAY..=until + OBSERVATION_DELAY;
        let mut events = self.process_events(process);
        events.any(|(at, kind)| {
            matches!(kind, ProcessEventKind::Killed | ProcessEventKind::Crashed)
                && span.contains(&at)
        })
    }

    /// Whether the system may have broken connections of a process within a span.
    fn were_connections_broken(&self, process: usize, from: Micros, until: Micros) -> bool {
        any_overlaps(&self.record.broken_processes, process, from, until)
    }

    /// Whether a proxy may have disturbed the connection of a call.
    fn was_disturbed(&self, call: &Call) -> bool {
        let disturbed = &self.record.disturbed_endpoints;
        any_overlaps(disturbed, call.endpoint, call.first_byte_at, call.ended_at)
    }
}

fn any_overlaps(periods: &[Period], subject: usize, from: Micros, until: Micros) -> bool {
    let mut periods = periods.iter().filter(|period| period.subject == subject);
    periods.any(|period| period.interval.overlaps(from, until, OBSERVATION_DELAY))
}

#[cfg(test)]
mod tests;

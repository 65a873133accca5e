//! The oracle checks the rules of a run from outside, by the record of clients, endpoints and discovery on one clock.

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

/// Tolerance of the protocol's time limits, for transfers over sockets.
const SLACK: Micros = 50 * MILLISECOND;
/// Maximum delay that the machine and the threads of this program add to a time that is observed from outside.
const OBSERVATION_DELAY: Micros = 250 * MILLISECOND;
/// Maximum number of reported violations of one rule.
const MAX_REPORTED: usize = 5;

/// An observed violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Description of the observation.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.observed)
    }
}

/// Checks the rules of one run.
pub struct Oracle<'a> {
    record: &'a Record,
    started_at: Micros,
    /// Calls per second that each destination accepts.
    rate: f64,
    requests_by_id: HashMap<&'a str, &'a Request>,
    /// The calls of each message, in the order in which they were read.
    calls_by_id: BTreeMap<&'a str, Vec<&'a Call>>,
    violations: Vec<Violation>,
}

impl<'a> Oracle<'a> {
    /// Returns the violations in the record of a run. Times in their texts are relative to `started_at`.
    /// Each destination accepts `rate` calls per second.
    pub fn check(record: &'a Record, started_at: Micros, rate: f64) -> Vec<Violation> {
        let mut oracle = Oracle::new(record, started_at, rate);
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

    fn new(record: &'a Record, started_at: Micros, rate: f64) -> Oracle<'a> {
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
            rate,
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

    /// Converts a time to milliseconds after the start of the run.
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

    /// Returns whether a process was killed or not running at some time of a span.
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

    /// Returns whether a process was killed or crashed within a span. A process that exits after SIGTERM is not excused: it
    /// must respond to each request that it has read.
    fn was_killed(&self, process: usize, from: Micros, until: Micros) -> bool {
        let span = from - OBSERVATION_DELAY..=until + OBSERVATION_DELAY;
        let mut events = self.process_events(process);
        events.any(|(at, kind)| {
            matches!(kind, ProcessEventKind::Killed | ProcessEventKind::Crashed)
                && span.contains(&at)
        })
    }

    /// Returns whether system call faults may have broken connections of a process within a span.
    fn were_connections_broken(&self, process: usize, from: Micros, until: Micros) -> bool {
        any_overlaps(&self.record.broken_processes, process, from, until)
    }

    /// Returns whether a proxy may have disturbed the connection of a call.
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

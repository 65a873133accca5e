//! Judges a run from outside: by what clients, endpoints and discovery saw, on one clock.

use crate::endpoint::{destination_of, RATE};
use crate::record::{
    Call, CallEnd, Class, Heard, Life, ListChange, Micros, Record, Request, MS, WINDOW_MS,
};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The slack of the protocol's time limits on sockets.
const SLACK: Micros = 50 * MS;
/// What the machine and the threads of this program may add to a time that is seen from outside.
const LATE: Micros = 250 * MS;
/// A message without an outcome is lost so long after its time.
const OUTCOME_GRACE: Micros = 300 * MS;
/// After a restart no outcome is due before the process has been ready for so long.
const RESTART_GRACE: Micros = 1500 * MS;
/// Something may still be sent to an endpoint so long after the process was told that it drains.
const DRAIN_GRACE: Micros = 250 * MS;
/// What discovery missed to tell counts as told after this.
const TOLD_ANYWAY: Micros = 6000 * MS;
/// Calls that cross the answer that asks for a wait are let through for so long.
const WAIT_GRACE: Micros = 100 * MS;
/// A process must be ready within this.
const READY_WITHIN: Micros = 10_000 * MS;
/// A connection may end at its other end so much later than a proxy or an endpoint sees it.
const SEEN_LATE: Micros = 60 * MS;
/// The ramp of a destination that comes back, and the window in which its calls are counted.
const COLD: Micros = 10_000 * MS;
const COLD_FROM: f64 = 0.27;
const OVERLOAD_FACTOR: f64 = 1.5;
const OVERLOAD_WINDOW: Micros = 2000 * MS;
/// Violations of a rule that are told.
const MAX_TOLD: usize = 5;

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.what)
    }
}

/// A judge of one run.
pub struct Oracle<'a> {
    record: &'a Record,
    began_at: Micros,
    by_id: HashMap<&'a str, &'a Request>,
    calls_by_id: BTreeMap<&'a str, Vec<&'a Call>>,
    violations: Vec<Violation>,
}

impl<'a> Oracle<'a> {
    /// Judges a run that began at a time.
    pub fn judge(record: &'a Record, began_at: Micros) -> Vec<Violation> {
        let by_id = record
            .requests
            .iter()
            .map(|request| (request.id.as_str(), request))
            .collect();
        let mut calls_by_id: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
        for call in &record.calls {
            calls_by_id.entry(&call.id).or_default().push(call);
        }
        for calls in calls_by_id.values_mut() {
            calls.sort_by_key(|call| call.last_byte_at);
        }
        let mut oracle = Oracle {
            record,
            began_at,
            by_id,
            calls_by_id,
            violations: Vec::new(),
        };
        oracle.requests_are_answered();
        oracle.accepted_messages_have_an_outcome();
        oracle.nothing_is_executed_twice();
        oracle.one_attempt_at_a_time();
        oracle.calls_go_to_their_destination();
        oracle.drains_are_kept();
        oracle.waits_are_kept();
        oracle.slow_start_is_kept();
        oracle.processes_are_ready_in_time();
        for complaint in &record.complaints {
            oracle.tell("process", complaint.clone());
        }
        oracle.violations
    }

    fn tell(&mut self, rule: &'static str, what: String) {
        let told = self.violations.iter().filter(|told| told.rule == rule);
        if told.count() < MAX_TOLD {
            self.violations.push(Violation { rule, what });
        }
    }

    /// A time of the run, in milliseconds.
    fn ms(&self, at: Micros) -> i64 {
        (at - self.began_at) / MS
    }

    fn lives(&self, process: usize) -> impl Iterator<Item = (Micros, Life)> + 'a {
        let lives = self.record.lives.iter();
        lives
            .filter(move |life| life.process == process)
            .map(|life| (life.at, life.what))
    }

    /// Whether a process was killed or not there at some moment of a span.
    fn was_away(&self, process: usize, from: Micros, until: Micros) -> bool {
        let mut away_since: Option<Micros> = None;
        let mut was_away = false;
        for (at, what) in self.lives(process) {
            match what {
                Life::Killed | Life::Ended | Life::Crashed => away_since = Some(at),
                Life::Started => {
                    if let Some(since) = away_since.take() {
                        was_away |= since - LATE <= until && from <= at + LATE;
                    }
                }
                Life::Ready | Life::Terminated | Life::HeldUp => {}
            }
        }
        was_away || away_since.is_some_and(|since| since - LATE <= until)
    }

    /// Whether the system may have broken connections of a process within a span.
    fn was_broken(&self, process: usize, from: Micros, until: Micros) -> bool {
        let spans = self.record.broken.iter();
        spans
            .filter(|(broken, ..)| *broken == process)
            .any(|(_, begins, ends)| begins - LATE <= until && from <= ends + LATE)
    }

    /// A request that was read has its answer within its time and half a second.
    fn requests_are_answered(&mut self) {
        for request in &self.record.requests {
            let (problem, at) = match request.heard {
                Heard::Closed { at } => ("read, and closed with no answer", at),
                Heard::Silence { at } => ("no answer", at),
                Heard::Answer { at, .. } if at > request.expires_at + 500 * MS + LATE => {
                    ("answered too late", at)
                }
                Heard::Answer { .. } | Heard::Reset { .. } => continue,
            };
            let is_excused = self.was_away(request.process, request.sent_at, at)
                || self.was_broken(request.process, request.sent_at, at);
            if !is_excused {
                let (from, until) = (self.ms(request.sent_at), self.ms(at));
                self.tell(
                    "answer",
                    format!(
                        "{} at process {}: {problem}, sent at {from} ms, ended at {until} ms",
                        request.id, request.process
                    ),
                );
            }
        }
    }

    fn accepted(&self) -> impl Iterator<Item = &'a Request> {
        self.record.requests.iter().filter(|request| {
            matches!(
                request.heard,
                Heard::Answer {
                    status: 200 | 202,
                    ..
                }
            )
        })
    }

    /// What was accepted is delivered or ends by a notice, in time.
    fn accepted_messages_have_an_outcome(&mut self) {
        let mut told: HashMap<&str, Micros> = HashMap::new();
        for notice in &self.record.notices {
            told.entry(&notice.id).or_insert(notice.at);
        }
        for request in self.accepted() {
            let delivered = self.calls_by_id.get(request.id.as_str()).and_then(|calls| {
                let delivered = calls.iter().filter(|call| is_delivered(call));
                delivered.map(|call| call.ended_at).min()
            });
            let outcome = delivered
                .into_iter()
                .chain(told.get(request.id.as_str()).copied())
                .min();
            let due_at = self.outcome_due_at(request);
            let problem = match outcome {
                None => "no outcome".to_owned(),
                Some(at) if at > due_at => format!("its outcome came at {} ms", self.ms(at)),
                Some(_) => continue,
            };
            self.tell(
                "outcome",
                format!(
                    "{} ({:?}) at process {}: {problem}; sent at {} ms, due at {} ms",
                    request.id,
                    request.class,
                    request.process,
                    self.ms(request.sent_at),
                    self.ms(due_at)
                ),
            );
        }
    }

    /// When a message without an outcome counts as lost: not while its process is between two lives.
    fn outcome_due_at(&self, request: &Request) -> Micros {
        let mut due_at = request.expires_at + OUTCOME_GRACE + SLACK + LATE;
        let mut ends_since = None;
        for (at, what) in self.lives(request.process) {
            match what {
                Life::Terminated | Life::Killed | Life::Ended | Life::Crashed => {
                    ends_since.get_or_insert(at);
                }
                Life::Ready => {
                    let ended = ends_since.take();
                    if ended.is_some_and(|since| since <= due_at) {
                        due_at = due_at.max(at + RESTART_GRACE + OUTCOME_GRACE + SLACK + LATE);
                    }
                }
                Life::Started | Life::HeldUp => {}
            }
        }
        due_at
    }

    /// What may have run is repeated only as its class permits.
    fn nothing_is_executed_twice(&mut self) {
        for (id, calls) in self.calls_by_id.clone() {
            let Some(request) = self.by_id.get(id).copied() else {
                continue;
            };
            let ran: Vec<&Call> = calls
                .iter()
                .copied()
                .filter(|call| may_have_run(call))
                .collect();
            let (Some(first), Some(last)) = (ran.first(), ran.last()) else {
                continue;
            };
            let between = last.last_byte_at - first.last_byte_at;
            let problem = match request.class {
                Class::NonIdempotent if ran.len() > 1 => "executed twice",
                Class::Keyed if between > WINDOW_MS * MS + SLACK && !self.was_disturbed(last) => {
                    "repeated after its window"
                }
                _ => continue,
            };
            let times: Vec<i64> = ran.iter().map(|call| self.ms(call.last_byte_at)).collect();
            self.tell("duplicate", format!("{id}: {problem}, at {times:?} ms"));
        }
    }

    /// A call is read only once the one before it has ended.
    fn one_attempt_at_a_time(&mut self) {
        for (id, calls) in self.calls_by_id.clone() {
            for pair in calls.windows(2) {
                // What a proxy held up was given up before.
                if self.was_disturbed(pair[0]) || self.was_disturbed(pair[1]) {
                    continue;
                }
                if pair[1].last_byte_at + SEEN_LATE < pair[0].ended_at {
                    let (at, ended_at) = (self.ms(pair[1].last_byte_at), self.ms(pair[0].ended_at));
                    let what =
                        format!("{id}: read at {at} ms, the one before ended at {ended_at} ms");
                    self.tell("two attempts at once", what);
                }
            }
        }
    }

    /// When a process counts as told of a change before it sent something: discovery may have been down or its watch
    /// silent, and to a new process all is told at its first moment.
    fn told_at(&self, process: usize, change: &ListChange, sent_at: Micros) -> Micros {
        let starts = self
            .lives(process)
            .filter(|(_, what)| *what == Life::Started);
        let started_at = starts.map(|(at, _)| at).filter(|at| *at <= sent_at).max();
        self.told_by_watch_at(process, change)
            .max(started_at.unwrap_or(0))
    }

    fn told_by_watch_at(&self, process: usize, change: &ListChange) -> Micros {
        let gaps = self.record.gaps.iter().filter(|gap| gap.process == process);
        gaps.filter(|gap| (gap.from..gap.until).contains(&change.at))
            .map(|gap| gap.until.min(gap.from + TOLD_ANYWAY).max(change.at))
            .max()
            .unwrap_or(change.at)
    }

    fn calls_go_to_their_destination(&mut self) {
        for call in &self.record.calls {
            let request = self.by_id.get(call.id.as_str());
            let destination = destination_of(call.endpoint);
            if request.is_some_and(|request| request.destination != destination) {
                let what = format!("{} at endpoint {}", call.id, call.endpoint);
                self.tell("wrong destination", what);
            }
        }
    }

    fn drains_are_kept(&mut self) {
        for call in &self.record.calls {
            let Some(request) = self.by_id.get(call.id.as_str()) else {
                continue;
            };
            let of_endpoint = |change: &&ListChange| change.endpoint == call.endpoint;
            let changes = self.record.list_changes.iter().filter(of_endpoint);
            // The list may be written down a little after the processes were told of it.
            let Some(latest) = changes
                .filter(|change| change.at <= call.first_byte_at + SLACK)
                .max_by_key(|change| change.at)
            else {
                continue;
            };
            if latest.is_active {
                continue;
            }
            let told_at = self.told_at(request.process, latest, call.first_byte_at);
            let over_by = call.first_byte_at - (told_at + DRAIN_GRACE + SLACK);
            if over_by > LATE && !self.was_disturbed(call) {
                let what = format!(
                    "{} to endpoint {} at {} ms by process {}, told at {} ms",
                    call.id,
                    call.endpoint,
                    self.ms(call.first_byte_at),
                    request.process,
                    self.ms(told_at)
                );
                self.tell("drain", what);
            }
        }
    }

    /// Nothing is sent to a destination that asked to wait, by the process that it asked.
    fn waits_are_kept(&mut self) {
        let mut calls: BTreeMap<(usize, usize), Vec<&Call>> = BTreeMap::new();
        for call in &self.record.calls {
            if let Some(request) = self.by_id.get(call.id.as_str()) {
                let place = (request.process, destination_of(call.endpoint));
                calls.entry(place).or_default().push(call);
            }
        }
        for ((process, destination), mut calls) in calls {
            calls.sort_by_key(|call| call.last_byte_at);
            for told in &calls {
                let CallEnd::Answered {
                    retry_after_ms: Some(wait_ms),
                    ..
                } = told.end
                else {
                    continue;
                };
                // A process that was not there may not have read it, and a restart ends it.
                let until = told.ended_at + wait_ms * MS;
                let from = told.ended_at + WAIT_GRACE + SLACK;
                if self.was_away(process, told.ended_at, until) || self.was_disturbed(told) {
                    continue;
                }
                let within = |call: &&&Call| {
                    let is_within = call.first_byte_at > from && call.last_byte_at < until - SLACK;
                    is_within && !self.was_disturbed(call)
                };
                if let Some(call) = calls.iter().find(within) {
                    let what = format!(
                        "{} to destination {destination} by process {process} at {} ms, told at {} ms to wait {wait_ms} ms",
                        call.id,
                        self.ms(call.last_byte_at),
                        self.ms(told.ended_at)
                    );
                    self.tell("wait", what);
                }
            }
        }
    }

    /// Whether an answer may not have come to its caller.
    fn was_disturbed(&self, call: &Call) -> bool {
        let spans = self.record.disturbed.iter();
        spans
            .filter(|(endpoint, ..)| *endpoint == call.endpoint)
            .any(|(_, from, until)| {
                from - LATE <= call.ended_at && call.first_byte_at <= until + LATE
            })
    }

    /// A destination that comes back gets no more than its budget in any window.
    fn slow_start_is_kept(&mut self) {
        for outage in &self.record.outages {
            let to = |call: &&Call| destination_of(call.endpoint) == outage.destination;
            let process_of = |call: &Call| self.by_id.get(call.id.as_str()).map(|r| r.process);
            let all: Vec<&Call> = self.record.calls.iter().filter(to).collect();
            let knew: Vec<usize> = all
                .iter()
                .filter(|call| (outage.from..outage.until).contains(&call.last_byte_at))
                .filter_map(|call| process_of(call))
                .collect();
            let in_ramp = all
                .iter()
                .filter(|call| (outage.until..outage.until + COLD).contains(&call.last_byte_at));
            let mut worst: Option<(f64, usize, Micros)> = None;
            for first in in_ramp {
                let from = first.last_byte_at;
                let window = from..from + OVERLOAD_WINDOW;
                let calls = all
                    .iter()
                    .filter(|call| window.contains(&call.last_byte_at));
                let calls: Vec<_> = calls.collect();
                let told = calls
                    .iter()
                    .filter(|call| process_of(call).is_some_and(|process| knew.contains(&process)))
                    .count();
                let part = calls.len() as f64 / budget_at(from - outage.until);
                if told * 3 > calls.len() * 2 && worst.is_none_or(|(most, ..)| part > most) {
                    worst = Some((part, calls.len(), from));
                }
            }
            if let Some((part, calls, from)) = worst.filter(|(part, ..)| *part > 1.0) {
                let what = format!(
                    "destination {}: {calls} calls, {part:.2} of its budget, from {} ms on; back at {} ms",
                    outage.destination,
                    self.ms(from),
                    self.ms(outage.until)
                );
                self.tell("slow start", what);
            }
        }
    }

    fn processes_are_ready_in_time(&mut self) {
        let processes = self.record.lives.iter().map(|life| life.process);
        for process in 0..processes.max().map_or(0, |last| last + 1) {
            let mut started_at = None;
            let lives: Vec<_> = self.lives(process).collect();
            for (at, what) in lives {
                match what {
                    Life::Started => started_at = Some(at),
                    Life::Ready => {
                        let took = started_at.take().map_or(0, |since| at - since);
                        if took > READY_WITHIN {
                            let ms = took / MS;
                            self.tell("ready", format!("process {process} took {ms} ms"));
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Whether a call says that its message is delivered.
fn is_delivered(call: &Call) -> bool {
    matches!(call.end, CallEnd::Answered { status: 200, .. })
}

/// Whether a call may have been executed: all but those that were turned away.
fn may_have_run(call: &Call) -> bool {
    !matches!(
        call.end,
        CallEnd::Answered {
            status: 429 | 503,
            ..
        }
    )
}

/// The calls that a destination may get within the window that begins so long after its return.
fn budget_at(since_return: Micros) -> f64 {
    let warm = (since_return as f64 / COLD as f64).clamp(0.0, 1.0);
    let capacity = RATE * (COLD_FROM + (1.0 - COLD_FROM) * warm);
    let allowed = OVERLOAD_FACTOR * capacity * OVERLOAD_WINDOW as f64 / 1e6;
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

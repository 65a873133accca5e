//! The invariants of a group, checked on observations from outside the processes.

use crate::observation::{HistoryEvent, Observation};
use marblefall_process_harness::destination::Call;
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Time after a revision is in force in which calls that were already in flight may still arrive at a drained endpoint.
const DRAIN_GRACE: Micros = 250 * MILLISECOND;
/// Maximum number of violations that are reported of each invariant.
const MAX_REPORTED_PER_INVARIANT: usize = 3;
/// The status of an event that was delivered.
const DELIVERED: u16 = 204;

/// An invariant of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Once an instance has acted under a revision, none acts under an earlier one.
    SinglePolicy,
    /// All members and `apply` report the same outcome of a change.
    SingleOutcome,
    /// In the end all members act under the revision in force.
    AllCaughtUp,
    /// Each event that was accepted has one final outcome.
    FinalOutcome,
    /// Each event that is reported as delivered was executed.
    Delivered,
    /// No event is executed twice, except as its class permits.
    NoDuplicate,
    /// An event has at most one attempt in flight at a time.
    SingleAttempt,
    /// A drained endpoint receives no new calls after the grace period.
    DrainKept,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::SinglePolicy => "no mixture of policies",
            Invariant::SingleOutcome => "one outcome for each change",
            Invariant::AllCaughtUp => "all members caught up",
            Invariant::FinalOutcome => "one final outcome for each event",
            Invariant::Delivered => "what is reported as delivered is",
            Invariant::NoDuplicate => "no duplicate execution",
            Invariant::SingleAttempt => "one attempt in flight at a time",
            Invariant::DrainKept => "drains kept",
        })
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// A description of the observation.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.observed)
    }
}

/// Checks all invariants. Returns the first violations of each, at most `MAX_REPORTED_PER_INVARIANT`.
pub fn check(observation: &Observation) -> Vec<Violation> {
    let mut checker = Checker {
        observation,
        violations: Vec::new(),
    };
    checker.check_single_policy();
    checker.check_outcomes_of_changes();
    checker.check_final_outcomes();
    checker.check_attempts();
    checker.check_executions();
    checker.check_drains();
    checker.check_all_caught_up();
    checker.violations
}

struct Checker<'a> {
    observation: &'a Observation,
    violations: Vec<Violation>,
}

impl Checker<'_> {
    fn report(&mut self, invariant: Invariant, observed: String) {
        let reported = self.violations.iter();
        let reported = reported.filter(|violation| violation.invariant == invariant);
        if reported.count() < MAX_REPORTED_PER_INVARIANT {
            self.violations.push(Violation {
                invariant,
                observed,
            });
        }
    }

    fn check_single_policy(&mut self) {
        let mut latest: Option<&HistoryEvent> = None;
        for event in self.observation.instance_events() {
            match latest {
                Some(latest) if event.revision < latest.revision => {
                    let observed = format!("{event:?} after {latest:?}");
                    self.report(Invariant::SinglePolicy, observed);
                }
                _ => latest = Some(event),
            }
        }
    }

    fn check_outcomes_of_changes(&mut self) {
        let observation = self.observation;
        let mut outcomes: BTreeMap<&String, Option<u64>> = BTreeMap::new();
        let reported = observation.reported_outcomes.iter();
        for (change, outcome) in reported.chain([&observation.applied_outcomes]).flatten() {
            let first = *outcomes.entry(change).or_insert(*outcome);
            if first != *outcome {
                let observed = format!("change {change}: {first:?} and {outcome:?}");
                self.report(Invariant::SingleOutcome, observed);
            }
        }
        let mut changes: BTreeMap<u64, &String> = BTreeMap::new();
        for (change, revision) in outcomes {
            let Some(revision) = revision else { continue };
            if let Some(other) = changes.insert(revision, change) {
                let observed = format!("revision {revision} is change {other} and change {change}");
                self.report(Invariant::SingleOutcome, observed);
            }
        }
    }

    fn check_final_outcomes(&mut self) {
        let mut last = HashMap::new();
        for submission in &self.observation.submissions {
            let before = last.insert(&submission.id, submission);
            let was_delivered = before.is_some_and(|before| before.status == DELIVERED);
            if was_delivered && submission.status != DELIVERED {
                let (id, status) = (&submission.id, submission.status);
                let observed = format!("{id} was delivered and then answered {status}");
                self.report(Invariant::FinalOutcome, observed);
            }
        }
        for (id, submission) in last {
            if !submission.is_final() {
                let status = submission.status;
                let observed = format!("{id} has no final outcome, last answered {status}");
                self.report(Invariant::FinalOutcome, observed);
            }
        }
    }

    fn check_attempts(&mut self) {
        let mut calls: Vec<&Call> = self.observation.calls.iter().collect();
        calls.sort_by_key(|call| call.started_at);
        let mut last: HashMap<&str, &Call> = HashMap::new();
        for call in calls {
            let before = last.insert(&call.key, call);
            if let Some(before) = before.filter(|before| before.ended_at > call.started_at) {
                let observed = format!("{call:?} while {before:?}");
                self.report(Invariant::SingleAttempt, observed);
            }
        }
    }

    fn check_executions(&mut self) {
        let mut executions: HashMap<&str, u32> = HashMap::new();
        for call in &self.observation.calls {
            *executions.entry(&call.key).or_default() += u32::from(call.executed);
        }
        for (key, count) in executions.iter().filter(|(_, count)| **count > 1) {
            let observed = format!("{key} was executed {count} times");
            self.report(Invariant::NoDuplicate, observed);
        }
        for submission in &self.observation.submissions {
            let is_delivered = submission.status == DELIVERED;
            if is_delivered && !executions.contains_key(submission.id.as_str()) {
                let (id, member) = (&submission.id, submission.member);
                let observed = format!("{id} was answered as delivered by member {member}");
                self.report(Invariant::Delivered, observed);
            }
        }
    }

    fn check_drains(&mut self) {
        // The first event of an instance under a revision proves that the revision is in force.
        let mut in_force_since: BTreeMap<u64, Micros> = BTreeMap::new();
        for event in self.observation.instance_events() {
            in_force_since.entry(event.revision).or_insert(event.at);
        }
        for (revision, endpoints) in &self.observation.drained_endpoints {
            let Some(in_force) = in_force_since.get(revision) else {
                continue;
            };
            let from = in_force + DRAIN_GRACE;
            let next = in_force_since.range(revision + 1..).next();
            let until = next.map_or(Micros::MAX, |(_, next)| *next);
            for call in &self.observation.calls {
                if endpoints.contains(&call.endpoint) && (from..until).contains(&call.started_at) {
                    let observed =
                        format!("{call:?} under revision {revision}, in force since {from}");
                    self.report(Invariant::DrainKept, observed);
                }
            }
        }
    }

    fn check_all_caught_up(&mut self) {
        for (member, caught_up) in self.observation.caught_up.iter().enumerate() {
            if !caught_up {
                let observed = format!("member {member} does not act under the revision in force");
                self.report(Invariant::AllCaughtUp, observed);
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! Checks a run against the delivery invariants. The check depends only on the observations of the run.

mod checker;

pub use checker::{InvariantChecker, LIST_PROPAGATION_TIME};

use crate::observation::Observation;
use crate::scenario::Scenario;
use crate::simulation::{play, NodeFactory};
use marblefall_scheduler::Time;
use std::fmt;

/// An invariant that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every accepted message has exactly one final outcome.
    SingleFinalOutcome,
    /// Every accepted message has a final outcome by its deadline, even if its instance crashes.
    NoMessageLost,
    /// A message has at most one attempt in flight.
    SingleAttemptInFlight,
    /// A message is retried only if the idempotency of its class permits the retry.
    RetriesPermitted,
    /// An instance sends no attempt to a destination before every Retry-After that it received from that destination
    /// has passed.
    RetryAfterObserved,
    /// No attempt arrives at an endpoint that has not been listed as active for more than [`LIST_PROPAGATION_TIME`].
    DrainingObserved,
    /// No recovering destination is overloaded.
    NoRecoveryOverload,
}

impl fmt::Display for Invariant {
    /// Writes the description of a violation of the invariant.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::SingleFinalOutcome => "more than one final outcome, or an attempt after it",
            Invariant::NoMessageLost => "message lost or delivered after its deadline",
            Invariant::SingleAttemptInFlight => "more than one attempt in flight",
            Invariant::RetriesPermitted => "retry not permitted by the class",
            Invariant::RetryAfterObserved => "Retry-After not observed",
            Invariant::DrainingObserved => "attempt to an endpoint that is not listed as active",
            Invariant::NoRecoveryOverload => "recovering destination overloaded",
        })
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Virtual time of the violation.
    pub at: Time,
    /// Details of the violation.
    pub description: String,
    /// First observations of the message concerned; empty if the violation concerns no message.
    pub trace: Vec<(Time, Observation)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secs = |at: Time| at.ms() / 1000.0;
        write!(
            f,
            "{:.6} s: {}: {}",
            secs(self.at),
            self.invariant,
            self.description
        )?;
        for (at, observation) in &self.trace {
            write!(f, "\n    {:.6} s: {observation:?}", secs(*at))?;
        }
        Ok(())
    }
}

/// The result of checking a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The first violations, up to a limit.
    pub violations: Vec<Violation>,
    /// Total number of violations.
    pub count: u64,
}

impl Verdict {
    /// Returns whether all invariants hold.
    pub fn is_clean(&self) -> bool {
        self.count == 0
    }
}

/// Plays a scenario and checks its invariants.
pub fn check_run(scenario: &Scenario, seed: u64, make_node: NodeFactory<'_>) -> Verdict {
    let mut checker = InvariantChecker::new(scenario);
    let totals = play(scenario, seed, make_node, &mut |at, observation| {
        checker.observe(at, observation);
    });
    checker.finish(totals.ended_at)
}

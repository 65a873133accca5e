//! Common parts of the simulations: clocks of different speeds, policies that a member rejects, the invariant checker, and
//! traces.

use marblefall_coordination::identifiers::{MemberId, Policy, Revision};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_time::Time;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

/// One millisecond of simulated time, in microseconds.
pub const MS: i64 = 1000;
/// Prefix of a policy that one member rejects. The next byte is that member's number.
const REJECTED_POLICY_PREFIX: &[u8; 3] = b"bad";
/// Number of lines of the trace that are printed with a failure.
const PRINTED_TRACE_LINES: usize = 70;
/// Maximum drift of a clock, in hundredths of a percent.
const MAX_DRIFT: i64 = 45;
/// Divisor that converts hundredths of a percent to a fraction.
const BASIS_POINTS_PER_UNIT: i64 = 10_000;

/// The clock of a member's machine.
pub struct MemberClock {
    /// Reading at the start of the simulation, in microseconds.
    pub offset: i64,
    /// Difference of the clock's rate from simulated time, in hundredths of a percent.
    drift: i64,
}

impl MemberClock {
    /// Creates a clock with a random offset and a random drift.
    pub fn random(rng: &mut Pcg64, max_offset: i64) -> MemberClock {
        MemberClock {
            offset: rng.random_range(0..max_offset),
            drift: rng.random_range(-MAX_DRIFT..=MAX_DRIFT),
        }
    }

    /// Returns the clock's reading at a simulated time.
    pub fn reading(&self, now: i64) -> Time {
        Time(self.offset + now + now * self.drift / BASIS_POINTS_PER_UNIT)
    }
}

/// The events of a simulation, printed when a check fails.
#[derive(Default)]
pub struct Trace {
    lines: Vec<String>,
}

impl Trace {
    pub fn log(&mut self, now: i64, text: &str) {
        let ms = now as f64 / MS as f64;
        self.lines.push(format!("{ms:8.1} ms {text}"));
    }

    /// Returns the last lines, to be printed with a failure.
    pub fn tail(&self) -> String {
        let first = self.lines.len().saturating_sub(PRINTED_TRACE_LINES);
        self.lines[first..].join("\n")
    }
}

/// Checks that each revision has one policy, and that no member acts under an earlier revision after any member has acted
/// under a later one.
#[derive(Default)]
pub struct InvariantChecker {
    policies: BTreeMap<Revision, Policy>,
    /// The number of acts under each revision.
    pub acts: BTreeMap<Revision, u64>,
}

impl InvariantChecker {
    pub fn check_applied(&mut self, revision: Revision, policy: Policy) {
        let known = self
            .policies
            .entry(revision)
            .or_insert_with(|| policy.clone());
        assert_eq!(
            *known, policy,
            "members have applied two policies as {revision:?}"
        );
    }

    pub fn check_act(&mut self, member: MemberId, revision: Revision) {
        let highest = self.acts.keys().next_back().copied().unwrap_or_default();
        assert!(
            revision >= highest,
            "{member:?} acts under {revision:?} after {highest:?}"
        );
        *self.acts.entry(revision).or_default() += 1;
    }

    pub fn act_count(&self) -> u64 {
        self.acts.values().sum()
    }
}

/// Returns a policy that this member rejects.
pub fn policy_rejected_by(member: u8) -> Policy {
    let mut policy = REJECTED_POLICY_PREFIX.to_vec();
    policy.push(member);
    Policy::from(policy)
}

/// Returns whether this member rejects the policy.
pub fn rejects(policy: &Policy, member: MemberId) -> bool {
    policy.starts_with(REJECTED_POLICY_PREFIX)
        && u32::from(policy[REJECTED_POLICY_PREFIX.len()]) == member.0
}

pub fn verdict(rejects: bool) -> PolicyVerdict {
    if rejects {
        PolicyVerdict::Rejected("the policy is not acceptable".to_owned())
    } else {
        PolicyVerdict::Accepted
    }
}

/// The result of a simulation.
pub struct Summary {
    /// Number of changes that came into force.
    pub changes: u64,
    /// Number of acts of all members.
    pub acts: u64,
}

impl Summary {
    /// Adds the result of another simulation.
    pub fn add(&mut self, other: &Summary) {
        self.changes += other.changes;
        self.acts += other.acts;
    }
}

/// A simulation that has run to its end or to a failed check.
pub struct Run {
    /// Number of changes that came into force, or the panic of the failed check.
    pub changes: std::thread::Result<u64>,
    /// Number of acts of all members.
    pub acts: u64,
    /// The parameters of the simulation.
    pub title: String,
    pub trace: Trace,
}

impl Run {
    /// Returns the result, or the failed check with the end of the trace.
    pub fn finish(self) -> Result<Summary, String> {
        match self.changes {
            Ok(changes) => Ok(Summary {
                changes,
                acts: self.acts,
            }),
            Err(panic) => {
                let mut text = self.title;
                if let Some(message) = panic.downcast_ref::<String>() {
                    let _ = write!(text, ": {message}");
                }
                Err(text + "\n" + &self.trace.tail())
            }
        }
    }
}

/// Runs a simulation to its end or to a failed check.
pub fn catch_failure(run: impl FnOnce() -> u64) -> std::thread::Result<u64> {
    catch_unwind(AssertUnwindSafe(run))
}

/// Asserts that each of these mutants is detected. Panics of failed checks are not printed.
pub fn assert_all_detected<M: Copy + Debug>(mutants: &[M], is_detected: impl Fn(M) -> bool) {
    set_hook(Box::new(|_| {}));
    let undetected: Vec<M> = mutants
        .iter()
        .copied()
        .filter(|mutant| !is_detected(*mutant))
        .collect();
    let _ = take_hook();
    assert!(
        undetected.is_empty(),
        "mutants not detected: {undetected:?}"
    );
}

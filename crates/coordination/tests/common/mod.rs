//! What the simulated groups of these tests share: clocks that run at different speeds, policies that a member rejects,
//! checkers of the group's guarantees, and traces of what happened.

use marblefall_coordination::identifiers::{MemberId, Policy, Revision};
use marblefall_coordination::message::PolicyVerdict;
use marblefall_time::Time;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

/// Simulated time is in microseconds.
pub const MS: i64 = 1000;
/// What a policy begins with that one member rejects.
const REJECTED: &[u8; 3] = b"bad";
/// The end of a trace that a failure shows.
const SHOWN_LINES: usize = 70;

/// A member's clock.
pub struct MemberClock {
    pub offset: i64,
    /// By how many hundredths of a percent it runs fast.
    drift: i64,
}

impl MemberClock {
    pub fn draw(rng: &mut Pcg64, max_offset: i64) -> MemberClock {
        MemberClock {
            offset: rng.random_range(0..max_offset),
            drift: rng.random_range(-45..=45),
        }
    }

    pub fn reading(&self, now: i64) -> Time {
        Time(self.offset + now + now * self.drift / 10_000)
    }
}

/// What happened, for failures.
#[derive(Default)]
pub struct Trace {
    lines: Vec<String>,
}

impl Trace {
    pub fn log(&mut self, now: i64, text: &str) {
        let ms = now as f64 / MS as f64;
        self.lines.push(format!("{ms:8.1} ms {text}"));
    }

    /// The last lines.
    pub fn tail(&self) -> String {
        let first = self.lines.len().saturating_sub(SHOWN_LINES);
        self.lines[first..].join("\n")
    }
}

/// Checks that a revision has one policy, and that nobody acts under an earlier revision once anybody acted under a later
/// one.
#[derive(Default)]
pub struct Guarantees {
    policies: BTreeMap<Revision, Policy>,
    /// How often members acted under a revision.
    pub acts: BTreeMap<Revision, u64>,
}

impl Guarantees {
    pub fn check_applied(&mut self, revision: Revision, policy: Policy) {
        let known = self
            .policies
            .entry(revision)
            .or_insert_with(|| policy.clone());
        assert_eq!(*known, policy, "two policies of {revision:?}");
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

/// A policy that this member rejects.
pub fn policy_rejected_by(member: u8) -> Policy {
    let mut policy = REJECTED.to_vec();
    policy.push(member);
    Policy::from(policy)
}

/// Whether this member rejects the policy.
pub fn rejects(policy: &Policy, member: MemberId) -> bool {
    policy.starts_with(REJECTED) && u32::from(policy[REJECTED.len()]) == member.0
}

pub fn verdict(rejects: bool) -> PolicyVerdict {
    if rejects {
        PolicyVerdict::Rejected("it does not fit".to_owned())
    } else {
        PolicyVerdict::Accepted
    }
}

/// A simulation that ran to its end or to a failed check.
pub struct Run<T> {
    pub result: std::thread::Result<T>,
    pub title: String,
    pub trace: Trace,
}

impl<T> Run<T> {
    /// The result, or the failed check with the end of the trace.
    pub fn finish(self) -> Result<T, String> {
        self.result.map_err(|panic| {
            let mut text = self.title;
            if let Some(message) = panic.downcast_ref::<String>() {
                let _ = write!(text, ": {message}");
            }
            text + "\n" + &self.trace.tail()
        })
    }
}

/// Runs a simulation to its end or to a failed check.
pub fn catch<T>(run: impl FnOnce() -> T) -> std::thread::Result<T> {
    catch_unwind(AssertUnwindSafe(run))
}

/// Asserts that the checks detect each of these mutants.
pub fn assert_all_detected<M: Copy + Debug>(mutants: &[M], is_detected: impl Fn(M) -> bool) {
    set_hook(Box::new(|_| {}));
    let undetected: Vec<M> = mutants
        .iter()
        .copied()
        .filter(|mutant| !is_detected(*mutant))
        .collect();
    let _ = take_hook();
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}

//! Searches for the seeds with the worst runs, and shrinks a scenario to the smallest one found that still fails.

mod shrink;

pub use shrink::{shrink, ShrinkBudget, Shrunk};

use crate::invariants::Invariant;
use crate::metrics::{measure, Summary};
use crate::scenario::{Draft, ScenarioError};
use crate::simulation::{Incarnation, Node};
use rayon::prelude::*;
use std::ops::RangeInclusive;

/// Creates the node of an incarnation. May be called from any thread.
pub type SyncNodeFactory<'a> = &'a (dyn Fn(Incarnation) -> Box<dyn Node> + Sync);

/// The run of one seed.
#[derive(Clone, Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Invariant that was violated first; `None` if all hold.
    pub violated: Option<Invariant>,
    /// The summary of the run.
    pub summary: Summary,
}

/// Which runs count as failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureCriterion {
    /// The first violation of the run is of this invariant.
    Violates(Invariant),
    /// The run has messages, and the delivered share of their value is less than this.
    DeliversLessThan(f64),
}

impl FailureCriterion {
    fn is_met(self, result: &SeedResult) -> bool {
        match self {
            FailureCriterion::Violates(invariant) => result.violated == Some(invariant),
            FailureCriterion::DeliversLessThan(share) => {
                result.summary.delivered_value_share < share && result.summary.messages > 0
            }
        }
    }
}

/// Plays seeds in parallel and returns the worst first: runs with a violation before the others, then by delivered value.
///
/// # Errors
/// Returns an error if the draft is not a valid scenario for every seed.
pub fn search_seeds(
    draft: &Draft,
    seeds: RangeInclusive<u64>,
    make_node: SyncNodeFactory<'_>,
) -> Result<Vec<SeedResult>, ScenarioError> {
    let results: Result<Vec<SeedResult>, ScenarioError> = seeds
        .into_par_iter()
        .map(|seed| run(draft, seed, make_node))
        .collect();
    let mut results = results?;
    results.sort_by(|a, b| {
        let by_violation = b.violated.is_some().cmp(&a.violated.is_some());
        let (a_share, b_share) = (
            a.summary.delivered_value_share,
            b.summary.delivered_value_share,
        );
        by_violation
            .then(a_share.total_cmp(&b_share))
            .then(a.seed.cmp(&b.seed))
    });
    Ok(results)
}

fn run(
    draft: &Draft,
    seed: u64,
    make_node: SyncNodeFactory<'_>,
) -> Result<SeedResult, ScenarioError> {
    let scenario = draft.scenario(seed)?;
    let run = measure(&scenario, seed, &|incarnation| make_node(incarnation));
    let first = run.verdict.violations.first();
    Ok(SeedResult {
        seed,
        violated: first.map(|violation| violation.invariant),
        summary: run.summary(),
    })
}

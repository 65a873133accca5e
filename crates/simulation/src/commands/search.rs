//! The commands that search for the capacity of a scenario and for the seeds with the worst runs.

use super::{write_file, CommandError, RunStatus};
use crate::arguments::{CapacityArguments, SeedSearchArguments};
use marblefall_simulation::capacity_search::{self, Capacity};
use marblefall_simulation::scenario::Draft;
use marblefall_simulation::seed_search::{
    search_seeds, shrink, FailureCriterion, SeedResult, ShrinkBudget,
};
use marblefall_simulation::simulation::production_node;
use std::path::Path;

/// Maximum number of seeds that are printed.
const PRINTED_SEEDS: usize = 10;
/// Without violations, the worst runs count as failing: one in this many.
const WORST_ONE_IN: usize = 10;
/// Added to a share so that a run with exactly this share counts as failing.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Searches for the capacity of each class and prints it.
pub(super) fn capacity(arguments: &CapacityArguments) -> Result<RunStatus, CommandError> {
    let search = arguments
        .search()
        .ok_or(CommandError::InvalidCapacitySearch)?;
    let capacities = capacity_search::capacity(&arguments.scenario.draft()?, search)?;
    println!(
        "{:<16} {:>22} {:>18}",
        "class", "bears times its load", "messages a second"
    );
    for (class, found) in capacities {
        let offered = found.offered_rate;
        let (factor, rate) = match found.capacity {
            Capacity::Below => (
                format!("under {:.2}", search.min_factor),
                format!("under {offered:.1}"),
            ),
            Capacity::Between(low, high) => {
                (format!("{low:.2} to {high:.2}"), format!("{offered:.1}"))
            }
            Capacity::Above => (
                format!("{:.2} or more", search.max_factor),
                format!("{offered:.1} or more"),
            ),
        };
        println!("{class:<16} {factor:>22} {rate:>18}");
    }
    Ok(RunStatus::Ok)
}

/// Searches for the seeds with the worst runs, prints them, and shrinks the worst run if `--shrink` is given.
pub(super) fn seeds(arguments: &SeedSearchArguments) -> Result<RunStatus, CommandError> {
    let draft = arguments.scenario.draft()?;
    let results = search_seeds(&draft, 1..=arguments.seeds.max(1), &production_node)?;
    println!("{:>6} {:>8}  first violation", "seed", "value");
    for result in results.iter().take(PRINTED_SEEDS) {
        let violation = result.summary.first_violation.as_deref().unwrap_or("-");
        let share = result.summary.delivered_value_share;
        println!("{:>6} {share:>8.4}  {violation}", result.seed);
    }
    let violating = results
        .iter()
        .filter(|result| result.violated.is_some())
        .count();
    println!(
        "{violating} of {} seeds violate an invariant",
        results.len()
    );
    if let Some(path) = &arguments.shrink {
        shrink_worst(&draft, &results, arguments.max_shrink_runs, path)?;
    }
    Ok(RunStatus::ok_if(violating == 0))
}

/// Shrinks the scenario of the worst run and writes it to a file.
fn shrink_worst(
    draft: &Draft,
    results: &[SeedResult],
    max_runs: u32,
    path: &Path,
) -> Result<(), CommandError> {
    let Some(worst) = results.first() else {
        return Ok(());
    };
    let threshold = results[results.len() / WORST_ONE_IN]
        .summary
        .delivered_value_share;
    let criterion = match worst.violated {
        Some(invariant) => FailureCriterion::Violates(invariant),
        None => FailureCriterion::DeliversLessThan(threshold + SHARE_TOLERANCE),
    };
    let budget = ShrinkBudget {
        criterion,
        max_runs,
    };
    let shrunk = shrink(draft, worst.seed, budget, &production_node);
    write_file(path, &shrunk.text()?)?;
    println!(
        "{}: fails with seed {}, found in {} runs",
        path.display(),
        shrunk.seed,
        shrunk.runs
    );
    Ok(())
}

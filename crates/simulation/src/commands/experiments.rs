//! The commands that play, compare and report experiments.

use super::{write_file, CommandError, RunStatus};
use crate::arguments::CompareArguments;
use marblefall_simulation::compare::{variants, Comparison};
use marblefall_simulation::experiment::{self, CellResult, Experiment};
use marblefall_simulation::report;
use std::path::Path;

/// Plays the cells of an experiment that are not complete, and prints the results of all cells.
pub(super) fn run(file: &Path, out: &Path, threads: usize) -> Result<RunStatus, CommandError> {
    let experiment = Experiment::read(file)?;
    let run = experiment.run(out, threads)?;
    let violating: Vec<&CellResult> = run
        .results
        .iter()
        .filter(|result| result.summary.violations > 0)
        .collect();
    println!(
        "{}\n{} cells, {} of them played now; they are in {}",
        experiment.title,
        run.results.len(),
        run.played,
        out.display()
    );
    println!("\n{}", report::value_table(&run.results));
    for result in &violating {
        let violation = result.summary.first_violation.as_deref();
        println!(
            "{} seed {} {}: {}",
            result.scenario,
            result.seed,
            result.variant,
            violation.unwrap_or_default()
        );
    }
    Ok(RunStatus::ok_if(violating.is_empty()))
}

/// Compares two variants and prints the differences.
pub(super) fn compare(arguments: &CompareArguments) -> Result<RunStatus, CommandError> {
    let other = arguments.other.as_ref().unwrap_or(&arguments.folder);
    let base = variant_results(&arguments.folder, arguments.base.as_deref(), "base")?;
    let with = variant_results(other, arguments.with.as_deref(), "with")?;
    println!("{}", Comparison::of(&base, &with));
    Ok(RunStatus::Ok)
}

/// Returns the results of the named variant in a folder. The name may be omitted if there is only one variant.
fn variant_results(
    folder: &Path,
    name: Option<&str>,
    option: &'static str,
) -> Result<Vec<CellResult>, CommandError> {
    let results = experiment::read(folder)?;
    let available = variants(&results);
    let Some(first) = available.first() else {
        return Err(CommandError::NoResults(folder.to_owned()));
    };
    let variant = match name {
        Some(name) if available.contains(name) => name.to_owned(),
        None if available.len() == 1 => (*first).to_owned(),
        _ => {
            return Err(CommandError::UnknownVariant {
                folder: folder.to_owned(),
                option,
                available: available.into_iter().map(str::to_owned).collect(),
            });
        }
    };
    let results = results.into_iter();
    Ok(results.filter(|result| result.variant == variant).collect())
}

/// Writes the HTML page of a run or an experiment.
pub(super) fn report(folder: &Path) -> Result<RunStatus, CommandError> {
    let page = report::of_folder(folder)?;
    let path = folder.join(report::PAGE_FILE);
    write_file(&path, &page)?;
    println!("{}", path.display());
    Ok(RunStatus::Ok)
}

//! The commands that play a scenario, check whether scenarios are valid, or check whether mutants are detected.

use super::{write_file, CommandError, RunStatus};
use crate::arguments::{PlayArguments, ScenarioArguments};
use crate::error_chain;
use crate::process_experiment;
use marblefall_process_experiment::schedule::ProcessScenario;
use marblefall_simulation::core_driver::CoreNodes;
use marblefall_simulation::invariants::{check_run, Verdict};
use marblefall_simulation::metrics::{measure, Metrics, Summary};
use marblefall_simulation::mutants::Mutation;
use marblefall_simulation::report::RunReport;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{production_node, NodeFactory};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Maximum size of the journal of each instance, in bytes.
const MAX_DISK_BYTES: u64 = 16_000_000;
/// Lower bound of the elapsed time, in s; avoids a division by zero.
const MIN_ELAPSED_S: f64 = 1e-9;

/// Plays a scenario on the scheduler alone.
pub(super) fn play_on_model(arguments: &PlayArguments) -> Result<RunStatus, CommandError> {
    play(arguments, &production_node)
}

/// Plays a scenario on the core with its journal on disk.
pub(super) fn play_on_core(arguments: &PlayArguments) -> Result<RunStatus, CommandError> {
    let nodes = CoreNodes::new(MAX_DISK_BYTES).map_err(CommandError::Journals)?;
    play(arguments, &|incarnation| nodes.node(incarnation))
}

fn play(arguments: &PlayArguments, make_node: NodeFactory<'_>) -> Result<RunStatus, CommandError> {
    let scenario = arguments.scenario.scenario(arguments.seed)?;
    let started = Instant::now();
    let run = measure(&scenario, arguments.seed, make_node);
    let elapsed = started.elapsed();
    let summary = run.summary();
    println!("{}\n\n{}", scenario.title, run.metrics.table());
    print_summary(&scenario, &summary, elapsed);
    print_verdict(&run.verdict);
    if let Some(folder) = &arguments.out {
        write_metrics(&run.metrics, folder)?;
        write_manifest(arguments, &scenario, &summary, folder)?;
        RunReport::of(&scenario, arguments.seed, &run).write(folder)?;
    }
    Ok(RunStatus::ok_if(run.verdict.is_clean()))
}

fn print_summary(scenario: &Scenario, summary: &Summary, elapsed: Duration) {
    let elapsed_s = elapsed.as_secs_f64();
    println!(
        "{} messages and {} attempts in {:.0} s of virtual time, played in {elapsed_s:.2} s: {:.0} messages a second",
        summary.messages,
        summary.attempts,
        scenario.seconds,
        summary.messages as f64 / elapsed_s.max(MIN_ELAPSED_S)
    );
    println!("value delivered: {:.4}", summary.delivered_value_share);
}

fn print_verdict(verdict: &Verdict) {
    for violation in &verdict.violations {
        println!("\n{violation}");
    }
    if verdict.is_clean() {
        println!("all invariants hold");
    } else {
        println!("\n{} violations", verdict.count);
    }
}

fn write_metrics(metrics: &Metrics, folder: &Path) -> Result<(), CommandError> {
    metrics.write(folder).map_err(|source| CommandError::File {
        path: folder.to_owned(),
        source,
    })
}

/// Writes the inputs of a run and its totals. The keys are those of earlier versions.
fn write_manifest(
    arguments: &PlayArguments,
    scenario: &Scenario,
    summary: &Summary,
    folder: &Path,
) -> Result<(), CommandError> {
    let manifest = serde_json::json!({
        "scenario": arguments.scenario.scenario.display().to_string(),
        "title": scenario.title,
        "seed": arguments.seed,
        "set": arguments.scenario.overrides,
        "program": env!("CARGO_PKG_VERSION"),
        "messages": summary.messages,
        "legs": summary.attempts,
        "breaches": summary.violations,
    });
    let text = serde_json::to_string_pretty(&manifest)?;
    write_file(&folder.join("manifest.json"), &(text + "\n"))
}

/// Checks whether scenarios are valid.
pub(super) fn check(paths: &[PathBuf]) -> RunStatus {
    let mut all_valid = true;
    for path in paths {
        match title(path) {
            Ok(title) => println!("{}: sound: {title}", path.display()),
            Err(error) => {
                all_valid = false;
                eprintln!("{}", error_chain(&error));
            }
        }
    }
    RunStatus::ok_if(all_valid)
}

/// Reads a scenario, for the simulation or for processes, and returns its title.
fn title(path: &Path) -> Result<String, CommandError> {
    if process_experiment::is_process_scenario(path) {
        let scenario = ProcessScenario::read(path);
        let scenario = scenario.map_err(process_experiment::ProcessExperimentError::from)?;
        return Ok(scenario.title);
    }
    Ok(Scenario::read(path, &[], 1)?.title)
}

/// Plays a scenario with each mutant, and prints which mutants the invariant checker detects.
pub(super) fn detect_mutants(path: &Path, seed: u64) -> Result<RunStatus, CommandError> {
    let scenario = Scenario::read(path, &[], seed)?;
    let mut all_detected = true;
    for mutation in Mutation::ALL {
        let verdict = check_run(&scenario, seed, &|incarnation| {
            mutation.node(incarnation.settings, incarnation.seed)
        });
        let mut violated = verdict.violations.iter();
        let is_detected = violated.any(|violation| violation.invariant == mutation.violates());
        all_detected &= is_detected;
        println!(
            "{mutation:?}: {}",
            if is_detected { "found" } else { "NOT FOUND" }
        );
    }
    Ok(RunStatus::ok_if(all_detected))
}

/// Plays one cell of an experiment and prints its summary as JSON.
pub(super) fn cell(scenario: &ScenarioArguments, seed: u64) -> Result<RunStatus, CommandError> {
    let run = measure(&scenario.scenario(seed)?, seed, &production_node);
    println!("{}", serde_json::to_string(&run.summary())?);
    Ok(RunStatus::Ok)
}

//! The commands of `marblefall-simulation`.

mod experiments;
mod play;
mod search;

use crate::arguments::{Command, NodeKind, PlayArguments, SeedSearchArguments};
use crate::process_experiment::{self, ProcessExperimentError};
use marblefall_simulation::experiment::ExperimentError;
use marblefall_simulation::report::ReportError;
use marblefall_simulation::scenario::ScenarioError;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Result of a completed command, reported by the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStatus {
    /// All checks passed.
    Ok,
    /// An invariant is violated, a mutant was not detected, or a scenario is invalid.
    Failed,
}

impl RunStatus {
    fn ok_if(is_ok: bool) -> RunStatus {
        if is_ok {
            RunStatus::Ok
        } else {
            RunStatus::Failed
        }
    }
}

/// Why a command could not be completed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    ProcessExperiment(#[from] ProcessExperimentError),
    #[error(transparent)]
    Report(#[from] ReportError),
    #[error("{}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("the folder for the journals cannot be created")]
    Journals(#[source] io::Error),
    #[error("the result cannot be written as JSON")]
    Json(#[from] serde_json::Error),
    #[error("the shrunk scenario cannot be written as TOML")]
    Toml(#[from] toml::ser::Error),
    #[error(
        "invalid options: requires 0 < --least < --most, --part within 0 and 1, --seeds at least 1"
    )]
    InvalidCapacitySearch,
    #[error("{}: has no results of an experiment", .0.display())]
    NoResults(PathBuf),
    #[error("{}: give --{option} with one of: {}", folder.display(), available.join(", "))]
    UnknownVariant {
        folder: PathBuf,
        option: &'static str,
        available: Vec<String>,
    },
}

/// Runs a command.
pub(crate) fn run(command: Command) -> Result<RunStatus, CommandError> {
    match command {
        Command::Play(arguments) => match arguments.node_kind {
            NodeKind::Processes => play_on_processes(&arguments),
            NodeKind::Model => play::play_on_model(&arguments),
            NodeKind::Core => play::play_on_core(&arguments),
        },
        Command::Check { scenarios } => Ok(play::check(&scenarios)),
        Command::DetectMutants { scenario, seed } => play::detect_mutants(&scenario, seed),
        Command::Experiment { file, out, threads } => experiments::run(&file, &out, threads),
        Command::Compare(arguments) => experiments::compare(&arguments),
        Command::Capacity(arguments) => search::capacity(&arguments),
        Command::SearchSeeds(arguments) if arguments.node_kind == NodeKind::Processes => {
            search_on_processes(&arguments)
        }
        Command::SearchSeeds(arguments) => search::seeds(&arguments),
        Command::Report { folder } => experiments::report(&folder),
        Command::Cell { scenario, seed } => play::cell(&scenario, seed),
    }
}

fn play_on_processes(arguments: &PlayArguments) -> Result<RunStatus, CommandError> {
    let all_hold = process_experiment::play_schedule(
        &arguments.scenario.scenario,
        arguments.seed,
        arguments.schedule.as_deref(),
        &arguments.processes,
    )?;
    Ok(RunStatus::ok_if(all_hold))
}

fn search_on_processes(arguments: &SeedSearchArguments) -> Result<RunStatus, CommandError> {
    let search = process_experiment::Search {
        scenario: &arguments.scenario.scenario,
        seeds: arguments.seeds,
        time_limit: arguments.time_limit(),
        out: arguments.shrink.as_deref(),
        max_shrink_runs: arguments.max_shrink_runs,
        processes: &arguments.processes,
    };
    Ok(RunStatus::ok_if(search.run()?))
}

fn write_file(path: &Path, content: &str) -> Result<(), CommandError> {
    fs::write(path, content).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

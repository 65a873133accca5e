//! The commands of `marblefall-simulation` that play scenarios on real processes.

use crate::arguments::ProcessArguments;
use marblefall_process_experiment::experiment::{play, ChangeCounts, Report};
use marblefall_process_experiment::invariants::Invariant;
use marblefall_process_experiment::schedule::{ProcessScenario, ScenarioError, Schedule};
use marblefall_process_experiment::shrink::shrink;
use marblefall_process_harness::HarnessError;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Why a command that plays on processes fails.
#[derive(Debug, thiserror::Error)]
pub enum ProcessExperimentError {
    /// The scenario or the stored schedule cannot be used.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The program under test was not found.
    #[error(
        "no program marblefall in the folder of this program: give its path with --program FILE"
    )]
    ProgramNotFound,
    /// A run was inconclusive.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A run of a search was inconclusive.
    #[error("seed {seed}")]
    Seed {
        /// Seed of the run.
        seed: u64,
        /// The cause.
        source: Box<ProcessExperimentError>,
    },
    /// A shrunk schedule cannot be encoded.
    #[error(transparent)]
    Encode(#[from] toml::ser::Error),
    /// A shrunk schedule cannot be written.
    #[error("{}", path.display())]
    Write {
        /// Path of the schedule.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// Returns whether a file is a scenario for processes.
pub fn is_process_scenario(path: &Path) -> bool {
    // An unreadable file is reported when it is parsed as a scenario.
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().any(|line| line.trim() == "[processes]")
}

impl ProcessArguments {
    fn program(&self) -> Result<PathBuf, ProcessExperimentError> {
        let default = || Some(std::env::current_exe().ok()?.with_file_name("marblefall"));
        let program = self.program.clone().or_else(default);
        program
            .filter(|program| program.is_file())
            .ok_or(ProcessExperimentError::ProgramNotFound)
    }

    /// Plays a schedule in the folder given with `--keep`, or in a temporary folder.
    fn play(&self, schedule: &Schedule) -> Result<Report, ProcessExperimentError> {
        let temporary =
            std::env::temp_dir().join(format!("marblefall-processes-{}", std::process::id()));
        let folder = self.keep.as_ref().unwrap_or(&temporary);
        let report = play(schedule, &self.program()?, folder);
        if self.keep.is_none() {
            // Errors are ignored: files that cannot be removed stay in the system's temporary folder.
            let _ = fs::remove_dir_all(&temporary);
        }
        Ok(report?)
    }
}

/// Plays the schedule that is drawn for a seed, or a stored schedule, and prints the result. Returns whether all
/// invariants hold.
pub fn play_schedule(
    path: &Path,
    seed: u64,
    stored: Option<&Path>,
    processes: &ProcessArguments,
) -> Result<bool, ProcessExperimentError> {
    let scenario = ProcessScenario::read(path)?;
    let schedule = match stored {
        Some(stored) => Schedule::read(stored)?,
        None => Schedule::draw(&scenario.processes, seed),
    };
    let report = processes.play(&schedule)?;
    println!(
        "{}\n\nseed {}, {} steps: {}",
        scenario.title,
        schedule.seed,
        schedule.steps.len(),
        summary(&report)
    );
    if report.violations.is_empty() {
        println!("all invariants hold");
        return Ok(true);
    }
    println!("\n{}\n", report.trace.join("\n"));
    for violation in &report.violations {
        println!("{violation}");
    }
    println!(
        "\nto repeat it: marblefall-simulation play {} --on processes --seed {}",
        path.display(),
        schedule.seed
    );
    Ok(false)
}

fn summary(report: &Report) -> String {
    let ChangeCounts {
        applied,
        in_force,
        withdrawn,
    } = report.changes;
    format!(
        "{} events, {} responses of which {} asked to submit again; {applied} changes applied, {in_force} reported in \
         force, {withdrawn} withdrawn",
        report.events, report.submissions, report.repeated_submissions
    )
}

/// A search for a seed whose schedule violates an invariant.
pub struct Search<'a> {
    /// Path of the scenario.
    pub scenario: &'a Path,
    /// Number of seeds played, starting with seed 1.
    pub seeds: u64,
    /// Time after which no further seed is started.
    pub time_limit: Duration,
    /// Path to which the shrunk schedule is written.
    pub out: Option<&'a Path>,
    /// Maximum number of runs spent on shrinking.
    pub max_shrink_runs: u32,
    /// Program and folder of the processes.
    pub processes: &'a ProcessArguments,
}

/// Totals of the runs of a search.
#[derive(Default)]
struct Totals {
    seeds: u64,
    steps: usize,
    events: usize,
    changes_in_force: usize,
}

impl Search<'_> {
    /// Plays seeds one after the other until a run violates an invariant, then shrinks its schedule. Returns whether all
    /// invariants hold in all runs.
    pub fn run(&self) -> Result<bool, ProcessExperimentError> {
        let scenario = ProcessScenario::read(self.scenario)?;
        let deadline = Instant::now() + self.time_limit;
        let mut totals = Totals::default();
        println!("{}", scenario.title);
        for seed in (1..=self.seeds).take_while(|_| Instant::now() < deadline) {
            let schedule = Schedule::draw(&scenario.processes, seed);
            let report = self.processes.play(&schedule);
            let report = report.map_err(|source| ProcessExperimentError::Seed {
                seed,
                source: Box::new(source),
            })?;
            totals.add(&schedule, &report);
            if let Some(violation) = report.violations.first() {
                println!("seed {seed}: {violation}");
                self.shrink(&schedule, violation.invariant)?;
                return Ok(false);
            }
        }
        println!(
            "{} seeds, {} steps, {} events, {} changes reported in force: all invariants hold",
            totals.seeds, totals.steps, totals.events, totals.changes_in_force
        );
        Ok(true)
    }

    fn shrink(
        &self,
        schedule: &Schedule,
        invariant: Invariant,
    ) -> Result<(), ProcessExperimentError> {
        let violated = |smaller: &Schedule| {
            // An inconclusive run counts as one without a violation.
            let report = self.processes.play(smaller);
            let violations = report.map(|report| report.violations).unwrap_or_default();
            violations
                .into_iter()
                .map(|violation| violation.invariant)
                .collect()
        };
        let smallest = shrink(schedule, invariant, self.max_shrink_runs, violated);
        println!(
            "{} steps of {} are left that still violate it",
            smallest.steps.len(),
            schedule.steps.len()
        );
        let Some(path) = self.out else { return Ok(()) };
        fs::write(path, toml::to_string(&smallest)?).map_err(|source| {
            ProcessExperimentError::Write {
                path: path.to_owned(),
                source,
            }
        })?;
        println!(
            "to play them: marblefall-simulation play {} --on processes --schedule {}",
            self.scenario.display(),
            path.display()
        );
        Ok(())
    }
}

impl Totals {
    fn add(&mut self, schedule: &Schedule, report: &Report) {
        self.seeds += 1;
        self.steps += schedule.steps.len();
        self.events += report.events;
        self.changes_in_force += report.changes.in_force;
    }
}

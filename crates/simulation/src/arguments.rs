//! Command-line arguments of `marblefall-simulation`.

use clap::{Args, Parser, Subcommand, ValueEnum};
use marblefall_simulation::capacity_search::CapacitySearch;
use marblefall_simulation::scenario::{Draft, Scenario, ScenarioError};
use std::path::PathBuf;
use std::time::Duration;

/// Number of bisections of a capacity search.
const CAPACITY_SEARCH_STEPS: u32 = 7;

/// Plays scenarios in virtual time.
///
/// Exit codes: 0 if all checks pass, 1 if a check or the command fails, 2 if the arguments are invalid.
#[derive(Debug, Parser)]
#[command(name = "marblefall-simulation", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Play a scenario, print its metrics, and check its invariants.
    Play(PlayArguments),
    /// Check whether scenarios are valid.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Play a scenario with mutants of the scheduler, and report which are detected.
    #[command(name = "faults")]
    DetectMutants {
        /// Scenario file.
        scenario: PathBuf,
        /// Seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play scenarios x seeds x variants. Cells whose results are stored in the folder are not played again.
    #[command(
        after_help = "Example:\n  marblefall-simulation experiment crates/simulation/experiments/couriers.toml --out results/couriers"
    )]
    Experiment {
        /// Experiment file.
        file: PathBuf,
        /// Folder for the results.
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
        /// Number of cells played in parallel; 0 for one on each core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Compare two variants of one experiment, or variants of two experiments, pair by pair.
    Compare(CompareArguments),
    /// Find the load at which each class begins to miss its deadline.
    Capacity(CapacityArguments),
    /// Find the seeds with the worst runs, and optionally shrink the scenario of the worst run while it still fails.
    #[command(name = "hunt")]
    SearchSeeds(SeedSearchArguments),
    /// Write an HTML page with plots of the run or experiment in a folder.
    Report {
        /// Folder of the run or experiment; the page is written to `report.html` in it.
        folder: PathBuf,
    },
    /// Play one cell of an experiment and print its summary as JSON. Other builds call this command for variants.
    Cell {
        #[command(flatten)]
        scenario: ScenarioArguments,
        /// Seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Implementation that each instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum NodeKind {
    /// The scheduler alone.
    Model,
    /// The delivery core with its journal on disk.
    Core,
    /// Daemons of a group, each in its own process.
    Processes,
}

/// A scenario with overrides.
#[derive(Debug, Args)]
pub(crate) struct ScenarioArguments {
    /// Scenario file.
    #[arg(value_name = "SCENARIO")]
    pub(crate) scenario: PathBuf,
    /// Value that takes precedence over that of the file, as path.to.value=value; may be given several times.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub(crate) overrides: Vec<String>,
}

impl ScenarioArguments {
    pub(crate) fn draft(&self) -> Result<Draft, ScenarioError> {
        Draft::read(&self.scenario, &self.overrides)
    }

    pub(crate) fn scenario(&self, seed: u64) -> Result<Scenario, ScenarioError> {
        self.draft()?.scenario(seed)
    }
}

/// Options of scenarios that are played on processes.
#[derive(Debug, Args)]
pub(crate) struct ProcessArguments {
    /// With --on processes: program under test; by default `marblefall` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    pub(crate) program: Option<PathBuf>,
    /// With --on processes: folder for homes, histories and logs; by default a temporary folder that is removed.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) keep: Option<PathBuf>,
}

#[derive(Debug, Args)]
#[command(
    after_help = "Example:\n  marblefall-simulation play crates/simulation/scenarios/blackout.toml --seed 7 --set couriers.count=10 --out results"
)]
pub(crate) struct PlayArguments {
    #[command(flatten)]
    pub(crate) scenario: ScenarioArguments,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Folder to which metrics are written as CSV, with a manifest and an HTML page.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: Option<PathBuf>,
    /// Implementation that each instance runs.
    #[arg(long = "on", value_enum, value_name = "ON", default_value_t = NodeKind::Model)]
    pub(crate) node_kind: NodeKind,
    #[command(flatten)]
    pub(crate) processes: ProcessArguments,
    /// With --on processes: stored schedule that replaces the one drawn from the seed.
    #[arg(long, value_name = "FILE")]
    pub(crate) schedule: Option<PathBuf>,
}

#[derive(Debug, Args)]
#[command(
    after_help = "Examples:\n  marblefall-simulation compare results/couriers --base three --with ten\n  marblefall-simulation compare before after"
)]
pub(crate) struct CompareArguments {
    /// Results folder of an experiment.
    pub(crate) folder: PathBuf,
    /// Results folder with the second variant, if it is another one.
    pub(crate) other: Option<PathBuf>,
    /// First variant; may be omitted if its folder has only one.
    #[arg(long)]
    pub(crate) base: Option<String>,
    /// Second variant; may be omitted if its folder has only one.
    #[arg(long)]
    pub(crate) with: Option<String>,
}

#[derive(Debug, Args)]
#[command(
    after_help = "Example:\n  marblefall-simulation capacity crates/simulation/scenarios/base.toml --set couriers.count=10"
)]
pub(crate) struct CapacityArguments {
    #[command(flatten)]
    pub(crate) scenario: ScenarioArguments,
    /// Minimum factor of the scenario's loads.
    #[arg(long = "least", value_name = "LEAST", default_value_t = 0.25)]
    min_factor: f64,
    /// Maximum factor of the scenario's loads.
    #[arg(long = "most", value_name = "MOST", default_value_t = 16.0)]
    max_factor: f64,
    /// Share of the offered messages that must be delivered before their deadline.
    #[arg(long = "part", value_name = "PART", default_value_t = 0.99)]
    required_share: f64,
    /// Number of seeds played with each factor.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
}

impl CapacityArguments {
    /// Returns the search; `None` if a bound is invalid.
    pub(crate) fn search(&self) -> Option<CapacitySearch> {
        let bounds_are_valid = 0.0 < self.min_factor
            && self.min_factor < self.max_factor
            && self.max_factor.is_finite();
        let share_is_valid = (0.0..=1.0).contains(&self.required_share);
        let search = CapacitySearch {
            min_factor: self.min_factor,
            max_factor: self.max_factor,
            required_share: self.required_share,
            seeds: self.seeds,
            steps: CAPACITY_SEARCH_STEPS,
        };
        Some(search).filter(|_| bounds_are_valid && share_is_valid && self.seeds > 0)
    }
}

#[derive(Debug, Args)]
#[command(
    after_help = "Example:\n  marblefall-simulation hunt crates/simulation/scenarios/mixed.toml --seeds 200 --shrink least.toml"
)]
pub(crate) struct SeedSearchArguments {
    #[command(flatten)]
    pub(crate) scenario: ScenarioArguments,
    /// Number of seeds played, starting with seed 1.
    #[arg(long, default_value_t = 100)]
    pub(crate) seeds: u64,
    /// File to which the shrunk scenario or schedule is written.
    #[arg(long, value_name = "FILE")]
    pub(crate) shrink: Option<PathBuf>,
    /// Maximum number of runs spent on shrinking.
    #[arg(long = "runs", value_name = "RUNS", default_value_t = 2000)]
    pub(crate) max_shrink_runs: u32,
    /// Implementation that each instance runs.
    #[arg(long = "on", value_enum, value_name = "ON", default_value_t = NodeKind::Model)]
    pub(crate) node_kind: NodeKind,
    #[command(flatten)]
    pub(crate) processes: ProcessArguments,
    /// With --on processes: seconds after which no further seed is started.
    #[arg(long = "within", value_name = "SECONDS", default_value_t = 3600)]
    time_limit_s: u64,
}

impl SeedSearchArguments {
    /// Returns the time after which no further seed is started.
    pub(crate) fn time_limit(&self) -> Duration {
        Duration::from_secs(self.time_limit_s)
    }
}

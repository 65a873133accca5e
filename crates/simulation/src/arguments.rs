//! The command line of `marblefall-simulation`.

use clap::{Args, Parser, Subcommand, ValueEnum};
use marblefall_simulation::capacity_search::CapacitySearch;
use marblefall_simulation::scenario::{Draft, Scenario, ScenarioError};
use std::path::PathBuf;
use std::time::Duration;

/// Bisections of a capacity search.
const CAPACITY_SEARCH_STEPS: u32 = 7;

/// Plays scenarios in virtual time.
///
/// Exit codes: 0 all invariants hold, 1 one is violated or a file is wrong, 2 the arguments are wrong.
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
        /// The files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Play a scenario with mutants of the scheduler, and report which were detected.
    Faults {
        /// The scenario.
        scenario: PathBuf,
        /// Seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play scenarios x seeds x variants; cells whose results a folder holds are not played again.
    #[command(
        after_help = "Example:\n  marblefall-simulation experiment crates/simulation/experiments/couriers.toml --out results/couriers"
    )]
    Experiment {
        /// The experiment's file.
        file: PathBuf,
        /// Where the results are kept.
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
        /// Cells played at once; 0 for one on each core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Compare two variants of an experiment, or one of two experiments, pair by pair.
    Compare(CompareArguments),
    /// Find the load at which each class begins to miss its deadline.
    Capacity(CapacityArguments),
    /// Find the seeds with the worst runs, and shrink the worst to the smallest scenario that still fails.
    Hunt(SeedSearchArguments),
    /// Write one page with plots of a folder's run or experiment.
    Report {
        /// The folder; the page is `report.html` in it.
        folder: PathBuf,
    },
    /// Play one cell of an experiment and print its summary as JSON. Another build calls this.
    Cell {
        #[command(flatten)]
        scenario: ScenarioArguments,
        /// Seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// What instances are made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum NodeKind {
    /// The scheduler alone.
    Model,
    /// The core with its journal on disk.
    Core,
    /// Daemons of a group as processes of their own.
    Processes,
}

/// A scenario with overrides.
#[derive(Debug, Args)]
pub(crate) struct ScenarioArguments {
    /// The scenario.
    #[arg(value_name = "SCENARIO")]
    pub(crate) scenario: PathBuf,
    /// A value that takes precedence over the file's, as path.to.value=value; may be given again.
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

/// The processes of a scenario that is played on processes.
#[derive(Debug, Args)]
pub(crate) struct ProcessArguments {
    /// On processes: the program; by default `marblefall` beside this one.
    #[arg(long, value_name = "FILE")]
    pub(crate) program: Option<PathBuf>,
    /// On processes: where homes, histories and logs are; by default a folder that is removed.
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
    /// Where metrics are written as CSV, with a manifest and a page.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: Option<PathBuf>,
    /// What the instances are: the scheduler alone, or the core with its journal on disk.
    #[arg(long = "on", value_enum, value_name = "ON", default_value_t = NodeKind::Model)]
    pub(crate) node_kind: NodeKind,
    #[command(flatten)]
    pub(crate) processes: ProcessArguments,
    /// On processes: a stored schedule, instead of one drawn from the seed.
    #[arg(long, value_name = "FILE")]
    pub(crate) schedule: Option<PathBuf>,
}

#[derive(Debug, Args)]
#[command(
    after_help = "Examples:\n  marblefall-simulation compare results/couriers --base three --with ten\n  marblefall-simulation compare before after"
)]
pub(crate) struct CompareArguments {
    /// An experiment's folder.
    pub(crate) folder: PathBuf,
    /// Another one, which holds the second variant.
    pub(crate) other: Option<PathBuf>,
    /// The first variant; may be omitted if there is only one.
    #[arg(long)]
    pub(crate) base: Option<String>,
    /// The second variant.
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
    /// The least factor of the scenario's loads.
    #[arg(long = "least", value_name = "LEAST", default_value_t = 0.25)]
    min_factor: f64,
    /// The greatest factor.
    #[arg(long = "most", value_name = "MOST", default_value_t = 16.0)]
    max_factor: f64,
    /// Share of the offered messages that must be delivered before their deadline.
    #[arg(long = "part", value_name = "PART", default_value_t = 0.99)]
    required_share: f64,
    /// Seeds played at each load.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
}

impl CapacityArguments {
    /// The search; `None` if a bound is invalid.
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
    /// Seeds 1 to this are played.
    #[arg(long, default_value_t = 100)]
    pub(crate) seeds: u64,
    /// Where the shrunk scenario is written.
    #[arg(long, value_name = "FILE")]
    pub(crate) shrink: Option<PathBuf>,
    /// Runs spent on shrinking, at most.
    #[arg(long = "runs", value_name = "RUNS", default_value_t = 2000)]
    pub(crate) max_shrink_runs: u32,
    /// What the instances are.
    #[arg(long = "on", value_enum, value_name = "ON", default_value_t = NodeKind::Model)]
    pub(crate) node_kind: NodeKind,
    #[command(flatten)]
    pub(crate) processes: ProcessArguments,
    /// On processes: seconds after which no further seed is started.
    #[arg(long = "within", value_name = "SECONDS", default_value_t = 3600)]
    time_limit_s: u64,
}

impl SeedSearchArguments {
    /// Time after which no further seed is started.
    pub(crate) fn time_limit(&self) -> Duration {
        Duration::from_secs(self.time_limit_s)
    }
}

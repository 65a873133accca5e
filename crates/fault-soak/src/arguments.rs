//! The arguments of the program.

use clap::Parser;
use std::path::PathBuf;

/// Plays processes of the platform under random faults and judges them from outside.
///
/// Each seed gives a plan: signals, failing system calls by a preloaded shim, a proxy that disturbs connections,
/// endpoints, discovery and clients that misbehave. A plan is written beside a run that fails, and can be played again.
///
/// Exit codes: 0 all rules were kept and each planned fault was injected, 1 otherwise, 2 the arguments are wrong.
#[derive(Debug, Parser)]
#[command(name = "marblefall-fault-soak", version)]
pub struct Arguments {
    /// The program under test, best built with `RUSTFLAGS=--cfg=rustix_use_libc`, so that the shim sees all its calls.
    #[arg(long)]
    pub program: PathBuf,
    /// The shim, `libmarblefall_fault_shim.so`.
    #[arg(long)]
    pub shim: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Processes of each run.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    pub processes: u64,
    /// How long clients send in each run, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(6..=600))]
    pub seconds: u64,
    /// A plan that was written before, in place of one drawn from a seed.
    #[arg(long, value_name = "FILE")]
    pub plan: Option<PathBuf>,
    /// Shrink the plan of the first run that fails: leave out what it fails without.
    #[arg(long)]
    pub shrink: bool,
    /// Where plans, logs and state folders of failing runs are kept.
    #[arg(long, value_name = "FOLDER", default_value = "soak-failures")]
    pub keep: PathBuf,
}

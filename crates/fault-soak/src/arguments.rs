//! Command line arguments.

use clap::Parser;
use std::path::PathBuf;

/// Runs processes of the platform under random faults and checks their behavior from outside.
///
/// Each seed determines a plan of faults: signals, system calls that a preloaded shim makes fail, proxies that disturb
/// connections, and endpoints, discoveries and clients that misbehave. The plan of a failing run is kept, and can be run
/// again.
///
/// Exit codes: 0 if all rules were kept and each planned fault was injected, 2 if the arguments are invalid, 1 otherwise.
#[derive(Debug, Parser)]
#[command(name = "marblefall-fault-soak", version)]
pub struct Arguments {
    /// Program under test. Build it with `RUSTFLAGS=--cfg=rustix_use_libc`, so that the shim intercepts all its calls.
    #[arg(long)]
    pub program: PathBuf,
    /// Fault shim, `libmarblefall_fault_shim.so`.
    #[arg(long)]
    pub shim: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Number of processes in each run.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    pub processes: u64,
    /// Time in which clients send requests in each run, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(6..=600))]
    pub seconds: u64,
    /// Adds bursts of requests, and responses, acknowledgements, lists and requests that come twice on their connection.
    #[arg(long)]
    pub repeats: bool,
    /// Adds crowds of clients and of unfinished responses, under a memory limit of 96 or 48 MB and 1,024 descriptors.
    #[arg(long)]
    pub crowds: bool,
    /// File with a stored plan, which is run in place of plans drawn from seeds.
    #[arg(long, value_name = "FILE")]
    pub plan: Option<PathBuf>,
    /// Shrink the plan of the first failing run: remove the faults without which it still fails.
    #[arg(long)]
    pub shrink: bool,
    /// Folder for the plans and logs of failing runs.
    #[arg(long, value_name = "FOLDER", default_value = "soak-failures")]
    pub keep: PathBuf,
}

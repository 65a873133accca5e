//! `marblefall-fault-soak`: real processes under random faults from fixed seeds, judged from outside.

#![forbid(unsafe_code)]

mod client;
mod discovery;
mod endpoint;
mod oracle;
mod plan;
mod process;
mod proxy;
mod record;
mod run;
mod schedule;

use clap::Parser;
use plan::Plan;
use run::{play, Report, Setting};
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays processes of the platform under random faults and judges them from outside.
///
/// Each seed gives a plan: signals, failing system calls by a preloaded shim, a proxy that disturbs connections,
/// endpoints, discovery and clients that misbehave. A plan is written beside a run that fails, and can be played again.
///
/// Exit codes: 0 all rules were kept and each planned fault struck, 1 otherwise, 2 the arguments are wrong.
#[derive(Debug, Parser)]
#[command(name = "marblefall-fault-soak", version)]
struct Arguments {
    /// The program under test, best built with `RUSTFLAGS=--cfg=rustix_use_libc`, so that the shim sees all its calls.
    #[arg(long)]
    program: PathBuf,
    /// The shim, `libmarblefall_fault_shim.so`.
    #[arg(long)]
    shim: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Processes of each run.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=40))]
    processes: u64,
    /// How long clients send in each run, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(6..=600))]
    seconds: u64,
    /// A plan that was written before, in place of one drawn from a seed.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Shrink the plan of the first run that fails: leave out what it fails without.
    #[arg(long)]
    shrink: bool,
    /// Where plans, logs and state folders of failing runs are kept.
    #[arg(long, value_name = "FOLDER", default_value = "soak-failures")]
    keep: PathBuf,
}

#[derive(Debug, thiserror::Error)]
enum SoakError {
    #[error("{path}: {source}")]
    Plan {
        path: PathBuf,
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[error(transparent)]
    Machine(#[from] marblefall_simulation::rig::Fault),
    #[error("{0}: no such file")]
    Missing(PathBuf),
}

fn main() -> ExitCode {
    match soak(&Arguments::parse()) {
        Ok(tally) => {
            println!("{tally}");
            if tally.broken + tally.inconclusive == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("marblefall-fault-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// How the runs ended.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// All rules were kept, and each planned fault struck.
    passed: usize,
    /// All rules were kept, but a planned fault never struck: that proves nothing of it.
    inconclusive: usize,
    /// A rule was broken.
    broken: usize,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} runs passed, {} kept all rules with a fault that never struck, {} broke a rule",
            self.passed, self.inconclusive, self.broken
        )
    }
}

/// Plays all that is asked for.
fn soak(arguments: &Arguments) -> Result<Tally, SoakError> {
    for file in [&arguments.program, &arguments.shim] {
        if !file.is_file() {
            return Err(SoakError::Missing(file.clone()));
        }
    }
    let plans: Vec<Plan> = match &arguments.plan {
        Some(path) => vec![read_plan(path)?],
        None => (arguments.seed..arguments.seed + arguments.seeds)
            .map(|seed| Plan::draw(seed, arguments.processes as usize, arguments.seconds))
            .collect(),
    };
    let mut tally = Tally::default();
    for plan in plans {
        let report = play_in(arguments, plan.clone())?;
        print_report(&plan, &report);
        if report.violations.is_empty() {
            if report.idle_faults.is_empty() {
                tally.passed += 1;
            } else {
                tally.inconclusive += 1;
            }
            continue;
        }
        tally.broken += 1;
        if arguments.shrink {
            let rule = report.violations[0].rule;
            let least = shrink(arguments, plan, rule)?;
            println!(
                "the least that still breaks \"{rule}\":\n{}",
                text_of(&least)
            );
            return Ok(tally);
        }
    }
    Ok(tally)
}

fn read_plan(path: &PathBuf) -> Result<Plan, SoakError> {
    let failed = |source: Box<dyn std::error::Error + Send + Sync>| SoakError::Plan {
        path: path.clone(),
        source,
    };
    let text = fs::read_to_string(path).map_err(|error| failed(error.into()))?;
    toml::from_str(&text).map_err(|error| failed(error.into()))
}

fn text_of(plan: &Plan) -> String {
    toml::to_string(plan).unwrap_or_default()
}

/// Plays a plan in a folder that is kept where it fails.
fn play_in(arguments: &Arguments, plan: Plan) -> Result<Report, SoakError> {
    let name = format!("seed-{}-{}", plan.seed, std::process::id());
    let folder = std::env::temp_dir().join(format!("marblefall-soak-{name}"));
    let _ = fs::remove_dir_all(&folder);
    let setting = Setting {
        program: arguments.program.clone(),
        shim: arguments.shim.clone(),
        folder: folder.clone(),
    };
    let text = text_of(&plan);
    let report = play(plan, &setting)?;
    if !report.violations.is_empty() {
        let kept = arguments.keep.join(name);
        let _ = fs::remove_dir_all(&kept);
        let _ = fs::create_dir_all(&kept);
        let _ = fs::write(kept.join("plan.toml"), text);
        copy_logs(&folder, &kept);
    }
    let _ = fs::remove_dir_all(&folder);
    Ok(report)
}

fn copy_logs(folder: &PathBuf, kept: &std::path::Path) {
    let processes = fs::read_dir(folder).into_iter().flatten().flatten();
    for process in processes {
        let name = format!("{}.log", process.file_name().to_string_lossy());
        let _ = fs::copy(process.path().join("log"), kept.join(name));
    }
}

fn print_report(plan: &Plan, report: &Report) {
    let Report {
        violations,
        requests,
        accepted,
        calls,
        notices,
        counts,
        idle_faults,
    } = report;
    println!(
        "seed {}: {} processes, {} troubles; {requests} requests, {accepted} accepted, {calls} calls, {notices} notices; \
         {} violations",
        plan.seed,
        plan.processes,
        plan.troubles.len(),
        violations.len()
    );
    let struck: Vec<String> = counts
        .iter()
        .filter(|(_, count)| count.seen > 0)
        .map(|(kind, count)| format!("{} {}/{}", kind.name(), count.injected, count.seen))
        .collect();
    println!("  struck/seen: {}", struck.join(", "));
    if !idle_faults.is_empty() {
        println!("  planned and never struck: {}", idle_faults.join(", "));
    }
    for violation in violations {
        println!("  {violation}");
    }
}

/// Leaves out one trouble after another that a plan fails without, in the same way.
fn shrink(arguments: &Arguments, plan: Plan, rule: &str) -> Result<Plan, SoakError> {
    let mut least = plan;
    let mut index = 0;
    while index < least.troubles.len() {
        let smaller = least.without(index);
        let report = play_in(arguments, smaller.clone())?;
        let fails = report.violations.iter().any(|found| found.rule == rule);
        println!(
            "without {:?}: {}",
            least.troubles[index].kind,
            if fails { "still fails" } else { "passes" }
        );
        if fails {
            least = smaller;
        } else {
            index += 1;
        }
    }
    Ok(least)
}

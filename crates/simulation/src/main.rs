//! `marblefall-simulation`: plays scenarios in virtual time and judges them.

#![forbid(unsafe_code)]
#![allow(
    clippy::too_many_lines,
    reason = "this package is not yet written in the style of the others; see docs/ROADMAP.md"
)]

mod process_experiment;

use clap::{Parser, Subcommand};
use marblefall_process_experiment::schedule::ProcessScenario;
use marblefall_simulation::capacity::{capacity, Bears, Search};
use marblefall_simulation::check::judge;
use marblefall_simulation::compare::{variants, Comparison};
use marblefall_simulation::cored::Cores;
use marblefall_simulation::doubles::Fault;
use marblefall_simulation::experiment::{self, Experiment};
use marblefall_simulation::figures::{measure, Figures};
use marblefall_simulation::hunt::{self, Failing};
use marblefall_simulation::report;
use marblefall_simulation::scenario::{Draft, Scenario};
use marblefall_simulation::simulation::in_service;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// A world around the courier in virtual time.
///
/// Exit codes: 0 all rules were kept, 1 one was broken or a file is wrong, 2 the words are wrong.
#[derive(Debug, Parser)]
#[command(name = "marblefall-simulation", version)]
struct Words {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario, print what came of it, and judge it.
    #[command(
        after_help = "Example:\n  marblefall-simulation play crates/simulation/scenarios/blackout.toml --seed 7 --set couriers.count=10 --out results"
    )]
    Play {
        #[command(flatten)]
        what: What,
        /// What everything is drawn from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where figures are written as CSV, with a manifest and a page.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// What the couriers are: the decisions alone, or the core with its journal on disk.
        #[arg(long, value_enum, default_value_t = On::Model)]
        on: On,
        #[command(flatten)]
        processes: Processes,
        /// On processes: a schedule that was written out, instead of one drawn from the seed.
        #[arg(long, value_name = "FILE")]
        schedule: Option<PathBuf>,
    },
    /// Say whether scenarios are sound.
    Check {
        /// The files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Play a scenario with couriers that have a fault each, and say which were found out.
    Faults {
        /// The scenario.
        scenario: PathBuf,
        /// What everything is drawn from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play scenarios x seeds x variants; what a folder holds already is not played again.
    #[command(
        after_help = "Example:\n  marblefall-simulation experiment crates/simulation/experiments/couriers.toml --out results/couriers"
    )]
    Experiment {
        /// The experiment's file.
        file: PathBuf,
        /// Where its cells are kept.
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
        /// Cells played at once; 0 for one on each core.
        #[arg(long, default_value_t = 0)]
        threads: usize,
    },
    /// Compare two variants of an experiment, or one of two experiments, pair by pair.
    #[command(
        after_help = "Examples:\n  lab compare results/couriers --base three --with ten\n  lab compare before after"
    )]
    Compare {
        /// An experiment's folder.
        folder: PathBuf,
        /// Another one, whose variants are the second ones.
        other: Option<PathBuf>,
        /// The first variant; may be left out where there is one only.
        #[arg(long)]
        base: Option<String>,
        /// The second.
        #[arg(long)]
        with: Option<String>,
    },
    /// Find the load at which each class begins to miss its deadline.
    #[command(
        after_help = "Example:\n  marblefall-simulation capacity crates/simulation/scenarios/base.toml --set couriers.count=10"
    )]
    Capacity {
        #[command(flatten)]
        what: What,
        /// The least multiple of the scenario's loads.
        #[arg(long, default_value_t = 0.25)]
        least: f64,
        /// The greatest.
        #[arg(long, default_value_t = 16.0)]
        most: f64,
        /// Part of what clients bring that must be delivered before its deadline.
        #[arg(long, default_value_t = 0.99)]
        part: f64,
        /// Seeds played at each load.
        #[arg(long, default_value_t = 4)]
        seeds: u64,
    },
    /// Look for the seeds on which couriers do worst, and shrink the worst to the least that still fails.
    #[command(
        after_help = "Example:\n  marblefall-simulation hunt crates/simulation/scenarios/mixed.toml --seeds 200 --shrink least.toml"
    )]
    Hunt {
        #[command(flatten)]
        what: What,
        /// Seeds 1 to this are played.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Where the shrunk scenario is written.
        #[arg(long, value_name = "FILE")]
        shrink: Option<PathBuf>,
        /// Runs spent on shrinking, at most.
        #[arg(long, default_value_t = 2000)]
        runs: u32,
        /// What the couriers are.
        #[arg(long, value_enum, default_value_t = On::Model)]
        on: On,
        #[command(flatten)]
        processes: Processes,
        /// On processes: seconds after which no further seed is begun.
        #[arg(long, value_name = "SECONDS", default_value_t = 3600)]
        within: u64,
    },
    /// Write one page with charts of what a folder holds: a play's or an experiment's.
    Report {
        /// The folder; the page is `report.html` in it.
        folder: PathBuf,
    },
    /// Play one cell of an experiment and print its figures as JSON: how one build asks another.
    Cell {
        #[command(flatten)]
        what: What,
        /// What everything is drawn from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// What couriers are made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum On {
    Model,
    Core,
    /// Daemons of a group as processes of their own.
    Processes,
}

#[derive(Debug, clap::Args)]
struct Processes {
    /// On processes: the program; by default `marblefall` beside this one.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// On processes: where homes, histories and logs are; by default a folder that is removed.
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// What each courier's journal may take on disk, in bytes.
const DISK: u64 = 16_000_000;

#[derive(Debug, clap::Args)]
struct What {
    /// The scenario.
    scenario: PathBuf,
    /// A value that goes before the file's, as path.to.value=value; may be given again.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    sets: Vec<String>,
}

impl What {
    fn draft(&self) -> Result<Draft, String> {
        Draft::read(&self.scenario, &self.sets).map_err(|unfit| unfit.to_string())
    }

    fn scenario(&self, seed: u64) -> Result<Scenario, String> {
        self.draft()?
            .scenario(seed)
            .map_err(|unfit| unfit.to_string())
    }
}

fn main() -> ExitCode {
    let done = match Words::parse().command {
        Command::Play {
            what,
            seed,
            on: On::Processes,
            processes,
            schedule,
            ..
        } => {
            process_experiment::play_schedule(&what.scenario, seed, schedule.as_deref(), &processes)
                .map_err(|error| error.to_string())
        }
        Command::Play {
            what,
            seed,
            out,
            on,
            ..
        } => played(&what, seed, out.as_deref(), on),
        Command::Check { scenarios } => checked(&scenarios),
        Command::Faults { scenario, seed } => faults(&scenario, seed),
        Command::Experiment { file, out, threads } => experimented(&file, &out, threads),
        Command::Compare {
            folder,
            other,
            base,
            with,
        } => compared(
            &folder,
            other.as_deref().unwrap_or(&folder),
            base.as_deref(),
            with.as_deref(),
        ),
        Command::Capacity {
            what,
            least,
            most,
            part,
            seeds,
        } => borne(
            &what,
            Search {
                least,
                most,
                part,
                seeds,
                steps: 7,
            },
        ),
        Command::Hunt {
            what,
            seeds,
            shrink,
            runs,
            on: On::Processes,
            processes,
            within,
        } => process_experiment::Search {
            scenario: &what.scenario,
            seeds,
            time_limit: Duration::from_secs(within),
            out: shrink.as_deref(),
            max_shrink_runs: runs,
            processes: &processes,
        }
        .run()
        .map_err(|error| error.to_string()),
        Command::Hunt {
            what,
            seeds,
            shrink,
            runs,
            ..
        } => hunted(&what, seeds, shrink.as_deref(), runs),
        Command::Report { folder } => reported(&folder),
        Command::Cell { what, seed } => cell(&what, seed),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn played(what: &What, seed: u64, out: Option<&Path>, on: On) -> Result<bool, String> {
    let scenario = what.scenario(seed)?;
    let begun = Instant::now();
    let (tally, verdict) = match on {
        // Processes are played elsewhere.
        On::Model | On::Processes => measure(&scenario, seed, &in_service),
        On::Core => {
            let cores =
                Cores::new(DISK).map_err(|error| format!("no folder for the journals: {error}"))?;
            measure(&scenario, seed, &|life| cores.node(life))
        }
    };
    let took = begun.elapsed().as_secs_f64();
    let figures = Figures::of(&tally, &verdict);
    println!("{}\n\n{}", scenario.title, tally.table());
    println!(
        "{} messages and {} legs in {:.0} s of virtual time, played in {took:.2} s: {:.0} messages a second",
        figures.messages,
        figures.legs,
        scenario.seconds,
        figures.messages as f64 / took.max(1e-9)
    );
    println!("worth kept: {:.4}", figures.kept);
    for breach in &verdict.breaches {
        println!("\n{breach}");
    }
    if verdict.is_clean() {
        println!("all rules kept");
    } else {
        println!("\n{} breaches of rules", verdict.count);
    }
    if let Some(folder) = out {
        let fault = |error: std::io::Error| format!("{}: {error}", folder.display());
        tally.write(folder).map_err(fault)?;
        let manifest = serde_json::json!({
            "scenario": what.scenario.display().to_string(),
            "title": scenario.title,
            "seed": seed,
            "set": what.sets,
            "program": env!("CARGO_PKG_VERSION"),
            "messages": figures.messages,
            "legs": figures.legs,
            "breaches": verdict.count,
        });
        let text = serde_json::to_string_pretty(&manifest).map_err(|error| error.to_string())?;
        fs::write(folder.join("manifest.json"), text + "\n").map_err(fault)?;
        report::Run::of(&scenario, seed, &tally, &verdict).write(folder)?;
    }
    Ok(verdict.is_clean())
}

fn checked(paths: &[PathBuf]) -> Result<bool, String> {
    let mut sound = true;
    for path in paths {
        if process_experiment::is_process_scenario(path) {
            match ProcessScenario::read(path) {
                Ok(scenario) => println!("{}: sound: {}", path.display(), scenario.title),
                Err(error) => {
                    sound = false;
                    eprintln!("{error}");
                }
            }
            continue;
        }
        match Scenario::read(path, &[], 1) {
            Ok(scenario) => println!("{}: sound: {}", path.display(), scenario.title),
            Err(unfit) => {
                sound = false;
                eprintln!("{unfit}");
            }
        }
    }
    Ok(sound)
}

fn faults(path: &Path, seed: u64) -> Result<bool, String> {
    let scenario = Scenario::read(path, &[], seed).map_err(|unfit| unfit.to_string())?;
    let mut all = true;
    for fault in Fault::ALL {
        let verdict = judge(&scenario, seed, &|life| {
            fault.courier(life.settings, life.seed)
        });
        let found = verdict
            .breaches
            .iter()
            .any(|breach| breach.rule == fault.breaks());
        all &= found;
        println!("{fault:?}: {}", if found { "found" } else { "NOT FOUND" });
    }
    Ok(all)
}

fn experimented(file: &Path, out: &Path, threads: usize) -> Result<bool, String> {
    let experiment = Experiment::read(file).map_err(|fault| fault.to_string())?;
    let (records, played) = experiment
        .run(out, threads)
        .map_err(|fault| fault.to_string())?;
    let broken: Vec<_> = records
        .iter()
        .filter(|record| record.figures.breaches > 0)
        .collect();
    println!(
        "{}\n{} cells, {played} of them played now; they are in {}",
        experiment.title,
        records.len(),
        out.display()
    );
    println!("\n{}", report::means(&records));
    for record in &broken {
        let what = record.figures.first_breach.as_deref().unwrap_or_default();
        println!(
            "{} seed {} {}: {what}",
            record.scenario, record.seed, record.variant
        );
    }
    Ok(broken.is_empty())
}

fn compared(
    first: &Path,
    second: &Path,
    base: Option<&str>,
    with: Option<&str>,
) -> Result<bool, String> {
    let read = |folder: &Path, variant: Option<&str>, word: &str| {
        let records = experiment::read(folder).map_err(|fault| fault.to_string())?;
        let named = variants(&records);
        let variant = match (variant, named.iter().next()) {
            (Some(variant), _) if named.contains(variant) => variant.to_owned(),
            (None, Some(only)) if named.len() == 1 => (*only).to_owned(),
            (_, None) => {
                return Err(format!(
                    "{}: holds no cells of an experiment",
                    folder.display()
                ))
            }
            _ => {
                let known: Vec<&str> = named.into_iter().collect();
                return Err(format!(
                    "{}: say --{word} with one of: {}",
                    folder.display(),
                    known.join(", ")
                ));
            }
        };
        Ok::<_, String>(
            records
                .into_iter()
                .filter(|record| record.variant == variant)
                .collect::<Vec<_>>(),
        )
    };
    let comparison = Comparison::of(&read(first, base, "base")?, &read(second, with, "with")?);
    println!("{comparison}");
    Ok(true)
}

fn borne(what: &What, search: Search) -> Result<bool, String> {
    let ordered = 0.0 < search.least && search.least < search.most && search.most.is_finite();
    if !ordered || !(0.0..=1.0).contains(&search.part) || search.seeds == 0 {
        return Err("0 < --least < --most, --part within 0 and 1, --seeds 1 at least".to_owned());
    }
    let found = capacity(&what.draft()?, search).map_err(|unfit| unfit.to_string())?;
    println!(
        "{:<16} {:>22} {:>18}",
        "class", "bears times its load", "messages a second"
    );
    for (class, (bears, rate)) in found {
        let (times, rate) = match bears {
            Bears::Less => (
                format!("under {:.2}", search.least),
                format!("under {rate:.1}"),
            ),
            Bears::Between(low, high) => (format!("{low:.2} to {high:.2}"), format!("{rate:.1}")),
            Bears::More => (
                format!("{:.2} or more", search.most),
                format!("{rate:.1} or more"),
            ),
        };
        println!("{class:<16} {times:>22} {rate:>18}");
    }
    Ok(true)
}

fn hunted(what: &What, seeds: u64, into: Option<&Path>, runs: u32) -> Result<bool, String> {
    let draft = what.draft()?;
    let found =
        hunt::hunt(&draft, 1..=seeds.max(1), &in_service).map_err(|unfit| unfit.to_string())?;
    println!("{:>6} {:>8}  first breach", "seed", "kept");
    for prey in found.iter().take(10) {
        let breach = prey.figures.first_breach.as_deref().unwrap_or("-");
        println!("{:>6} {:>8.4}  {breach}", prey.seed, prey.figures.kept);
    }
    let broken = found.iter().filter(|prey| prey.broke.is_some()).count();
    println!("{broken} of {} seeds broke a rule", found.len());
    if let (Some(path), Some(worst)) = (into, found.first()) {
        // Without a breach, to do as badly as the worst tenth counts as failing.
        let tenth = found[found.len() / 10].figures.kept;
        let failing = worst
            .broke
            .map_or(Failing::KeepsUnder(tenth + 1e-9), Failing::Breaks);
        let shrunk = hunt::shrink(&draft, worst.seed, failing, runs, &in_service);
        fs::write(path, hunt::text(&shrunk)?)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        println!(
            "{}: fails with seed {}, found in {} runs",
            path.display(),
            shrunk.seed,
            shrunk.runs
        );
    }
    Ok(broken == 0)
}

fn reported(folder: &Path) -> Result<bool, String> {
    let page = report::of_folder(folder)?;
    let path = folder.join("report.html");
    fs::write(&path, page).map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}", path.display());
    Ok(true)
}

fn cell(what: &What, seed: u64) -> Result<bool, String> {
    let (tally, verdict) = measure(&what.scenario(seed)?, seed, &in_service);
    let figures = Figures::of(&tally, &verdict);
    println!(
        "{}",
        serde_json::to_string(&figures).map_err(|error| error.to_string())?
    );
    Ok(true)
}

//! Runs plans one after the other, prints the result of each, and keeps the plans of failing runs.

use crate::arguments::Arguments;
use crate::plan::Plan;
use crate::run::{run_plan, Report, RunFiles};
use marblefall_process_harness::HarnessError;
use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Error that ends the soak.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A stored plan cannot be read.
    #[error("{}: {source}", path.display())]
    ReadPlan {
        /// Path of the plan.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// A file does not contain a valid plan.
    #[error("{}: {source}", path.display())]
    ParsePlan {
        /// Path of the file.
        path: PathBuf,
        /// Position and cause of the failure.
        source: Box<toml::de::Error>,
    },
    /// A plan cannot be encoded.
    #[error(transparent)]
    EncodePlan(#[from] toml::ser::Error),
    /// The harness failed to carry out a run.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// A program that the arguments name does not exist.
    #[error("{}: no such file", .0.display())]
    MissingFile(PathBuf),
}

/// Numbers of runs by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Runs in which all rules were kept and each planned fault was injected.
    passed: usize,
    /// Runs in which all rules were kept, but a planned fault was never injected or no request was sent during a shutdown.
    inconclusive: usize,
    /// Runs in which a rule was broken.
    failed: usize,
}

impl Summary {
    /// Returns whether all runs passed.
    pub fn is_success(&self) -> bool {
        self.inconclusive + self.failed == 0
    }

    fn add(&mut self, report: &Report) {
        if !report.violations.is_empty() {
            self.failed += 1;
        } else if !report.is_conclusive() {
            self.inconclusive += 1;
        } else {
            self.passed += 1;
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} runs passed, {} kept all rules with a fault that was never injected or no request in a shutdown, {} broke a rule",
            self.passed, self.inconclusive, self.failed
        )
    }
}

/// A sequence of runs, as the arguments specify it.
pub struct Soak {
    arguments: Arguments,
}

impl Soak {
    /// Creates the soak that the arguments specify.
    pub fn new(arguments: Arguments) -> Soak {
        Soak { arguments }
    }

    /// Runs all plans, or stops after the first failing run if its plan is shrunk.
    ///
    /// # Errors
    /// A file is missing or invalid, or the harness fails to carry out a run.
    pub fn run(&self) -> Result<Summary, SoakError> {
        for file in [&self.arguments.program, &self.arguments.shim] {
            if !file.is_file() {
                return Err(SoakError::MissingFile(file.clone()));
            }
        }
        let mut summary = Summary::default();
        for plan in self.plans()? {
            let report = self.run_plan(&plan)?;
            print_report(&plan, &report);
            summary.add(&report);
            let Some(violation) = report.violations.first() else {
                continue;
            };
            if self.arguments.shrink {
                let rule = violation.rule;
                let smallest = toml::to_string(&self.shrink(plan, rule)?)?;
                println!("smallest plan that still breaks \"{rule}\":\n{smallest}");
                return Ok(summary);
            }
        }
        Ok(summary)
    }

    fn plans(&self) -> Result<Vec<Plan>, SoakError> {
        let Arguments {
            seed,
            seeds,
            processes,
            seconds,
            repeats,
            crowds,
            ..
        } = self.arguments;
        let draw = |seed| {
            let mut plan = Plan::draw(seed, processes as usize, seconds);
            if repeats {
                plan = plan.with_repeats();
            }
            if crowds {
                plan = plan.with_crowds();
            }
            plan
        };
        match &self.arguments.plan {
            Some(path) => Ok(vec![read_plan(path)?]),
            None => Ok((seed..seed + seeds).map(draw).collect()),
        }
    }

    /// Runs a plan in a temporary folder. If a rule is broken, the plan and the logs are kept.
    fn run_plan(&self, plan: &Plan) -> Result<Report, SoakError> {
        let name = format!("seed-{}-{}", plan.seed, std::process::id());
        let folder = std::env::temp_dir().join(format!("marblefall-soak-{name}"));
        // Removes files that an earlier run with the same seed and process id left behind.
        let _ = fs::remove_dir_all(&folder);
        let files = RunFiles {
            program: self.arguments.program.clone(),
            shim: self.arguments.shim.clone(),
            folder: folder.clone(),
        };
        let report = run_plan(plan.clone(), &files)?;
        if !report.violations.is_empty() {
            let text = toml::to_string(plan)?;
            let kept = self.arguments.keep.join(name);
            if let Err(error) = keep_run(&folder, &kept, &text) {
                eprintln!("cannot keep the failing run in {}: {error}", kept.display());
            }
        }
        // A failure is harmless: the files stay in the folder for temporary files.
        let _ = fs::remove_dir_all(&folder);
        Ok(report)
    }

    /// Removes from a plan, one at a time, each fault without which it still breaks the rule.
    fn shrink(&self, plan: Plan, rule: &str) -> Result<Plan, SoakError> {
        let mut smallest = plan;
        let mut index = 0;
        while index < smallest.faults.len() {
            let smaller = smallest.without(index);
            let report = self.run_plan(&smaller)?;
            let fails = report.violations.iter().any(|found| found.rule == rule);
            println!(
                "without {:?}: {}",
                smallest.faults[index].kind,
                if fails { "still fails" } else { "passes" }
            );
            if fails {
                smallest = smaller;
            } else {
                index += 1;
            }
        }
        Ok(smallest)
    }
}

fn read_plan(path: &Path) -> Result<Plan, SoakError> {
    let text = fs::read_to_string(path).map_err(|source| SoakError::ReadPlan {
        path: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| SoakError::ParsePlan {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

/// Stores the plan of a run and the logs of its processes in the folder `kept`, which is replaced if it exists.
fn keep_run(folder: &Path, kept: &Path, plan: &str) -> io::Result<()> {
    if kept.exists() {
        fs::remove_dir_all(kept)?;
    }
    fs::create_dir_all(kept)?;
    fs::write(kept.join("plan.toml"), plan)?;
    for process in fs::read_dir(folder)? {
        let process = process?;
        let name = format!("{}.log", process.file_name().to_string_lossy());
        fs::copy(process.path().join("log"), kept.join(name))?;
    }
    Ok(())
}

fn print_report(plan: &Plan, report: &Report) {
    println!(
        "seed {}: {} processes, {} faults; {} requests, {} accepted, {} calls, {} notices; {} violations",
        plan.seed,
        plan.processes,
        plan.faults.len(),
        report.requests,
        report.accepted,
        report.calls,
        report.notices,
        report.violations.len()
    );
    println!(
        "  requests between SIGTERM and the end of a process: {}",
        report.requests_in_shutdown
    );
    println!(
        "  memory: {} KB at most of {} MB",
        report.max_memory_kb, plan.limits.memory_mb
    );
    if let Some(copies) = report.copies {
        println!("  messages written again: {copies}");
    }
    let injected: Vec<String> = report
        .counts
        .iter()
        .filter(|(_, count)| count.seen > 0)
        .map(|(kind, count)| format!("{} {}/{}", kind.name(), count.injected, count.seen))
        .collect();
    println!("  injected/seen: {}", injected.join(", "));
    if !report.idle_faults.is_empty() {
        let idle_faults = report.idle_faults.join(", ");
        println!("  planned and never injected: {idle_faults}");
    }
    for violation in &report.violations {
        println!("  {violation}");
    }
}

//! Experiments: scenarios x seeds x variants, each cell played once, in parallel, and taken up again after an interrupt.
//!
//! A folder holds one line for each cell, written when it is done. A cell is played again only if what it was played
//! from has changed: the scenario as its seed has it, the values set, or the program.

use crate::metrics::{measure, Figures};
use crate::scenario::{line, Draft, Scenario};
use crate::simulation::in_service;
use indicatif::{ProgressBar, ProgressStyle};
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{self, File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use toml::Spanned;

/// Cells of one experiment, at most.
const MOST_CELLS: usize = 1_000_000;
/// The file with a line for each cell.
const CELLS: &str = "cells.jsonl";

/// Why an experiment cannot be played: lines for people.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Fault(pub String);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    #[serde(default)]
    title: String,
    scenarios: Vec<Spanned<PathBuf>>,
    seeds: Spanned<Seeds>,
    #[serde(default)]
    variant: Vec<Spanned<VariantForm>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Seeds {
    from: u64,
    to: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantForm {
    name: String,
    #[serde(default)]
    set: Vec<String>,
    /// Another build of this program.
    program: Option<PathBuf>,
}

/// What is varied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Values that go before the files'.
    pub sets: Vec<String>,
    /// Another build of this program that plays it.
    pub program: Option<PathBuf>,
}

/// An experiment as its file has it.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// What it is about.
    pub title: String,
    /// Scenario files.
    pub scenarios: Vec<PathBuf>,
    /// The seeds, from the first to the last.
    pub seeds: (u64, u64),
    /// What is varied; one variant at least.
    pub variants: Vec<Variant>,
}

/// What came of one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The scenario file's name without its ending.
    pub scenario: String,
    /// The variant.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Of all that it was played from.
    pub print: u32,
    /// What came of it.
    pub figures: Figures,
}

impl Record {
    fn key(&self) -> (String, String, u64) {
        (self.scenario.clone(), self.variant.clone(), self.seed)
    }
}

struct Cell {
    path: PathBuf,
    scenario: Scenario,
    variant: usize,
    seed: u64,
    print: u32,
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

impl Experiment {
    /// Reads one from a file; its paths are beside the file.
    ///
    /// # Errors
    /// What is wrong, with file and line.
    pub fn read(path: &Path) -> Result<Experiment, Fault> {
        let text = fs::read_to_string(path)
            .map_err(|error| Fault(format!("{}: {error}", path.display())))?;
        let say = |at: usize, why: &str| format!("{}:{}: {why}", path.display(), line(&text, at));
        let form: Form = toml::from_str(&text).map_err(|error| {
            Fault(say(
                error.span().map_or(0, |span| span.start),
                error.message().trim(),
            ))
        })?;
        let mut wrong = Vec::new();
        let seeds = (form.seeds.get_ref().from, form.seeds.get_ref().to);
        if seeds.0 > seeds.1 {
            wrong.push(say(form.seeds.span().start, "seeds go from less to more"));
        }
        let beside = path.parent().unwrap_or(Path::new("."));
        let (mut scenarios, mut stems) = (Vec::new(), BTreeSet::new());
        for scenario in form.scenarios {
            let at = scenario.span().start;
            let path = beside.join(scenario.into_inner());
            if !stems.insert(stem(&path)) {
                wrong.push(say(
                    at,
                    &format!(
                        "{} stands here twice, or two files have this name",
                        stem(&path)
                    ),
                ));
            }
            scenarios.push(path);
        }
        if scenarios.is_empty() {
            wrong.push(say(0, "scenarios: name one at least"));
        }
        let (mut variants, mut names) = (Vec::new(), BTreeSet::new());
        for variant in form.variant {
            let (at, variant) = (variant.span().start, variant.into_inner());
            if variant.name.is_empty() || !names.insert(variant.name.clone()) {
                wrong.push(say(at, "each variant has a name of its own"));
            }
            let program = variant.program.map(|program| beside.join(program));
            if let Some(missing) = program.as_ref().filter(|program| !program.is_file()) {
                wrong.push(say(
                    at,
                    &format!("{}: there is no such program", missing.display()),
                ));
            }
            variants.push(Variant {
                name: variant.name,
                sets: variant.set,
                program,
            });
        }
        if variants.is_empty() {
            variants.push(Variant {
                name: "as it is".to_owned(),
                ..Variant::default()
            });
        }
        let cells = (seeds.1.saturating_sub(seeds.0) as usize).saturating_add(1);
        if cells
            .saturating_mul(scenarios.len())
            .saturating_mul(variants.len())
            > MOST_CELLS
        {
            wrong.push(say(
                form.seeds.span().start,
                &format!("over {MOST_CELLS} cells in all"),
            ));
        }
        if wrong.is_empty() {
            Ok(Experiment {
                title: form.title,
                scenarios,
                seeds,
                variants,
            })
        } else {
            Err(Fault(wrong.join("\n")))
        }
    }

    fn cells(&self) -> Result<Vec<Cell>, Fault> {
        let own = std::env::current_exe()
            .and_then(fs::read)
            .map(|bytes| crc32fast::hash(&bytes));
        let own = own.map_err(|error| Fault(format!("this program cannot be read: {error}")))?;
        let mut cells = Vec::new();
        for (number, variant) in self.variants.iter().enumerate() {
            let program = match &variant.program {
                None => own,
                Some(path) => fs::read(path)
                    .map(|bytes| crc32fast::hash(&bytes))
                    .map_err(|error| Fault(format!("{}: {error}", path.display())))?,
            };
            for path in &self.scenarios {
                let draft =
                    Draft::read(path, &variant.sets).map_err(|unfit| Fault(unfit.to_string()))?;
                for seed in self.seeds.0..=self.seeds.1 {
                    let scenario = draft
                        .scenario(seed)
                        .map_err(|unfit| Fault(unfit.to_string()))?;
                    let from = format!("{program} {:?} {scenario:?}", variant.sets);
                    let print = crc32fast::hash(from.as_bytes());
                    cells.push(Cell {
                        path: path.clone(),
                        scenario,
                        variant: number,
                        seed,
                        print,
                    });
                }
            }
        }
        Ok(cells)
    }

    /// Plays what a folder does not hold yet, and gives all cells in their order with the number that was played.
    ///
    /// # Errors
    /// Of files, of the disk, or of another program. What was done by then is kept.
    pub fn run(&self, folder: &Path, threads: usize) -> Result<(Vec<Record>, usize), Fault> {
        let fault = |error: std::io::Error| Fault(format!("{}: {error}", folder.display()));
        fs::create_dir_all(folder).map_err(fault)?;
        let lock = File::create(folder.join("lock")).map_err(fault)?;
        lock.try_lock().map_err(|_| {
            Fault(format!(
                "{}: another experiment runs here",
                folder.display()
            ))
        })?;
        let cells = self.cells()?;
        let kept: BTreeMap<_, _> = read(folder)?
            .into_iter()
            .map(|record| (record.key(), record))
            .collect();
        let key = |cell: &Cell| {
            (
                stem(&cell.path),
                self.variants[cell.variant].name.clone(),
                cell.seed,
            )
        };
        let (done, open): (Vec<&Cell>, Vec<&Cell>) = cells.iter().partition(|cell| {
            kept.get(&key(cell))
                .is_some_and(|record| record.print == cell.print)
        });
        let mut records: Vec<Record> = done
            .iter()
            .filter_map(|cell| kept.get(&key(cell)).cloned())
            .collect();
        // What is kept goes first, whole: a line torn by an interrupt must not spoil the next one.
        write(folder, &records)?;
        let file = OpenOptions::new()
            .append(true)
            .open(folder.join(CELLS))
            .map_err(fault)?;
        let file = Mutex::new(file);
        let style = ProgressStyle::with_template("{bar:40} {pos} of {len} cells, {eta} left");
        let bar = ProgressBar::new(open.len() as u64);
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        let played = |cell: &&Cell| {
            let variant = &self.variants[cell.variant];
            let record = Record {
                scenario: stem(&cell.path),
                variant: variant.name.clone(),
                seed: cell.seed,
                print: cell.print,
                figures: figures(cell, variant)?,
            };
            let line = line_of(&record)?;
            let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            file.write_all(line.as_bytes()).map_err(fault)?;
            bar.inc(1);
            Ok(record)
        };
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build();
        let pool = pool.map_err(|error| Fault(error.to_string()))?;
        let fresh: Result<Vec<Record>, Fault> =
            pool.install(|| open.par_iter().map(played).collect());
        bar.finish_and_clear();
        let fresh = fresh?;
        let count = fresh.len();
        records.extend(fresh);
        records.sort_by_key(Record::key);
        write(folder, &records)?;
        fs::write(folder.join("cells.csv"), csv(&records)).map_err(fault)?;
        let manifest = serde_json::json!({
            "title": self.title,
            "scenarios": self.scenarios.iter().map(|path| stem(path)).collect::<Vec<_>>(),
            "seeds": [self.seeds.0, self.seeds.1],
            "variants": self.variants.iter().map(|variant| (&variant.name, &variant.sets)).collect::<BTreeMap<_, _>>(),
            "program": env!("CARGO_PKG_VERSION"),
            "cores": std::thread::available_parallelism().map_or(0, usize::from),
        });
        let text =
            serde_json::to_string_pretty(&manifest).map_err(|error| Fault(error.to_string()))?;
        fs::write(folder.join("manifest.json"), text + "\n").map_err(fault)?;
        Ok((records, count))
    }
}

fn figures(cell: &Cell, variant: &Variant) -> Result<Figures, Fault> {
    let Some(program) = &variant.program else {
        let (tally, verdict) = measure(&cell.scenario, cell.seed, &in_service);
        return Ok(Figures::of(&tally, &verdict));
    };
    let mut command = Command::new(program);
    command
        .arg("cell")
        .arg(&cell.path)
        .args(["--seed", &cell.seed.to_string()]);
    for set in &variant.sets {
        command.args(["--set", set]);
    }
    let say = |why: String| {
        Fault(format!(
            "{} cell {}: {why}",
            program.display(),
            cell.path.display()
        ))
    };
    let done = command.output().map_err(|error| say(error.to_string()))?;
    if !done.status.success() {
        return Err(say(String::from_utf8_lossy(&done.stderr).trim().to_owned()));
    }
    serde_json::from_slice(&done.stdout).map_err(|error| say(error.to_string()))
}

fn line_of(record: &Record) -> Result<String, Fault> {
    let line = serde_json::to_string(record).map_err(|error| Fault(error.to_string()))?;
    Ok(line + "\n")
}

fn write(folder: &Path, records: &[Record]) -> Result<(), Fault> {
    let lines: Vec<String> = records.iter().map(line_of).collect::<Result<_, _>>()?;
    replace(
        &LocalDisk,
        &folder.join(CELLS),
        lines.concat().as_bytes(),
        Durability::ProcessDeath,
    )
    .map_err(|error| Fault(format!("{}: {error}", folder.display())))
}

/// Reads the cells of a folder, none where there are none. A line that was torn by an interrupt is passed over.
///
/// # Errors
/// Of the disk.
pub fn read(folder: &Path) -> Result<Vec<Record>, Fault> {
    match fs::read_to_string(folder.join(CELLS)) {
        Ok(text) => Ok(text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(Fault(format!("{}: {error}", folder.join(CELLS).display()))),
    }
}

fn csv(records: &[Record]) -> String {
    let mut text =
        "scenario,variant,seed,kept,breaches,class,offered,taken,delivered,in_time,refused,failed,legs,p50_ms,p99_ms\n"
            .to_owned();
    for Record {
        scenario,
        variant,
        seed,
        figures,
        ..
    } in records
    {
        for class in &figures.classes {
            let _ = writeln!(
                text,
                "{scenario},{variant},{seed},{:.6},{},{},{},{},{},{},{},{},{},{:.3},{:.3}",
                figures.kept,
                figures.breaches,
                class.class,
                class.offered,
                class.taken,
                class.delivered,
                class.in_time,
                class.refused,
                class.failed,
                class.legs,
                class.p50_ms,
                class.p99_ms
            );
        }
    }
    text
}

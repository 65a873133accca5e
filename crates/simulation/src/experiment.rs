//! Experiments: scenarios x seeds x variants. A cell is one scenario with one seed and one variant. Cells are played in
//! parallel, and an interrupted experiment continues with the cells that are not complete.
//!
//! The results folder holds one line for each cell, written when the cell is complete. A cell is played again only if its
//! inputs have changed: the scenario for its seed, the overrides, or the program.

mod definition;
mod error;
mod store;

pub use definition::{Experiment, Variant};
pub use error::{DefinitionProblem, ExperimentError, ProblemKind};
pub use store::read;

use crate::metrics::{measure, Summary};
use crate::scenario::{Draft, Scenario};
use crate::simulation::production_node;
use definition::scenario_name;
use error::ProgramFailure;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use store::CellStore;

/// The result of one cell. Stored results keep the older names of some fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellResult {
    /// Name of the scenario file without its extension.
    pub scenario: String,
    /// Name of the variant.
    pub variant: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Checksum of the inputs of the cell.
    #[serde(rename = "print")]
    pub fingerprint: u32,
    /// Summary of the run.
    #[serde(rename = "figures")]
    pub summary: Summary,
}

/// The identity of a cell within an experiment.
type CellKey = (String, String, u64);

impl CellResult {
    fn key(&self) -> CellKey {
        (self.scenario.clone(), self.variant.clone(), self.seed)
    }
}

/// Results of an experiment, with the number of cells that were played to complete them.
#[derive(Debug)]
pub struct ExperimentRun {
    /// Results of all cells, ordered by scenario, variant and seed.
    pub results: Vec<CellResult>,
    /// Number of cells that this execution played; the results of the others were stored.
    pub played: usize,
}

/// A cell with its inputs.
struct Cell<'e> {
    path: &'e Path,
    scenario: Scenario,
    variant: &'e Variant,
    seed: u64,
    fingerprint: u32,
}

impl Cell<'_> {
    fn key(&self) -> CellKey {
        (
            scenario_name(self.path),
            self.variant.name.clone(),
            self.seed,
        )
    }

    fn play(&self) -> Result<CellResult, ExperimentError> {
        let summary = match &self.variant.program {
            Some(program) => self.play_with(program)?,
            None => measure(&self.scenario, self.seed, &production_node).summary(),
        };
        Ok(CellResult {
            scenario: scenario_name(self.path),
            variant: self.variant.name.clone(),
            seed: self.seed,
            fingerprint: self.fingerprint,
            summary,
        })
    }

    /// Plays the cell with another build of this program.
    fn play_with(&self, program: &Path) -> Result<Summary, ExperimentError> {
        let mut command = Command::new(program);
        command.arg("cell").arg(self.path);
        command.args(["--seed", &self.seed.to_string()]);
        for argument in &self.variant.overrides {
            command.args(["--set", argument]);
        }
        let mut run = || {
            let output = command.output().map_err(ProgramFailure::Start)?;
            if !output.status.success() {
                let text = String::from_utf8_lossy(&output.stderr).trim().to_owned();
                return Err(ProgramFailure::Failed(text));
            }
            serde_json::from_slice(&output.stdout).map_err(ProgramFailure::Output)
        };
        run().map_err(|source| ExperimentError::Program {
            program: program.to_owned(),
            scenario: self.path.to_owned(),
            source,
        })
    }
}

impl Experiment {
    /// Plays the cells whose results are not in the folder. `threads` is the number of threads, or 0 for one on each core.
    ///
    /// # Errors
    /// Returns an error if a file, the folder or the program of a variant cannot be used. Results written before are kept.
    pub fn run(&self, folder: &Path, threads: usize) -> Result<ExperimentRun, ExperimentError> {
        let store = CellStore::open(folder)?;
        let cells = self.cells()?;
        let stored: BTreeMap<CellKey, CellResult> = store
            .results()?
            .into_iter()
            .map(|result| (result.key(), result))
            .collect();
        let (mut results, mut remaining) = (Vec::new(), Vec::new());
        for cell in &cells {
            match stored.get(&cell.key()) {
                Some(result) if result.fingerprint == cell.fingerprint => {
                    results.push(result.clone());
                }
                _ => remaining.push(cell),
            }
        }
        // The file is rewritten first: a result appended to a torn line would be unreadable.
        store.replace(&results)?;
        let played = play_cells(&remaining, &store, threads)?;
        let count = played.len();
        results.extend(played);
        results.sort_by_key(CellResult::key);
        store.finish(self, &results)?;
        Ok(ExperimentRun {
            results,
            played: count,
        })
    }

    fn cells(&self) -> Result<Vec<Cell<'_>>, ExperimentError> {
        let current_program = std::env::current_exe().map_err(ExperimentError::OwnProgram)?;
        let current_checksum = checksum(&current_program)?;
        let mut cells = Vec::new();
        for variant in &self.variants {
            let program = match &variant.program {
                None => current_checksum,
                Some(path) => checksum(path)?,
            };
            for path in &self.scenarios {
                let draft = Draft::read(path, &variant.overrides)?;
                for seed in self.seeds.clone() {
                    let scenario = draft.scenario(seed)?;
                    let inputs = format!("{program} {:?} {scenario:?}", variant.overrides);
                    cells.push(Cell {
                        path,
                        scenario,
                        variant,
                        seed,
                        fingerprint: crc32fast::hash(inputs.as_bytes()),
                    });
                }
            }
        }
        Ok(cells)
    }
}

fn checksum(program: &PathBuf) -> Result<u32, ExperimentError> {
    let bytes = fs::read(program).map_err(|source| ExperimentError::File {
        path: program.clone(),
        source,
    })?;
    Ok(crc32fast::hash(&bytes))
}

/// Plays cells in parallel. Each result is stored as soon as its cell is complete.
fn play_cells(
    cells: &[&Cell<'_>],
    store: &CellStore,
    threads: usize,
) -> Result<Vec<CellResult>, ExperimentError> {
    let log = store.append()?;
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} cells, {eta} left");
    let progress = ProgressBar::new(cells.len() as u64);
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let play = |cell: &&Cell<'_>| {
        let result = cell.play()?;
        log.write(&result)?;
        progress.inc(1);
        Ok(result)
    };
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(threads)
        .build()
        .map_err(ExperimentError::Threads)?;
    let results = pool.install(|| cells.par_iter().map(play).collect());
    progress.finish_and_clear();
    results
}

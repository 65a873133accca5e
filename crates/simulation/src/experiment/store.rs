//! The results folder of an experiment: a file with one line for each cell, a table of all cells, and a manifest.

use super::definition::{scenario_name, Experiment};
use super::error::ExperimentError;
use super::CellResult;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// Name of the file with one JSON line for each cell.
const CELLS_FILE: &str = "cells.jsonl";
/// Name of the CSV table of all cells.
const TABLE_FILE: &str = "cells.csv";
/// Name of the manifest.
const MANIFEST_FILE: &str = "manifest.json";
/// Name of the file that is locked while an experiment runs.
const LOCK_FILE: &str = "lock";

/// The results folder of an experiment, locked until this value is dropped.
pub(super) struct CellStore {
    folder: PathBuf,
    _lock: File,
}

impl CellStore {
    /// Creates the folder if it does not exist, and locks it.
    pub(super) fn open(folder: &Path) -> Result<CellStore, ExperimentError> {
        let file_error = |source| file_error(folder, source);
        fs::create_dir_all(folder).map_err(file_error)?;
        let lock = File::create(folder.join(LOCK_FILE)).map_err(file_error)?;
        lock.try_lock()
            .map_err(|_| ExperimentError::Locked(folder.to_owned()))?;
        Ok(CellStore {
            folder: folder.to_owned(),
            _lock: lock,
        })
    }

    /// Reads the stored results.
    pub(super) fn results(&self) -> Result<Vec<CellResult>, ExperimentError> {
        read(&self.folder)
    }

    /// Replaces all stored results.
    pub(super) fn replace(&self, results: &[CellResult]) -> Result<(), ExperimentError> {
        let lines: Vec<String> = results.iter().map(line_of).collect::<Result<_, _>>()?;
        let content = lines.concat();
        let path = self.folder.join(CELLS_FILE);
        replace(
            &LocalDisk,
            &path,
            content.as_bytes(),
            Durability::ProcessDeath,
        )
        .map_err(|source| file_error(&self.folder, source))
    }

    /// Opens the file of results for appending.
    pub(super) fn append(&self) -> Result<CellLog<'_>, ExperimentError> {
        let file = OpenOptions::new()
            .append(true)
            .open(self.folder.join(CELLS_FILE))
            .map_err(|source| file_error(&self.folder, source))?;
        Ok(CellLog {
            folder: &self.folder,
            file: Mutex::new(file),
        })
    }

    /// Writes all results in the given order, the table and the manifest.
    pub(super) fn finish(
        &self,
        experiment: &Experiment,
        results: &[CellResult],
    ) -> Result<(), ExperimentError> {
        self.replace(results)?;
        self.write(TABLE_FILE, &table(results))?;
        let manifest = serde_json::to_string_pretty(&manifest(experiment))?;
        self.write(MANIFEST_FILE, &(manifest + "\n"))
    }

    fn write(&self, name: &str, content: &str) -> Result<(), ExperimentError> {
        fs::write(self.folder.join(name), content)
            .map_err(|source| file_error(&self.folder, source))
    }
}

/// The file of results, opened for appending by several threads.
pub(super) struct CellLog<'s> {
    folder: &'s Path,
    file: Mutex<File>,
}

impl CellLog<'_> {
    pub(super) fn write(&self, result: &CellResult) -> Result<(), ExperimentError> {
        let line = line_of(result)?;
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes())
            .map_err(|source| file_error(self.folder, source))
    }
}

/// Reads the results in a folder, or returns none if the folder has no file of results. Lines that were torn by an
/// interruption are skipped.
///
/// # Errors
/// Returns an error if the file cannot be read.
pub fn read(folder: &Path) -> Result<Vec<CellResult>, ExperimentError> {
    let path = folder.join(CELLS_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => {
            let results = text
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            Ok(results.collect())
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(file_error(&path, error)),
    }
}

fn file_error(path: &Path, source: io::Error) -> ExperimentError {
    ExperimentError::File {
        path: path.to_owned(),
        source,
    }
}

fn line_of(result: &CellResult) -> Result<String, ExperimentError> {
    Ok(serde_json::to_string(result)? + "\n")
}

fn manifest(experiment: &Experiment) -> serde_json::Value {
    let scenarios = experiment.scenarios.iter().map(|path| scenario_name(path));
    let variants = experiment.variants.iter();
    let variants: BTreeMap<_, _> = variants
        .map(|variant| (&variant.name, &variant.overrides))
        .collect();
    serde_json::json!({
        "title": experiment.title,
        "scenarios": scenarios.collect::<Vec<_>>(),
        "seeds": [experiment.seeds.start(), experiment.seeds.end()],
        "variants": variants,
        "program": env!("CARGO_PKG_VERSION"),
        "cores": std::thread::available_parallelism().map_or(0, usize::from),
    })
}

/// Formats all cells as CSV with one row for each class.
fn table(results: &[CellResult]) -> String {
    let mut csv =
        "scenario,variant,seed,kept,breaches,class,offered,taken,delivered,in_time,refused,failed,legs,p50_ms,p99_ms\n"
            .to_owned();
    for CellResult {
        scenario,
        variant,
        seed,
        summary,
        ..
    } in results
    {
        for class in &summary.classes {
            let counts = &class.counts;
            let _ = writeln!(
                csv,
                "{scenario},{variant},{seed},{:.6},{},{},{},{},{},{},{},{},{},{:.3},{:.3}",
                summary.delivered_value_share,
                summary.violations,
                class.class,
                counts.offered,
                counts.accepted,
                counts.delivered,
                counts.in_time,
                counts.rejected,
                counts.failed,
                counts.attempts,
                class.p50_ms,
                class.p99_ms
            );
        }
    }
    csv
}

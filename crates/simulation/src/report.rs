//! Reports a run or an experiment as one HTML page without external resources.

mod experiment_page;
mod html;
mod run;
mod run_page;

pub use experiment_page::value_table;
pub use run::RunReport;

use crate::experiment::{self, ExperimentError};
use crate::plot::PlotError;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the file with the page.
pub const PAGE_FILE: &str = "report.html";
/// Name of the file with a stored run.
const RUN_FILE: &str = "run.json";
/// Name of the file with the title of an experiment.
const MANIFEST_FILE: &str = "manifest.json";

/// Why a report cannot be created.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file cannot be read or written.
    #[error("{}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not a stored run, or a run cannot be encoded.
    #[error("{}", path.display())]
    Run {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The experiment cannot be read.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The folder contains neither a run nor an experiment.
    #[error("{}: holds neither a play nor an experiment", .0.display())]
    Empty(PathBuf),
}

/// Returns the page of the run or experiment in a folder.
///
/// # Errors
/// Returns an error if the folder contains neither or cannot be read, or if a plot cannot be drawn.
pub fn of_folder(folder: &Path) -> Result<String, ReportError> {
    if folder.join(RUN_FILE).is_file() {
        return RunReport::read(folder)?.page();
    }
    let results = experiment::read(folder)?;
    if results.is_empty() {
        return Err(ReportError::Empty(folder.to_owned()));
    }
    let title = experiment_title(folder);
    experiment_page::page(title.as_deref().unwrap_or("Experiment"), &results)
}

/// Reads the title of an experiment. Errors are ignored, as the page is useful without the title.
fn experiment_title(folder: &Path) -> Option<String> {
    let manifest = std::fs::read(folder.join(MANIFEST_FILE)).ok()?;
    let manifest: serde_json::Value = serde_json::from_slice(&manifest).ok()?;
    let title = manifest["title"].as_str()?;
    (!title.is_empty()).then(|| title.to_owned())
}

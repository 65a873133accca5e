//! Reports: a run or an experiment as one page of HTML without external resources.

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

/// The file of a folder that holds its page.
pub const PAGE: &str = "report.html";
/// The file of a folder that holds a run for its page.
const RUN: &str = "run.json";
/// The file of a folder that holds the title of an experiment.
const MANIFEST: &str = "manifest.json";

/// Why there is no report.
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
    /// A file is not a run, or the run cannot be written.
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
    /// The folder is not one of a run or an experiment.
    #[error("{}: holds neither a play nor an experiment", .0.display())]
    Empty(PathBuf),
}

/// The page of a folder with a run or an experiment.
///
/// # Errors
/// If the folder holds neither, or it cannot be read.
pub fn of_folder(folder: &Path) -> Result<String, ReportError> {
    if folder.join(RUN).is_file() {
        return RunReport::read(folder)?.page();
    }
    let results = experiment::read(folder)?;
    if results.is_empty() {
        return Err(ReportError::Empty(folder.to_owned()));
    }
    let title = experiment_title(folder);
    experiment_page::page(title.as_deref().unwrap_or("Experiment"), &results)
}

/// The title of an experiment. A page without one is better than none, so errors are ignored.
fn experiment_title(folder: &Path) -> Option<String> {
    let manifest = std::fs::read(folder.join(MANIFEST)).ok()?;
    let manifest: serde_json::Value = serde_json::from_slice(&manifest).ok()?;
    let title = manifest["title"].as_str()?;
    (!title.is_empty()).then(|| title.to_owned())
}

//! Errors of experiments.

use crate::scenario::ScenarioError;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why an experiment cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file or folder cannot be read or written.
    #[error("{}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file of the experiment is invalid.
    #[error("{}", ProblemList(.0))]
    Definition(Vec<DefinitionProblem>),
    /// A scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// Another process is playing an experiment in this folder.
    #[error("{}: locked by another process that is playing an experiment", .0.display())]
    Locked(PathBuf),
    /// The path of this program cannot be determined.
    #[error("the path of this program cannot be determined")]
    OwnProgram(#[source] io::Error),
    /// The worker threads cannot be started.
    #[error("the worker threads cannot be started")]
    Threads(#[source] rayon::ThreadPoolBuildError),
    /// A result cannot be written as JSON.
    #[error("a result cannot be written as JSON")]
    Encode(#[from] serde_json::Error),
    /// The program of a variant failed to play a cell.
    #[error("{} cell {}", program.display(), scenario.display())]
    Program {
        /// Path of the program.
        program: PathBuf,
        /// Path of the scenario.
        scenario: PathBuf,
        /// The cause.
        source: ProgramFailure,
    },
}

/// Why the program of a variant failed to play a cell.
#[derive(Debug, thiserror::Error)]
pub enum ProgramFailure {
    /// The program cannot be started.
    #[error("cannot be started")]
    Start(#[source] io::Error),
    /// The program failed with this error output.
    #[error("{0}")]
    Failed(String),
    /// The output of the program is not a summary.
    #[error("its output is not a summary")]
    Output(#[source] serde_json::Error),
}

/// A problem in the file of an experiment.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line}: {kind}", path.display())]
pub struct DefinitionProblem {
    /// The file.
    pub path: PathBuf,
    /// Line number, from 1.
    pub line: usize,
    /// Kind of the problem.
    pub kind: ProblemKind,
}

/// The kind of a problem in the file of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// The range of seeds is empty.
    #[error("seeds must go from less to more")]
    EmptySeeds,
    /// Two scenarios have the same name.
    #[error("{0} is listed twice, or two scenario files have this name")]
    DuplicateScenario(String),
    /// The list of scenarios is empty.
    #[error("scenarios must list one at least")]
    NoScenario,
    /// The name of a variant is empty or used by another variant.
    #[error("each variant needs a name of its own")]
    DuplicateVariant,
    /// The program of a variant is not a file.
    #[error("{}: there is no such program", .0.display())]
    NoProgram(PathBuf),
    /// The experiment has too many cells.
    #[error("more than {max} cells in all")]
    TooManyCells {
        /// Maximum number of cells.
        max: usize,
    },
}

/// Problems, printed on one line each.
struct ProblemList<'p>(&'p [DefinitionProblem]);

impl fmt::Display for ProblemList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

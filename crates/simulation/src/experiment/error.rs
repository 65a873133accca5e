//! Why an experiment cannot be played.

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
    /// The experiment's file is wrong.
    #[error("{}", Lines(.0))]
    Definition(Vec<DefinitionProblem>),
    /// A scenario is wrong.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// Another process plays an experiment in this folder.
    #[error("{}: another experiment runs here", .0.display())]
    Locked(PathBuf),
    /// The path of this program is not known.
    #[error("this program cannot be read")]
    OwnProgram(#[source] io::Error),
    /// The threads cannot be started.
    #[error("the threads cannot be started")]
    Threads(#[source] rayon::ThreadPoolBuildError),
    /// A result cannot be written as JSON.
    #[error("a result cannot be written as JSON")]
    Encode(#[from] serde_json::Error),
    /// Another build of this program has not played a cell.
    #[error("{} cell {}", program.display(), scenario.display())]
    Program {
        /// The program.
        program: PathBuf,
        /// The scenario.
        scenario: PathBuf,
        /// The cause.
        source: ProgramFailure,
    },
}

/// Why another build of this program has not played a cell.
#[derive(Debug, thiserror::Error)]
pub enum ProgramFailure {
    /// It cannot be started.
    #[error("cannot be started")]
    Start(#[source] io::Error),
    /// It failed, and reported this.
    #[error("{0}")]
    Failed(String),
    /// Its output is not a summary.
    #[error("its output is not a summary")]
    Output(#[source] serde_json::Error),
}

/// A problem of an experiment's file.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line}: {kind}", path.display())]
pub struct DefinitionProblem {
    /// The file.
    pub path: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// What is wrong with an experiment's file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// It is no TOML, or has a key or type that experiments do not have.
    #[error("{0}")]
    Syntax(String),
    /// The range of seeds is empty.
    #[error("seeds go from less to more")]
    EmptySeeds,
    /// Two scenarios have the same name.
    #[error("{0} stands here twice, or two files have this name")]
    DuplicateScenario(String),
    /// There is no scenario.
    #[error("scenarios: name one at least")]
    NoScenario,
    /// A variant has no name, or one that another variant has.
    #[error("each variant has a name of its own")]
    DuplicateVariant,
    /// The program of a variant is not a file.
    #[error("{}: there is no such program", .0.display())]
    NoProgram(PathBuf),
    /// There are too many cells.
    #[error("over {max} cells in all")]
    TooManyCells {
        /// The greatest number.
        max: usize,
    },
}

/// Problems, one a line.
struct Lines<'p>(&'p [DefinitionProblem]);

impl fmt::Display for Lines<'_> {
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

//! What can be wrong with a scenario.

use crate::rate_expression::RateExpressionError;
use crate::trace::TraceFileError;
use error_reporter::Report;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// All problems of a scenario, one a line.
#[derive(Debug)]
pub struct ScenarioError(pub Vec<ScenarioProblem>);

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}", Report::new(problem))?;
        }
        Ok(())
    }
}

impl Error for ScenarioError {}

impl From<ScenarioProblem> for ScenarioError {
    fn from(problem: ScenarioProblem) -> ScenarioError {
        ScenarioError(vec![problem])
    }
}

/// One problem of a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioProblem {
    /// A file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Files include each other without end, or too deeply.
    #[error("{}: included {max} deep, or by itself", path.display())]
    IncludeTooDeep {
        /// The file included last.
        path: PathBuf,
        /// The greatest depth.
        max: usize,
    },
    /// The value of `include` is neither a path nor a list of paths.
    #[error("{}: include is a path or a list of them", path.display())]
    InvalidInclude {
        /// The file.
        path: PathBuf,
    },
    /// A text that is not in a file includes another one.
    #[error("scenario: what stands in no file includes nothing")]
    IncludeInText,
    /// A file is no TOML, or has a key or type that scenarios do not have.
    #[error("{location}: {message}")]
    Syntax {
        /// File and line.
        location: String,
        /// What the parser reports.
        message: String,
    },
    /// The merged tables are not a scenario.
    #[error("{0}")]
    Merged(String),
    /// A value given with `--set` cannot be used.
    #[error("--set {argument}")]
    Override {
        /// The argument.
        argument: String,
        /// The cause.
        source: OverrideError,
    },
    /// A value is wrong.
    #[error("{}{path}", location.as_ref().map_or_else(String::new, |location| format!("{location}: ")))]
    Value {
        /// File and line, if the value or a table around it is in a file.
        location: Option<String>,
        /// Path of the value.
        path: String,
        /// What is wrong with it.
        source: ValueError,
    },
}

/// Why a value given with `--set` cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// There is no `=`.
    #[error("is not NAME=VALUE")]
    NoValue,
    /// The name is empty.
    #[error("names nothing")]
    NoName,
    /// The name leads through a list.
    #[error("{0} is a list: say what is meant in a file")]
    List(String),
    /// The name leads through a value.
    #[error("{0} is a value, and holds nothing")]
    NotATable(String),
}

/// What is wrong with a value.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A number is out of bounds.
    #[error("is within {min} and {max}")]
    OutOfBounds {
        /// The least valid number.
        min: f64,
        /// The greatest valid number.
        max: f64,
    },
    /// A range is empty or not finite.
    #[error("a range goes from less to more")]
    InvalidRange,
    /// There is no class.
    #[error("there is none: a [class.NAME] says how messages are dealt with")]
    NoClass,
    /// There is no destination.
    #[error("there is none: a [partner.NAME] takes messages")]
    NoDestination,
    /// A class is not defined.
    #[error("there is no [class.{0}]")]
    UnknownClass(String),
    /// A destination is not defined.
    #[error("there is no [partner.{0}]")]
    UnknownDestination(String),
    /// An idempotency key without a deduplication window.
    #[error("keyed needs window_s: how long receivers drop a repeat")]
    NoDeduplicationWindow,
    /// The deadline is before the latency objective.
    #[error("is not before wanted_s")]
    DeadlineBeforeObjective,
    /// A rate limit is both a token bucket and a window.
    #[error("a limit is a rate or a window, not both")]
    AmbiguousRateLimit,
    /// A repeated outage starts again before it ends.
    #[error("is longer than for_s, or it would never end")]
    EndlessOutage,
    /// A load has neither or both of a rate and a trace.
    #[error("a load has a rate or a trace")]
    NoRateOrTrace,
    /// The loads have too many messages.
    #[error("all together would bring more than a thousand million messages")]
    TooManyMessages,
    /// A trace cannot be used.
    #[error(transparent)]
    Trace(#[from] TraceFileError),
    /// A rate expression cannot be used.
    #[error(transparent)]
    RateExpression(#[from] RateExpressionError),
}

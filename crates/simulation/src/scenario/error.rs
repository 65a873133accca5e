//! Errors in scenarios.

use crate::rate_expression::RateExpressionError;
use crate::trace::TraceFileError;
use error_reporter::Report;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// All problems of a scenario, printed on one line each.
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
    #[error("{}: included more than {max} levels deep, or by itself", path.display())]
    IncludeTooDeep {
        /// The file included last.
        path: PathBuf,
        /// Maximum depth of includes.
        max: usize,
    },
    /// The value of `include` is neither a path nor a list of paths.
    #[error("{}: include must be a path or a list of paths", path.display())]
    InvalidInclude {
        /// The file.
        path: PathBuf,
    },
    /// A text that is not in a file has an `include`.
    #[error("scenario: only a scenario in a file can include others")]
    IncludeInText,
    /// A file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{location}: {message}")]
    Syntax {
        /// File and line.
        location: String,
        /// Message of the parser.
        message: String,
    },
    /// The merged tables have a key or type that scenarios do not have.
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
        /// File and line of the value or of a table around it; `None` if neither is in a file.
        location: Option<String>,
        /// Path of the value.
        path: String,
        /// The cause.
        source: ValueError,
    },
}

/// Why a value given with `--set` cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The argument has no `=`.
    #[error("is not NAME=VALUE")]
    NoValue,
    /// The name is empty.
    #[error("the name is empty")]
    NoName,
    /// A part of the name is a list.
    #[error("{0} is a list: its values can only be given in a file")]
    List(String),
    /// A part of the name, other than the last, is not a table.
    #[error("{0} is a value, not a table")]
    NotATable(String),
}

/// Why a value is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A number is out of bounds.
    #[error("must be within {min} and {max}")]
    OutOfBounds {
        /// The least valid number.
        min: f64,
        /// The greatest valid number.
        max: f64,
    },
    /// The lower end of a range exceeds its upper end, or an end is not finite.
    #[error("a range must be finite and go from less to more")]
    InvalidRange,
    /// The scenario has no class.
    #[error("no class is defined: add a [class.NAME] table")]
    NoClass,
    /// The scenario has no destination.
    #[error("no destination is defined: add a [partner.NAME] table")]
    NoDestination,
    /// A class is not defined.
    #[error("there is no [class.{0}]")]
    UnknownClass(String),
    /// A destination is not defined.
    #[error("there is no [partner.{0}]")]
    UnknownDestination(String),
    /// A class with an idempotency key has no deduplication window.
    #[error("keyed needs window_s, the time for which receivers discard repeats")]
    NoDeduplicationWindow,
    /// The deadline is before the latency objective.
    #[error("must not be less than wanted_s")]
    DeadlineBeforeObjective,
    /// A rate limit is given both as a token bucket and as a fixed window.
    #[error("a rate limit is either rate or window_calls, not both")]
    AmbiguousRateLimit,
    /// The period of a repeated outage is not longer than the outage.
    #[error("must be longer than for_s, or the outage never ends")]
    EndlessOutage,
    /// A load has both a rate and a trace, or neither.
    #[error("a load needs either a rate or a trace")]
    NoRateOrTrace,
    /// The loads have too many messages at their maximum rates.
    #[error("all loads together exceed 1000000000 messages at their maximum rates")]
    TooManyMessages,
    /// A trace cannot be used.
    #[error(transparent)]
    Trace(#[from] TraceFileError),
    /// A rate expression cannot be used.
    #[error(transparent)]
    RateExpression(#[from] RateExpressionError),
}

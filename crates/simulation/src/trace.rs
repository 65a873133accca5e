//! Recorded arrivals: a CSV file with a head line and, first in each further line, a time in seconds.

use marblefall_scheduler::{Span, Time};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The latest time in a trace, in s: two days, the longest duration of a scenario.
pub const MAX_TIME_S: f64 = 172_800.0;
/// Size of the largest file that is read, in bytes.
const MAX_BYTES: u64 = 256 << 20;
/// Bytes per MB, as a shift.
const MB_SHIFT: u32 = 20;

/// Why a file cannot be read as a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceFileError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{}: is over {} MB", path.display(), MAX_BYTES >> MB_SHIFT)]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The file's text is not a trace.
    #[error("{}:{error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it, beginning with the line.
        error: TraceError,
    },
}

/// Why a text is not a trace. The message begins with the line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TraceError {
    /// A line does not begin with a time.
    #[error("{line}: {field:?} is no time in s below {MAX_TIME_S}")]
    InvalidTime {
        /// The line, from 1.
        line: usize,
        /// Its first field.
        field: String,
    },
    /// There is no time.
    #[error("1: holds a head at most, and no times")]
    Empty,
}

/// Reads the times of a trace file, in order of time.
///
/// # Errors
/// If the file cannot be read, is too large or is not a trace.
pub fn read(path: &Path) -> Result<Vec<Time>, TraceFileError> {
    let read_error = |source| TraceFileError::Read {
        path: path.to_owned(),
        source,
    };
    if fs::metadata(path).map_err(read_error)?.len() > MAX_BYTES {
        return Err(TraceFileError::TooLarge {
            path: path.to_owned(),
        });
    }
    let text = fs::read_to_string(path).map_err(read_error)?;
    parse(&text).map_err(|error| TraceFileError::Invalid {
        path: path.to_owned(),
        error,
    })
}

/// Parses the times of a trace, in order of time.
///
/// # Errors
/// If a line does not begin with a time, or there is none.
pub fn parse(text: &str) -> Result<Vec<Time>, TraceError> {
    let numbered = text.lines().enumerate();
    let lines = numbered.skip(1).filter(|(_, line)| !line.trim().is_empty());
    let mut times = lines
        .map(|(index, line)| parse_line(index + 1, line))
        .collect::<Result<Vec<_>, _>>()?;
    if times.is_empty() {
        return Err(TraceError::Empty);
    }
    times.sort_unstable();
    Ok(times)
}

fn parse_line(line: usize, text: &str) -> Result<Time, TraceError> {
    let field = text.split(',').next().unwrap_or_default();
    let field = field.trim().trim_matches('"');
    match field.parse::<f64>() {
        Ok(secs) if (0.0..MAX_TIME_S).contains(&secs) => Ok(Time(0) + Span::from_secs(secs)),
        _ => Err(TraceError::InvalidTime {
            line,
            field: field.to_owned(),
        }),
    }
}

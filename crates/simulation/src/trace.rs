//! Recorded arrivals: a CSV file with a header line. The first field of each further line is a time in seconds.

use marblefall_scheduler::{Span, Time};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Upper bound of the times in a trace (exclusive), in s: two days, the maximum duration of a scenario.
pub const MAX_TIME_S: f64 = 172_800.0;
/// Maximum size of a trace file, in bytes.
const MAX_BYTES: u64 = 256 << 20;
/// Binary logarithm of the number of bytes per MB.
const MB_SHIFT: u32 = 20;

/// Error of reading a trace file.
#[derive(Debug, thiserror::Error)]
pub enum TraceFileError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The file is too large.
    #[error("{}: the file is larger than {} MB", path.display(), MAX_BYTES >> MB_SHIFT)]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
    },
    /// The text of the file is not a valid trace.
    #[error("{}:{error}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Error in the text. Its message begins with the line number.
        error: TraceError,
    },
}

/// Error of a text that is not a valid trace. The message begins with the line number.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TraceError {
    /// A line does not begin with a time.
    #[error("{line}: {field:?} is not a time in s from 0 to below {MAX_TIME_S}")]
    InvalidTime {
        /// Line number, from 1.
        line: usize,
        /// First field of the line.
        field: String,
    },
    /// The text contains no time.
    #[error("1: no times after the header line")]
    Empty,
}

/// Reads a trace file and returns its times in ascending order.
///
/// # Errors
/// If the file cannot be read, is too large or is not a valid trace.
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

/// Parses a trace and returns its times in ascending order.
///
/// # Errors
/// If a line does not begin with a time, or if the trace contains no time.
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

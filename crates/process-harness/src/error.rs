//! The errors of the harness.

use std::io;

/// An error that stops a run. The run is then inconclusive: it shows nothing about the program under test.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// An operating system call failed.
    #[error("{subject}: {source}")]
    Io {
        /// The file, port, address or program that the operation was for.
        subject: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A command of the program under test failed.
    #[error("{output}")]
    CommandFailed {
        /// The output of the command.
        output: String,
    },
    /// A condition did not hold within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    #[error("timed out waiting for {condition}")]
    TimedOut {
        /// A description of the condition.
        condition: String,
    },
}

impl HarnessError {
    /// Returns a function that wraps the I/O error of an operation on `subject`, for use with `map_err`.
    pub fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> HarnessError {
        let subject = subject.into();
        move |source| HarnessError::Io { subject, source }
    }
}

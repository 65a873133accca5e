//! Why the harness cannot go on.

use std::io;

/// Why the harness cannot go on. The run is then inconclusive: it shows nothing about the program under test.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// The operating system refused something.
    #[error("{subject}: {source}")]
    Io {
        /// The file, port or program that was used.
        subject: String,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A command of the program under test failed.
    #[error("{output}")]
    CommandFailed {
        /// What the command printed.
        output: String,
    },
    /// A condition did not hold within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    #[error("waited in vain for {condition}")]
    TimedOut {
        /// The condition.
        condition: String,
    },
}

impl HarnessError {
    /// Makes the error of an operation on a file, port or program.
    pub fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> HarnessError {
        let subject = subject.into();
        move |source| HarnessError::Io { subject, source }
    }
}

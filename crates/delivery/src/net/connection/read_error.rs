//! Why reading a message from a connection stopped.

use crate::net::http::{status, ParseError};
use std::io;

/// Why reading a message stopped.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("closed by the peer within a message")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[source] io::Error),
    /// The message was not received in time.
    #[error("timed out")]
    TimedOut,
    /// The message cannot be parsed.
    #[error(transparent)]
    Unparsable(#[from] ParseError),
}

impl ReadError {
    /// The reason code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            ReadError::Closed => "closed-by-peer",
            ReadError::Truncated => "truncated",
            ReadError::Io(_) => "reset",
            ReadError::TimedOut => "too-slow",
            ReadError::Unparsable(error) => error.code(),
        }
    }

    /// The status of the response to a request that could not be read; `None` where its connection has ended.
    pub fn rejection_status(&self) -> Option<u16> {
        match self {
            ReadError::TimedOut => Some(status::REQUEST_TIMEOUT),
            ReadError::Unparsable(error) => Some(error.status()),
            ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => None,
        }
    }
}

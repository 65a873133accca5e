//! Errors of reading a message from a connection.

use crate::net::http::{status, ParseError};
use std::io;

/// An error of reading a message from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between two messages.
    #[error("the peer closed the connection")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("the peer closed the connection within a message")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[source] io::Error),
    /// The message was not received in time.
    #[error("the message was not received in time")]
    TimedOut,
    /// The instance has no memory for the message.
    #[error("the instance has no memory for the message")]
    NoMemory,
    /// The message cannot be parsed.
    #[error(transparent)]
    Unparsable(#[from] ParseError),
}

impl ReadError {
    /// Returns the reason code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            ReadError::Closed => "closed-by-peer",
            ReadError::Truncated => "truncated",
            ReadError::Io(_) => "reset",
            ReadError::TimedOut => "too-slow",
            ReadError::NoMemory => "no-memory",
            ReadError::Unparsable(error) => error.code(),
        }
    }

    /// Returns the status of the response to a request that could not be read, or `None` if the connection has ended.
    pub fn rejection_status(&self) -> Option<u16> {
        match self {
            ReadError::TimedOut => Some(status::REQUEST_TIMEOUT),
            ReadError::NoMemory => Some(status::SERVICE_UNAVAILABLE),
            ReadError::Unparsable(error) => Some(error.status()),
            ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => None,
        }
    }
}

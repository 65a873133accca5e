//! The reasons for which connections to endpoints end, and their reason codes in log lines.

use crate::net::connection::{ReadError, UnrequestedBytes};

/// The reason for which a connection to an endpoint ended.
#[derive(Debug)]
pub(super) enum ConnectionEnd {
    /// The endpoint has a new address.
    Moved,
    /// The endpoint's process was started again.
    EndpointRestarted,
    /// The endpoint is draining.
    Draining,
    /// The endpoint is no longer listed.
    NotListed,
    /// The engine requested to close the idle connections to the endpoint.
    Requested,
    /// Another process takes over.
    HandedOver,
    /// The connection was idle for longer than the idle time-out.
    IdleTimeout,
    /// The peer had closed the connection when an attempt was to reuse it.
    ClosedWhileIdle,
    /// The endpoint sent bytes that no request had asked for.
    Unrequested(UnrequestedBytes),
    /// The slot of the connection was needed for another connection.
    Evicted,
    /// The endpoint sent several responses to one request, or a copy of an earlier one.
    SeveralResponses,
    /// The endpoint has sent bytes on a quiet connection, so that its connections are not reused.
    Distrusted,
    /// Enough connections to the endpoint are idle.
    EnoughIdle,
    /// The pool does not keep the connection after its attempt, because the endpoint no longer accepts attempts at its
    /// address or another process takes over.
    NotReused,
    /// The attempt was cancelled.
    Cancelled,
    /// The request was not written completely, because its route is in backoff or its deadline for writing has passed.
    WriteWithheld,
    /// The request could not be written.
    WriteFailed,
    /// The response was not received in time.
    TimedOut,
    /// The response could not be read.
    Unreadable(ReadError),
    /// The endpoint sent interim responses without a final one.
    InterimWithoutEnd,
    /// The endpoint sent one response after the other.
    ResponsesWithoutEnd,
    /// The endpoint does not keep the connection open after its response.
    NotKeptAlive,
    /// The endpoint had closed the connection while it was idle, which the next attempt detected by a reset.
    ResetWhenReused,
    /// The endpoint rejected the first request of the connection and closed it, as it accepts no more connections.
    NoConnectionSlot,
}

impl ConnectionEnd {
    /// Returns the reason code for the log.
    pub(super) fn code(&self) -> &'static str {
        match self {
            ConnectionEnd::Moved => "moved",
            ConnectionEnd::EndpointRestarted => "endpoint-restarted",
            ConnectionEnd::Draining => "draining",
            ConnectionEnd::NotListed => "not-listed",
            ConnectionEnd::Requested => "requested-close",
            ConnectionEnd::HandedOver => "handed-over",
            ConnectionEnd::IdleTimeout => "idle",
            ConnectionEnd::ClosedWhileIdle => "closed-while-idle",
            ConnectionEnd::Unrequested(_) => "unrequested-bytes",
            ConnectionEnd::Evicted => "evicted",
            ConnectionEnd::SeveralResponses => "several-responses",
            ConnectionEnd::Distrusted => "distrusted",
            ConnectionEnd::EnoughIdle => "enough-idle",
            ConnectionEnd::NotReused => "not-reused",
            ConnectionEnd::Cancelled => "cancelled",
            ConnectionEnd::WriteWithheld => "write-withheld",
            ConnectionEnd::WriteFailed => "write-failed",
            ConnectionEnd::TimedOut => "timed-out",
            ConnectionEnd::Unreadable(error) => error.code(),
            ConnectionEnd::InterimWithoutEnd => "interim-without-end",
            ConnectionEnd::ResponsesWithoutEnd => "responses-without-end",
            ConnectionEnd::NotKeptAlive => "not-kept-alive",
            ConnectionEnd::ResetWhenReused => "reset-when-reused",
            ConnectionEnd::NoConnectionSlot => "no-connection-slot",
        }
    }

    /// Returns the unrequested bytes that ended the connection, if there were any.
    pub(super) fn unrequested(&self) -> Option<UnrequestedBytes> {
        match self {
            ConnectionEnd::Unrequested(bytes) => Some(*bytes),
            _ => None,
        }
    }
}

//! Why connections to endpoints end, as reason codes of log lines.

use crate::log_line;
use crate::net::connection::ReadError;
use marblefall_scheduler::EndpointId;

/// Why a connection to an endpoint ended.
#[derive(Debug)]
pub(super) enum ConnectionEnd {
    /// The endpoint has a new address.
    Moved,
    /// The endpoint drains.
    Draining,
    /// The endpoint is no longer listed.
    NotListed,
    /// The engine requested it.
    Requested,
    /// Another process takes over.
    HandedOver,
    /// It was idle for too long.
    IdleTimeout,
    /// It is no longer usable after it was idle.
    ClosedWhileIdle,
    /// Its slot was needed for another connection.
    Evicted,
    /// The pool keeps no connection to this endpoint.
    NotReused,
    /// The attempt was cancelled.
    Cancelled,
    /// The request was not completed, since its route is in backoff or its window has ended.
    WriteWithheld,
    /// The request could not be written.
    WriteFailed,
    /// The response was not received in time.
    TimedOut,
    /// The response could not be read.
    Unreadable(ReadError),
    /// The endpoint sent interim responses without a final one.
    InterimWithoutEnd,
    /// The endpoint closes it after the response.
    NotKeptAlive,
    /// The endpoint closed it while it was idle, which the next attempt found.
    ResetWhenReused,
    /// The endpoint accepts no further connection.
    NoConnectionSlot,
}

impl ConnectionEnd {
    /// The reason code for the log.
    fn code(&self) -> &'static str {
        match self {
            ConnectionEnd::Moved => "moved",
            ConnectionEnd::Draining => "draining",
            ConnectionEnd::NotListed => "not-listed",
            ConnectionEnd::Requested => "requested-close",
            ConnectionEnd::HandedOver => "handed-over",
            ConnectionEnd::IdleTimeout => "idle",
            ConnectionEnd::ClosedWhileIdle => "closed-while-idle",
            ConnectionEnd::Evicted => "evicted",
            ConnectionEnd::NotReused => "not-reused",
            ConnectionEnd::Cancelled => "cancelled",
            ConnectionEnd::WriteWithheld => "write-withheld",
            ConnectionEnd::WriteFailed => "write-failed",
            ConnectionEnd::TimedOut => "timed-out",
            ConnectionEnd::Unreadable(error) => error.code(),
            ConnectionEnd::InterimWithoutEnd => "interim-without-end",
            ConnectionEnd::NotKeptAlive => "not-kept-alive",
            ConnectionEnd::ResetWhenReused => "reset-when-reused",
            ConnectionEnd::NoConnectionSlot => "no-connection-slot",
        }
    }

    /// Logs the end of a connection to an endpoint.
    pub(super) fn log(&self, endpoint: EndpointId) {
        log_line!(
            endpoint = endpoint.0,
            code = self.code(),
            "endpoint: connection ended"
        );
    }
}

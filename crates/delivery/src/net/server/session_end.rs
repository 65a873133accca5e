//! Reasons for closing client connections, and the ways in which sessions end.

use crate::net::connection::ReadError;

/// The server's reason for closing a connection that does not await a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The slot of the connection is needed for new connections.
    Evicted,
    /// The request of the connection has stalled, and its memory is needed for other requests.
    Stalled,
    /// The connection was idle while many connections were open.
    IdleAmongMany,
    /// Operators drain the instance.
    Drained,
    /// Another process takes over.
    HandedOver,
    /// The process shuts down.
    ShuttingDown,
}

impl CloseReason {
    /// Returns the reason code for the log.
    fn code(self) -> &'static str {
        match self {
            CloseReason::Evicted => "evicted",
            CloseReason::Stalled => "stalled-request",
            CloseReason::IdleAmongMany => "idle-among-many",
            CloseReason::Drained => "drained",
            CloseReason::HandedOver => "handed-over",
            CloseReason::ShuttingDown => "shutting-down",
        }
    }
}

/// The reason for the end of a session.
#[derive(Debug)]
pub(super) enum SessionEnd {
    /// The server closed the connection for the given reason.
    Closed(CloseReason),
    /// No byte was received within the read time-out of the first request.
    NoRequest,
    /// No further request was received within the idle time-out.
    IdleTimeout,
    /// A request could not be read.
    Unreadable(ReadError),
    /// The client closed the connection before it received its response.
    ClientGone,
    /// The response could not be written to the client.
    ResponseNotRead,
    /// The client sent its last request once more.
    RequestRepeated,
    /// The server closed the connection after a response that announced this.
    ClosedAfterResponse,
}

impl SessionEnd {
    /// Returns the reason code for the log.
    pub(super) fn code(&self) -> &'static str {
        match self {
            SessionEnd::Closed(reason) => reason.code(),
            SessionEnd::NoRequest => "no-request",
            SessionEnd::IdleTimeout => "idle",
            SessionEnd::Unreadable(error) => error.code(),
            SessionEnd::ClientGone => "client-gone",
            SessionEnd::ResponseNotRead => "response-not-taken",
            SessionEnd::RequestRepeated => "request-repeated",
            SessionEnd::ClosedAfterResponse => "closed-after-response",
        }
    }

    /// Returns whether the server closes the connection while the client may be sending a request.
    pub(super) fn is_by_server(&self) -> bool {
        matches!(
            self,
            SessionEnd::Closed(_) | SessionEnd::NoRequest | SessionEnd::IdleTimeout
        )
    }

    /// Returns whether the client ended the session. An open request needs no response then.
    pub(super) fn is_by_client(&self) -> bool {
        matches!(self, SessionEnd::ClientGone | SessionEnd::ResponseNotRead)
    }
}

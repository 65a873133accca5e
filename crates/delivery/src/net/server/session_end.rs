//! Why the server closes client connections, and how sessions end.

use crate::net::connection::ReadError;

/// Why the server closes a connection without an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its slot is needed for new connections.
    Evicted,
    /// It was idle while many connections are open.
    IdleAmongMany,
    /// Operators drain the instance.
    Drained,
    /// Another process takes over.
    HandedOver,
    /// The process ends.
    ShuttingDown,
}

impl CloseReason {
    /// The reason code for the log.
    fn code(self) -> &'static str {
        match self {
            CloseReason::Evicted => "evicted",
            CloseReason::IdleAmongMany => "idle-among-many",
            CloseReason::Drained => "drained",
            CloseReason::HandedOver => "handed-over",
            CloseReason::ShuttingDown => "shutting-down",
        }
    }
}

/// How a session ended.
#[derive(Debug)]
pub(super) enum SessionEnd {
    /// The server closed the connection.
    Closed(CloseReason),
    /// No byte was received within the time for a first request.
    NoRequest,
    /// No further request was received within the idle time-out.
    IdleTimeout,
    /// A request could not be read.
    Unreadable(ReadError),
    /// The client left before its response.
    ClientGone,
    /// The client did not read its response.
    ResponseNotRead,
    /// The connection was closed after a response, as announced with it.
    ClosedAfterResponse,
}

impl SessionEnd {
    /// The reason code for the log.
    pub(super) fn code(&self) -> &'static str {
        match self {
            SessionEnd::Closed(reason) => reason.code(),
            SessionEnd::NoRequest => "no-request",
            SessionEnd::IdleTimeout => "idle",
            SessionEnd::Unreadable(error) => error.code(),
            SessionEnd::ClientGone => "client-gone",
            SessionEnd::ResponseNotRead => "response-not-taken",
            SessionEnd::ClosedAfterResponse => "closed-after-response",
        }
    }

    /// Whether the server closes a connection on which the client may send a request in this moment.
    pub(super) fn is_by_server(&self) -> bool {
        matches!(
            self,
            SessionEnd::Closed(_) | SessionEnd::NoRequest | SessionEnd::IdleTimeout
        )
    }

    /// Whether the client ended the session, so that an open request needs no response.
    pub(super) fn is_by_client(&self) -> bool {
        matches!(self, SessionEnd::ClientGone | SessionEnd::ResponseNotRead)
    }
}

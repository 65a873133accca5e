//! The protocol of one watch: a request whose response is a stream of lines with endpoint lists and heartbeats.

use super::super::poll_schedule::WatchResult;
use super::super::{NameIndex, ENDPOINTS_PATH, MAX_HEAD_LEN};
use super::line_buffer::{LineBuffer, LineError, WatchLine};
use super::open_watch::WatchProgress;
use crate::core::engine::EngineEvent;
use crate::log_line;
use crate::net::connection::{Connection, ReadError};
use crate::net::http::{
    self, header, status, ChunkedDecoder, DecodeStep, Framing, HeadWriter, ParseError,
};
use async_channel::Sender;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The reason for which a watch ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchEnd {
    #[error("no connection to discovery could be established")]
    NoConnection,
    #[error("the head of the response could not be read")]
    NoResponse,
    #[error("the status of the response is not 200")]
    UnexpectedStatus,
    #[error("the response is not chunked")]
    NotChunked,
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Line(#[from] LineError),
    #[error("the first list changes an earlier revision than the known one")]
    RevisionLost,
    #[error("the engine has ended")]
    EngineEnded,
}

impl From<ParseError> for WatchEnd {
    fn from(error: ParseError) -> WatchEnd {
        WatchEnd::Read(error.into())
    }
}

impl WatchEnd {
    /// Returns the reason code for the log.
    pub(super) fn code(&self) -> &'static str {
        match self {
            WatchEnd::NoConnection => "no-connection",
            WatchEnd::NoResponse => "no-response",
            WatchEnd::UnexpectedStatus => "unexpected-status",
            WatchEnd::NotChunked => "not-chunked",
            WatchEnd::Read(error) => error.code(),
            WatchEnd::Line(error) => error.code(),
            WatchEnd::RevisionLost => "revision-lost",
            WatchEnd::EngineEnded => "stopped",
        }
    }
}

/// The request of a watch, and the recipients of the lists that it receives.
#[derive(Clone, Copy)]
pub(super) struct StreamRequest<'a> {
    pub(super) address: SocketAddr,
    pub(super) names: &'a NameIndex,
    /// The revision of the last list that was received. The watch requests only later changes, and updates the
    /// revision.
    pub(super) since_revision: &'a Cell<u64>,
    pub(super) engine: &'a Sender<EngineEvent>,
}

/// Opens a watch and receives lines until it ends. Returns the reason for its end.
pub(super) async fn follow(
    request: StreamRequest<'_>,
    progress: Rc<Cell<WatchProgress>>,
) -> WatchEnd {
    match receive(request, &progress).await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

async fn receive(
    request: StreamRequest<'_>,
    progress: &Cell<WatchProgress>,
) -> Result<Infallible, WatchEnd> {
    let mut connection = open(&request).await?;
    let mut decoder = ChunkedDecoder::default();
    let mut lines = LineBuffer::default();
    let mut newest_revision = None;
    loop {
        match decoder.next(connection.bytes())? {
            DecodeStep::Done => return Err(ReadError::Closed.into()),
            DecodeStep::Skip(len) => connection.consume(len),
            DecodeStep::NeedMore => match connection.fill().await {
                Ok(true) => {}
                Ok(false) => return Err(ReadError::Closed.into()),
                Err(error) => return Err(ReadError::Io(error).into()),
            },
            DecodeStep::Content(len) => {
                lines.push(&connection.bytes()[..len]);
                connection.consume(len);
                receive_lines(&request, progress, &mut lines, &mut newest_revision)?;
            }
        }
    }
}

/// Sends the request of a watch and reads the head of the response.
async fn open(request: &StreamRequest<'_>) -> Result<Connection, WatchEnd> {
    let address = request.address;
    let Ok(mut connection) = Connection::connect_with_retry(address).await else {
        return Err(WatchEnd::NoConnection);
    };
    let revision = request.since_revision.get();
    let target = format!("{ENDPOINTS_PATH}?follow=1&since={revision}");
    let head = HeadWriter::request("GET", &target)
        .field(header::HOST, address.to_string())
        .finish();
    connection.write(&head, b"").await.map_err(ReadError::Io)?;
    let Ok(head_len) = connection.read_head(MAX_HEAD_LEN).await else {
        return Err(WatchEnd::NoResponse);
    };
    let head = http::parse_response(&connection.bytes()[..head_len])?;
    if head.status != status::OK {
        return Err(WatchEnd::UnexpectedStatus);
    }
    let framing = head.framing;
    connection.consume(head_len);
    if framing != Framing::Chunked {
        return Err(WatchEnd::NotChunked);
    }
    Ok(connection)
}

/// Processes the complete lines in the buffer. A list that is older than the newest one of the same watch is a late copy and
/// is ignored. The first list of a watch counts whatever its revision, as discovery may have lost its state.
fn receive_lines(
    request: &StreamRequest<'_>,
    progress: &Cell<WatchProgress>,
    lines: &mut LineBuffer,
    newest_revision: &mut Option<u64>,
) -> Result<(), WatchEnd> {
    loop {
        let list = match lines.next()? {
            WatchLine::Incomplete => return Ok(()),
            WatchLine::Heartbeat => None,
            WatchLine::List(list) => Some(list),
        };
        let previous = progress.get();
        progress.set(WatchProgress {
            last_line_at: Instant::now(),
            lines: previous.lines + 1,
            result: match list {
                Some(_) => WatchResult::ReceivedList,
                None => previous.result,
            },
        });
        let Some(list) = list else { continue };
        if newest_revision.is_some_and(|newest| list.revision < newest) {
            log_line!(
                code = "stale-list",
                revision = list.revision,
                "ignored a list that is older than the last one of its watch"
            );
            continue;
        }
        let is_first = newest_revision.is_none();
        if is_first && !list.is_complete && list.revision < request.since_revision.get() {
            // Another process of discovery counts its own revisions, so the known list is not what it changes.
            request.since_revision.set(0);
            return Err(WatchEnd::RevisionLost);
        }
        *newest_revision = Some(list.revision);
        request.since_revision.set(list.revision);
        // The engine's queue is unbounded, so that the list is sent without an await. If the watch were dropped at an
        // await, the list would be lost.
        let event = list.into_event(request.names);
        if request.engine.try_send(event).is_err() {
            return Err(WatchEnd::EngineEnded);
        }
    }
}

//! One watch: a request whose response is a stream of lines, each an endpoint list or empty.

use super::super::poll_schedule::WatchResult;
use super::super::{NameIndex, MAX_HEAD};
use super::line_buffer::{LineBuffer, WatchLine};
use super::WatchProgress;
use crate::core::engine::EngineEvent;
use crate::net::connection::{Connection, ReadError};
use crate::net::http::{self, ChunkedDecoder, DecodeStep, Framing};
use async_channel::Sender;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

const OK: u16 = 200;

/// The reason code with which a watch ends.
type EndCode = &'static str;

/// What a watch requests, and where it sends what it receives.
#[derive(Clone, Copy)]
pub(super) struct StreamRequest<'a> {
    pub(super) address: SocketAddr,
    pub(super) names: &'a NameIndex,
    /// The version of the last list that was received.
    pub(super) since_revision: &'a Cell<u64>,
    pub(super) engine: &'a Sender<EngineEvent>,
}

/// Opens a watch and follows it to its end; returns the reason code.
pub(super) async fn follow(
    request: StreamRequest<'_>,
    progress: Rc<Cell<WatchProgress>>,
) -> EndCode {
    match receive(request, &progress).await {
        Ok(never) => match never {},
        Err(code) => code,
    }
}

async fn receive(
    request: StreamRequest<'_>,
    progress: &Cell<WatchProgress>,
) -> Result<Infallible, EndCode> {
    let mut connection = open(&request).await?;
    let mut chunks = ChunkedDecoder::default();
    let mut lines = LineBuffer::default();
    loop {
        match chunks
            .next(connection.bytes())
            .map_err(|error| error.code())?
        {
            DecodeStep::Done => return Err(ReadError::Closed.code()),
            DecodeStep::Skip(len) => connection.consume(len),
            DecodeStep::More => match connection.fill().await {
                Ok(true) => {}
                Ok(false) => return Err(ReadError::Closed.code()),
                Err(error) => return Err(ReadError::Io(error).code()),
            },
            DecodeStep::Content(len) => {
                lines.push(&connection.bytes()[..len]);
                connection.consume(len);
                receive_lines(&request, progress, &mut lines)?;
            }
        }
    }
}

/// Sends the request and reads the head of its response.
async fn open(request: &StreamRequest<'_>) -> Result<Connection, EndCode> {
    let address = request.address;
    let Ok(mut connection) = Connection::connect_with_retry(address).await else {
        return Err("no-connection");
    };
    let revision = request.since_revision.get();
    let head =
        format!("GET /v1/endpoints?follow=1&since={revision} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if let Err(error) = connection.write(head.as_bytes(), b"").await {
        return Err(ReadError::Io(error).code());
    }
    let Ok(head_len) = connection.read_head(MAX_HEAD).await else {
        return Err("no-response");
    };
    let framing = match http::response(&connection.bytes()[..head_len]) {
        Ok(head) if head.status == OK => head.framing,
        Ok(_) => return Err("unexpected-status"),
        Err(error) => return Err(error.code()),
    };
    connection.consume(head_len);
    if framing != Framing::Chunked {
        return Err("not-chunked");
    }
    Ok(connection)
}

fn receive_lines(
    request: &StreamRequest<'_>,
    progress: &Cell<WatchProgress>,
    lines: &mut LineBuffer,
) -> Result<(), EndCode> {
    loop {
        let list = match lines.next().map_err(|error| error.code())? {
            WatchLine::Incomplete => return Ok(()),
            WatchLine::Empty => None,
            WatchLine::List(list) => Some(list),
        };
        let before = progress.get();
        progress.set(WatchProgress {
            last_line_at: Instant::now(),
            lines: before.lines + 1,
            result: match list {
                Some(_) => WatchResult::ReceivedList,
                None => before.result,
            },
        });
        let Some(list) = list else { continue };
        request.since_revision.set(list.revision);
        // The queue has no bound: a list never waits here, where its watch could be dropped with it.
        if request
            .engine
            .try_send(list.into_event(request.names))
            .is_err()
        {
            return Err("stopped");
        }
    }
}

//! One TCP connection with its read buffer.
//!
//! Messages are read in place: `read_*` leave what they read in the buffer, and the caller consumes it. A read that is
//! dropped before it is over loses nothing.

use super::http::{self, ChunkedDecoder, DecodeStep, Framing, ParseError};
use crate::log_line;
use crate::system_error::is_local_resource_error;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long connecting pauses where this machine is short of something.
const LOCAL_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// How many bytes a read asks the system for at once.
const READ_SIZE: usize = 16 * 1024;
/// How much room an empty buffer keeps.
const KEPT_BUFFER: usize = 2 * READ_SIZE;
/// How much a peer may send ahead while its response is awaited.
const MAX_READ_AHEAD: usize = 4 * READ_SIZE;

/// Why reading a message stopped.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between messages.
    #[error("closed by the peer")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("closed by the peer within a message")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[source] io::Error),
    /// It took too long.
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
}

/// Awaits a future until a time; `None` once that has passed.
pub async fn before<T>(deadline: Instant, future: impl future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// A connection and what was read from it but not yet consumed.
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    /// Up to here the buffer is consumed.
    consumed: usize,
    /// Up to here the buffer holds what was read; beyond it is room.
    filled: usize,
    /// Bytes that the system has taken to be sent.
    bytes_sent: u64,
    /// Dropped with the connection.
    guard: Option<Box<dyn std::any::Any>>,
}

/// Looks for unread bytes also while another task awaits them.
pub struct UnreadProbe {
    stream: Rc<Async<TcpStream>>,
}

impl UnreadProbe {
    /// Whether bytes have come that nobody has read yet.
    pub fn has_unread(&self) -> bool {
        peek(&self.stream).is_ok_and(|available| available > 0)
    }
}

/// Looks for an unread byte without waiting; 0 once the peer has closed its side.
fn peek(stream: &Async<TcpStream>) -> io::Result<usize> {
    loop {
        match stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        // Without it a message's last part may wait for the peer's acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            consumed: 0,
            filled: 0,
            bytes_sent: 0,
            guard: None,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The peer cannot be reached.
    pub async fn connect(to: SocketAddr) -> io::Result<Connection> {
        Async::<TcpStream>::connect(to).await.map(Connection::new)
    }

    /// Opens a connection. While this machine has no descriptor, address or route for it, the peer is not to blame: it is
    /// tried again until whoever awaits it gives up.
    ///
    /// # Errors
    /// The peer cannot be reached.
    pub async fn connect_with_retry(to: SocketAddr) -> io::Result<Connection> {
        loop {
            let error = match Connection::connect(to).await {
                Err(error) => error,
                connected => return connected,
            };
            if !is_local_resource_error(&error) {
                return Err(error);
            }
            log_line!(code = "connect-deferred", "{to}: {error}");
            Timer::after(LOCAL_ERROR_PAUSE).await;
        }
    }

    /// Ties something to the connection that is dropped with it.
    pub fn with_guard(mut self, guard: Box<dyn std::any::Any>) -> Connection {
        self.guard = Some(guard);
        self
    }

    /// What was read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..self.filled]
    }

    /// How many bytes the system has taken to be sent, also of writes that did not succeed as a whole.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Marks bytes as consumed; the buffer is reused once all are.
    pub fn consume(&mut self, len: usize) {
        self.consumed += len;
        if self.consumed == self.filled {
            (self.consumed, self.filled) = (0, 0);
            // A rare large body must not keep its room on every connection.
            self.buffer.truncate(KEPT_BUFFER);
            self.buffer.shrink_to(KEPT_BUFFER);
        }
    }

    /// Reads more; false once the peer has closed its side. A read that is dropped before it is over leaves the buffer as
    /// it was, as reads race against time-outs and responses.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn fill(&mut self) -> io::Result<bool> {
        if self.consumed > 0 {
            self.buffer.copy_within(self.consumed..self.filled, 0);
            (self.filled, self.consumed) = (self.filled - self.consumed, 0);
        }
        if self.buffer.len() < self.filled + READ_SIZE {
            self.buffer.resize(self.filled + READ_SIZE, 0);
        }
        let read = loop {
            match (&*self.stream).read(&mut self.buffer[self.filled..]).await {
                // Nothing was read, and nothing is wrong with the connection.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.filled += read;
        Ok(read > 0)
    }

    /// Writes a head and a body, together where the system takes them together.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write(&mut self, mut head: &[u8], mut body: &[u8]) -> io::Result<()> {
        while !head.is_empty() || !body.is_empty() {
            let parts = [io::IoSlice::new(head), io::IoSlice::new(body)];
            let written = match (&*self.stream).write_vectored(&parts).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                written => written?,
            };
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.bytes_sent += written as u64;
            let of_head = written.min(head.len());
            (head, body) = (&head[of_head..], &body[written - of_head..]);
        }
        Ok(())
    }

    /// Reads the status line of a response and returns its status.
    ///
    /// # Errors
    /// The connection ended first, or the line is malformed or longer than `max_len`.
    pub async fn read_status_line(&mut self, max_len: usize) -> Result<u16, ReadError> {
        loop {
            if let Some(line) = http::status_line(self.bytes())? {
                return Ok(line.status);
            }
            if self.bytes().len() > max_len {
                return Err(ParseError::HeadTooLarge.into());
            }
            self.fill_head().await?;
        }
    }

    /// Reads up to the end of a head and returns its length.
    ///
    /// # Errors
    /// The connection ended first, or the head is longer than `max_len`.
    pub async fn read_head(&mut self, max_len: usize) -> Result<usize, ReadError> {
        let mut seen = 0;
        loop {
            if let Some(end) = http::head_end(self.bytes(), seen) {
                return if end > max_len {
                    Err(ParseError::HeadTooLarge.into())
                } else {
                    Ok(end)
                };
            }
            seen = self.bytes().len();
            if seen > max_len {
                return Err(ParseError::HeadTooLarge.into());
            }
            self.fill_head().await?;
        }
    }

    /// Reads the body that follows a head of `head` bytes and returns how many bytes of content then follow that head.
    ///
    /// # Errors
    /// The connection ended first, or the body is malformed or longer than `max_len`.
    pub async fn read_body(
        &mut self,
        head: usize,
        framing: Framing,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        match framing {
            Framing::Length(len) => self.read_sized_body(head, len, max_len).await,
            Framing::Chunked => self.read_chunked_body(head, max_len).await,
            Framing::UntilEnd => self.read_body_until_end(head, max_len).await,
        }
    }

    async fn read_sized_body(
        &mut self,
        head: usize,
        len: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        if len > max_len {
            return Err(ParseError::BodyTooLarge.into());
        }
        while self.bytes().len() - head < len {
            self.fill_message().await?;
        }
        Ok(len)
    }

    async fn read_chunked_body(&mut self, head: usize, max_len: usize) -> Result<usize, ReadError> {
        let mut chunks = ChunkedDecoder::default();
        let mut content = 0;
        loop {
            match chunks.next(&self.bytes()[head + content..])? {
                DecodeStep::Done => return Ok(content),
                DecodeStep::More => self.fill_message().await?,
                DecodeStep::Content(len) => content += len,
                // The pieces of content are joined in place.
                DecodeStep::Skip(len) => {
                    let at = self.consumed + head + content;
                    self.buffer.copy_within(at + len..self.filled, at);
                    self.filled -= len;
                }
            }
            if content > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
        }
    }

    async fn read_body_until_end(
        &mut self,
        head: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        loop {
            if self.bytes().len() - head > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
            if !self.fill().await.map_err(ReadError::Io)? {
                return Ok(self.bytes().len() - head);
            }
        }
    }

    /// Reads more of a message of which nothing may have come yet.
    async fn fill_head(&mut self) -> Result<(), ReadError> {
        let between_messages = self.bytes().is_empty();
        match self.fill_message().await {
            Err(ReadError::Truncated) if between_messages => Err(ReadError::Closed),
            filled => filled,
        }
    }

    /// Reads more of a message that has begun.
    async fn fill_message(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(ReadError::Truncated),
            Err(error) => Err(ReadError::Io(error)),
        }
    }

    /// Whether an idle connection can be used: open, and without unrequested bytes.
    pub fn is_reusable(&self) -> bool {
        let is_silent = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.bytes().is_empty() && peek(&self.stream).err().is_some_and(is_silent)
    }

    /// Whether more than so many bytes have come.
    pub fn has_more_than(&self, len: usize) -> bool {
        self.bytes().len() > len || self.unread_probe().has_unread()
    }

    /// The socket itself, for tests that write past the executor.
    #[cfg(test)]
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// A probe for unread bytes.
    pub fn unread_probe(&self) -> UnreadProbe {
        UnreadProbe {
            stream: self.stream.clone(),
        }
    }

    /// Waits until the peer closes the connection; bytes that come meanwhile are kept.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(true)) {
            // A peer that goes on sending without waiting for its response is not read without bound.
            if self.bytes().len() > MAX_READ_AHEAD {
                return future::pending().await;
            }
        }
    }

    /// Closes the sending side and discards what still comes until a time, so that the peer gets the last response
    /// instead of a reset, however much it had set out to send.
    pub async fn linger(&mut self, until: Instant) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        let _ = before(until, async {
            while matches!(self.fill().await, Ok(true)) {
                self.consume(self.bytes().len());
                // Where there is always more to read, a read never waits, and nobody else would be served.
                future::yield_now().await;
            }
        })
        .await;
    }
}

#[cfg(test)]
mod tests;

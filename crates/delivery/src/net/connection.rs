//! One TCP connection with its read buffer.
//!
//! Messages are read in place: the `read_*` functions leave what they read in the buffer, and the caller consumes it.
//! Dropping a read before it completes loses no bytes.

mod message;
mod read_error;

pub use read_error::ReadError;

use crate::log_line;
use crate::system_error::is_local_resource_error;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The delay between two attempts to connect while this machine lacks a resource for it.
const LOCAL_ERROR_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The most bytes that one read requests from the system.
const READ_SIZE: usize = 16 * 1024;
/// The capacity that an empty buffer retains, in bytes.
const MAX_RETAINED_CAPACITY: usize = 2 * READ_SIZE;
/// The most bytes that are read while the peer awaits its response.
const MAX_READ_AHEAD: usize = 4 * READ_SIZE;
/// The most unread bytes that are counted.
const MAX_UNREAD_COUNTED: usize = 1024;

/// Awaits a future until a deadline; `None` if that passes first.
pub async fn with_deadline<T>(
    deadline: Instant,
    future: impl future::Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// A connection, and what was read from it but not yet consumed.
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    /// The end of the consumed bytes at the start of the buffer.
    consumed: usize,
    /// The end of the bytes that were read; the rest of the buffer is free.
    filled: usize,
    /// Bytes that were read from the system.
    bytes_received: u64,
    /// Bytes that the system has accepted for sending.
    bytes_sent: u64,
    /// Dropped with the connection.
    guard: Option<Box<dyn std::any::Any>>,
}

/// Detects unread bytes on a connection, also while another task awaits them.
pub struct UnreadDetector {
    stream: Rc<Async<TcpStream>>,
}

impl UnreadDetector {
    /// Whether the system has received bytes that are not read yet.
    pub fn has_unread(&self) -> bool {
        peek(&self.stream, &mut [0]).is_ok_and(|available| available > 0)
    }

    /// How many bytes the system has received that are not read yet, up to 1,024. Closing the connection
    /// over them resets it.
    pub fn unread_len(&self) -> usize {
        peek(&self.stream, &mut [0; MAX_UNREAD_COUNTED]).unwrap_or(0)
    }
}

/// Peeks at unread bytes without waiting; 0 once the peer has closed its sending side.
fn peek(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.get_ref().peek(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        // With Nagle's algorithm the last part of a message could wait for the peer's acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            consumed: 0,
            filled: 0,
            bytes_received: 0,
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

    /// Opens a connection. While this machine has no descriptor, address or route for it, the peer is not at fault:
    /// connecting is then retried until the caller drops the future.
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
            Timer::after(LOCAL_ERROR_RETRY_DELAY).await;
        }
    }

    /// Attaches a guard that is dropped with the connection.
    pub fn with_guard(mut self, guard: Box<dyn std::any::Any>) -> Connection {
        self.guard = Some(guard);
        self
    }

    /// What was read and not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..self.filled]
    }

    /// How many bytes were read from the system.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// How many bytes the system has accepted for sending, including those of writes that then failed.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Marks bytes as consumed; the buffer is reused once all are.
    pub fn consume(&mut self, len: usize) {
        self.consumed += len;
        if self.consumed == self.filled {
            (self.consumed, self.filled) = (0, 0);
            // One large body must not leave its capacity allocated on an idle connection.
            self.buffer.truncate(MAX_RETAINED_CAPACITY);
            self.buffer.shrink_to(MAX_RETAINED_CAPACITY);
        }
    }

    /// Reads more bytes; false once the peer has closed its sending side. Reads race against time-outs and responses:
    /// one that is dropped before it completes leaves the unconsumed bytes unchanged.
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
                // Nothing was read, and the connection is intact.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.filled += read;
        self.bytes_received += read as u64;
        Ok(read > 0)
    }

    /// Writes a head and a body, in one system call where the system accepts both at once.
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
            let head_written = written.min(head.len());
            (head, body) = (&head[head_written..], &body[written - head_written..]);
        }
        Ok(())
    }

    /// Whether an idle connection can be reused: it is open and has received no unrequested bytes.
    pub fn is_reusable(&self) -> bool {
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.bytes().is_empty() && peek(&self.stream, &mut [0]).err().is_some_and(would_block)
    }

    /// Whether more than `len` unconsumed bytes have been received.
    pub fn has_more_than(&self, len: usize) -> bool {
        self.bytes().len() > len || self.unread_detector().has_unread()
    }

    /// The socket itself, for tests that write without the executor.
    #[cfg(test)]
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// A detector for unread bytes on this connection.
    pub fn unread_detector(&self) -> UnreadDetector {
        UnreadDetector {
            stream: self.stream.clone(),
        }
    }

    /// Waits until the peer closes the connection. Bytes that are received meanwhile stay in the buffer.
    pub async fn wait_until_closed(&mut self) {
        while matches!(self.fill().await, Ok(true)) {
            // A peer that sends without awaiting its response must not fill the buffer without bound.
            if self.bytes().len() > MAX_READ_AHEAD {
                return future::pending().await;
            }
        }
    }

    /// Closes the sending side and discards what is received until a deadline: closing a connection that has unread
    /// bytes would reset it, and the peer would lose the last response.
    pub async fn linger(&mut self, until: Instant) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let _ = with_deadline(until, async {
            while matches!(self.fill().await, Ok(true)) {
                self.consume(self.bytes().len());
                // A read that always finds bytes never suspends, and other tasks would not run.
                future::yield_now().await;
            }
        })
        .await;
    }
}

#[cfg(test)]
mod tests;

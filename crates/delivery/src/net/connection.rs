//! A TCP connection with its read buffer.
//!
//! Messages are read in place: the `read_*` functions leave the bytes of a message in the buffer, and the caller
//! consumes them. No bytes are lost if a read is dropped before it completes.

mod activity;
mod memory;
mod message;
mod peer_end;
mod read_error;
mod unread;

pub use activity::Activity;
pub use peer_end::PeerEnd;
pub use read_error::ReadError;
pub use unread::{IdleState, UnreadDetector, UnrequestedBytes};

use crate::log_line;
use crate::system_error::is_local_resource_error;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use memory::ReceiveMemory;
use std::cell::RefCell;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay between two attempts to connect while this machine lacks a resource for it.
const LOCAL_ERROR_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of bytes of one read.
const READ_SIZE: usize = 16 * 1024;
/// Number of reads after which a connection lets other tasks run. Reads do not suspend while the peer's bytes arrive as fast
/// as they are read.
const READS_PER_TURN: u32 = 4;

/// Awaits a future until a deadline. Returns `None` if the deadline passes first.
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

/// A connection, and the bytes that were read from it but are not consumed yet.
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    /// The index in the buffer at which the unconsumed bytes start.
    consumed: usize,
    /// The memory that the buffer may use; `None` if the readers' limits bound it.
    memory: Option<ReceiveMemory>,
    activity: Rc<Activity>,
    /// Whether the peer was found to have ended its sending.
    peer_ended: bool,
    /// The number of reads since other tasks could run last.
    reads_in_turn: u32,
    /// The number of bytes that were read from the socket.
    bytes_received: u64,
    /// The number of bytes that the socket has accepted for sending.
    bytes_sent: u64,
    /// A value that is dropped with the connection, to release a resource.
    guard: Option<Box<dyn std::any::Any>>,
}

impl Connection {
    /// Creates a connection from a stream.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        // Nagle's algorithm could delay the last part of a message until the peer acknowledges the part before it.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            consumed: 0,
            memory: None,
            activity: Rc::default(),
            peer_ended: false,
            reads_in_turn: 0,
            bytes_received: 0,
            bytes_sent: 0,
            guard: None,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns the I/O error if the connection cannot be established.
    pub async fn connect(to: SocketAddr) -> io::Result<Connection> {
        Async::<TcpStream>::connect(to).await.map(Connection::new)
    }

    /// Opens a connection, and retries while this machine has no file descriptor, address or route for it. The peer is
    /// not the cause of such an error. Retries end when the caller drops the future.
    ///
    /// # Errors
    /// Returns the I/O error if the connection cannot be established for another reason.
    pub async fn connect_with_retry(to: SocketAddr) -> io::Result<Connection> {
        loop {
            let error = match Connection::connect(to).await {
                Err(error) => error,
                connected => return connected,
            };
            if !is_local_resource_error(&error) {
                return Err(error);
            }
            log_line!(
                code = "connect-deferred",
                "connecting to {to} failed, retrying: {error}"
            );
            Timer::after(LOCAL_ERROR_RETRY_DELAY).await;
        }
    }

    /// Attaches a guard that is dropped with the connection.
    pub fn with_guard(mut self, guard: Box<dyn std::any::Any>) -> Connection {
        self.guard = Some(guard);
        self
    }

    /// Returns the bytes that were read and are not consumed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Returns the number of bytes that were read from the socket.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// Returns the number of bytes that the socket has accepted for sending, including those of writes that failed
    /// later.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Returns the times and the memory of the connection's reads, which are updated while it is in use.
    pub fn activity(&self) -> Rc<Activity> {
        self.activity.clone()
    }

    /// Marks the first `len` unconsumed bytes as consumed. The buffer is freed once all its bytes are consumed, so that an
    /// idle connection occupies no memory.
    pub fn consume(&mut self, len: usize) {
        self.consumed += len;
        if self.consumed == self.buffer.len() {
            self.buffer = Vec::new();
            self.consumed = 0;
        }
    }

    /// Reads more bytes into the buffer. Returns `false` once the peer has closed its sending side. Callers race reads
    /// against time-outs and responses: a read that is dropped before it completes leaves the unconsumed bytes
    /// unchanged.
    ///
    /// # Errors
    /// Returns the I/O error of the connection.
    pub async fn fill(&mut self) -> io::Result<bool> {
        self.end_turn_if_due().await;
        self.remove_consumed();
        let max_len = READ_SIZE.min(self.free_space().max(1));
        let (stream, buffer) = (&self.stream, &mut self.buffer);
        let read = loop {
            match stream
                .read_with(|stream| append(stream, buffer, max_len))
                .await
            {
                // A signal interrupted the read. Nothing was read, and the connection is intact.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.bytes_received += read as u64;
        self.activity.record_read();
        self.peer_ended |= read == 0;
        Ok(read > 0)
    }

    /// Removes the consumed bytes from the buffer.
    fn remove_consumed(&mut self) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
    }

    /// Lets other tasks run if the connection has read for a whole turn.
    async fn end_turn_if_due(&mut self) {
        self.reads_in_turn += 1;
        if self.reads_in_turn > READS_PER_TURN {
            self.reads_in_turn = 1;
            future::yield_now().await;
        }
    }

    /// Writes a head and a body, in one system call if the socket accepts both at once.
    ///
    /// # Errors
    /// Returns the I/O error of the connection.
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

    /// Returns the socket, for tests that write to it without the executor.
    #[cfg(test)]
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Closes the sending side, and discards received bytes until the peer closes its side or a deadline passes.
    /// Closing a connection that has unread bytes would reset it, and the peer would lose the last response.
    pub async fn linger(&mut self, until: Instant) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let _ = with_deadline(until, async {
            while matches!(self.fill().await, Ok(true)) {
                self.consume(self.bytes().len());
            }
        })
        .await;
    }
}

thread_local! {
    /// The buffer that bytes are read into before their number is known.
    static READ_BUFFER: RefCell<[u8; READ_SIZE]> = const { RefCell::new([0; READ_SIZE]) };
}

/// Reads at most `max_len` bytes and appends them to a buffer, whose capacity grows by no more than the bytes.
fn append(mut stream: &TcpStream, buffer: &mut Vec<u8>, max_len: usize) -> io::Result<usize> {
    READ_BUFFER.with_borrow_mut(|received| {
        let len = stream.read(&mut received[..max_len])?;
        buffer.reserve_exact(len);
        buffer.extend_from_slice(&received[..len]);
        Ok(len)
    })
}

#[cfg(test)]
mod tests;

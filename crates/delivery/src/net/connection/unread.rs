//! Unread bytes on a connection, and the state of a connection on which no message is awaited.

use super::Connection;
use crate::net::http;
use async_io::Async;
use std::fmt;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// Maximum number of unread bytes that are counted.
const MAX_UNREAD_COUNTED: usize = 1024;

/// The state of a connection on which no response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open and nothing was received.
    Quiet,
    /// The peer has closed the connection, or it failed.
    Closed,
    /// Bytes were received that no request has asked for.
    Unrequested(UnrequestedBytes),
}

/// Bytes that were received without a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnrequestedBytes {
    /// Number of bytes, of which 1,024 are counted at most.
    pub len: usize,
    /// The status, if the bytes begin with a status line.
    pub status: Option<u16>,
}

impl UnrequestedBytes {
    fn new(bytes: &[u8]) -> UnrequestedBytes {
        let status_line = http::parse_status_line(bytes).ok().flatten();
        UnrequestedBytes {
            len: bytes.len(),
            status: status_line.map(|line| line.status),
        }
    }
}

impl fmt::Display for UnrequestedBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes, ", self.len)?;
        match self.status {
            Some(status) => write!(f, "status {status}"),
            None => f.write_str("no status line"),
        }
    }
}

/// Detects unread bytes on a connection. It can be used while another future reads from the connection.
pub struct UnreadDetector {
    stream: Rc<Async<TcpStream>>,
}

impl UnreadDetector {
    /// Returns whether the socket has received bytes that are not read yet.
    pub fn has_unread(&self) -> bool {
        peek(&self.stream, &mut [0]).is_ok_and(|available| available > 0)
    }

    /// Returns the number of bytes that the socket has received and that are not read yet, up to 1,024. Closing a
    /// connection with unread bytes resets it.
    pub fn unread_len(&self) -> usize {
        peek(&self.stream, &mut [0; MAX_UNREAD_COUNTED]).unwrap_or(0)
    }
}

/// Peeks at unread bytes without waiting. Returns 0 once the peer has closed its sending side.
fn peek(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.get_ref().peek(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

impl Connection {
    /// Returns whether an idle connection can carry a request, which requires that it is open and has received no
    /// unrequested bytes.
    pub fn is_reusable(&self) -> bool {
        self.idle_state() == IdleState::Quiet
    }

    /// Returns the state of a connection on which no response is awaited.
    pub fn idle_state(&self) -> IdleState {
        if !self.bytes().is_empty() {
            return IdleState::Unrequested(UnrequestedBytes::new(self.bytes()));
        }
        let mut unread = [0; MAX_UNREAD_COUNTED];
        match peek(&self.stream, &mut unread) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Ok(0) | Err(_) => IdleState::Closed,
            Ok(len) => IdleState::Unrequested(UnrequestedBytes::new(&unread[..len])),
        }
    }

    /// Returns whether more than `len` unconsumed bytes are in the buffer, or any unread bytes in the socket.
    pub fn has_more_than(&self, len: usize) -> bool {
        self.bytes().len() > len || self.unread_detector().has_unread()
    }

    /// Returns a detector of unread bytes on this connection.
    pub fn unread_detector(&self) -> UnreadDetector {
        UnreadDetector {
            stream: self.stream.clone(),
        }
    }
}

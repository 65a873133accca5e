//! One TCP connection with its read buffer.

use super::http::{self, Chunks, Fault, Framing, Piece};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// What a read asks the system for at once.
const READ: usize = 16 * 1024;

/// Why reading a message stopped.
#[derive(Debug)]
pub enum Stop {
    /// The far side ended its sending between messages.
    FinalOutcome,
    /// It ended within a message.
    Cut,
    /// The connection broke.
    Broke(io::Error),
    /// It took too long.
    Late,
    /// The message cannot be read.
    Fault(Fault),
}

impl Stop {
    /// The reason code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            Stop::FinalOutcome => "far-end",
            Stop::Cut => "cut-off",
            Stop::Broke(_) => "reset",
            Stop::Late => "too-slow",
            Stop::Fault(fault) => fault.code(),
        }
    }
}

impl From<Fault> for Stop {
    fn from(fault: Fault) -> Stop {
        Stop::Fault(fault)
    }
}

/// Waits for something until a time.
pub async fn until<T>(at: Instant, what: impl future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(what.await) }, async {
        Timer::at(at).await;
        None
    })
    .await
}

/// A connection and what was read of it but not yet used.
pub struct Link {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    used: usize,
    /// The buffer holds what was read up to here; beyond it is room.
    filled: usize,
    /// Dropped with the connection.
    guard: Option<Box<dyn std::any::Any>>,
}

/// Looks at a connection from beside.
pub struct Glance(Rc<Async<TcpStream>>);

impl Glance {
    /// Whether bytes have come that nobody has read yet.
    pub fn has_unread(&self) -> bool {
        self.0.get_ref().peek(&mut [0]).is_ok_and(|more| more > 0)
    }
}

impl Link {
    /// Wraps a connection.
    pub fn new(stream: Async<TcpStream>) -> Link {
        // Without it an answer's last part may wait for the far side's acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        Link {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            used: 0,
            filled: 0,
            guard: None,
        }
    }

    /// Ties something to the connection that is dropped with it.
    pub fn with(mut self, guard: Box<dyn std::any::Any>) -> Link {
        self.guard = Some(guard);
        self
    }

    /// Opens a connection.
    pub async fn connect(to: SocketAddr) -> io::Result<Link> {
        Async::<TcpStream>::connect(to).await.map(Link::new)
    }

    /// What was read and not used.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.used..self.filled]
    }

    /// Marks bytes as used; the buffer is reused once all are.
    pub fn consume(&mut self, len: usize) {
        self.used += len;
        if self.used == self.filled {
            (self.used, self.filled) = (0, 0);
            // A rare large body must not keep its room on every connection.
            self.buffer.truncate(2 * READ);
            self.buffer.shrink_to(2 * READ);
        }
    }

    /// Reads more; false when the far side has ended its sending. A read that is dropped before it is over
    /// leaves the buffer as it was: reads race against time-outs and answers all the time.
    pub async fn fill(&mut self) -> io::Result<bool> {
        if self.used > 0 {
            self.buffer.copy_within(self.used..self.filled, 0);
            (self.filled, self.used) = (self.filled - self.used, 0);
        }
        if self.buffer.len() < self.filled + READ {
            self.buffer.resize(self.filled + READ, 0);
        }
        let read = (&*self.stream)
            .read(&mut self.buffer[self.filled..])
            .await?;
        self.filled += read;
        Ok(read > 0)
    }

    /// Writes a head and a body, together where the system takes them together.
    pub async fn write(&mut self, mut head: &[u8], mut body: &[u8]) -> io::Result<()> {
        while !head.is_empty() || !body.is_empty() {
            let parts = [io::IoSlice::new(head), io::IoSlice::new(body)];
            let written = (&*self.stream).write_vectored(&parts).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            let of_head = written.min(head.len());
            (head, body) = (&head[of_head..], &body[written - of_head..]);
        }
        Ok(())
    }

    /// Reads the first line of an answer and gives its status; all stays in the buffer.
    pub async fn status_line(&mut self, most: usize) -> Result<u16, Stop> {
        loop {
            if let Some((_, status)) = http::status_line(self.bytes())? {
                return Ok(status);
            }
            if self.bytes().len() > most {
                return Err(Fault::HeadTooLarge.into());
            }
            let none = self.bytes().is_empty();
            if !self.fill().await.map_err(Stop::Broke)? {
                return Err(if none { Stop::FinalOutcome } else { Stop::Cut });
            }
        }
    }

    /// Reads up to the end of a head and gives its length; it stays in the buffer.
    pub async fn head(&mut self, most: usize) -> Result<usize, Stop> {
        let mut seen = 0;
        loop {
            if let Some(end) = http::head_end(self.bytes(), seen) {
                return if end > most {
                    Err(Fault::HeadTooLarge.into())
                } else {
                    Ok(end)
                };
            }
            seen = self.bytes().len();
            if seen > most {
                return Err(Fault::HeadTooLarge.into());
            }
            if !self.fill().await.map_err(Stop::Broke)? {
                return Err(if seen == 0 {
                    Stop::FinalOutcome
                } else {
                    Stop::Cut
                });
            }
        }
    }

    /// Reads the body that follows a head of so many bytes and gives how many bytes of content then stand
    /// behind that head. Both stay in the buffer until the caller consumes them.
    pub async fn body(
        &mut self,
        head: usize,
        framing: Framing,
        most: usize,
    ) -> Result<usize, Stop> {
        match framing {
            Framing::Length(len) => {
                if len > most {
                    return Err(Fault::BodyTooLarge.into());
                }
                while self.bytes().len() - head < len {
                    self.more().await?;
                }
                Ok(len)
            }
            Framing::Chunked => {
                let (mut chunks, mut content) = (Chunks::default(), 0);
                loop {
                    match chunks.next(&self.bytes()[head + content..])? {
                        Piece::Done => return Ok(content),
                        Piece::More => self.more().await?,
                        Piece::Content(len) => content += len,
                        // The pieces of content are joined up where they stand.
                        Piece::Skip(len) => {
                            let at = self.used + head + content;
                            self.buffer.copy_within(at + len..self.filled, at);
                            self.filled -= len;
                        }
                    }
                    if content > most {
                        return Err(Fault::BodyTooLarge.into());
                    }
                }
            }
            Framing::UntilEnd => loop {
                if self.bytes().len() - head > most {
                    return Err(Fault::BodyTooLarge.into());
                }
                if !self.fill().await.map_err(Stop::Broke)? {
                    return Ok(self.bytes().len() - head);
                }
            },
        }
    }

    async fn more(&mut self) -> Result<(), Stop> {
        match self.fill().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(Stop::Cut),
            Err(error) => Err(Stop::Broke(error)),
        }
    }

    /// Whether an idle connection can be used: still open, and nothing unasked came.
    pub fn is_fresh(&self) -> bool {
        let silent = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.bytes().is_empty()
            && self
                .stream
                .get_ref()
                .peek(&mut [0])
                .err()
                .is_some_and(silent)
    }

    /// Whether more than so many bytes have come.
    pub fn has_more_than(&self, len: usize) -> bool {
        self.bytes().len() > len || self.glance().has_unread()
    }

    /// The socket itself, for tests that write past the executor.
    #[cfg(test)]
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// What tells of unread bytes also while somebody else waits for them.
    pub fn glance(&self) -> Glance {
        Glance(self.stream.clone())
    }

    /// Waits until the far side ends the connection; bytes that come meanwhile are kept.
    pub async fn ended(&mut self) {
        while matches!(self.fill().await, Ok(true)) {
            // A peer that goes on sending without waiting for its answer is not read without bound.
            if self.bytes().len() > 4 * READ {
                return future::pending().await;
            }
        }
    }

    /// Ends the sending and reads what still comes until a time, so that the far side gets the last answer
    /// instead of a reset, however much it had set out to send.
    pub async fn linger(&mut self, by: Instant) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        let _ = until(by, async {
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

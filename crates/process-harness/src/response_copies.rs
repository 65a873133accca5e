//! Copies of a response, which a faulty server or gateway writes on the connection after the response itself.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// How much of a response a copy repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyLength {
    /// All bytes.
    Complete,
    /// The first half of the bytes, so that the copy never ends.
    Half,
}

/// The copies of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseCopies {
    /// Time from the response to its first copy, and from each copy to the next one. Without it, response and copies are
    /// one write.
    pub delay: Duration,
    /// Number of copies.
    pub count: usize,
    /// How much of the response each copy repeats.
    pub length: CopyLength,
}

impl ResponseCopies {
    /// Returns one complete copy that follows its response after a delay.
    pub fn one_after(delay: Duration) -> ResponseCopies {
        ResponseCopies {
            delay,
            count: 1,
            length: CopyLength::Complete,
        }
    }

    /// Writes a response, and its copies in a thread of their own. The server may meanwhile read the next request.
    ///
    /// # Errors
    /// The write of the response fails.
    pub fn write(&self, stream: &mut TcpStream, response: &[u8]) -> io::Result<()> {
        let copy = match self.length {
            CopyLength::Complete => response,
            CopyLength::Half => &response[..response.len() / 2],
        };
        if self.delay.is_zero() {
            return stream.write_all(&[response, &copy.repeat(self.count)].concat());
        }
        stream.write_all(response)?;
        let mut stream = stream.try_clone()?;
        let (copy, copies) = (copy.to_vec(), *self);
        thread::spawn(move || {
            for _ in 0..copies.count {
                thread::sleep(copies.delay);
                // Fails once the client has closed the connection.
                if stream.write_all(&copy).is_err() {
                    return;
                }
            }
        });
        Ok(())
    }
}

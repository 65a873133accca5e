//! As much of HTTP/1.1 as the rig's partner and clients need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bodies longer than this are not read.
const LONGEST: usize = 1 << 20;

/// A message with its first line and fields; what follows is read and forgotten.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    fields: Vec<(String, String)>,
}

impl Message {
    /// Reads one message with a length; `None` where the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
        };
        let mut message = Message { first: line()?, fields: Vec::new() };
        loop {
            let text = line()?;
            if text.is_empty() {
                break;
            }
            let (name, value) = text.split_once(": ")?;
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if length > LONGEST {
            return None;
        }
        from.read_exact(&mut vec![0; length]).ok()?;
        Some(message)
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Hands an event in and waits for its end; `None` where none comes within `patience`.
pub fn event(to: SocketAddr, id: &str, clinic: &str, patience: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let text = format!(
        "POST /events HTTP/1.1\r\nHost: {to}\r\nce-specversion: 1.0\r\nce-id: {id}\r\nce-source: /clinic\r\n\
         ce-type: order\r\nce-clinic: {clinic}\r\nIdempotency-Key: {id}\r\nContent-Type: application/json\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// Answers on a connection that is kept.
///
/// # Errors
/// Of the connection.
pub fn answer(to: &mut impl Write, status: u16, fields: &str) -> io::Result<()> {
    write!(to, "HTTP/1.1 {status} x\r\n{fields}Content-Length: 0\r\n\r\n")
}

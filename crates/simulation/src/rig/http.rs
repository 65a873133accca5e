//! As much of HTTP/1.1 as the rig's partner and clients need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message as stand-ins and clients see it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The fields.
    pub fields: Vec<(String, String)>,
    /// What follows.
    pub body: Vec<u8>,
    /// When its first byte was there to be read.
    pub came: Option<Instant>,
}

impl Message {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(have, _)| have.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Reads one message with a length; `None` where the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        from.fill_buf().ok()?;
        let came = Some(Instant::now());
        let mut line = || {
            let mut text = String::new();
            let len = from.read_line(&mut text).ok()?;
            (len > 0).then(|| text.trim_end().to_owned())
        };
        let mut message = Message {
            first: line()?,
            came,
            ..Message::default()
        };
        loop {
            let text = line()?;
            if text.is_empty() {
                break;
            }
            let (name, value) = text.split_once(": ")?;
            message.fields.push((name.to_owned(), value.to_owned()));
        }
        let len = message
            .field("content-length")
            .and_then(|len| len.parse().ok())
            .unwrap_or(0);
        message.body.resize(len, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
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
    write!(
        to,
        "HTTP/1.1 {status} x\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

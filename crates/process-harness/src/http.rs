//! The subset of HTTP/1.1 that the servers and clients of the harness need.

mod exchange;

pub use exchange::{exchange, ExchangeError, ExchangeStep};

use crate::{headers, uninterrupted};
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// The names and values of the header fields, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body; empty if the head declares no length.
    pub body: Vec<u8>,
    /// Time at which the first byte could be read; `None` if the message was not read.
    pub received_at: Option<Instant>,
}

impl Message {
    /// Returns the value of the first header field with a name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        let code = self.start_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Reads one message with the body length that its head declares. Returns `None` if that fails.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        Message::try_read(reader).ok()
    }

    /// Reads one message with the body length that its head declares.
    ///
    /// # Errors
    /// The connection fails or is closed before the message is complete, or a header line is malformed.
    pub fn try_read(reader: &mut impl BufRead) -> io::Result<Message> {
        // Unlike `read_line` and `read_exact`, `fill_buf` does not retry an interrupted call itself.
        uninterrupted(|| reader.fill_buf().map(drop))?;
        let received_at = Some(Instant::now());
        let start_line = read_line(reader)?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line
                .split_once(": ")
                .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, line.clone()))?;
            headers.push((name.to_owned(), value.to_owned()));
        }
        let mut message = Message {
            start_line,
            headers,
            body: Vec::new(),
            received_at,
        };
        let len = message.header(headers::CONTENT_LENGTH);
        let len = len.and_then(|len| len.parse().ok()).unwrap_or(0);
        message.body.resize(len, 0);
        reader.read_exact(&mut message.body)?;
        Ok(message)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    /// Creates a GET request.
    pub fn get(path: &str) -> Request {
        Request::new("GET", path)
    }

    /// Creates a POST request with an empty body.
    pub fn post(path: &str) -> Request {
        Request::new("POST", path)
    }

    fn new(method: &'static str, path: &str) -> Request {
        Request {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a header field, unless its value is empty.
    #[must_use]
    pub fn optional_header(self, name: &str, value: &str) -> Request {
        if value.is_empty() {
            self
        } else {
            self.header(name, value)
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Request {
        body.clone_into(&mut self.body);
        self
    }

    /// Returns the request as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: marblefall\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!(
                "{}: {}\r\n",
                headers::CONTENT_LENGTH,
                self.body.len()
            ));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection and returns the response.
    ///
    /// # Errors
    /// A step of the exchange fails or exceeds `timeout`.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> Result<Message, ExchangeError> {
        exchange(address, &self.to_bytes(), timeout)
    }
}

/// The status of a response that has no body and declares no length.
const NO_CONTENT: u16 = 204;

/// Writes a response. `header_lines` are complete lines with their line ends.
///
/// # Errors
/// The write fails.
pub fn write_response(
    writer: &mut impl Write,
    status: u16,
    header_lines: &str,
    body: &[u8],
) -> io::Result<()> {
    writer.write_all(&response_bytes(status, header_lines, body))
}

/// Returns a response as it is sent. `header_lines` are complete lines with their line ends.
pub fn response_bytes(status: u16, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let length = if status == NO_CONTENT {
        String::new()
    } else {
        format!("{}: {}\r\n", headers::CONTENT_LENGTH, body.len())
    };
    let head = format!("HTTP/1.1 {status} x\r\n{header_lines}{length}\r\n");
    [head.as_bytes(), body].concat()
}

/// Writes the head of a response with a chunked body.
///
/// # Errors
/// The write fails.
pub fn start_chunked_response(writer: &mut impl Write) -> io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Writes one chunk of a chunked body.
///
/// # Errors
/// The write fails.
pub fn write_chunk(writer: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let length = format!("{:x}\r\n", bytes.len());
    writer.write_all(&[length.as_bytes(), bytes, b"\r\n"].concat())
}

/// Returns whether an error means that a read timeout of a socket expired.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

#[cfg(test)]
mod tests;

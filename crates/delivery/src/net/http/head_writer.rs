//! Encoding of the heads of requests and responses.

use super::status;

/// Encodes the head of a request or a response.
///
/// Names and values are written without escaping. Callers ensure that none of them contains a line end.
#[derive(Debug)]
pub struct HeadWriter {
    head: Vec<u8>,
}

impl HeadWriter {
    /// Starts the head of a request.
    pub fn request(method: &str, target: &str) -> HeadWriter {
        HeadWriter {
            head: format!("{method} {target} HTTP/1.1\r\n").into_bytes(),
        }
    }

    /// Starts the head of a response.
    pub fn response(status: u16) -> HeadWriter {
        let reason = status::reason_phrase(status);
        HeadWriter {
            head: format!("HTTP/1.1 {status} {reason}\r\n").into_bytes(),
        }
    }

    /// Adds a header field.
    pub fn field(mut self, name: &str, value: impl AsRef<[u8]>) -> HeadWriter {
        self.head.extend(name.as_bytes());
        self.head.extend(b": ");
        self.head.extend(value.as_ref());
        self.head.extend(b"\r\n");
        self
    }

    /// Adds a header field if its value is present.
    pub fn optional_field(self, name: &str, value: Option<impl AsRef<[u8]>>) -> HeadWriter {
        match value {
            Some(value) => self.field(name, value),
            None => self,
        }
    }

    /// Ends the head with the empty line and returns its bytes.
    pub fn finish(mut self) -> Vec<u8> {
        self.head.extend(b"\r\n");
        self.head
    }
}

//! Header fields, and the body framing that they declare.

use super::{header, ParseError};

/// The framing of a message's body, which defines where the body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this length in bytes.
    Length(usize),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body ends with the connection. Only responses have this framing.
    UntilEnd,
}

/// Maximum number of header fields in a message.
pub(super) const MAX_FIELDS: usize = 100;

/// The header fields of a message, borrowed from the read buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    pub(super) fields: Vec<(&'a str, &'a [u8])>,
}

impl<'a> Fields<'a> {
    /// Iterates over the names and values of all fields in the order of the message.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> + '_ {
        self.fields.iter().copied()
    }

    /// Iterates over the values of all fields with a name.
    pub fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a [u8]> + 's {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// Returns the value of the first field with a name, or `None` if there is no such field or its value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn requests_close(&self) -> bool {
        self.contains_token(header::CONNECTION, "close")
    }

    /// Returns whether a field with a comma-separated list as its value contains a token.
    fn contains_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self
            .all(name)
            .flat_map(|value| value.split(|byte| *byte == b','));
        parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the framing that the fields declare, if any.
    pub(super) fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let mut lengths = self.all(header::CONTENT_LENGTH);
        let length = lengths.next();
        let mut codings = self.all(header::TRANSFER_ENCODING);
        let coding = codings.next();
        // With two lengths, or both a length and a coding, two receivers could find different ends of the message
        // (request smuggling).
        if lengths.next().is_some() || length.is_some() && coding.is_some() {
            return Err(ParseError::Malformed);
        }
        if let Some(coding) = coding {
            let is_chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
            return if is_chunked {
                Ok(Some(Framing::Chunked))
            } else {
                Err(ParseError::Malformed)
            };
        }
        length
            .map(|length| parse_length(length).map(Framing::Length))
            .transpose()
    }
}

/// Parses a body's length. Only decimal digits are valid, whereas Rust's integer parser also accepts a sign.
fn parse_length(text: &[u8]) -> Result<usize, ParseError> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| is_number)
        .and_then(|text| text.parse().ok())
        .ok_or(ParseError::Malformed)
}

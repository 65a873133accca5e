//! Header fields, and the framing of a body that they declare.

use super::{header, ParseError};

/// How the end of a message's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection; responses only.
    UntilEnd,
}

/// The most header fields that a message may have.
pub(super) const MAX_FIELDS: usize = 100;

/// The header fields of a message, borrowed from the read buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    pub(super) fields: Vec<(&'a str, &'a [u8])>,
}

impl<'a> Fields<'a> {
    /// All fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> + '_ {
        self.fields.iter().copied()
    }

    /// The values of all fields with a name.
    pub fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a [u8]> + 's {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// The value of the first field with a name; `None` also where it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether the sender closes the connection after this message.
    pub fn requests_close(&self) -> bool {
        self.contains_token(header::CONNECTION, "close")
    }

    fn contains_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self
            .all(name)
            .flat_map(|value| value.split(|byte| *byte == b','));
        parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// The framing that the fields declare, if any.
    pub(super) fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let mut lengths = self.all(header::CONTENT_LENGTH);
        let length = lengths.next();
        let mut codings = self.all(header::TRANSFER_ENCODING);
        let coding = codings.next();
        // With two lengths, or a length beside a coding, two readers could see two different messages.
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

/// A body's length: decimal digits alone, where Rust would accept a sign as well.
fn parse_length(text: &[u8]) -> Result<usize, ParseError> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| is_number)
        .and_then(|text| text.parse().ok())
        .ok_or(ParseError::Malformed)
}

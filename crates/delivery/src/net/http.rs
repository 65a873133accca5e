//! HTTP/1.1 as far as outbound delivery needs it.
//!
//! Parsers look at the read buffer in place: a head borrows from it, a chunked body ([`ChunkedDecoder`]) is joined within it, and
//! only what must outlive the buffer is copied by the caller.

mod chunks;

pub use chunks::{ChunkedDecoder, DecodeStep};

/// Why a message cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It is not HTTP/1.1, or contradicts itself.
    #[error("malformed")]
    Malformed,
    /// Its head is longer than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// Its body is longer than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
}

impl ParseError {
    /// The status with which a server responds.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::HeadTooLarge => 431,
            ParseError::BodyTooLarge => 413,
        }
    }

    /// The reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head-too-large",
            ParseError::BodyTooLarge => "body-too-large",
        }
    }
}

/// How a message's body is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Until the connection ends; responses only.
    UntilEnd,
}

/// More header fields than this are taken for an attack.
const MAX_FIELDS: usize = 100;

/// The header fields of a message, borrowed from the buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    fields: Vec<(&'a str, &'a [u8])>,
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

    /// The value of the first field with a name, as text.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    fn contains_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self
            .all(name)
            .flat_map(|value| value.split(|byte| *byte == b','));
        parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether the sender closes the connection after this message.
    pub fn requests_close(&self) -> bool {
        self.contains_token("connection", "close")
    }

    fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        // Two lengths, or a length beside chunks, let two readers see two different messages.
        if lengths.next().is_some() || length.is_some() && self.get("transfer-encoding").is_some() {
            return Err(ParseError::Malformed);
        }
        if let Some(coding) = self.get("transfer-encoding") {
            let is_chunked = coding.eq_ignore_ascii_case(b"chunked")
                && self.all("transfer-encoding").count() == 1;
            return if is_chunked {
                Ok(Some(Framing::Chunked))
            } else {
                Err(ParseError::Malformed)
            };
        }
        let Some(length) = length else {
            return Ok(None);
        };
        let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
        let number = std::str::from_utf8(length)
            .ok()
            .filter(|_| is_number)
            .and_then(|text| text.parse().ok());
        number
            .map(|number| Some(Framing::Length(number)))
            .ok_or(ParseError::Malformed)
    }
}

/// The head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path, without what follows a question mark.
    pub path: &'a str,
    /// Its header fields.
    pub fields: Fields<'a>,
    /// How its body is bounded.
    pub framing: Framing,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead<'a> {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub fields: Fields<'a>,
    /// How its body is bounded.
    pub framing: Framing,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

impl ResponseHead<'_> {
    /// A response of which no more than the status is known.
    pub fn with_status(status: u16) -> ResponseHead<'static> {
        ResponseHead {
            status,
            fields: Fields::default(),
            framing: Framing::UntilEnd,
            keep_alive: false,
        }
    }
}

/// The length of the head at the start of a buffer, with its blank line; `seen` bytes were looked at before.
pub fn head_end(buffer: &[u8], seen: usize) -> Option<usize> {
    let from = seen.saturating_sub(3);
    let found = buffer
        .get(from..)?
        .windows(4)
        .position(|window| window == b"\r\n\r\n")?;
    Some(from + found + 4)
}

fn parse_head(head: &[u8]) -> Result<(&str, Fields<'_>), ParseError> {
    let head = head
        .strip_suffix(b"\r\n\r\n")
        .ok_or(ParseError::Malformed)?;
    let mut lines = head.split(|byte| *byte == b'\n');
    let mut line = || {
        let line = lines.next()?;
        // Within the head each line ends with CR LF; the last one's was cut off with the blank line.
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        Some(
            if line.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 127) {
                Err(ParseError::Malformed)
            } else {
                Ok(line)
            },
        )
    };
    let first = line().ok_or(ParseError::Malformed)??;
    let first = std::str::from_utf8(first).map_err(|_| ParseError::Malformed)?;
    let mut fields = Vec::new();
    while let Some(line) = line() {
        let line = line?;
        let colon = line
            .iter()
            .position(|byte| *byte == b':')
            .ok_or(ParseError::Malformed)?;
        let name = &line[..colon];
        if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) || fields.len() == MAX_FIELDS
        {
            return Err(ParseError::Malformed);
        }
        let name = std::str::from_utf8(name).map_err(|_| ParseError::Malformed)?;
        fields.push((name, line[colon + 1..].trim_ascii()));
    }
    Ok((first, Fields { fields }))
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a protocol version is HTTP/1.1 rather than HTTP/1.0.
fn is_http_1_1(text: &str) -> Result<bool, ParseError> {
    match text {
        "HTTP/1.1" => Ok(true),
        "HTTP/1.0" => Ok(false),
        _ => Err(ParseError::Malformed),
    }
}

/// Parses the head of a request; `head` ends with its blank line.
///
/// # Errors
/// It is malformed.
pub fn request(head: &[u8]) -> Result<RequestHead<'_>, ParseError> {
    let (first, fields) = parse_head(head)?;
    let mut parts = first.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(ParseError::Malformed);
    };
    let is_http_1_1 = is_http_1_1(version)?;
    if method.is_empty() || !method.bytes().all(is_token) || target.is_empty() {
        return Err(ParseError::Malformed);
    }
    let path = target.split('?').next().unwrap_or(target);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    let keep_alive = is_http_1_1 && !fields.requests_close();
    Ok(RequestHead {
        method,
        path,
        fields,
        framing,
        keep_alive,
    })
}

/// The longest status line.
const MAX_STATUS_LINE: usize = 1024;

/// The status line of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusLine {
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http_1_1: bool,
    /// The status.
    pub status: u16,
}

/// Parses the status line of a response; `None` until all of it has come.
///
/// # Errors
/// It is malformed. That is found at the first wrong byte, as an endpoint that sends noise may never end a line.
pub fn status_line(input: &[u8]) -> Result<Option<StatusLine>, ParseError> {
    let shape = b"HTTP/1.v sss";
    let fits = |(byte, want): (&u8, &u8)| match want {
        b'v' => matches!(byte, b'0' | b'1'),
        b's' => byte.is_ascii_digit(),
        _ => byte == want,
    };
    if !input.iter().zip(shape).all(fits) {
        return Err(ParseError::Malformed);
    }
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_STATUS_LINE {
            Err(ParseError::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = input[..end]
        .strip_suffix(b"\r")
        .ok_or(ParseError::Malformed)?;
    let digits = line
        .get(shape.len() - 3..shape.len())
        .ok_or(ParseError::Malformed)?;
    let status = digits
        .iter()
        .fold(0, |status, digit| status * 10 + u16::from(digit - b'0'));
    if !(100..600).contains(&status) || line.get(shape.len()).is_some_and(|byte| *byte != b' ') {
        return Err(ParseError::Malformed);
    }
    Ok(Some(StatusLine {
        is_http_1_1: line[7] == b'1',
        status,
    }))
}

/// Parses the head of a response; `head` ends with its blank line.
///
/// # Errors
/// It is malformed.
pub fn response(head: &[u8]) -> Result<ResponseHead<'_>, ParseError> {
    let StatusLine {
        is_http_1_1,
        status,
    } = status_line(head)?.ok_or(ParseError::Malformed)?;
    let (_, fields) = parse_head(head)?;
    let has_no_body = matches!(status, 100..=199 | 204 | 304);
    let framing = if has_no_body {
        Framing::Length(0)
    } else {
        fields.framing()?.unwrap_or(Framing::UntilEnd)
    };
    let keep_alive = is_http_1_1 && !fields.requests_close() && framing != Framing::UntilEnd;
    Ok(ResponseHead {
        status,
        fields,
        framing,
        keep_alive,
    })
}

/// The reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

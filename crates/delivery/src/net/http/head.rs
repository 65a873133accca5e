//! Parsing of the heads of requests and responses.

use super::fields::MAX_FIELDS;
use super::{status, Fields, Framing, ParseError};

/// The end of a head: the end of its last line, and the empty line.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// Maximum length of a status line in bytes.
const MAX_STATUS_LINE_LEN: usize = 1024;
/// The start of every status line: `v` stands for the minor version, `s` for a digit of the status.
const STATUS_LINE_PATTERN: &[u8; 12] = b"HTTP/1.v sss";
const STATUS_DIGITS: usize = 3;
/// The index of the minor version in a status line.
const MINOR_VERSION_INDEX: usize = 7;
/// The control character DEL.
const DELETE: u8 = 0x7f;

/// The head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The method, for example `POST`.
    pub method: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The header fields.
    pub fields: Fields<'a>,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead<'a> {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields<'a>,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the server keeps the connection open after the response.
    pub keep_alive: bool,
}

impl ResponseHead<'_> {
    /// Creates the head of a response of which only the status is known.
    pub fn with_status(status: u16) -> ResponseHead<'static> {
        ResponseHead {
            status,
            fields: Fields::default(),
            framing: Framing::UntilEnd,
            keep_alive: false,
        }
    }
}

/// The status line of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusLine {
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http_1_1: bool,
    /// The status code.
    pub status: u16,
}

/// Returns the length of the head at the start of a buffer, including its empty line, or `None` if the head is
/// incomplete. The first `searched` bytes were passed to an earlier call that found no end.
pub fn head_end(buffer: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(HEAD_END.len() - 1);
    let found = buffer
        .get(from..)?
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    Some(from + found + HEAD_END.len())
}

/// Parses the head of a request. `head` includes the empty line at its end.
///
/// # Errors
/// Fails if the head is malformed.
pub fn parse_request(head: &[u8]) -> Result<RequestHead<'_>, ParseError> {
    let (request_line, fields) = parse_head(head)?;
    let mut parts = request_line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(ParseError::Malformed);
    };
    let is_http_1_1 = is_http_1_1(version)?;
    if method.is_empty() || !method.bytes().all(is_token_byte) || target.is_empty() {
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

/// Parses the head of a response. `head` includes the empty line at its end.
///
/// # Errors
/// Fails if the head is malformed.
pub fn parse_response(head: &[u8]) -> Result<ResponseHead<'_>, ParseError> {
    let StatusLine {
        is_http_1_1,
        status,
    } = parse_status_line(head)?.ok_or(ParseError::Malformed)?;
    let (_, fields) = parse_head(head)?;
    let framing = if status::has_no_body(status) {
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

/// Parses the status line of a response. Returns `None` while the line is incomplete.
///
/// # Errors
/// Fails if the line is malformed. An incomplete line fails at its first invalid byte, since an endpoint that sends
/// garbage may never end a line.
pub fn parse_status_line(input: &[u8]) -> Result<Option<StatusLine>, ParseError> {
    if !input.iter().zip(STATUS_LINE_PATTERN).all(matches_pattern) {
        return Err(ParseError::Malformed);
    }
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_STATUS_LINE_LEN {
            Err(ParseError::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = input[..end]
        .strip_suffix(b"\r")
        .ok_or(ParseError::Malformed)?;
    let status_end = STATUS_LINE_PATTERN.len();
    let digits = line
        .get(status_end - STATUS_DIGITS..status_end)
        .ok_or(ParseError::Malformed)?;
    let status = digits
        .iter()
        .fold(0, |status, digit| status * 10 + u16::from(digit - b'0'));
    let has_reason_separator = line.get(status_end).is_none_or(|byte| *byte == b' ');
    if !status::is_valid(status) || !has_reason_separator {
        return Err(ParseError::Malformed);
    }
    Ok(Some(StatusLine {
        is_http_1_1: line[MINOR_VERSION_INDEX] == b'1',
        status,
    }))
}

fn matches_pattern((byte, expected): (&u8, &u8)) -> bool {
    match expected {
        b'v' => matches!(byte, b'0' | b'1'),
        b's' => byte.is_ascii_digit(),
        _ => byte == expected,
    }
}

/// Splits a head into its first line and its header fields.
fn parse_head(head: &[u8]) -> Result<(&str, Fields<'_>), ParseError> {
    let head = head.strip_suffix(HEAD_END).ok_or(ParseError::Malformed)?;
    let mut lines = head.split(|byte| *byte == b'\n').map(parse_line);
    let first = lines.next().ok_or(ParseError::Malformed)??;
    let first = std::str::from_utf8(first).map_err(|_| ParseError::Malformed)?;
    let mut fields = Vec::new();
    for line in lines {
        let line = line?;
        if fields.len() == MAX_FIELDS {
            return Err(ParseError::Malformed);
        }
        fields.push(parse_field(line)?);
    }
    Ok((first, Fields { fields }))
}

/// Returns one line of a head without its line end. The last line has none, as it was removed with the empty line.
fn parse_line(line: &[u8]) -> Result<&[u8], ParseError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let is_control = |byte: &u8| *byte < b' ' && *byte != b'\t' || *byte == DELETE;
    if line.iter().any(is_control) {
        Err(ParseError::Malformed)
    } else {
        Ok(line)
    }
}

fn parse_field(line: &[u8]) -> Result<(&str, &[u8]), ParseError> {
    let colon = line
        .iter()
        .position(|byte| *byte == b':')
        .ok_or(ParseError::Malformed)?;
    let name = &line[..colon];
    if name.is_empty() || !name.iter().copied().all(is_token_byte) {
        return Err(ParseError::Malformed);
    }
    let name = std::str::from_utf8(name).map_err(|_| ParseError::Malformed)?;
    Ok((name, line[colon + 1..].trim_ascii()))
}

/// Returns whether a byte may occur in a method or a field's name.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a protocol version is HTTP/1.1 rather than HTTP/1.0.
fn is_http_1_1(version: &str) -> Result<bool, ParseError> {
    match version {
        "HTTP/1.1" => Ok(true),
        "HTTP/1.0" => Ok(false),
        _ => Err(ParseError::Malformed),
    }
}

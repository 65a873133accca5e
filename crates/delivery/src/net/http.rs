//! HTTP/1.1 as far as a courier needs it. Parsers look at the read buffer where it is: a head borrows from it,
//! a chunked body is joined up within it, and only what must outlive the buffer is copied by the caller.

/// Why a message cannot be read, and the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is not HTTP/1.1, or contradicts itself.
    Malformed,
    /// Its head is longer than allowed.
    HeadTooLarge,
    /// Its body is longer than allowed.
    BodyTooLarge,
}

impl Fault {
    /// The status with which a server answers.
    pub fn status(self) -> u16 {
        match self {
            Fault::Malformed => 400,
            Fault::HeadTooLarge => 431,
            Fault::BodyTooLarge => 413,
        }
    }

    /// The reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            Fault::Malformed => "malformed",
            Fault::HeadTooLarge => "head-too-large",
            Fault::BodyTooLarge => "body-too-large",
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
    /// Until the connection ends; answers only.
    UntilEnd,
}

/// Header fields more than this are taken for an attack.
const MOST_FIELDS: usize = 100;

/// The header fields of a message, borrowed from the buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fields<'a>(Vec<(&'a str, &'a [u8])>);

impl<'a> Fields<'a> {
    /// All fields in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> + '_ {
        self.0.iter().copied()
    }

    /// The values of all fields with a name.
    pub fn all<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a [u8]> + 's {
        self.iter()
            .filter(move |(have, _)| have.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first field with a name.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// The same as text.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    fn lists(&self, name: &str, token: &str) -> bool {
        let mut parts = self
            .all(name)
            .flat_map(|value| value.split(|byte| *byte == b','));
        parts.any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.lists("connection", "close")
    }

    fn framing(&self) -> Result<Option<Framing>, Fault> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        // Two lengths, or a length beside chunks, let two readers see two different messages.
        if lengths.next().is_some() || length.is_some() && self.get("transfer-encoding").is_some() {
            return Err(Fault::Malformed);
        }
        if let Some(coding) = self.get("transfer-encoding") {
            let plain = coding.eq_ignore_ascii_case(b"chunked")
                && self.all("transfer-encoding").count() == 1;
            return if plain {
                Ok(Some(Framing::Chunked))
            } else {
                Err(Fault::Malformed)
            };
        }
        let Some(length) = length else {
            return Ok(None);
        };
        let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
        let number = std::str::from_utf8(length)
            .ok()
            .filter(|_| digits)
            .and_then(|text| text.parse().ok());
        number
            .map(|number| Some(Framing::Length(number)))
            .ok_or(Fault::Malformed)
    }
}

/// The head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path, without what follows a question mark.
    pub path: &'a str,
    /// Its header fields.
    pub fields: Fields<'a>,
    /// How its body is bounded.
    pub framing: Framing,
    /// Whether the sender keeps the connection.
    pub keeps: bool,
}

/// The head of an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub fields: Fields<'a>,
    /// How its body is bounded.
    pub framing: Framing,
    /// Whether the sender keeps the connection.
    pub keeps: bool,
}

impl Response<'_> {
    /// One of which no more than the status is known.
    pub fn of(status: u16) -> Response<'static> {
        Response {
            status,
            fields: Fields::default(),
            framing: Framing::UntilEnd,
            keeps: false,
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

fn lines(head: &[u8]) -> Result<(&str, Fields<'_>), Fault> {
    let head = head.strip_suffix(b"\r\n\r\n").ok_or(Fault::Malformed)?;
    let mut lines = head.split(|byte| *byte == b'\n');
    let mut line = || {
        let line = lines.next()?;
        // Within the head each line ends with CR LF; the last one's was cut off with the blank line.
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        Some(
            if line.iter().any(|b| *b < b' ' && *b != b'\t' || *b == 127) {
                Err(Fault::Malformed)
            } else {
                Ok(line)
            },
        )
    };
    let first = line().ok_or(Fault::Malformed)??;
    let first = std::str::from_utf8(first).map_err(|_| Fault::Malformed)?;
    let mut fields = Vec::new();
    while let Some(line) = line() {
        let line = line?;
        let colon = line
            .iter()
            .position(|byte| *byte == b':')
            .ok_or(Fault::Malformed)?;
        let name = &line[..colon];
        if name.is_empty()
            || !name.iter().all(|byte| is_token(*byte))
            || fields.len() == MOST_FIELDS
        {
            return Err(Fault::Malformed);
        }
        let name = std::str::from_utf8(name).map_err(|_| Fault::Malformed)?;
        fields.push((name, line[colon + 1..].trim_ascii()));
    }
    Ok((first, Fields(fields)))
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn version(text: &str) -> Result<bool, Fault> {
    match text {
        "HTTP/1.1" => Ok(true),
        "HTTP/1.0" => Ok(false),
        _ => Err(Fault::Malformed),
    }
}

/// Reads the head of a request; `head` ends with its blank line.
pub fn request(head: &[u8]) -> Result<Request<'_>, Fault> {
    let (first, fields) = lines(head)?;
    let mut words = first.split(' ');
    let (Some(method), Some(target), Some(proto), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Fault::Malformed);
    };
    let current = version(proto)?;
    if method.is_empty() || !method.bytes().all(is_token) || target.is_empty() {
        return Err(Fault::Malformed);
    }
    let path = target.split('?').next().unwrap_or(target);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    let keeps = current && !fields.closes();
    Ok(Request {
        method,
        path,
        fields,
        framing,
        keeps,
    })
}

/// The longest first line of an answer.
const LONGEST_STATUS_LINE: usize = 1024;

/// What the first line of an answer says, as far as it has come: the version and the status. What cannot become
/// one is found out at its first wrong byte, as a host that sends noise may never end a line.
pub fn status_line(input: &[u8]) -> Result<Option<(bool, u16)>, Fault> {
    let shape = b"HTTP/1.v sss";
    let fits = |(byte, want): (&u8, &u8)| match want {
        b'v' => matches!(byte, b'0' | b'1'),
        b's' => byte.is_ascii_digit(),
        _ => byte == want,
    };
    if !input.iter().zip(shape).all(fits) {
        return Err(Fault::Malformed);
    }
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > LONGEST_STATUS_LINE {
            Err(Fault::Malformed)
        } else {
            Ok(None)
        };
    };
    let line = input[..end].strip_suffix(b"\r").ok_or(Fault::Malformed)?;
    let digits = line
        .get(shape.len() - 3..shape.len())
        .ok_or(Fault::Malformed)?;
    let status = digits
        .iter()
        .fold(0, |status, digit| status * 10 + u16::from(digit - b'0'));
    if !(100..600).contains(&status) || line.get(shape.len()).is_some_and(|byte| *byte != b' ') {
        return Err(Fault::Malformed);
    }
    Ok(Some((line[7] == b'1', status)))
}

/// Reads the head of an answer; `head` ends with its blank line.
pub fn response(head: &[u8]) -> Result<Response<'_>, Fault> {
    let (current, status) = status_line(head)?.ok_or(Fault::Malformed)?;
    let (_, fields) = lines(head)?;
    let none = matches!(status, 100..=199 | 204 | 304);
    let framing = if none {
        Framing::Length(0)
    } else {
        fields.framing()?.unwrap_or(Framing::UntilEnd)
    };
    let keeps = current && !fields.closes() && framing != Framing::UntilEnd;
    Ok(Response {
        status,
        fields,
        framing,
        keeps,
    })
}

/// A line of a chunked body that is longer than this is no chunk size.
const LONGEST_SIZE_LINE: usize = 256;

/// Where a chunked body is in its reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Chunks {
    /// A size line comes next.
    #[default]
    Size,
    /// So many bytes of a chunk are still to come.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// Trailer lines, up to the blank one.
    Trailer,
    /// It is over.
    Done,
}

/// What a chunked body has next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes to pass over, of which none is content.
    Skip(usize),
    /// Bytes of content.
    Content(usize),
    /// More must be read first.
    More,
    /// The body is over.
    Done,
}

impl Chunks {
    /// What stands at the start of `input`; the caller drops that many bytes and asks again.
    pub fn next(&mut self, input: &[u8]) -> Result<Piece, Fault> {
        let line = |input: &[u8]| match input.iter().position(|byte| *byte == b'\n') {
            Some(end) if end > 0 && end <= LONGEST_SIZE_LINE && input[end - 1] == b'\r' => {
                Ok(Some(end + 1))
            }
            Some(_) => Err(Fault::Malformed),
            None if input.len() > LONGEST_SIZE_LINE => Err(Fault::Malformed),
            None => Ok(None),
        };
        match *self {
            Chunks::Done => Ok(Piece::Done),
            Chunks::Data(_) if input.is_empty() => Ok(Piece::More),
            Chunks::Data(left) => {
                let here = left.min(input.len());
                *self = if here == left {
                    Chunks::DataEnd
                } else {
                    Chunks::Data(left - here)
                };
                Ok(Piece::Content(here))
            }
            Chunks::DataEnd => match input {
                [b'\r', b'\n', ..] => {
                    *self = Chunks::Size;
                    Ok(Piece::Skip(2))
                }
                [] | [b'\r'] => Ok(Piece::More),
                _ => Err(Fault::Malformed),
            },
            Chunks::Size => {
                let Some(end) = line(input)? else {
                    return Ok(Piece::More);
                };
                let digits = input[..end - 2]
                    .split(|byte| *byte == b';')
                    .next()
                    .unwrap_or_default()
                    .trim_ascii();
                let hex = !digits.is_empty()
                    && digits.len() <= 8
                    && digits.iter().all(u8::is_ascii_hexdigit);
                let text = std::str::from_utf8(digits)
                    .ok()
                    .filter(|_| hex)
                    .ok_or(Fault::Malformed)?;
                let size = usize::from_str_radix(text, 16).map_err(|_| Fault::Malformed)?;
                *self = if size == 0 {
                    Chunks::Trailer
                } else {
                    Chunks::Data(size)
                };
                Ok(Piece::Skip(end))
            }
            Chunks::Trailer => {
                let Some(end) = line(input)? else {
                    return Ok(Piece::More);
                };
                if end == 2 {
                    *self = Chunks::Done;
                }
                Ok(Piece::Skip(end))
            }
        }
    }
}

/// The phrase that goes with a status.
pub fn phrase(status: u16) -> &'static str {
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

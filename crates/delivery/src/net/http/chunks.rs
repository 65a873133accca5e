//! A chunked body: a state machine fed with the bytes at hand.

use super::ParseError;

/// The longest line with a chunk's size, or of the trailer.
const MAX_LINE: usize = 256;

/// The state of reading a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChunkedDecoder {
    /// A size line comes next.
    #[default]
    Size,
    /// So many bytes of a chunk are still to come.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// Trailer lines, up to the blank one.
    Trailer,
    /// The body is complete.
    Done,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// So many bytes to skip, of which none is content.
    Skip(usize),
    /// So many bytes of content.
    Content(usize),
    /// More must be read first.
    More,
    /// The body is complete.
    Done,
}

impl ChunkedDecoder {
    /// What `input` starts with; the caller consumes that many bytes and asks again.
    ///
    /// # Errors
    /// The body is malformed.
    pub fn next(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match *self {
            ChunkedDecoder::Done => Ok(DecodeStep::Done),
            ChunkedDecoder::Size => self.read_size(input),
            ChunkedDecoder::Data(_) if input.is_empty() => Ok(DecodeStep::More),
            ChunkedDecoder::Data(left) => {
                let available = left.min(input.len());
                *self = if available == left {
                    ChunkedDecoder::DataEnd
                } else {
                    ChunkedDecoder::Data(left - available)
                };
                Ok(DecodeStep::Content(available))
            }
            ChunkedDecoder::DataEnd => match input {
                [b'\r', b'\n', ..] => {
                    *self = ChunkedDecoder::Size;
                    Ok(DecodeStep::Skip(2))
                }
                [] | [b'\r'] => Ok(DecodeStep::More),
                _ => Err(ParseError::Malformed),
            },
            ChunkedDecoder::Trailer => {
                let Some(len) = line_len(input)? else {
                    return Ok(DecodeStep::More);
                };
                if len == 2 {
                    *self = ChunkedDecoder::Done;
                }
                Ok(DecodeStep::Skip(len))
            }
        }
    }

    fn read_size(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        let Some(len) = line_len(input)? else {
            return Ok(DecodeStep::More);
        };
        let size = chunk_size(&input[..len - 2])?;
        *self = if size == 0 {
            ChunkedDecoder::Trailer
        } else {
            ChunkedDecoder::Data(size)
        };
        Ok(DecodeStep::Skip(len))
    }
}

/// The length of the line that `input` starts with, if all of it has come.
fn line_len(input: &[u8]) -> Result<Option<usize>, ParseError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && end <= MAX_LINE && input[end - 1] == b'\r' => Ok(Some(end + 1)),
        Some(_) => Err(ParseError::Malformed),
        None if input.len() > MAX_LINE => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

/// The number before a chunk's extensions.
fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let is_hex =
        !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_hex)
        .ok_or(ParseError::Malformed)?;
    usize::from_str_radix(text, 16).map_err(|_| ParseError::Malformed)
}

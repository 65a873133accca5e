//! Decoding of a chunked body: a state machine that is fed with the bytes at hand.

use super::ParseError;

/// The longest line with a chunk's size, or of the trailer, in bytes.
const MAX_LINE_LEN: usize = 256;
/// The most digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;
const HEXADECIMAL: u32 = 16;
const LINE_END: &[u8; 2] = b"\r\n";

/// The decoder of one chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkedDecoder {
    state: State,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A line with the size of a chunk.
    #[default]
    Size,
    /// This many more bytes of a chunk.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// Trailer lines, up to the empty one.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// What the input starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// This many bytes that are not content.
    Skip(usize),
    /// This many bytes of content.
    Content(usize),
    /// Too few bytes to decide: the caller must read more.
    NeedMore,
    /// Nothing: the body is complete.
    Done,
}

impl ChunkedDecoder {
    /// Decodes the start of `input`. The caller consumes the bytes that the step names before the next call.
    ///
    /// # Errors
    /// The body is malformed.
    pub fn next(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match self.state {
            State::Size => self.decode_size(input),
            State::Data(remaining) => Ok(self.decode_data(remaining, input)),
            State::DataEnd => self.decode_data_end(input),
            State::Trailer => self.decode_trailer(input),
            State::Done => Ok(DecodeStep::Done),
        }
    }

    fn decode_size(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        let Some(len) = line_len(input)? else {
            return Ok(DecodeStep::NeedMore);
        };
        let size = chunk_size(&input[..len - LINE_END.len()])?;
        self.state = if size == 0 {
            State::Trailer
        } else {
            State::Data(size)
        };
        Ok(DecodeStep::Skip(len))
    }

    fn decode_data(&mut self, remaining: usize, input: &[u8]) -> DecodeStep {
        if input.is_empty() {
            return DecodeStep::NeedMore;
        }
        let available = remaining.min(input.len());
        self.state = if available == remaining {
            State::DataEnd
        } else {
            State::Data(remaining - available)
        };
        DecodeStep::Content(available)
    }

    fn decode_data_end(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = State::Size;
                Ok(DecodeStep::Skip(LINE_END.len()))
            }
            [] | [b'\r'] => Ok(DecodeStep::NeedMore),
            _ => Err(ParseError::Malformed),
        }
    }

    fn decode_trailer(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        let Some(len) = line_len(input)? else {
            return Ok(DecodeStep::NeedMore);
        };
        if len == LINE_END.len() {
            self.state = State::Done;
        }
        Ok(DecodeStep::Skip(len))
    }
}

/// The length of the line that `input` starts with, line end included; `None` while the line is incomplete.
fn line_len(input: &[u8]) -> Result<Option<usize>, ParseError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && end <= MAX_LINE_LEN && input[end - 1] == b'\r' => Ok(Some(end + 1)),
        Some(_) => Err(ParseError::Malformed),
        None if input.len() > MAX_LINE_LEN => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

/// The size that a line gives, before any chunk extensions.
fn chunk_size(line: &[u8]) -> Result<usize, ParseError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let is_hex = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_hex)
        .ok_or(ParseError::Malformed)?;
    usize::from_str_radix(text, HEXADECIMAL).map_err(|_| ParseError::Malformed)
}

//! Decoding of a chunked body by a state machine, whose input is the bytes that have been received so far.

use super::ParseError;

/// Maximum length, in bytes, of a trailer line or a line with a chunk's size.
const MAX_LINE_LEN: usize = 256;
/// Maximum number of hexadecimal digits in a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;
const HEXADECIMAL: u32 = 16;
const LINE_END: &[u8; 2] = b"\r\n";

/// Decodes one chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkedDecoder {
    state: State,
}

/// The state of a decoder, named after the part of the body that it expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// The decoder expects a line with the size of a chunk.
    #[default]
    Size,
    /// The decoder expects this many more bytes of a chunk.
    Data(usize),
    /// The decoder expects the line end after a chunk.
    DataEnd,
    /// The decoder expects trailer lines, up to the empty one.
    Trailer,
    /// The body is complete.
    Done,
}

/// The type and the length of the bytes at the start of a decoder's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// The input starts with this many bytes that are not content.
    Skip(usize),
    /// The input starts with this many bytes of content.
    Content(usize),
    /// The input is too short to decode, and the caller must read more bytes.
    NeedMore,
    /// The body is complete.
    Done,
}

impl ChunkedDecoder {
    /// Decodes the start of `input`. Before the next call, the caller removes as many bytes from the input as the step
    /// contains.
    ///
    /// # Errors
    /// Fails if the body is malformed.
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

/// Returns the length of the line at the start of `input`, including its line end, or `None` while it is incomplete.
fn line_len(input: &[u8]) -> Result<Option<usize>, ParseError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && end <= MAX_LINE_LEN && input[end - 1] == b'\r' => Ok(Some(end + 1)),
        Some(_) => Err(ParseError::Malformed),
        None if input.len() > MAX_LINE_LEN => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

/// Parses the line with a chunk's size, and ignores chunk extensions.
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

//! The lines of a watch, cut anywhere between chunks. A list may come indented, over many lines.

use super::super::EndpointList;

/// The longest line: a list of some thousand endpoints.
const MAX_LINE: usize = 4 * 1024 * 1024;

/// Why a line cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LineError {
    #[error("neither empty nor a list")]
    Malformed,
    #[error("too long")]
    TooLong,
}

impl LineError {
    /// The reason code for the log.
    pub(super) fn code(self) -> &'static str {
        match self {
            LineError::Malformed => "malformed",
            LineError::TooLong => "line-too-long",
        }
    }
}

/// What comes next in the lines of a watch.
pub(super) enum WatchLine {
    /// Nothing whole yet.
    Incomplete,
    Empty,
    List(EndpointList),
}

#[derive(Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// Up to here a list has begun and not ended.
    incomplete_len: usize,
}

impl LineBuffer {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Takes the next line.
    ///
    /// # Errors
    /// The line is malformed or too long.
    pub(super) fn next(&mut self) -> Result<WatchLine, LineError> {
        while let Some(line_len) = self.bytes[self.incomplete_len..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.incomplete_len + line_len + 1;
            match parse(self.bytes[..end].trim_ascii())? {
                None => self.incomplete_len = end,
                Some(line) => {
                    self.bytes.drain(..end);
                    self.incomplete_len = 0;
                    return Ok(line);
                }
            }
        }
        if self.bytes.len() > MAX_LINE {
            return Err(LineError::TooLong);
        }
        Ok(WatchLine::Incomplete)
    }
}

/// Parses what may be a whole list. `None` where it is the start of one: a list is parsed once it may be whole, not with
/// each of its lines.
fn parse(text: &[u8]) -> Result<Option<WatchLine>, LineError> {
    match (text.first(), text.last()) {
        (None, _) => Ok(Some(WatchLine::Empty)),
        (Some(b'{'), Some(b'}')) => match serde_json::from_slice(text) {
            Ok(list) => Ok(Some(WatchLine::List(list))),
            Err(error) if error.is_eof() => Ok(None),
            Err(_) => Err(LineError::Malformed),
        },
        (Some(b'{'), _) => Ok(None),
        (Some(_), _) => Err(LineError::Malformed),
    }
}

#[cfg(test)]
mod tests;

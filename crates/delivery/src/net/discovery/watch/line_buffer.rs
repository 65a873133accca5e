//! The lines of a watch, which chunks may cut anywhere. A list may be indented, and so span several lines.

use super::super::{EndpointList, MAX_LIST_LEN};

/// Why a line cannot be accepted.
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

/// What the buffered bytes start with.
pub(super) enum WatchLine {
    /// An incomplete line or list: more bytes are needed.
    Incomplete,
    /// An empty line, which is a heartbeat.
    Heartbeat,
    List(EndpointList),
}

/// Collects received bytes and splits them into lines.
#[derive(Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// The length of the complete lines that form the start of a list.
    incomplete_len: usize,
}

impl LineBuffer {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Removes the next line, or list of several lines, and returns it.
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
                WatchLine::Incomplete => self.incomplete_len = end,
                line => {
                    self.bytes.drain(..end);
                    self.incomplete_len = 0;
                    return Ok(line);
                }
            }
        }
        if self.bytes.len() > MAX_LIST_LEN {
            return Err(LineError::TooLong);
        }
        Ok(WatchLine::Incomplete)
    }
}

/// Parses complete lines. A list is parsed only where its last line may be the end of it, not at each line.
fn parse(text: &[u8]) -> Result<WatchLine, LineError> {
    match (text.first(), text.last()) {
        (None, _) => Ok(WatchLine::Heartbeat),
        (Some(b'{'), Some(b'}')) => match serde_json::from_slice(text) {
            Ok(list) => Ok(WatchLine::List(list)),
            Err(error) if error.is_eof() => Ok(WatchLine::Incomplete),
            Err(_) => Err(LineError::Malformed),
        },
        (Some(b'{'), _) => Ok(WatchLine::Incomplete),
        (Some(_), _) => Err(LineError::Malformed),
    }
}

#[cfg(test)]
mod tests;
